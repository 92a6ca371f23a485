"""State shared by the components of a node."""

from __future__ import annotations

from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING

from hibiscuspoint.core.consensus.effects import (
    ApplyEntries,
    SaveEntries,
    SaveHardState,
    SendMessage,
)
from hibiscuspoint.core.consensus.log import Log
from hibiscuspoint.core.consensus.messages import Message
from hibiscuspoint.core.consensus.timing import Timing

if TYPE_CHECKING:
    from hibiscuspoint.core.consensus.effects import Effect
    from hibiscuspoint.core.consensus.entries import Entry, HardState, RecoveredState
    from hibiscuspoint.core.consensus.membership import Configuration, DiskId, Member
    from hibiscuspoint.core.consensus.messages import Body
    from hibiscuspoint.ids import InstanceId

__all__ = ["NodeState", "Role"]


class Role(Enum):
    """Role of a member in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class NodeState:
    """Hard state, log, role and pending effects of one member.

    :param me: this member.
    :param peers: instances of the control group, including this one.
    :param recovered: state that was read from the disk.
    :param now: current monotonic time in seconds.
    :param timing: timeouts of the control group; ``None`` for the default ones.
    """

    def __init__(
        self,
        me: Member,
        peers: frozenset[InstanceId],
        recovered: RecoveredState,
        now: float,
        timing: Timing | None = None,
    ) -> None:
        self.timing = timing or Timing()
        self.me = me
        self.peers = peers
        self.now = now
        self.hard_state = recovered.hard_state
        self.log = Log(recovered.snapshot, recovered.entries)
        self.role = Role.FOLLOWER
        self.leader: InstanceId | None = None
        self.commit_index = recovered.snapshot.index
        #: Disk in the latest message of each instance.
        self.disk_by_instance: dict[InstanceId, DiskId] = {}
        # The time of the last contact is not stored. The lease of a leader may rely on a contact
        # shortly before this restart, so the start counts as a contact.
        self.last_leader_contact_at = now if self.hard_state.group else float("-inf")
        #: Peers whose disks belong to no group, with the monotonic time of their latest reply.
        self.unassigned_peers: dict[Member, float] = {}
        #: Whether a leader has reached this member since its start.
        self.has_heard_leader = False
        self._effects: list[Effect] = []

    @property
    def configuration(self) -> Configuration:
        """Latest configuration in the log, which is in force."""
        return self.log.configuration

    @property
    def is_voter(self) -> bool:
        """Whether this member is a voter of the configuration in force."""
        return self.me in self.configuration.all_voters

    @property
    def is_sole_voter(self) -> bool:
        """Whether this member is the only voter."""
        return self.configuration.all_voters == {self.me}

    @property
    def has_recent_leader_contact(self) -> bool:
        """Whether the lease of a leader may still rely on this member, so that it must not vote."""
        recent = self.now - self.last_leader_contact_at < self.timing.election_timeout_min_seconds
        return recent and not self.is_sole_voter

    def has_lost_disk(self, voter: Member) -> bool:
        """Return whether the instance of a voter has started again with an empty disk.

        The process that kept the former disk has ended then, and with it any lease that it had.
        """
        return any(
            peer.instance == voter.instance and peer.disk != voter.disk
            for peer in self.unassigned_peers
        )

    def record_leader_contact(self) -> None:
        """Record that a leader has reached this member, so that its lease may rely on it."""
        self.last_leader_contact_at = self.now
        self.has_heard_leader = True

    def emit(self, effect: Effect) -> None:
        """Add an effect for the runner."""
        self._effects.append(effect)

    def take_effects(self) -> list[Effect]:
        """Return the effects that were added since the last call, and clear them."""
        effects, self._effects = self._effects, []
        return effects

    def send(self, target: Member, body: Body) -> None:
        """Send a message to a member; another disk of its instance rejects it."""
        self._send(target.instance, target.disk, body)

    def send_to_instance(self, instance: InstanceId, body: Body) -> None:
        """Send a message to an instance, whichever disk it has."""
        self._send(instance, "", body)

    def set_hard_state(self, hard_state: HardState) -> None:
        """Change the hard state and have it saved."""
        if hard_state != self.hard_state:
            self.hard_state = hard_state
            self.emit(SaveHardState(hard_state))

    def advance_term(self, term: int) -> None:
        """Enter a term without a vote in it, unless it is the current or an earlier one."""
        if term > self.hard_state.term:
            self.set_hard_state(replace(self.hard_state, term=term, vote=None))

    def join_group(self, group: str) -> None:
        """Record the group of a message on a disk that belongs to no group."""
        if not self.hard_state.group:
            self.set_hard_state(replace(self.hard_state, group=group))

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Append entries to the log and have them saved."""
        if entries:
            self.log.append(entries)
            self.emit(SaveEntries(entries))

    def advance_commit_index(self, index: int) -> None:
        """Advance the commit index and apply the newly committed entries."""
        if index <= self.commit_index:
            return
        entries = self.log.entries_between(self.commit_index, index)
        self.commit_index = index
        self.emit(ApplyEntries(entries))

    def _send(self, instance: InstanceId, disk: DiskId | str, body: Body) -> None:
        message = Message(
            self.me, instance, disk, self.hard_state.group, self.hard_state.term, body
        )
        self.emit(SendMessage(message))
