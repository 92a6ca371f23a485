"""Membership changes that make the disk of an instance a voter."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from hibiscuspoint.core.consensus.membership import Member
from hibiscuspoint.core.consensus.timing import CATCH_UP_ENTRIES
from hibiscuspoint.errors import RequestError

if TYPE_CHECKING:
    from hibiscuspoint.core.consensus.replication import Replication
    from hibiscuspoint.core.consensus.state import NodeState
    from hibiscuspoint.ids import InstanceId

__all__ = ["Repair", "RepairPhase", "RepairProgress"]


class RepairPhase(Enum):
    """Phase of a repair or voter change."""

    #: No message of the instance has been received, so that its disk is unknown.
    WAITING = "waiting for the instance"
    #: The new disk receives the log.
    CATCHING_UP = "catching up"
    #: A configuration change is being committed.
    REPLACING = "replacing the voter"
    #: The final configuration is committed and the disk holds all committed entries.
    DONE = "done"


@dataclass(frozen=True, slots=True)
class RepairProgress:
    """Progress of a repair or voter change.

    :param match_index: highest index up to which the new disk is known to hold the log.
    :param commit_index: commit index of the leader, which the match index must reach.
    """

    phase: RepairPhase
    match_index: int
    commit_index: int


class Repair:
    """Makes the current disk of an instance a voter, in place of its former disk if there is one.

    Each call of :meth:`advance` performs the next step. The progress is kept in the replicated
    configuration, so a new leader continues a repair that another one started.

    :param state: state of the node.
    :param replication: replication at the leader.
    """

    def __init__(self, state: NodeState, replication: Replication) -> None:
        self._state = state
        self._replication = replication

    def advance(
        self, instance: InstanceId, since: float, replaced: InstanceId | None = None
    ) -> RepairProgress:
        """Perform the next step and return the progress.

        :param since: monotonic time at which the repair was requested. The repair is done only
            after the disk has answered a later request, because an earlier answer does not prove
            that the disk has not been lost since.
        :param replaced: instance whose voter is replaced besides that of the instance itself.
        :raises RequestError: the instance is the leader itself.
        """
        state = self._state
        if instance == state.me.instance:
            raise RequestError(f"{instance!r} leads the control group and cannot replace its disk")
        disk = state.disk_by_instance.get(instance)
        if disk is None:
            return self._report(RepairPhase.WAITING, None)
        return self._advance_member(Member(instance, disk), since, replaced)

    def _advance_member(
        self, member: Member, since: float, replaced: InstanceId | None
    ) -> RepairProgress:
        state = self._state
        if state.configuration.is_joint or state.log.configuration_index > state.commit_index:
            return self._report(RepairPhase.REPLACING, member)
        if member in state.configuration.voters:
            return self._check_completion(member, since)
        if member not in state.configuration.learners:
            self._replication.propose([state.configuration.with_learner(member)])
            return self._report(RepairPhase.CATCHING_UP, member)
        oldest_contact_at = self._state.now - self._state.timing.lease_seconds
        if not self._has_caught_up(member, CATCH_UP_ENTRIES, oldest_contact_at):
            return self._report(RepairPhase.CATCHING_UP, member)
        self._replication.propose([state.configuration.joint_with(member, replaced)])
        return self._report(RepairPhase.REPLACING, member)

    def _check_completion(self, member: Member, since: float) -> RepairProgress:
        if self._has_caught_up(member, 0, since):
            return self._report(RepairPhase.DONE, member)
        return self._report(RepairPhase.CATCHING_UP, member)

    def _has_caught_up(self, member: Member, max_lag_entries: int, since: float) -> bool:
        """Return whether a member answered a request sent after ``since`` and its lag is small."""
        progress = self._replication.progress_of(member)
        if progress is None or progress.last_contact_at <= since:
            return False
        return progress.match_index + max_lag_entries >= self._state.commit_index

    def _report(self, phase: RepairPhase, member: Member | None) -> RepairProgress:
        progress = self._replication.progress_of(member) if member else None
        match_index = progress.match_index if progress else 0
        return RepairProgress(phase, match_index, self._state.commit_index)
