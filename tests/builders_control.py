"""Builders of test data for the decisions of the control leader."""

from __future__ import annotations

import hashlib
import json

from hibiscuspoint.core.control import ControlLeader, ControlState, MemberReply, Propose
from hibiscuspoint.ids import GroupId, InstanceId, TargetId, Term
from hibiscuspoint.util.units import NANOSECONDS_PER_SECOND
from hibiscuspoint.wire import common_pb2, peer_pb2, record_pb2
from tests.builders import document, position

__all__ = [
    "GROUP",
    "MEMBERS",
    "Control",
    "accept_document",
    "announcement",
    "command",
    "large_configuration",
    "member_reply",
    "report",
    "restored",
    "share",
    "started_state",
]

GROUP = GroupId("ledger")
MEMBERS = ("a", "b", "c")


def command(**body: object) -> record_pb2.Command:
    """Return a command of the control log."""
    return record_pb2.Command(**body)


def accept_document(number: int, digest: str = "d") -> record_pb2.Command:
    """Return the command that accepts a document."""
    return command(accept_document=record_pb2.AcceptDocument(number=number, digest=digest))


def announcement(target: str, term: int = 1, **changes: object) -> peer_pb2.Announcement:
    """Return an announcement; member ``a`` is the primary unless ``primary`` is given."""
    values = {
        "group": GROUP,
        "availability_zone": "z1",
        "address": f"{target}:1",
        "term": term,
        "primary": target == "a",
        "received": common_pb2.Position(term=term, index=1),
        "slots": 2,
        "max_connections": 8,
        **changes,
    }
    return peer_pb2.Announcement(target=target, **values)


def report(instance: str, now: float, **changes: object) -> peer_pb2.EntryReport:
    """Return a report that an entry sends at a time of its own clock."""
    values = {
        "incarnation": 1,
        "availability_zone": "z1",
        "address": f"{instance}:1",
        "sent_at_ns": int(now * NANOSECONDS_PER_SECOND),
        **changes,
    }
    return peer_pb2.EntryReport(instance=instance, **values)


def share(target: str, allowance: int, sequence: int, open_connections: int = 0):
    """Return what an entry reports about its share of a target."""
    return peer_pb2.ShareUse(
        target=target,
        allowance=allowance,
        sequence=sequence,
        open_connections=open_connections,
    )


def member_reply(target: str, term: int, index: int, **changes: object) -> MemberReply:
    """Return the answer of a member whose last record was written in ``term``."""
    values = {"accepted": True, "sealed_term": Term(term), **changes}
    return MemberReply(TargetId(target), last_position=position(term, index), **values)


def started_state(term: int = 1, holders: tuple[str, ...] = ("e1", "e2")) -> ControlState:
    """Return a state with one group whose primary ``a`` is in force."""
    state = ControlState()
    bodies = [
        {"form_group": record_pb2.FormGroup(group=GROUP, members=MEMBERS, ack_quorum=2)},
        {"open_term": record_pb2.OpenTerm(group=GROUP, term=term)},
        {"choose_primary": record_pb2.ChoosePrimary(group=GROUP, term=term, primary="a")},
        {"start_term": record_pb2.StartTerm(group=GROUP, term=term, start=1)},
        {"set_holders": record_pb2.SetHolders(group=GROUP, instances=holders)},
    ]
    for index, body in enumerate(bodies):
        state.apply(index + 1, command(**body))
    return state


def restored(state: ControlState) -> ControlState:
    """Return the state of a member that restarts from a snapshot."""
    copy = ControlState()
    copy.restore(state.snapshot())
    return copy


class Control:
    """A control leader of one group, whose time passes in steps of 100 ms.

    :param state: replicated state; proposals are applied only by :meth:`commit`.
    """

    def __init__(self, state: ControlState, now: float = 0.0, **group: object) -> None:
        self.state = state
        self.now = now
        self.leader = ControlLeader(InstanceId("c1"), 1, state, now)
        self.leader.set_document(document(group=[{"name": GROUP, **group}]))
        self.effects: list[object] = []
        #: Targets that announce themselves and entries that report in each step.
        self.targets: dict[str, dict] = {name: {} for name in MEMBERS}
        self.entries: dict[str, dict] = {"e1": {}, "e2": {}}
        self.updates: dict[str, peer_pb2.ControlUpdate] = {}
        #: Share and sequence by entry and target, which the entry reports as in force.
        self.shares: dict[tuple[str, str], tuple[int, int]] = {}

    @property
    def group(self):
        """Return the controller of the group."""
        return self.leader.groups[GROUP]

    @property
    def allocator(self):
        """Return the holders and shares of the group."""
        return self.leader.allocators[GROUP]

    def step(self) -> None:
        """Let 100 ms pass with announcements, reports, updates and a tick."""
        self.now += 0.1
        term = self.state.groups[GROUP].term
        for name, changes in self.targets.items():
            message = announcement(name, **{"term": term, **changes})
            self.effects += self.leader.handle_announcement(message, self.now)
        for name in self.entries:
            self.report(name)
        self.effects += self.leader.tick(self.now)

    def report(self, name: str, **changes: object) -> peer_pb2.ControlUpdate:
        """Deliver a report and return the update that answers it."""
        shares = [share(target, *self.shares.get((name, target), (0, 0))) for target in MEMBERS]
        values = {"shares": shares, **self.entries.get(name, {}), **changes}
        self.effects += self.leader.handle_report(report(name, self.now, **values), self.now)
        update = self.leader.build_update(InstanceId(name), self.now)
        for item in update.shares:
            self.shares[name, item.target] = (item.connections, item.sequence)
        self.updates[name] = update
        return update

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds * 10)):
            self.step()

    def take(self, kind: type) -> list:
        """Return and forget the effects of a type."""
        taken = [effect for effect in self.effects if isinstance(effect, kind)]
        self.effects = [effect for effect in self.effects if not isinstance(effect, kind)]
        return taken

    def commit(self) -> list[str]:
        """Apply the proposals and return the names of the commands."""
        names = []
        for proposal in self.take(Propose):
            self.state.apply(0, proposal.command)
            names.append(proposal.command.WhichOneof("body"))
            self.effects += self.leader.tick_group(GROUP, self.now)
        return names


def large_configuration(routes: int, number: int = 1) -> str:
    """Return the text of a configuration; texts of different numbers differ in one route."""
    listed = [
        {
            "name": f"r-{hashlib.sha256(str(i).encode()).hexdigest()[:7]}",
            "database": hashlib.sha256(f"database {i}".encode()).hexdigest()[:10],
            "kind": "read_your_writes",
            "timeout_ms": 1000,
            "slo_ms": 400,
            "service": f"service-{i % 4}",
            "max_staleness_ms": 2500,
        }
        for i in range(routes)
    ]
    listed[number % routes]["timeout_ms"] = 900 + number
    return json.dumps({"version": number, "routes": listed})
