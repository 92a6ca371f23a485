"""Choice and promotion of a new primary among targets that acknowledge commits on their own."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hibiscuspoint.core.control.effects import MemberAddress
from hibiscuspoint.core.failover.effects import (
    ChoiceProof,
    PauseReplica,
    RequestPromotion,
    ResumeReplica,
    StepDown,
    WaitReason,
)
from hibiscuspoint.core.failover.pauses import PausedReplicas, trust_all_starts
from hibiscuspoint.core.position import ZERO_POSITION

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.core.control.effects import Effect
    from hibiscuspoint.core.control.state import GroupRecord, TargetRecord
    from hibiscuspoint.core.failover.effects import MissingLog
    from hibiscuspoint.core.failover.status import StatusSource, TargetStatus
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.ids import EntryProcess, TargetId, Term

__all__ = ["Acknowledgements", "PromotionRound"]

#: Interval between two orders of the same kind to a target.
ORDER_INTERVAL_SECONDS = 0.2

#: Interval between two orders to resume a replica, until it confirms one.
RESUME_INTERVAL_SECONDS = 0.5

#: Interval between two requests to the platform to promote the chosen target.
PROMOTION_REQUEST_INTERVAL_SECONDS = 1.0

#: Time until a request without an answer is repeated.
PROMOTION_REPEAT_SECONDS = 0.3

#: Time in which a target that confirms commits registers itself. A heartbeat to an instance that
#: is cut off is repeated at another one.
REGISTRATION_SECONDS = 0.5

#: Time from the end of the requests for one target's promotion until none of them can take effect
#: any more: they are on their way for 0.25 s, and a promotion takes up to 1 s.
SETTLEMENT_SECONDS = 2.0

#: Silence of the chosen target after which another one is chosen.
CHOSEN_SILENCE_SECONDS = 2.0

#: Time to wait for further replies once those received suffice for a choice, so that the preferred
#: target may reply too.
CHOICE_GRACE_SECONDS = 0.1


@dataclass(frozen=True)
class Acknowledgements:
    """What control knows of the commits that entries acknowledged in the former term.

    :param limit: position at or above all of them; ``None`` if it is unknown.
    :param seen: highest position that an entry reported.
    :param possible_until: monotonic time in seconds at which the last lease ends that an entry has
        not released; minus infinity if there is none.
    :param inherited_until: the same for leases of an earlier leader. A replica that confirmed
        commits had time to register with this one until then.
    """

    limit: LogPosition | None = None
    seen: LogPosition = ZERO_POSITION
    possible_until: float = -math.inf
    inherited_until: float = -math.inf


@dataclass
class PromotionRound:
    """Soft state of the promotion in one term; a new control leader starts with an empty one.

    :param record: durable record of the group; changes as commands are applied.
    :param term: term that was opened for the promotion.
    :param since: monotonic time in seconds at which this leadership began to handle the term.
    :param keeps_former: whether the former primary is kept if it still acts as primary.
    :param is_registered_start: tells whether a connection that was open at a time certainly leads
        to the registered incarnation of a target.
    :param former_position: last position of the former primary, under its own or a new id, where
        its reply to the order to step down proves that.
    :param refused_at: when the platform last refused the promotion.
    :param proof: what proves the last choice.
    :param awaited_logs: logs for which the choice has waited.
    :param awaited_entries: processes of entries for which it has waited.
    """

    record: GroupRecord
    term: Term
    since: float
    keeps_former: bool
    is_registered_start: Callable[[TargetId, float], bool] = trust_all_starts
    former_position: LogPosition | None = None
    refused_at: float = -math.inf
    proof: ChoiceProof | None = None
    awaited_logs: dict[MissingLog, None] = field(default_factory=dict)
    awaited_entries: dict[EntryProcess, None] = field(default_factory=dict)
    _ordered_at: dict[tuple[type, TargetId], float] = field(default_factory=dict)
    _sufficient_since: float = math.inf
    _chosen_since: float = math.inf

    def __post_init__(self) -> None:
        #: Replies of the replicas to the order to pause.
        self.paused = PausedReplicas(self.record, self.is_registered_start)

    def record_wait(self, entries: set[EntryProcess]) -> None:
        """Record for what the choice waits at present.

        :param entries: processes that have not reported what they acknowledged.
        """
        self.awaited_logs.update(dict.fromkeys(self.paused.missing_logs))
        self.awaited_entries.update(dict.fromkeys(sorted(entries)))

    def record_pause(
        self, target: TargetId, status: TargetStatus, source: StatusSource, now: float
    ) -> None:
        """Record the reply of a replica that was ordered to pause at the term of this round.

        An order with a term that the replica already has, or a later one, is answered and ignored.
        """
        if status.paused_term == self.term:
            self.paused.record_reply(target, status, source, now)

    def pause_replicas(self, status_of: dict[TargetId, TargetStatus], now: float) -> list[Effect]:
        """Return the orders that pause the replicas.

        Unless the former primary is kept, it is ordered to step down as well. So is a primary of a
        term that a later one has ended: it ignores an order to pause.

        :param status_of: replies to polls that were sent in this round.
        """
        self.paused.discard_restarted()
        record = self.record
        newest_term = self._newest_term(status_of)
        effects: list[Effect] = []
        for target in record.targets.values():
            member = _member_address(target)
            status = status_of.get(target.target)
            if target.target == record.former_primary:
                is_primary = status is not None and status.is_primary
                is_needed = is_primary and not self.keeps_former
                if is_needed and self._may_send_order(StepDown, target.target, now):
                    effects.append(StepDown(record.group, member, self.term))
            elif status is not None and status.is_primary:
                is_deposed = status.term < newest_term
                if is_deposed and self._may_send_order(StepDown, target.target, now):
                    effects.append(StepDown(record.group, member, self.term))
            elif target.target not in self.paused.positions and self._may_send_order(
                PauseReplica, target.target, now
            ):
                effects.append(PauseReplica(record.group, member, self.term))
        return effects

    def choose_target(
        self,
        status_of: dict[TargetId, TargetStatus],
        acknowledgements: Acknowledgements,
        now: float,
    ) -> TargetId | None:
        """Return the target to promote; ``None`` until it certainly holds all acknowledged commits.

        A commit is acknowledged once the primary and one replica hold it. So the replica with the
        longest log holds all of them if every replica is paused and has replied, or if the position
        of that replica is at or above all that entries acknowledged.

        A replica that has just started may confirm commits before it is registered. So a reply of
        every replica suffices only once no entry acknowledges such a commit any more, and such a
        replica had time to register.

        :param status_of: replies to polls that were sent in this round.
        :param acknowledgements: what is known of the commits that entries acknowledged.
        """
        self.paused.discard_restarted()
        record = self.record
        acting = self._acting_primary(status_of)
        if acting is not None:
            self.proof = ChoiceProof.ACTING
            return acting
        candidates = {
            t: position for t, position in self.paused.positions.items() if t in record.targets
        }
        missing = self.paused.missing_logs
        has_every_reply = not missing
        # Records that only the former primary holds were never acknowledged. So it is left out once
        # every replica has replied, as it may be partitioned from them.
        former = status_of.get(record.former_primary)
        is_former_needed = not (has_every_reply and candidates)
        has_stepped_down = former is not None and not former.is_primary
        if is_former_needed and has_stepped_down and record.former_end is not None:
            candidates[record.former_primary] = former.received
        if not candidates:
            return None
        best = max(candidates, key=lambda target: (candidates[target], self._preference(target)))
        self.proof = self._proof(
            candidates[best],
            # A former primary that acts as primary again may have acknowledged more.
            record.former_end if former is None or has_stepped_down else None,
            acknowledgements,
            now,
            has_every_reply=has_every_reply,
        )
        if self.proof is None:
            self._sufficient_since = math.inf
            return None
        self._sufficient_since = min(self._sufficient_since, now)
        may_reply = any(log.reason is WaitReason.NO_REPLY for log in missing)
        if may_reply and now - self._sufficient_since < CHOICE_GRACE_SECONDS:
            return None
        return best

    def position_of(
        self, chosen: TargetId, status_of: dict[TargetId, TargetStatus]
    ) -> LogPosition | None:
        """Return the end of the log for which a target was chosen; ``None`` if it is a primary."""
        if self.proof is ChoiceProof.ACTING:
            return None
        if chosen in self.paused.positions:
            return self.paused.positions[chosen]
        status = status_of.get(chosen)
        return status.received if status is not None else None

    def since_choice(self, now: float) -> float:
        """Return since when this leadership knows of the choice; a status from before is too old.

        :param now: current time; the first call of a round determines the result.
        """
        self._chosen_since = min(self._chosen_since, now)
        return self._chosen_since

    def has_lost_choice(self, status: TargetStatus | None) -> bool:
        """Tell whether the chosen target has lost the log for which it was chosen.

        It may have started again and not be registered yet.

        :param status: reply to a poll that was sent after the choice.
        """
        position = self.record.chosen_position
        if status is None or status.is_primary or position is None:
            return False
        return status.received < position

    def promote(
        self, status_of: dict[TargetId, TargetStatus], token: int, now: float
    ) -> list[Effect]:
        """Request the promotion of the chosen target; once it is primary, resume replication."""
        record = self.record
        chosen = record.primary
        status = status_of.get(chosen) if chosen else None
        if status is None or not status.is_primary:
            if self._holds_choice(status) and self._may_send_order(
                RequestPromotion, chosen, now, PROMOTION_REQUEST_INTERVAL_SECONDS
            ):
                return [RequestPromotion(record.group, chosen, token)]
            return []
        return self.resume_replication(status_of, now)

    def resume_replication(
        self, status_of: dict[TargetId, TargetStatus], now: float
    ) -> list[Effect]:
        """Demote every primary of an earlier term to a replica and resume the paused replicas.

        A target that leads the term of the primary or a later one is left alone. It may be the
        primary under a new id, and only that it leads this term proves that it has the whole log.
        """
        record = self.record
        primary_status = status_of.get(record.primary)
        primary_term = record.primary_term
        if primary_status is not None and primary_status.is_primary:
            primary_term = max(primary_term, primary_status.term)
        effects: list[Effect] = []
        for target in record.targets.values():
            if target.target == record.primary:
                continue
            status = status_of.get(target.target)
            if status is not None and status.is_primary:
                is_deposed = status.term < primary_term
                if is_deposed and self._may_send_order(StepDown, target.target, now):
                    effects.append(StepDown(record.group, _member_address(target), self.term))
                continue
            # The order is repeated: a replica without a free slot may reject it, and the reply may
            # be lost.
            is_paused = target.target in self.paused.positions or (status and status.paused_term)
            if is_paused and self._may_send_order(
                ResumeReplica, target.target, now, RESUME_INTERVAL_SECONDS
            ):
                effects.append(ResumeReplica(record.group, _member_address(target)))
        return effects

    def record_resumption(self, target: TargetId) -> None:
        """Record that a replica has resumed receiving log records."""
        self.paused.discard(target)

    def new_former_end(self, status_of: dict[TargetId, TargetStatus]) -> LogPosition | None:
        """Return the end of the log of the former primary, if it is to be recorded.

        It is known once that primary has stepped down, and later if it led on in the same term.

        A database that started again with nothing of before holds no record of the last started
        term, as no other one leads this term.

        :param status_of: replies to polls that were sent in this round.
        """
        end = self.former_position
        status = status_of.get(self.record.former_primary)
        if status is not None:
            if status.is_primary:
                return None
            if 0 < self.record.primary_term <= status.received.term:
                end = status.received
        known = self.record.former_end
        is_new = end is not None and (known is None or known.term == end.term and known < end)
        return end if is_new else None

    def record_refusal(self, now: float) -> None:
        """Record that the platform refused the promotion because the target is not running."""
        self.refused_at = now

    def record_lost_request(self, now: float) -> None:
        """Record that the request for the promotion had no answer; it is repeated soon."""
        key = (RequestPromotion, self.record.primary)
        repeat_at = now + PROMOTION_REPEAT_SECONDS
        self._ordered_at[key] = repeat_at - PROMOTION_REQUEST_INTERVAL_SECONDS

    def is_chosen_lost(self, answered_at: float, now: float) -> bool:
        """Tell whether the chosen target is not running or silent.

        :param answered_at: time of its last reply to control.
        """
        if self.refused_at > answered_at:
            return True
        return now - max(answered_at, self.since) >= CHOSEN_SILENCE_SECONDS

    def _holds_choice(self, status: TargetStatus | None) -> bool:
        """Tell whether the chosen target has the log for which it was chosen, as far as known.

        The leader that chose it has its reply; another one polls it first.
        """
        if self.record.chosen_position is None or self.record.primary in self.paused.positions:
            return True
        return status is not None and not self.has_lost_choice(status)

    def has_settled(self, now: float) -> bool:
        """Tell whether no request for another target's promotion can take effect any more."""
        others = set(self.record.requested) - {self.record.primary}
        return not others or now - self.since >= SETTLEMENT_SECONDS

    def _proof(
        self,
        position: LogPosition,
        former_end: LogPosition | None,
        acknowledgements: Acknowledgements,
        now: float,
        *,
        has_every_reply: bool,
    ) -> ChoiceProof | None:
        """Return what proves that the longest log that replied holds all acknowledged commits.

        :param position: end of that log.
        :param former_end: end of the log of the former primary, if it has stepped down.
        :param has_every_reply: whether every replica has replied and none has lost a log.
        """
        if position < acknowledgements.seen:
            return None
        if acknowledgements.limit is not None and position >= acknowledgements.limit:
            return ChoiceProof.REPORTED
        if former_end is not None and position >= former_end:
            return ChoiceProof.FORMER_END
        is_complete = (
            now >= acknowledgements.possible_until + REGISTRATION_SECONDS
            and now >= acknowledgements.inherited_until
        )
        return ChoiceProof.ALL_REPLICAS if has_every_reply and is_complete else None

    def _acting_primary(self, status_of: dict[TargetId, TargetStatus]) -> TargetId | None:
        """Return the target that acts as primary if it holds all acknowledged commits.

        One database leads a term. So a target that leads the term of the last primary is that
        primary, maybe under a new id, and one that leads a later term was chosen since: its
        promotion was given up and took effect later.
        """
        record = self.record
        newest_term = self._newest_term(status_of)
        for target, status in status_of.items():
            if not status.is_primary or status.term < newest_term:
                continue
            if target != record.former_primary or self._may_keep_former():
                return target
        return None

    def _newest_term(self, status_of: dict[TargetId, TargetStatus]) -> int:
        """Return the newest term that the last primary or any target has reported."""
        return max([self.record.primary_term, *(status.term for status in status_of.values())])

    def _may_keep_former(self) -> bool:
        """Tell whether a former primary that still acts as primary may stay primary."""
        former = self.record.targets.get(self.record.former_primary)
        return self.keeps_former and former is not None and not former.leaving

    def _preference(self, target: TargetId) -> tuple[bool, bool]:
        """Return a key that ranks targets of equal positions, the preferred one highest."""
        record = self.record.targets[target]
        return not record.leaving, target != self.record.former_primary

    def _may_send_order(
        self, kind: type, target: TargetId, now: float, interval: float = ORDER_INTERVAL_SECONDS
    ) -> bool:
        """Tell whether an order may be sent now; if so, record it as sent."""
        key = (kind, target)
        if now - self._ordered_at.get(key, -math.inf) < interval:
            return False
        self._ordered_at[key] = now
        return True


def _member_address(target: TargetRecord) -> MemberAddress:
    return MemberAddress(target.target, target.address)
