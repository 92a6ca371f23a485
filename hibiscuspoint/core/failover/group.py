"""The control leader's view of one group whose targets acknowledge commits by themselves."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from hibiscuspoint.core.control.effects import PrimarySuspected, Propose, PublishRoutes
from hibiscuspoint.core.control.route_state import RouteState
from hibiscuspoint.core.control.state import GroupPhase
from hibiscuspoint.core.control.switchover import Switchover, SwitchoverState
from hibiscuspoint.core.failover.contacts import STATUS_SECONDS, TargetContacts
from hibiscuspoint.core.failover.effects import OverloadSwitchover
from hibiscuspoint.core.failover.overload import OverloadDetector
from hibiscuspoint.core.failover.promotion import PromotionRound
from hibiscuspoint.core.failover.watch import Loss, PrimaryFailureDetector
from hibiscuspoint.core.position import ZERO_POSITION
from hibiscuspoint.wire import record_pb2

if TYPE_CHECKING:
    from hibiscuspoint.core.control.effects import Effect
    from hibiscuspoint.core.control.leases import LeaseLedger
    from hibiscuspoint.core.control.state import GroupRecord, TargetRecord
    from hibiscuspoint.core.failover.status import TargetStatus
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.ids import InstanceId, TargetId
    from hibiscuspoint.wire import peer_pb2

__all__ = ["GroupFailover"]

#: Seconds after which a proposal that did not take effect is made again.
PROPOSAL_RETRY_SECONDS = 1.0

#: Seconds after a promotion in which only a primary that refuses connections or stepped down is
#: replaced, so that a group does not change its primary back and forth.
COOLDOWN_SECONDS = 4.0

#: Seconds after a heartbeat or an answer in which a replica can take over. Polls of replicas are
#: 2.5 s apart, heartbeats 1.2 s.
PRESENT_SECONDS = 2.0

#: Seconds without a heartbeat or an answer after which entries are not told of a target.
LISTED_SECONDS = 4.0


class GroupFailover:
    """Watches the primary of a group and leads promotions and switchovers.

    :param record: durable record of the group; changes as commands are applied.
    :param token: fencing token of this leadership.
    :param now: monotonic time in seconds.
    """

    def __init__(self, record: GroupRecord, ledger: LeaseLedger, token: int, now: float) -> None:
        self._record = record
        self._ledger = ledger
        self._token = token
        self._since = now
        self._contacts = TargetContacts(record, now)
        self._watch: PrimaryFailureDetector | None = None
        self._round: PromotionRound | None = None
        self._switchover: Switchover | None = None
        self._overload = OverloadDetector()
        self._idle_since: float | None = None
        self._suspected_term = 0
        self._keeps_former = True
        self._started_at = -math.inf
        self._floor = ZERO_POSITION
        self._floor_covers = -math.inf
        self._proposed: dict[str, float] = {}
        self._published: tuple[int, RouteState, int] | None = None

    @property
    def record(self) -> GroupRecord:
        """Return the durable record."""
        return self._record

    @property
    def is_active(self) -> bool:
        """Tell whether a promotion or a switchover is in progress."""
        return self.route_state is not RouteState.GRANTED

    @property
    def route_state(self) -> RouteState:
        """Return what entries may do with the primary."""
        return RouteState.of(self._record, self._suspected_term, self._switchover)

    @property
    def tip(self) -> tuple[LogPosition, float] | None:
        """Return the last position read at the primary and when it was asked for."""
        return self._contacts.primary_tip()

    def record_heartbeat(self, target: TargetId, now: float) -> None:
        """Take a heartbeat of a target."""
        self._contacts.record_contact(target, now)

    def record_departure(self, target: TargetId) -> None:
        """Record that a target said that it ends."""
        self._contacts.record_departure(target)

    def record_status(
        self, target: TargetId, status: TargetStatus, asked_at: float, now: float
    ) -> None:
        """Take the answer of a target to a poll that was sent at ``asked_at``."""
        self._contacts.record_status(target, status, asked_at, now)
        if self._round is not None and self._record.phase is GroupPhase.SEALING:
            self._round.record_status(target, status, asked_at)
        if target != self._record.primary:
            self._overload.record_replica_status(target, status, now)
            return
        if self._record.phase is not GroupPhase.STARTED:
            return
        self._overload.record_primary_status(status, self._slots(target), now)
        if self._watch is not None:
            self._watch.record_poll_reply(status.is_primary, now)
        if status.is_primary:
            self._raise_floor(status.received)
            if self._ledger.is_complete(asked_at):
                self._floor_covers = asked_at

    def record_busy_reply(self, target: TargetId, now: float) -> None:
        """Record that a target is there although it could not tell its state."""
        self._contacts.record_contact(target, now)
        if self._watch is not None and self._watch.primary == target:
            self._watch.record_poll_reply(is_primary=True, now=now)
            self._overload.record_primary_full(now)

    def record_connection_refusal(self, target: TargetId, now: float) -> None:
        """Record that the address of a target refused a connection."""
        if self._watch is not None and self._watch.primary == target:
            self._watch.record_connection_refusal(now)

    def record_pause(self, target: TargetId, status: TargetStatus, term: int, now: float) -> None:
        """Take the answer of a replica that was paused at a term."""
        self._contacts.record_order_reply(target, now)
        current = self._round
        if current is not None and current.term == term and not status.is_primary:
            current.record_pause(target, status, now)

    def record_resumption(self, target: TargetId) -> None:
        """Take the answer of a replica that receives again."""
        if self._round is not None:
            self._round.record_resumption(target)

    def record_step_down(
        self, target: TargetId, status: TargetStatus, term: int, now: float
    ) -> None:
        """Take the answer of a primary that was told to step down."""
        self._contacts.record_status(target, status, now, now)
        current = self._round
        is_former = current is not None and target == self._record.former_primary
        if is_former and current.term == term and not status.is_primary:
            current.former_position = status.received

    def record_promotion_refusal(self, target: TargetId, now: float) -> None:
        """Record that the platform does not promote the chosen target."""
        if self._round is not None and self._record.primary == target:
            self._round.record_refusal(now)

    def record_observation(
        self, entry: InstanceId, observation: peer_pb2.TargetObservation, now: float
    ) -> None:
        """Take what an entry saw at the primary."""
        if self._watch is None or self._watch.primary != observation.target:
            return
        failures = observation.refusals + observation.timeouts
        self._watch.record_requests(entry, observation.successes, failures, now)
        self._watch.record_commits(observation.commits, observation.commit_timeouts, now)

    def record_acknowledged_position(self, position: LogPosition) -> None:
        """Take the highest position that an entry has acknowledged."""
        self._raise_floor(position)

    def listed_targets(self, now: float) -> list[TargetId]:
        """Return the targets that entries are told of."""
        return [
            target
            for target in self._record.targets
            if target == self._record.primary
            or now - self._contacts.contacted_at(target) < LISTED_SECONDS
        ]

    def tick(self, now: float) -> list[Effect]:
        """Advance and return the effects."""
        return self._advance(now) + self._publish()

    def _advance(self, now: float) -> list[Effect]:
        phase = self._record.phase
        if phase is GroupPhase.STARTED:
            return self._watch_primary(now)
        self._watch = None
        self._switchover = None
        if phase is GroupPhase.FORMED:
            return self._adopt(now)
        current = self._current_round(now)
        if phase is GroupPhase.SEALING:
            return self._choose(current, now)
        return self._promote(current, now)

    def _adopt(self, now: float) -> list[Effect]:
        """Open the first term of a group that already has a primary."""
        if self._contacts.current_primary(now) is None:
            return []
        return self._open_term(now)

    def _choose(self, current: PromotionRound, now: float) -> list[Effect]:
        record = self._record
        if not record.term_starts:
            chosen = self._contacts.current_primary(now)
            return self._choose_primary(chosen, now) if chosen is not None else []
        status_of = self._contacts.statuses(current.since, now)
        chosen = current.choose_target(status_of, self._known_floor(), now)
        if chosen is not None:
            return self._choose_primary(chosen, now)
        return current.pause_replicas(status_of, now)

    def _promote(self, current: PromotionRound, now: float) -> list[Effect]:
        record = self._record
        answered_at = self._contacts.answered_at(record.primary)
        if record.primary not in record.targets or current.is_chosen_lost(answered_at, now):
            self._keeps_former = True
            return self._open_term(now)
        status_of = self._contacts.statuses(current.since, now)
        effects = current.promote(status_of, self._token, now)
        status = status_of.get(record.primary)
        is_leading = status is not None and status.is_primary
        if is_leading and (
            not record.term_starts
            or self._ledger.has_no_lease_before(record.group, record.term, now)
        ):
            body = record_pb2.StartTerm(group=record.group, term=record.term, start=0)
            effects += self._propose("start_term", record_pb2.Command(start_term=body), now)
        return effects

    def _watch_primary(self, now: float) -> list[Effect]:
        record = self._record
        if self._watch is None or self._watch.primary != record.primary:
            if self._round is not None:
                self._started_at = now
            self._watch = PrimaryFailureDetector(record.primary, now)
            self._overload.reset_primary()
            self._switchover = None
            self._idle_since = None
            self._resume_replicas(now)
        if self._suspected_term == record.term:
            return self._open_term(now)
        loss = self._watch.loss(now)
        if loss is not None and self._may_replace(loss, now):
            self._suspected_term = record.term
            self._keeps_former = loss.is_reversible
            suspected = PrimarySuspected(record.group, record.primary, loss)
            return [suspected, *self._open_term(now)]
        effects = self._round.resume_replication(
            self._contacts.statuses(now - STATUS_SECONDS, now), now
        )
        return effects + self._hand_over(now) + self._remove_lost(now)

    def _resume_replicas(self, now: float) -> None:
        """Have all replicas resumed, as an earlier control leader may have paused some."""
        record = self._record
        replicas = record.targets.keys() - {record.primary}
        if self._round is None:
            self._round = PromotionRound(record, record.term, now, keeps_former=True)
        self._round.paused_positions.update({target: ZERO_POSITION for target in replicas})

    def _may_replace(self, loss: Loss, now: float) -> bool:
        if loss in (Loss.REFUSED, Loss.STEPPED_DOWN):
            return True
        return now - self._started_at >= COOLDOWN_SECONDS

    def _hand_over(self, now: float) -> list[Effect]:
        """Move the primary to another target as planned, without interrupting a transaction."""
        record = self._record
        primary = record.targets.get(record.primary)
        successors = self._successors(now)
        if primary is None or not successors:
            self._switchover = None
            return []
        effects: list[Effect] = []
        if self._switchover is None:
            is_overloaded = not primary.leaving and self._overload.is_due(successors, now)
            if not self._ledger.is_complete(now) or not (primary.leaving or is_overloaded):
                return []
            self._switchover = Switchover(record.primary, None, now)
            if is_overloaded:
                self._overload.record_attempt(now)
                effects.append(OverloadSwitchover(record.group, record.primary))
        return effects + self._continue_switchover(primary, successors, now)

    def _continue_switchover(
        self, primary: TargetRecord, successors: list[TargetId], now: float
    ) -> list[Effect]:
        record = self._record
        held = self._ledger.leaseholders(record.group, now)
        self._idle_since = None if held else (self._idle_since or now)
        caught_up = self._idle_since is not None and self._has_caught_up(successors)
        state = self._switchover.tick(self._idle_since is not None, caught_up, now)
        if state is SwitchoverState.READY:
            self._keeps_former = False
            return self._open_term(now)
        if state is SwitchoverState.RESUMED and not primary.leaving:
            self._switchover = None
        return []

    def _slots(self, target: TargetId) -> int:
        known = self._record.targets.get(target)
        return max(1, known.slots) if known is not None else 1

    def _has_caught_up(self, successors: list[TargetId]) -> bool:
        primary = self._fresh_position(self._record.primary)
        if primary is None:
            return False
        positions = (self._fresh_position(target) for target in successors)
        return any(position is not None and position >= primary for position in positions)

    def _fresh_position(self, target: TargetId) -> LogPosition | None:
        return self._contacts.position_since(target, self._idle_since)

    def _successors(self, now: float) -> list[TargetId]:
        return [
            target.target
            for target in self._record.targets.values()
            if target.target != self._record.primary
            and not target.leaving
            and now - self._contacts.contacted_at(target.target) < PRESENT_SECONDS
        ]

    def _remove_lost(self, now: float) -> list[Effect]:
        """Remove a replica that has ended, once another one holds what it may have acknowledged."""
        for target in self._record.targets.values():
            if target.target == self._record.primary or not self._contacts.is_lost(
                target.target, now
            ):
                continue
            if not self._contacts.is_log_held_elsewhere(target.target):
                continue
            body = record_pb2.RemoveTarget(
                group=self._record.group, target=target.target, incarnation=target.incarnation
            )
            name = f"remove_target {target.target}"
            return self._propose(name, record_pb2.Command(remove_target=body), now)
        return []

    def _known_floor(self) -> LogPosition | None:
        """Return a position at or above every acknowledged commit, or ``None``.

        Every commit is acknowledged by an entry. What entries acknowledged before the last poll of
        the primary is in its answer; what they did later is in the report with which they handed
        their leases back.
        """
        record = self._record
        if self._floor_covers == -math.inf:
            return None
        if self._ledger.unreleased_leaseholders(record.group, record.term, self._floor_covers):
            return None
        return self._floor

    def _open_term(self, now: float) -> list[Effect]:
        record = self._record
        newest = self._contacts.newest_term()
        floor = 0 if not record.term_starts else 1
        term = max(record.term + 1, newest + floor)
        body = record_pb2.OpenTerm(group=record.group, term=term)
        return self._propose("open_term", record_pb2.Command(open_term=body), now)

    def _choose_primary(self, chosen: TargetId, now: float) -> list[Effect]:
        record = self._record
        body = record_pb2.ChoosePrimary(group=record.group, term=record.term, primary=chosen)
        return self._propose("choose_primary", record_pb2.Command(choose_primary=body), now)

    def _propose(self, name: str, command: record_pb2.Command, now: float) -> list[Effect]:
        key = f"{name} {self._record.term}"
        if now - self._proposed.get(key, -math.inf) < PROPOSAL_RETRY_SECONDS:
            return []
        self._proposed = {k: at for k, at in self._proposed.items() if now - at < 10.0}
        self._proposed[key] = now
        return [Propose(command)]

    def _current_round(self, now: float) -> PromotionRound:
        record = self._record
        if self._round is None or self._round.term != record.term:
            self._round = PromotionRound(record, record.term, now, self._keeps_former)
        return self._round

    def _publish(self) -> list[Effect]:
        leaving = sum(target.leaving for target in self._record.targets.values())
        current = (self._record.term, self.route_state, leaving)
        if current == self._published:
            return []
        self._published = current
        return [PublishRoutes(self._record.group)]

    def _raise_floor(self, position: LogPosition) -> None:
        self._floor = max(self._floor, position)
