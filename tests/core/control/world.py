"""The network around real control leaders, with an independent checker."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.core.control import (
    ControlLeader,
    ControlState,
    DeliveredDocument,
    DocumentDelivery,
    Follow,
    MemberReply,
    Promote,
    Propose,
    Seal,
    Terminate,
)
from hibiscuspoint.ids import InstanceId, TargetId, Term
from hibiscuspoint.wire import common_pb2, record_pb2
from tests.builders import document
from tests.builders_control import GROUP, MEMBERS, announcement
from tests.core.control.actors import REQUEST_SECONDS, Entry, Member

if TYPE_CHECKING:
    from hibiscuspoint.core.position import LogPosition

__all__ = ["LIMIT", "World"]

#: Connections that each member accepts.
LIMIT = 4
#: Answers that are older were given up by the component that carries out the effects.
CALL_SECONDS = 0.5


@dataclass
class Message:
    """A message on its way, delivered by calling ``arrive``."""

    arrive: object
    is_repeatable: bool = True


class World:
    """Everything around the control leaders.

    :param rates: clock rates of the leader and of each entry.
    """

    def __init__(self, rates: tuple[float, ...]) -> None:
        self.now = 0.0
        self.leader_rate, entry_rates = rates[0], rates[1:]
        self.network: list[Message] = []
        #: Messages that arrive much later, while others pass them.
        self.held: list[Message] = []
        self.members = {name: Member(name) for name in MEMBERS}
        self.entries = {
            f"e{number}": Entry(f"e{number}", 1, rate, self)
            for number, rate in enumerate(entry_rates)
        }
        self.state = ControlState()
        self.control_term = 0
        self.proposals: list[record_pb2.Command] = []
        self.old_leader: ControlLeader | None = None
        self.leader: ControlLeader | None = None
        self.acknowledged: list[int] = []
        self.values = 0
        self.primaries: dict[int, str] = {}
        self.started = 0
        self.streams = 0
        self.delivery = DocumentDelivery()
        self.delivered: dict[tuple[int, int], DeliveredDocument] = {}
        self.submit(1, 2)
        self.new_leader(1)

    @property
    def leader_now(self) -> float:
        """Return the monotonic time of the leader."""
        return self.now * self.leader_rate

    def submit(self, number: int, holders: int) -> None:
        """Propose a document."""
        text = document(number=number, group=[{"name": GROUP, "holders": holders}]).text
        body = record_pb2.AcceptDocument(number=number, digest=f"{holders}", document=text)
        self.proposals.append(record_pb2.Command(accept_document=body))

    def drain(self, member: Member) -> None:
        """Propose to take a target out of service."""
        body = record_pb2.DrainTarget(
            group=GROUP, target=member.name, incarnation=member.incarnation
        )
        self.proposals.append(record_pb2.Command(drain_target=body))

    def new_leader(self, committed: int) -> None:
        """Replace the leader; a part of its proposals was committed, the rest is lost."""
        self.commit(committed)
        self.proposals.clear()
        restored = ControlState()
        restored.restore(self.state.snapshot())
        self.state, self.old_leader = restored, self.leader
        self.control_term += 1
        instance = InstanceId(f"c{self.control_term}")
        self.leader = ControlLeader(instance, self.control_term, self.state, self.leader_now)
        self.take_document()

    def take_document(self) -> None:
        """Give the accepted document to the leader."""
        if self.state.document is not None:
            number = self.state.document.number
            holders = int(self.state.document.digest)
            groups = [{"name": GROUP, "holders": holders}]
            self.leader.set_document(document(number=number, group=groups))

    def commit(self, count: int) -> None:
        """Apply proposals in order."""
        for _ in range(min(count, len(self.proposals))):
            command = self.proposals.pop(0)
            self.state.apply(0, command)
            self.check_record()
            if self.leader is not None:
                self.take_document()
                self.run(self.leader.tick_group(GROUP, self.leader_now))

    def check_record(self) -> None:
        """Check a term that has just started (guarantee G2)."""
        record = self.state.groups.get(GROUP)
        if record is None or record.phase.value != "started" or record.term == self.started:
            return
        assert record.term > self.started
        self.started = record.term
        values = {value for _, value in self.members[record.primary].log}
        assert values.issuperset(self.acknowledged), "an acknowledged write is lost"

    def acknowledge(self, value: int, term: int) -> None:
        """Record an acknowledgement to a caller."""
        assert term == self.started, "a replaced primary acknowledged a write"
        self.acknowledged.append(value)

    def run(self, effects: list) -> None:
        """Send the calls of the current leader and keep its proposals."""
        leader, sent_at = self.leader, self.leader_now
        for effect in effects:
            if isinstance(effect, Propose):
                self.proposals.append(effect.command)
            elif isinstance(effect, Seal | Promote | Follow | Terminate):
                self.call(effect, leader, sent_at)

    def call(self, effect: object, leader: ControlLeader, sent_at: float) -> None:
        """Send a call to a member; its answer counts for the same leader within the timeout."""

        def answer(decide) -> None:
            is_awaited = self.leader is leader and self.leader_now - sent_at < CALL_SECONDS
            if is_awaited:
                self.run(decide() or [])

        def arrive() -> None:
            answers = self.carry_out(effect, leader)
            if answers is not None:
                self.send(lambda: answer(answers), is_repeatable=False)

        self.send(arrive)

    def carry_out(self, effect: object, leader: ControlLeader):
        """Carry a call out at its member and return the decision that its answer causes."""
        target = effect.target if isinstance(effect, Terminate) else effect.member.target
        member = self.members[target]
        if not member.is_running:
            if isinstance(effect, Promote):
                return lambda: leader.handle_refusal(GROUP, target, self.leader_now)
            return None
        if isinstance(effect, Terminate):
            up_to = effect.incarnation or math.inf
            closed = {k for k in member.connections if k[0] == effect.instance and k[1] <= up_to}
            member.connections -= closed
            return lambda: leader.record_termination(target, effect.instance)
        if isinstance(effect, Seal):
            accepted = member.seal(effect.term)
        elif isinstance(effect, Follow):
            accepted = member.follow(effect.term)
        else:
            followers = tuple(m.target for m in effect.members if m.target != target)
            accepted = member.promote(effect.term, followers)
        listed = effect.members if isinstance(effect, Promote) else ()
        answer = MemberReply(target, accepted, Term(member.sealed), member.last, listed)
        decide = leader.handle_seal_reply if isinstance(effect, Seal) else leader.handle_join_reply
        return lambda: decide(GROUP, answer, self.leader_now)

    def send(self, arrive, is_repeatable: bool = True) -> None:
        """Put a message on its way."""
        self.network.append(Message(arrive, is_repeatable))

    def announce(self, member: Member) -> None:
        """Send an announcement to the leader."""
        message = announcement(
            member.name,
            member.term,
            primary=member.is_primary,
            received=common_pb2.Position(term=member.last.term, index=member.last.index),
            max_connections=LIMIT,
            leaving=member.is_leaving,
            incarnation=member.incarnation,
        )
        self.send(lambda: self.run(self.leader.handle_announcement(message, self.leader_now)))

    def attach(self, entry: Entry) -> None:
        """Give an entry a new stream to the present leader."""
        self.streams += 1
        entry.stream = (self.control_term, self.streams)

    def report(self, entry: Entry) -> None:
        """Send a report; a leader that no longer leads takes none."""
        if entry.stream[0] != self.control_term:
            self.attach(entry)
        stream, message = entry.stream, entry.make_report()

        def arrive() -> None:
            if stream[0] == self.control_term:
                self.run(self.leader.handle_report(message, self.leader_now))
                self.update(entry, stream, message.sent_at_ns)

        self.send(arrive)

    def update(self, entry: Entry, stream: tuple[int, int], echo: int) -> None:
        """Send an update on a stream; the entry takes none from a stream that it left."""
        if self.leader.entries.get(InstanceId(entry.name)) is None:
            return
        message = self.leader.build_update(InstanceId(entry.name), self.leader_now)
        message.echo_sent_at_ns = echo
        self.delivery.set_document(self.state.document)
        reported = self.leader.entries.get(InstanceId(entry.name)).document_number
        delivered = self.delivered.setdefault(stream, DeliveredDocument())
        self.delivery.add_to_update(message, reported, delivered, self.leader_now)

        def arrive() -> None:
            if entry.stream == stream and not entry.is_frozen and self.is_current(entry):
                entry.take_update(message)

        self.send(arrive)

    def is_current(self, entry: Entry) -> bool:
        """Tell whether an entry is the present process of its instance."""
        return self.entries[entry.name] is entry

    def write(self, entry: Entry) -> None:
        """Send a write to the primary under a valid lease."""
        route = entry.state.routes.leased_route(GROUP, entry.now)
        if route is None or route.paused or entry.is_frozen:
            return
        self.values += 1
        value, term, member = self.values, route.term, self.members[route.primary]
        entry.pending[value] = (term, entry.now + REQUEST_SECONDS)

        def answered(written: LogPosition | None) -> None:
            if written is None or entry.is_frozen or value not in entry.pending:
                entry.pending.pop(value, None)
                return
            entry.acks.wait(written, value)
            entry.settle_writes()

        def arrive() -> None:
            written = member.write(term, value)
            self.send(lambda: answered(written), is_repeatable=False)

        self.send(arrive, is_repeatable=False)

    def ship(self, member: Member) -> None:
        """Send the log to the followers and the progress to the entries."""
        if member.is_primary:
            term, log = member.term, list(member.log)
            for name in member.followers:
                self.send(lambda follower=self.members[name]: follower.accept(term, log))
        term, last = Term(member.term), member.last
        for entry in self.entries.values():

            def arrive(entry: Entry = entry) -> None:
                if not entry.is_frozen:
                    entry.acks.observe(TargetId(member.name), term, last)
                    entry.settle_writes()

            self.send(arrive)

    def beat(self) -> None:
        """Let every process that runs do its periodic work."""
        for member in self.members.values():
            if member.is_running:
                self.announce(member)
                self.ship(member)
        for entry in self.entries.values():
            if not entry.is_frozen:
                entry.tick()
                self.report(entry)
        self.run(self.leader.tick(self.leader_now))

    def settle(self, seconds: float) -> None:
        """Let time pass while every message arrives in order."""
        for _ in range(round(seconds / 0.1)):
            self.now += 0.1
            self.beat()
            self.deliver_all()
            self.check()

    def deliver_all(self) -> None:
        """Deliver what is on its way, and the answers to it."""
        for _ in range(3):
            waiting, self.network = self.network, []
            for message in waiting:
                message.arrive()
            self.commit(len(self.proposals))

    def check(self) -> None:
        """Check the guarantees that hold at any moment."""
        for member in self.members.values():
            if member.is_primary:
                assert self.primaries.setdefault(member.term, member.name) == member.name
        terms = set()
        for entry in self.entries.values():
            route = entry.state.routes.leased_route(GROUP, entry.now)
            if route is not None:
                terms.add(route.term)
        assert terms <= {self.started}, f"terms {terms} are in use, {self.started} is in force"
        for target in MEMBERS:
            used = {e.name: e.can_have_open(target) for e in self.entries.values()}
            assert sum(used.values()) <= LIMIT, f"connections at {target}: {used}"
