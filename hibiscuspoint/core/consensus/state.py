"""State shared by the parts of a node."""

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
    from hibiscuspoint.core.consensus.entries import Entry, HardState, Recovered
    from hibiscuspoint.core.consensus.membership import Configuration, DiskId, Member
    from hibiscuspoint.core.consensus.messages import Body
    from hibiscuspoint.ids import InstanceId

__all__ = ["NodeState", "Role"]


class Role(Enum):
    """What a member does in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class NodeState:
    """Hard state, log, role and pending effects of one member.

    :param me: this member.
    :param peers: instances of the control group, with this one.
    :param recovered: content of the disk.
    :param now: seconds of a monotonic clock.
    :param timing: times of the control group.
    """

    def __init__(
        self,
        me: Member,
        peers: frozenset[InstanceId],
        recovered: Recovered,
        now: float,
        timing: Timing | None = None,
    ) -> None:
        self.timing = timing or Timing()
        self.me = me
        self.peers = peers
        self.now = now
        self.hard = recovered.hard_state
        self.log = Log(recovered.snapshot, recovered.entries)
        self.role = Role.FOLLOWER
        self.leader: InstanceId | None = None
        self.commit_index = recovered.snapshot.index
        #: Latest disk that each instance used.
        self.disks: dict[InstanceId, DiskId] = {}
        # A restarted member does not know when it last heard from a leader whose lease may still
        # count on it, so the start counts as contact.
        self.last_contact = now if self.hard.group else float("-inf")
        self._effects: list[Effect] = []

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self.log.configuration

    @property
    def is_voter(self) -> bool:
        """Tell whether this member votes in its own configuration."""
        return self.me in self.configuration.all_voters

    @property
    def is_sole_voter(self) -> bool:
        """Tell whether this member alone decides."""
        return self.configuration.all_voters == {self.me}

    @property
    def has_recent_contact(self) -> bool:
        """Tell whether a leader's lease may count on this member."""
        recent = self.now - self.last_contact < self.timing.election_timeout_min_seconds
        return recent and not self.is_sole_voter

    def emit(self, effect: Effect) -> None:
        """Add an effect."""
        self._effects.append(effect)

    def take_effects(self) -> list[Effect]:
        """Return the effects since the last call."""
        effects, self._effects = self._effects, []
        return effects

    def send(self, target: Member, body: Body) -> None:
        """Send a body to a member."""
        self._send(target.instance, target.disk, body)

    def send_to_instance(self, instance: InstanceId, body: Body) -> None:
        """Send a body to whatever disk an instance has."""
        self._send(instance, "", body)

    def set_hard_state(self, hard: HardState) -> None:
        """Change the hard state durably."""
        if hard != self.hard:
            self.hard = hard
            self.emit(SaveHardState(hard))

    def set_term(self, term: int) -> None:
        """Enter a later term without a vote."""
        if term > self.hard.term:
            self.set_hard_state(replace(self.hard, term=term, vote=None))

    def join_group(self, group: str) -> None:
        """Bind an unbound disk to the group of a message."""
        if not self.hard.group:
            self.set_hard_state(replace(self.hard, group=group))

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Append entries durably."""
        if entries:
            self.log.append(entries)
            self.emit(SaveEntries(entries))

    def commit_to(self, index: int) -> None:
        """Advance the commit index and apply the entries."""
        if index <= self.commit_index:
            return
        entries = self.log.between(self.commit_index, index)
        self.commit_index = index
        self.emit(ApplyEntries(entries))

    def _send(self, instance: InstanceId, disk: DiskId | str, body: Body) -> None:
        message = Message(self.me, instance, disk, self.hard.group, self.hard.term, body)
        self.emit(SendMessage(message))
