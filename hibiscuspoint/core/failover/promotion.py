"""The choice of a new primary among targets that acknowledge commits by themselves."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hibiscuspoint.core.control.effects import MemberAddress
from hibiscuspoint.core.failover.effects import (
    PauseReplica,
    RequestPromotion,
    ResumeReplica,
    StepDown,
)

if TYPE_CHECKING:
    from hibiscuspoint.core.control.effects import Effect
    from hibiscuspoint.core.control.state import GroupRecord, TargetRecord
    from hibiscuspoint.core.failover.status import TargetStatus
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.ids import Incarnation, TargetId, Term

__all__ = ["PromotionRound"]

#: Seconds between two orders to the same target.
ORDER_RETRY_SECONDS = 0.2

#: Seconds between two orders to a replica to receive again, until it has confirmed one.
RESUME_RETRY_SECONDS = 0.5

#: Seconds between two requests to the platform to promote the chosen target.
PROMOTION_RETRY_SECONDS = 1.0

#: Seconds without an answer of the chosen target after which another one is chosen.
CHOSEN_SILENCE_SECONDS = 2.0

#: Seconds to wait for further targets once the known ones suffice, so that the preferred one has a
#: chance to answer.
GRACE_SECONDS = 0.1


@dataclass(frozen=True)
class _Pause:
    """The answer of a replica that was paused, with what shows later that it was restarted."""

    incarnation: Incarnation
    paused_term: Term
    answered_at: float


@dataclass
class PromotionRound:
    """Soft state of one opened term; a new control leader starts it again.

    :param record: durable record of the group; changes as commands are applied.
    :param since: when this instance began to lead the term, monotonic seconds.
    :param keeps_former: whether the former primary is kept if it answers as one.
    """

    record: GroupRecord
    term: Term
    since: float
    keeps_former: bool
    paused_positions: dict[TargetId, LogPosition] = field(default_factory=dict)
    former_position: LogPosition | None = None
    refused_at: float = -math.inf
    _pauses: dict[TargetId, _Pause] = field(default_factory=dict)
    _ordered_at: dict[tuple[type, TargetId], float] = field(default_factory=dict)
    _sufficient_since: float = math.inf

    def record_pause(self, target: TargetId, status: TargetStatus, now: float) -> None:
        """Take the answer of a replica that was paused at the term of this round."""
        known = self.record.targets.get(target)
        if known is None:
            return
        self.paused_positions[target] = status.received
        self._pauses[target] = _Pause(known.incarnation, status.paused_term, now)

    def record_status(self, target: TargetId, status: TargetStatus, asked_at: float) -> None:
        """Take the answer to a poll; a replica that receives again must be paused anew.

        A replica that was restarted is not paused any more, so that it may have confirmed commits
        that another one lacks, and it may have lost its log.
        """
        pause = self._pauses.get(target)
        if pause is None or asked_at <= pause.answered_at:
            return
        if (
            status.paused_term != pause.paused_term
            or status.received < self.paused_positions[target]
        ):
            self._forget_pause(target)

    def pause_replicas(self, status_of: dict[TargetId, TargetStatus], now: float) -> list[Effect]:
        """Pause the replicas and, unless it is kept, make the former primary step down.

        :param status_of: answers to polls that were sent in this round.
        """
        self._forget_restarted()
        record = self.record
        effects: list[Effect] = []
        for target in record.targets.values():
            member = _address(target)
            if target.target == record.former_primary:
                is_primary = target.target in status_of and status_of[target.target].is_primary
                is_needed = is_primary and not self.keeps_former and self.former_position is None
                if is_needed and self._is_due(StepDown, target.target, now):
                    effects.append(StepDown(record.group, member, self.term))
            elif target.target not in self.paused_positions and self._is_due(
                PauseReplica, target.target, now
            ):
                effects.append(PauseReplica(record.group, member, self.term))
        return effects

    def choose_target(
        self, status_of: dict[TargetId, TargetStatus], floor: LogPosition | None, now: float
    ) -> TargetId | None:
        """Return the target to promote once it is certain that it holds all acknowledged commits.

        A commit is acknowledged when the primary and one replica hold it. So the replica with the
        longest log is safe when every replica is paused and answered, or when it holds at least
        ``floor``.

        :param floor: position at or above every acknowledged commit; ``None`` when unknown.
        """
        self._forget_restarted()
        record = self.record
        former = status_of.get(record.former_primary) if record.former_primary else None
        if former is not None and former.is_primary and self._may_keep_former():
            return record.former_primary
        candidates = {
            t: position for t, position in self.paused_positions.items() if t in record.targets
        }
        replicas = record.targets.keys() - {record.former_primary}
        has_all = replicas <= self.paused_positions.keys()
        # What only the former primary holds was never acknowledged, so it is left out when every
        # replica answered: it may be the one that cannot reach them.
        is_former_needed = not (has_all and candidates)
        if is_former_needed and self.former_position and record.former_primary in record.targets:
            candidates[record.former_primary] = self.former_position
        if not candidates:
            return None
        best = max(candidates, key=lambda target: (candidates[target], self._preference(target)))
        is_above = floor is not None and candidates[best] >= floor
        if not has_all and not is_above and self.former_position is None:
            self._sufficient_since = math.inf
            return None
        self._sufficient_since = min(self._sufficient_since, now)
        if not has_all and now - self._sufficient_since < GRACE_SECONDS:
            return None
        return best

    def promote(
        self, status_of: dict[TargetId, TargetStatus], token: int, now: float
    ) -> list[Effect]:
        """Ask for the promotion of the chosen target, and settle the others once it leads."""
        record = self.record
        chosen = record.primary
        status = status_of.get(chosen) if chosen else None
        if status is None or not status.is_primary:
            if self._is_due(RequestPromotion, chosen, now, PROMOTION_RETRY_SECONDS):
                return [RequestPromotion(record.group, chosen, token)]
            return []
        return self.resume_replication(status_of, now)

    def resume_replication(
        self, status_of: dict[TargetId, TargetStatus], now: float
    ) -> list[Effect]:
        """Make the former primary a replica and let the paused replicas receive again."""
        record = self.record
        effects: list[Effect] = []
        for target in record.targets.values():
            if target.target == record.primary:
                continue
            status = status_of.get(target.target)
            if status is not None and status.is_primary:
                if self._is_due(StepDown, target.target, now):
                    effects.append(StepDown(record.group, _address(target), self.term))
                continue
            # A full replica may not take the order, and an answer can be lost.
            is_paused = target.target in self.paused_positions or (status and status.paused_term)
            if is_paused and self._is_due(ResumeReplica, target.target, now, RESUME_RETRY_SECONDS):
                effects.append(ResumeReplica(record.group, _address(target)))
        return effects

    def record_resumption(self, target: TargetId) -> None:
        """Record that a replica receives again."""
        if target in self.paused_positions:
            self._forget_pause(target)

    def record_refusal(self, now: float) -> None:
        """Record that the platform refused the promotion; the chosen target is not running."""
        self.refused_at = now

    def is_chosen_lost(self, answered_at: float, now: float) -> bool:
        """Tell whether the chosen target is gone.

        :param answered_at: time of its last answer to control.
        """
        if self.refused_at > answered_at:
            return True
        return now - max(answered_at, self.since) >= CHOSEN_SILENCE_SECONDS

    def _forget_restarted(self) -> None:
        for target, pause in list(self._pauses.items()):
            known = self.record.targets.get(target)
            if known is None or known.incarnation != pause.incarnation:
                self._forget_pause(target)

    def _forget_pause(self, target: TargetId) -> None:
        del self.paused_positions[target]
        self._pauses.pop(target, None)

    def _may_keep_former(self) -> bool:
        former = self.record.targets.get(self.record.former_primary)
        return self.keeps_former and former is not None and not former.leaving

    def _preference(self, target: TargetId) -> tuple[bool, bool]:
        record = self.record.targets[target]
        return not record.leaving, target != self.record.former_primary

    def _is_due(
        self, kind: type, target: TargetId, now: float, interval: float = ORDER_RETRY_SECONDS
    ) -> bool:
        key = (kind, target)
        if now - self._ordered_at.get(key, -math.inf) < interval:
            return False
        self._ordered_at[key] = now
        return True


def _address(target: TargetRecord) -> MemberAddress:
    return MemberAddress(target.target, target.address)
