"""Replacement of a lost disk."""

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
    """Progress of a repair."""

    #: The instance has not been heard from.
    WAITING = "waiting for the instance"
    #: The new disk receives the log as a learner.
    CATCHING_UP = "catching up"
    #: A configuration change is being committed.
    REPLACING = "replacing the voter"
    #: The final configuration is committed and the disk holds everything committed.
    DONE = "done"


@dataclass(frozen=True, slots=True)
class RepairProgress:
    """Progress of a repair with the indexes that it compares."""

    phase: RepairPhase
    match_index: int
    commit_index: int


class Repair:
    """Replaces the voter of an instance by the disk that the instance has now.

    Each call performs the next step. All progress is in the configuration, so a new leader
    continues a repair that another one began.

    :param state: shared state.
    :param replication: replication of the leader.
    """

    def __init__(self, state: NodeState, replication: Replication) -> None:
        self._state = state
        self._replication = replication

    def advance(
        self, instance: InstanceId, since: float, replaced: InstanceId | None = None
    ) -> RepairProgress:
        """Perform the next step that is possible.

        :param since: when the repair was requested. The disk must answer a later request before
            the repair is done, because an answer of a disk that was lost meanwhile proves nothing.
        :param replaced: instance whose voter is replaced besides that of the instance itself.
        :raises RequestError: the instance is the leader itself.
        """
        state = self._state
        if instance == state.me.instance:
            raise RequestError(f"{instance!r} leads the control group, so its disk is not lost")
        disk = state.disks.get(instance)
        if disk is None:
            return self._report(RepairPhase.WAITING, None)
        return self._advance_to(Member(instance, disk), since, replaced)

    def _advance_to(
        self, member: Member, since: float, replaced: InstanceId | None
    ) -> RepairProgress:
        state = self._state
        if state.configuration.is_joint or state.log.configuration_index > state.commit_index:
            return self._report(RepairPhase.REPLACING, member)
        if member in state.configuration.voters:
            return self._finish(member, since)
        if member not in state.configuration.learners:
            self._replication.propose([state.configuration.with_learner(member)])
            return self._report(RepairPhase.CATCHING_UP, member)
        recent = self._state.now - self._state.timing.lease_seconds
        if not self._has_caught_up(member, CATCH_UP_ENTRIES, recent):
            return self._report(RepairPhase.CATCHING_UP, member)
        self._replication.propose([state.configuration.joint_with(member, replaced)])
        return self._report(RepairPhase.REPLACING, member)

    def _finish(self, member: Member, since: float) -> RepairProgress:
        if self._has_caught_up(member, 0, since):
            return self._report(RepairPhase.DONE, member)
        return self._report(RepairPhase.CATCHING_UP, member)

    def _has_caught_up(self, member: Member, distance: int, since: float) -> bool:
        progress = self._replication.progress_of(member)
        if progress is None or progress.contact <= since:
            return False
        return progress.match_index + distance >= self._state.commit_index

    def _report(self, phase: RepairPhase, member: Member | None) -> RepairProgress:
        progress = self._replication.progress_of(member) if member else None
        match_index = progress.match_index if progress else 0
        return RepairProgress(phase, match_index, self._state.commit_index)
