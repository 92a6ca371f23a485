"""The Raft node: one member of the control group, without I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.core.consensus.effects import SaveSnapshot
from hibiscuspoint.core.consensus.election import Election
from hibiscuspoint.core.consensus.entries import Command, Snapshot
from hibiscuspoint.core.consensus.follower import Follower
from hibiscuspoint.core.consensus.formation import Formation
from hibiscuspoint.core.consensus.membership import DiskId
from hibiscuspoint.core.consensus.messages import (
    REQUESTS,
    AppendReply,
    AppendRequest,
    Message,
    Probe,
    ProbeReply,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from hibiscuspoint.core.consensus.repair import Repair
from hibiscuspoint.core.consensus.replication import Replication
from hibiscuspoint.core.consensus.state import NodeState, Role
from hibiscuspoint.errors import NotLeaderError, RequestError

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from hibiscuspoint.core.consensus.effects import Effect
    from hibiscuspoint.core.consensus.entries import RecoveredState
    from hibiscuspoint.core.consensus.log import Log
    from hibiscuspoint.core.consensus.membership import Configuration, Member
    from hibiscuspoint.core.consensus.progress import Progress
    from hibiscuspoint.core.consensus.repair import RepairProgress
    from hibiscuspoint.core.consensus.timing import Timing
    from hibiscuspoint.ids import InstanceId

__all__ = ["Node", "Proposal"]


@dataclass(frozen=True, slots=True)
class Proposal:
    """Commands that were appended to the log; they may be lost until they are applied.

    :param first_index: index of the first command.
    :param term: term in which the commands were appended.
    :param effects: effects that replicate the commands.
    """

    first_index: int
    term: int
    effects: list[Effect]


class Node:
    """One member of the control group.

    Methods return effects. The runner may combine the effects of several calls, but performs them
    in order and makes all ``Save...`` effects durable first.

    :param me: this instance and its disk.
    :param peers: all control instances, including this one.
    :param recovered: state that was read from the disk.
    :param draw: returns a random number in [0, 1).
    :param now: current monotonic time in seconds.
    :param dynamic_membership: whether instances other than ``peers`` may become voters; ``peers``
        are then only the instances that form the group.
    :param timing: timeouts of the control group; ``None`` for the default ones.
    """

    def __init__(
        self,
        me: Member,
        peers: frozenset[InstanceId],
        recovered: RecoveredState,
        draw: Callable[[], float],
        now: float,
        *,
        dynamic_membership: bool = False,
        timing: Timing | None = None,
    ) -> None:
        self._dynamic_membership = dynamic_membership
        self._state = NodeState(me, peers, recovered, now, timing)
        self._election = Election(self._state, draw, self._start_leadership)
        self._follower = Follower(self._state)
        self._replication = Replication(self._state)
        self._formation = Formation(self._state)
        self._repair = Repair(self._state, self._replication)

    @property
    def me(self) -> Member:
        """This instance with the identity of its disk."""
        return self._state.me

    @property
    def role(self) -> Role:
        """Role of this member in the current term."""
        return self._state.role

    @property
    def term(self) -> int:
        """Current term of this member."""
        return self._state.hard_state.term

    @property
    def leader(self) -> InstanceId | None:
        """Instance that leads the current term, or ``None`` when it is unknown."""
        return self._state.leader

    @property
    def commit_index(self) -> int:
        """Index up to which this member has learned that entries are committed."""
        return self._state.commit_index

    @property
    def configuration(self) -> Configuration:
        """Latest configuration in the log, which is in force."""
        return self._state.configuration

    @property
    def log(self) -> Log:
        """Log of this member; callers must not change it."""
        return self._state.log

    @property
    def term_start_index(self) -> int:
        """Index of the first entry of the term that this member leads or led last; 0 for none."""
        return self._replication.term_start_index

    def is_leader(self, now: float) -> bool:
        """Return whether this member holds a valid lease and has learned all earlier commits."""
        if self._state.role is not Role.LEADER:
            return False
        return self._replication.has_lease(now) and self._replication.has_committed_in_own_term

    def lease_left(self, now: float) -> float:
        """Return the seconds for which no other member leads; 0 unless this member does."""
        return max(0.0, self._replication.lease_left(now)) if self.is_leader(now) else 0.0

    def disk_of(self, instance: InstanceId) -> DiskId | None:
        """Return the disk in the latest message of an instance, or ``None`` before the first."""
        return self._state.disk_by_instance.get(instance)

    def progress_of(self, member: Member) -> Progress | None:
        """Return the replication progress of a member.

        ``None`` means that this member does not lead or does not replicate to the other one.
        """
        if self._state.role is not Role.LEADER:
            return None
        return self._replication.progress_of(member)

    def make_probe(self, instance: InstanceId) -> Message:
        """Return a probe for an instance, which it answers in any state."""
        state = self._state
        return Message(state.me, instance, DiskId(""), state.hard_state.group, self.term, Probe())

    @property
    def next_deadline(self) -> float:
        """Monotonic time at which the next timer of this member expires."""
        if self._state.role is Role.LEADER:
            return self._replication.next_heartbeat_at
        return min(self._election.deadline, self._formation.next_probe_at)

    def tick(self, now: float) -> list[Effect]:
        """Advance the time to ``now`` and run the timers that have expired."""
        self._set_time(now)
        if self._state.role is Role.LEADER:
            self._replication.tick()
        else:
            self._formation.tick()
            self._election.tick()
        return self._state.take_effects()

    def handle(self, message: Message, now: float) -> list[Effect]:
        """Process a message from another member unless it is for another disk or group."""
        self._set_time(now)
        if self._accepts(message):
            self._record_disk(message)
            self._dispatch(message)
        return self._state.take_effects()

    def propose(self, commands: Sequence[bytes], now: float) -> Proposal:
        """Append commands to the log as one batch and replicate them.

        :raises NotLeaderError: this member holds no leadership lease; nothing was appended.
        """
        self._require_leadership(now)
        first = self._replication.propose([Command(data) for data in commands])
        return Proposal(first, self.term, self._state.take_effects())

    def advance_repair(
        self, instance: InstanceId, since: float, now: float
    ) -> tuple[RepairProgress, list[Effect]]:
        """Perform the next step of the repair that replaces the lost disk of an instance.

        :param since: monotonic time at which the repair was requested.
        :raises NotLeaderError: this member holds no leadership lease.
        :raises RequestError: the instance is this one or no control instance.
        """
        self._require_leadership(now)
        if instance not in self._state.peers and not self._dynamic_membership:
            known = ", ".join(sorted(self._state.peers))
            raise RequestError(
                f"{instance!r} is no control instance; the control instances: {known}"
            )
        progress = self._repair.advance(instance, since)
        return progress, self._state.take_effects()

    def advance_voter_change(
        self, instance: InstanceId, replaced: InstanceId | None, since: float, now: float
    ) -> tuple[RepairProgress, list[Effect]]:
        """Perform the next step of the change that makes the disk of an instance a voter.

        :param replaced: instance whose voter it replaces; ``None`` adds a voter.
        :param since: monotonic time at which the change was decided.
        :raises NotLeaderError: this member holds no leadership lease.
        :raises RequestError: the instance is this one.
        """
        self._require_leadership(now)
        progress = self._repair.advance(instance, since, replaced)
        return progress, self._state.take_effects()

    def compact(self, index: int, data: bytes) -> list[Effect]:
        """Replace the entries up to an applied index with a snapshot of the state machine.

        :param data: serialized state of the state machine at that index.
        """
        state = self._state
        term = state.log.term_at(index)
        if term is None or not state.log.snapshot.index < index <= state.commit_index:
            return []
        snapshot = Snapshot(index, term, state.log.configuration_at(index), data)
        state.log.compact(snapshot)
        tail = state.log.entries_between(index, state.log.last_index)
        state.emit(SaveSnapshot(snapshot, state.hard_state, tail))
        return state.take_effects()

    def _start_leadership(self) -> None:
        self._replication.become_leader(self._election.draw_timeout())

    def _set_time(self, now: float) -> None:
        """Advance the time; a leader that has lost its quorum steps down first."""
        self._state.now = now
        if self._state.role is Role.LEADER and self._replication.has_lost_quorum():
            self._election.become_follower(self.term, leader=None)

    def _require_leadership(self, now: float) -> None:
        self._set_time(now)
        if not self.is_leader(now):
            raise NotLeaderError(f"instance {self.me.instance} is not the control leader")

    def _accepts(self, message: Message) -> bool:
        """Return whether a message comes from a known instance and is for this disk and group.

        A request for another disk of this instance is answered with a probe reply, which tells the
        sender the current disk.
        """
        state = self._state
        is_known = self._dynamic_membership or message.source.instance in state.peers
        if not is_known or message.target != state.me.instance:
            return False
        if message.target_disk not in ("", state.me.disk):
            if isinstance(message.body, REQUESTS):
                self._formation.send_probe_reply(message)
            return False
        if isinstance(message.body, Probe | ProbeReply):
            return True
        if not message.group:
            # A new disk answers a pre-vote before it joins the group.
            return isinstance(message.body, VoteReply)
        return state.hard_state.group in ("", message.group)

    def _record_disk(self, message: Message) -> None:
        source = message.source
        if source.instance != self._state.me.instance:
            self._state.disk_by_instance[source.instance] = source.disk

    def _dispatch(self, message: Message) -> None:
        match message.body:
            case Probe():
                self._formation.send_probe_reply(message)
            case ProbeReply() as reply:
                self._formation.handle_probe_reply(message, reply)
            case VoteRequest() as request:
                self._election.handle_vote_request(message, request)
            case AppendRequest() | SnapshotRequest():
                self._handle_leader_request(message)
            case VoteReply() | AppendReply():
                self._handle_reply(message)

    def _handle_leader_request(self, message: Message) -> None:
        state = self._state
        body = message.body
        # This member is the only leader of its term.
        claims_own_term = message.term == self.term and state.role is Role.LEADER
        if message.term < self.term or claims_own_term:
            state.send(message.source, AppendReply(False, 0, body.sent_at))
            return
        self._election.become_follower(message.term, message.source.instance)
        state.join_group(message.group)
        state.record_leader_contact()
        if isinstance(body, AppendRequest):
            self._follower.handle_append(message, body)
        else:
            self._follower.handle_snapshot(message, body)

    def _handle_reply(self, message: Message) -> None:
        if message.term > self.term:
            self._election.become_follower(message.term, leader=None)
            return
        if isinstance(message.body, VoteReply):
            self._election.handle_vote_reply(message, message.body)
        elif message.term == self.term and self._state.role is Role.LEADER:
            self._replication.handle_append_reply(message, message.body)
