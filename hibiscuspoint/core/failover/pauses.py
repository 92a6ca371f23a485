"""Replies of the replicas that were paused for one promotion."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.core.failover.effects import MissingLog, WaitReason

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.core.control.state import GroupRecord
    from hibiscuspoint.core.failover.status import StatusSource, TargetStatus
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.ids import TargetId, Term

__all__ = ["PausedReplicas", "trust_all_starts"]


def trust_all_starts(target: TargetId, connected_at: float) -> bool:
    """Take every connection for one to the registered incarnation of its target."""
    return True


@dataclass(frozen=True)
class _Reply:
    """Reply of a replica that was paused, with the values that reveal another start of it.

    :param source: connection over which it came.
    :param paused_term: term at which the replica reported to be paused.
    :param answered_at: monotonic time in seconds at which the reply arrived.
    """

    source: StatusSource
    paused_term: Term
    answered_at: float


class PausedReplicas:
    """Replicas that are paused, each with the end of its log.

    A pause ends with the start that was paused. So the start that replied is the one that is still
    paused at the term, also if it is polled over another connection.

    :param record: durable record of the group; changes as commands are applied.
    :param is_registered_start: tells whether a connection that was open at a time certainly leads
        to the registered incarnation of a target.
    """

    def __init__(
        self, record: GroupRecord, is_registered_start: Callable[[TargetId, float], bool]
    ) -> None:
        self._record = record
        self._is_registered_start = is_registered_start
        self._replies: dict[TargetId, _Reply] = {}
        #: End of the log of each replica that is paused.
        self.positions: dict[TargetId, LogPosition] = {}

    @property
    def missing_logs(self) -> tuple[MissingLog, ...]:
        """Logs of replicas that may hold a commit which no known reply shows.

        What a replica confirmed before it started again may be held by the former primary only. A
        reply of a start that is not registered yet tells nothing about the registered one.
        """
        missing = []
        for target, known in self._record.targets.items():
            if target == self._record.former_primary:
                continue
            if target not in self.positions:
                missing.append(MissingLog(target, known.incarnation, WaitReason.NO_REPLY))
            elif not self._is_proven(target):
                missing.append(MissingLog(target, known.incarnation, WaitReason.UNPROVEN))
        missing += [
            MissingLog(target, incarnation, WaitReason.LOST)
            for target, incarnation in self._record.lost_logs.items()
            if target != self._record.former_primary
        ]
        return tuple(missing)

    def record_reply(
        self, target: TargetId, status: TargetStatus, source: StatusSource, now: float
    ) -> None:
        """Record the reply to an order to pause that took effect."""
        known = self._record.targets.get(target)
        if known is None or source.incarnation != known.incarnation:
            return
        self.positions[target] = status.received
        self._replies[target] = _Reply(source, status.paused_term, now)

    def record_status(self, target: TargetId, status: TargetStatus, polled_at: float) -> None:
        """Record the reply to a poll; a replica that is no longer paused must be paused again.

        A restart ends the pause of a replica. The replica may then have confirmed commits that the
        others lack, or may have lost its log.

        :param polled_at: monotonic time in seconds at which the poll was sent.
        """
        reply = self._replies.get(target)
        if reply is None or polled_at <= reply.answered_at:
            return
        is_paused = status.paused_term == reply.paused_term
        if not is_paused or status.received < self.positions[target]:
            self.discard(target)

    def discard_restarted(self) -> None:
        """Discard the pauses of replicas that have a new incarnation or were removed."""
        for target, reply in list(self._replies.items()):
            known = self._record.targets.get(target)
            if known is None or known.incarnation != reply.source.incarnation:
                self.discard(target)

    def discard(self, target: TargetId) -> None:
        """Record that a replica is not paused any more."""
        self.positions.pop(target, None)
        self._replies.pop(target, None)

    def _is_proven(self, target: TargetId) -> bool:
        """Tell whether the registered start of a replica gave its reply."""
        reply = self._replies.get(target)
        return reply is None or self._is_registered_start(target, reply.source.connected_at)
