"""Failover of one group whose targets acknowledge commits on their own."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from hibiscuspoint.core.control.effects import PrimarySuspected, Propose, PublishRoutes
from hibiscuspoint.core.control.route_state import RouteState
from hibiscuspoint.core.control.state import GroupPhase
from hibiscuspoint.core.control.switchover import (
    PAUSE_LIMIT_SECONDS,
    Switchover,
    SwitchoverState,
)
from hibiscuspoint.core.failover.contacts import STATUS_MAX_AGE_SECONDS, TargetContacts
from hibiscuspoint.core.failover.effects import (
    OverloadSwitchover,
    PrimaryProven,
    PromotionWaiting,
)
from hibiscuspoint.core.failover.overload import OverloadDetector
from hibiscuspoint.core.failover.promotion import Acknowledgements, PromotionRound
from hibiscuspoint.core.failover.watch import PrimaryFailure, PrimaryFailureDetector
from hibiscuspoint.core.position import ZERO_POSITION
from hibiscuspoint.wire import record_pb2
from hibiscuspoint.wire.position import position_message

if TYPE_CHECKING:
    from hibiscuspoint.core.control.effects import Effect
    from hibiscuspoint.core.control.leases import LeaseLedger
    from hibiscuspoint.core.control.state import GroupRecord, TargetRecord
    from hibiscuspoint.core.failover.status import StatusSource, TargetStatus
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.ids import EntryProcess, Incarnation, InstanceId, TargetId
    from hibiscuspoint.wire import peer_pb2

__all__ = ["GroupFailover"]

#: Interval after which a command that was not applied is proposed again.
PROPOSAL_RETRY_SECONDS = 1.0

#: Age after which the record of a proposal is discarded.
PROPOSAL_RECORD_SECONDS = 10.0

#: Time after a promotion in which a primary is replaced only if it refuses connections or has
#: stepped down. It prevents a group from switching back and forth between primaries.
COOLDOWN_SECONDS = 4.0

#: Time from the first sight of a leaving primary to its replacement, whatever is in progress. It
#: serves for 7 s after it has announced that it leaves, and a promotion takes up to 1 s.
LEAVING_LIMIT_SECONDS = 5.5

#: Time after which a choice of a primary that is not made is reported, again and again.
WAIT_REPORT_SECONDS = 5.0

#: Silence up to which a replica may become primary in a switchover. Polls of replicas are 2.5 s
#: apart, heartbeats 1.2 s.
SUCCESSOR_MAX_SILENCE_SECONDS = 2.0

#: Silence after which a target is left out of the routes for entries.
LISTED_MAX_SILENCE_SECONDS = 4.0


class GroupFailover:
    """Detects the failure of the primary of a group and controls promotions and switchovers.

    :param record: durable record of the group; changes as commands are applied.
    :param ledger: leases that this leadership granted to entries.
    :param token: fencing token of this leadership.
    :param now: monotonic time in seconds at which the leadership began.
    """

    def __init__(self, record: GroupRecord, ledger: LeaseLedger, token: int, now: float) -> None:
        self._record = record
        self._ledger = ledger
        self._token = token
        self._leader_since = now
        self._contacts = TargetContacts(record, now)
        self._failure_detector: PrimaryFailureDetector | None = None
        self._round: PromotionRound | None = None
        self._switchover: Switchover | None = None
        self._overload_detector = OverloadDetector()
        # Since when the primary is leaving; ``None`` if it is not.
        self._leaving_since: float | None = None
        # Since when no entry has held a lease during the current switchover.
        self._unleased_since: float | None = None
        # Last term whose primary was found to have failed.
        self._suspected_term = 0
        # Whether the next promotion keeps the former primary if it still acts as primary.
        self._keeps_former = True
        # Time of the last promotion that this leadership completed.
        self._promoted_at = -math.inf
        # Highest position that a poll of the primary returned or an entry acknowledged. It covers
        # every commit acknowledged before ``_covered_until``.
        self._required_position = ZERO_POSITION
        self._covered_until = -math.inf
        # Highest position of a commit that an entry has acknowledged.
        self._acknowledged_position = ZERO_POSITION
        self._wait_reported_at = -math.inf
        self._proposed_at: dict[str, float] = {}
        self._published: tuple[int, RouteState, bool, int] | None = None

    @property
    def record(self) -> GroupRecord:
        """Durable record of the group."""
        return self._record

    @property
    def is_active(self) -> bool:
        """Whether a promotion or a switchover is in progress."""
        return self.route_state is not RouteState.GRANTED

    @property
    def has_ended_targets(self) -> bool:
        """Whether targets that have ended still wait for their removal."""
        ended = any(self._contacts.has_ended(target) for target in self._record.targets)
        return ended or bool(self._record.lost_logs)

    @property
    def route_state(self) -> RouteState:
        """What entries may do with the primary."""
        return RouteState.of(self._record, self._suspected_term, self._switchover)

    @property
    def pauses_transactions(self) -> bool:
        """Whether entries may begin only single statements at the primary."""
        return self._switchover is not None and self._switchover.pauses_transactions

    @property
    def tip(self) -> tuple[LogPosition, float] | None:
        """Last position read at the primary and the time at which its poll was sent."""
        return self._contacts.primary_tip()

    def record_heartbeat(self, target: TargetId, now: float) -> None:
        """Record a heartbeat of the registered incarnation of a target."""
        self._contacts.record_heartbeat(target, now)

    def record_departure(self, target: TargetId, now: float) -> None:
        """Record that a target has announced its end."""
        self._contacts.record_departure(target, now)

    def record_replacement(self, target: TargetId, now: float) -> None:
        """Record that another target answers at the address of this one."""
        self._contacts.record_replacement(target, now)
        self.record_connection_refusal(target, now)

    def record_status(
        self,
        target: TargetId,
        status: TargetStatus,
        polled_at: float,
        now: float,
        read_at: float | None = None,
    ) -> None:
        """Record the reply of a target to a poll that was sent at ``polled_at``.

        :param read_at: time at which the target certainly had the position, if it is earlier: a
            reply that equals an earlier one may repeat it.
        """
        read_at = polled_at if read_at is None else read_at
        self._contacts.record_status(target, status, polled_at, now, read_at)
        if self._round is not None and self._record.phase is GroupPhase.SEALING:
            self._round.paused.record_status(target, status, polled_at)
        if target != self._record.primary:
            self._overload_detector.record_replica_status(target, status, now)
            return
        if self._record.phase is not GroupPhase.STARTED:
            return
        self._overload_detector.record_primary_status(status, self._slot_count(target), now)
        if self._failure_detector is not None:
            self._failure_detector.record_poll_reply(status.is_primary, now)
        if status.is_primary:
            self._raise_required_position(status.received)
            if self._ledger.is_group_complete(self._record.group, read_at):
                self._covered_until = max(self._covered_until, read_at)
                self._ledger.forget_ended(self._record.group, self._covered_until)

    def record_busy_reply(self, target: TargetId, now: float) -> None:
        """Record that a target replied but had no free slot or connection to report its status."""
        self._contacts.record_contact(target, now)
        if self._failure_detector is not None and self._failure_detector.primary == target:
            self._failure_detector.record_poll_reply(is_primary=True, now=now)
            self._overload_detector.record_primary_full(now)

    def record_connection_refusal(self, target: TargetId, now: float) -> None:
        """Record that the address of a target refused a connection from control."""
        if self._failure_detector is not None and self._failure_detector.primary == target:
            self._failure_detector.record_connection_refusal(now)

    def record_pause(
        self, target: TargetId, status: TargetStatus, source: StatusSource, term: int, now: float
    ) -> None:
        """Record the reply of a replica that was paused at a term.

        :param source: connection over which it came.
        """
        self._contacts.record_order_reply(target, now)
        current_round = self._round
        if current_round is not None and current_round.term == term and not status.is_primary:
            current_round.record_pause(target, status, source, now)

    def record_resumption(self, target: TargetId) -> None:
        """Record that a replica has resumed receiving log records."""
        if self._round is not None:
            self._round.record_resumption(target)

    def record_step_down(
        self, target: TargetId, status: TargetStatus, term: int, now: float
    ) -> None:
        """Record the reply of a primary that was ordered to step down.

        A database that started again with nothing of before is behind what it showed as primary.
        """
        shown = self._contacts.primary_status(target)
        self._contacts.record_status(target, status, now, now)
        current_round, record = self._round, self._record
        if current_round is None or current_round.term != term or status.is_primary:
            return
        if shown is None or status.received < shown.received:
            return
        # One database leads a term, so that the last primary is known by its term as well.
        if target == record.former_primary or 0 < record.primary_term == shown.term:
            current_round.former_position = status.received

    def record_promotion_refusal(self, target: TargetId, now: float) -> None:
        """Record that the platform refused to promote the chosen target."""
        if self._round is not None and self._record.primary == target:
            self._round.record_refusal(now)

    def record_promotion_loss(self, target: TargetId, now: float) -> None:
        """Record that a request to promote the chosen target had no answer."""
        if self._round is not None and self._record.primary == target:
            self._round.record_lost_request(now)

    def record_observation(
        self, entry: InstanceId, observation: peer_pb2.TargetObservation, now: float
    ) -> None:
        """Record the results of the requests of an entry at the primary."""
        if self._failure_detector is None or self._failure_detector.primary != observation.target:
            return
        failures = observation.refusals + observation.timeouts
        self._failure_detector.record_requests(entry, observation.successes, failures, now)
        self._failure_detector.record_commits(observation.commits, observation.commit_timeouts, now)

    def record_acknowledged_position(self, position: LogPosition) -> None:
        """Record the highest position of a commit that an entry has acknowledged."""
        self._acknowledged_position = max(self._acknowledged_position, position)
        self._raise_required_position(position)

    def listed_targets(self, now: float) -> list[TargetId]:
        """Return the targets that routes list: the primary and those that are not silent."""
        return [
            target
            for target in self._record.targets
            if target == self._record.primary
            or now - self._contacts.contacted_at(target) < LISTED_MAX_SILENCE_SECONDS
            and not self._contacts.is_replaced(target)
        ]

    def tick(self, now: float) -> list[Effect]:
        """Advance the group and return the resulting effects."""
        self._contacts.observe_members(now)
        return self._advance(now) + self._publish()

    def _advance(self, now: float) -> list[Effect]:
        phase = self._record.phase
        if phase is GroupPhase.STARTED:
            return self._check_primary(now)
        self._failure_detector = None
        self._switchover = None
        if phase is GroupPhase.FORMED:
            return self._open_first_term(now)
        current_round = self._current_round(now)
        if phase is GroupPhase.SEALING:
            return self._advance_sealing(current_round, now)
        return self._advance_promotion(current_round, now)

    def _open_first_term(self, now: float) -> list[Effect]:
        """Open the first term of a group once a target acts as primary."""
        if self._contacts.current_primary(now) is None:
            return []
        return self._propose_term(now)

    def _advance_sealing(self, current_round: PromotionRound, now: float) -> list[Effect]:
        record = self._record
        if not record.term_starts:
            chosen = self._contacts.current_primary(now)
            return self._propose_primary(chosen, None, now) if chosen is not None else []
        status_of = self._contacts.recent_statuses(current_round.since, now)
        chosen = current_round.choose_target(status_of, self._known_acknowledgements(), now)
        if chosen is not None:
            return self._propose_proven(current_round, chosen, status_of, now)
        current_round.record_wait(self._awaited_entries(now))
        if self._contacts.newest_term() >= record.term:
            # A target in this term or a later one would not be paused by an order with this one.
            return self._propose_term(now)
        effects = self._report_wait(current_round, now)
        former_end = current_round.new_former_end(status_of)
        if former_end is not None:
            effects += self._propose_former_end(former_end, now)
        return effects + current_round.pause_replicas(status_of, now)

    def _report_wait(self, current_round: PromotionRound, now: float) -> list[Effect]:
        """Report for what a choice waits that is not made in the usual time."""
        if now - max(current_round.since, self._wait_reported_at) < WAIT_REPORT_SECONDS:
            return []
        self._wait_reported_at = now
        record, missing = self._record, current_round.paused.missing_logs
        entries = tuple(sorted(self._awaited_entries(now)))
        return [PromotionWaiting(record.group, record.term, missing, entries)]

    def _awaited_entries(self, now: float) -> set[EntryProcess]:
        """Return the processes whose leases a choice may wait for, inherited ones included."""
        return self._unreported_entries() | self._ledger.inheriting(self._record.group, now)

    def _unreported_entries(self) -> set[EntryProcess]:
        """Return the processes that have not reported what they acknowledged."""
        record = self._record
        return self._ledger.unreleased_leaseholders(record.group, record.term, self._covered_until)

    def _advance_promotion(self, current_round: PromotionRound, now: float) -> list[Effect]:
        record = self._record
        answered_at = self._contacts.answered_at(record.primary)
        if record.primary not in record.targets or current_round.is_chosen_lost(answered_at, now):
            self._keeps_former = True
            return self._propose_term(now)
        since_choice = self._contacts.recent_statuses(current_round.since_choice(now), now)
        if current_round.has_lost_choice(since_choice.get(record.primary)):
            self._keeps_former = True
            return self._propose_term(now)
        status_of = self._contacts.recent_statuses(current_round.since, now)
        status = status_of.get(record.primary)
        is_leading = status is not None and status.is_primary
        has_no_lease = not record.term_starts or self._ledger.has_no_lease_before(
            record.group, record.term, now
        )
        effects: list[Effect] = []
        # Under a lease of its former term, an entry could go on writing at a former primary that
        # leads again, so that its end would no longer cover all acknowledged commits.
        if is_leading or has_no_lease or record.primary != record.former_primary:
            effects += current_round.promote(status_of, self._token, now)
        if is_leading and any(s.is_primary and s.term > status.term for s in status_of.values()):
            # A promotion that was given up has taken effect after this one.
            return self._propose_term(now)
        if is_leading and has_no_lease and current_round.has_settled(now):
            body = record_pb2.StartTerm(
                group=record.group, term=record.term, start=0, target_term=status.term
            )
            effects += self._propose("start_term", record_pb2.Command(start_term=body), now)
        return effects

    def _check_primary(self, now: float) -> list[Effect]:
        record = self._record
        if self._failure_detector is None or self._failure_detector.primary != record.primary:
            if self._round is not None:
                self._promoted_at = now
            self._failure_detector = PrimaryFailureDetector(record.primary, now)
            self._overload_detector.reset_primary()
            self._switchover = None
            self._leaving_since = None
            self._unleased_since = None
            self._request_resumption(now)
        if self._suspected_term == record.term:
            return self._propose_term(now)
        failure = self._failure_detector.failure(now)
        if failure is not None and self._may_replace(failure, now):
            self._suspected_term = record.term
            self._keeps_former = failure.is_reversible
            suspected = PrimarySuspected(record.group, record.primary, failure)
            return [suspected, *self._propose_term(now)]
        effects = self._round.resume_replication(
            self._contacts.recent_statuses(now - STATUS_MAX_AGE_SECONDS, now), now
        )
        return effects + self._advance_switchover(now) + self._remove_lost(now)

    def _request_resumption(self, now: float) -> None:
        """Mark all replicas as paused, so that they are resumed.

        An earlier control leader may have paused some of them.
        """
        record = self._record
        replicas = record.targets.keys() - {record.primary}
        if self._round is None:
            self._round = self._new_round(now, keeps_former=True)
        self._round.paused.positions.update({target: ZERO_POSITION for target in replicas})

    def _may_replace(self, failure: PrimaryFailure, now: float) -> bool:
        """Tell whether a failed primary may be replaced in spite of the cooldown."""
        if failure in (PrimaryFailure.REFUSED, PrimaryFailure.STEPPED_DOWN):
            return True
        return now - self._promoted_at >= COOLDOWN_SECONDS

    def _advance_switchover(self, now: float) -> list[Effect]:
        """Run the switchover away from a leaving or overloaded primary.

        The new term opens once no entry holds a lease, so that no transaction is interrupted, or
        before a leaving primary ends.
        """
        record = self._record
        primary = record.targets.get(record.primary)
        successors = self._successors(now)
        if primary is not None and primary.leaving and self._leaving_since is None:
            self._leaving_since = now
        if primary is None or not successors:
            self._switchover = None
            return []
        effects: list[Effect] = []
        if self._switchover is None:
            is_overloaded = not primary.leaving and self._overload_detector.is_due(successors, now)
            is_complete = self._ledger.is_group_complete(self._record.group, now)
            if not is_complete or not (primary.leaving or is_overloaded):
                return []
            self._switchover = Switchover(record.primary, None, now, self._replace_by(now))
            if is_overloaded:
                self._overload_detector.record_attempt(now)
                effects.append(OverloadSwitchover(record.group, record.primary))
        return effects + self._continue_switchover(primary, successors, now)

    def _replace_by(self, now: float) -> float:
        """Return the time by which the primary has to be replaced."""
        if self._leaving_since is None:
            return math.inf
        return max(self._leaving_since + LEAVING_LIMIT_SECONDS, now + PAUSE_LIMIT_SECONDS)

    def _continue_switchover(
        self, primary: TargetRecord, successors: list[TargetId], now: float
    ) -> list[Effect]:
        """Open a new term once no entry holds a lease and a successor has the whole log."""
        record = self._record
        leaseholders = self._ledger.leaseholders(record.group, now)
        self._unleased_since = None if leaseholders else (self._unleased_since or now)
        caught_up = self._unleased_since is not None and self._has_caught_up(successors)
        state = self._switchover.tick(self._unleased_since is not None, caught_up, now)
        if state is SwitchoverState.READY:
            self._keeps_former = False
            return self._propose_term(now)
        if state is SwitchoverState.RESUMED and not primary.leaving:
            self._switchover = None
        return []

    def _slot_count(self, target: TargetId) -> int:
        record = self._record.targets.get(target)
        return max(1, record.slots) if record is not None else 1

    def _has_caught_up(self, successors: list[TargetId]) -> bool:
        """Tell whether a successor has received all that the primary wrote under leases."""
        primary = self._position_without_leases(self._record.primary)
        if primary is None:
            return False
        positions = (self._position_without_leases(target) for target in successors)
        return any(position is not None and position >= primary for position in positions)

    def _position_without_leases(self, target: TargetId) -> LogPosition | None:
        """Return the position of a target at a poll after the last lease was released."""
        return self._contacts.position_since(target, self._unleased_since)

    def _successors(self, now: float) -> list[TargetId]:
        """Return the replicas that may become primary in a switchover."""
        return [
            target.target
            for target in self._record.targets.values()
            if target.target != self._record.primary
            and not target.leaving
            and now - self._contacts.contacted_at(target.target) < SUCCESSOR_MAX_SILENCE_SECONDS
        ]

    def _remove_lost(self, now: float) -> list[Effect]:
        """Remove a replica that has ended, once another one holds all it may have confirmed.

        The same holds for the log of a former incarnation of a target.
        """
        for target, incarnation in self._record.lost_logs.items():
            if self._contacts.is_former_log_held(target):
                return self._propose_removal(target, incarnation, now)
        for target in self._record.targets.values():
            if target.target == self._record.primary or not self._contacts.is_lost(
                target.target, now
            ):
                continue
            if not self._contacts.is_log_held_elsewhere(target.target):
                continue
            return self._propose_removal(target.target, target.incarnation, now)
        return []

    def _propose_removal(
        self, target: TargetId, incarnation: Incarnation, now: float
    ) -> list[Effect]:
        body = record_pb2.RemoveTarget(
            group=self._record.group, target=target, incarnation=incarnation
        )
        name = f"remove_target {target} {incarnation}"
        return self._propose(name, record_pb2.Command(remove_target=body), now)

    def _known_required_position(self) -> LogPosition | None:
        """Return a position at or above every acknowledged commit, or ``None``.

        Every commit is acknowledged by an entry. Commits acknowledged before the last poll of the
        primary are covered by the position in its reply; later ones are covered by the reports with
        which the entries released their leases. So the position is unknown until all of them have
        released theirs.
        """
        if self._covered_until == -math.inf:
            return None
        if self._unreported_entries():
            return None
        return self._required_position

    def _known_acknowledgements(self) -> Acknowledgements:
        record = self._record
        return Acknowledgements(
            self._known_required_position(),
            self._acknowledged_position,
            self._ledger.unreleased_until(record.group, record.term),
            self._ledger.inherited_until(record.group),
        )

    def _propose_term(self, now: float) -> list[Effect]:
        """Propose a term above all terms that the targets have reported."""
        record = self._record
        newest_term = self._contacts.newest_term()
        # The first term adopts a running primary, so it may equal the term of that primary.
        increment = 0 if not record.term_starts else 1
        term = max(record.term + 1, newest_term + increment)
        body = record_pb2.OpenTerm(group=record.group, term=term)
        return self._propose("open_term", record_pb2.Command(open_term=body), now)

    def _propose_primary(
        self, chosen: TargetId, position: LogPosition | None, now: float
    ) -> list[Effect]:
        record = self._record
        body = record_pb2.ChoosePrimary(group=record.group, term=record.term, primary=chosen)
        if position is not None:
            body.position.CopyFrom(position_message(position))
        return self._propose("choose_primary", record_pb2.Command(choose_primary=body), now)

    def _propose_proven(
        self,
        current_round: PromotionRound,
        chosen: TargetId,
        status_of: dict[TargetId, TargetStatus],
        now: float,
    ) -> list[Effect]:
        """Propose the chosen primary and report on what the choice rests."""
        position = current_round.position_of(chosen, status_of)
        proposal = self._propose_primary(chosen, position, now)
        if not proposal:
            return []
        record = self._record
        proven = PrimaryProven(
            record.group,
            record.term,
            chosen,
            current_round.proof,
            position,
            now - current_round.since,
            tuple(current_round.awaited_logs),
            tuple(current_round.awaited_entries),
        )
        return [proven, *proposal]

    def _propose_former_end(self, end: LogPosition, now: float) -> list[Effect]:
        """Propose the end of the former primary's log, so that a later leader knows it as well."""
        record = self._record
        body = record_pb2.RecordFormerEnd(
            group=record.group, started_term=record.started_term, end=position_message(end)
        )
        return self._propose("record_former_end", record_pb2.Command(record_former_end=body), now)

    def _propose(self, name: str, command: record_pb2.Command, now: float) -> list[Effect]:
        """Propose a command, unless it was proposed in this term a short time ago."""
        key = f"{name} {self._record.term}"
        if now - self._proposed_at.get(key, -math.inf) < PROPOSAL_RETRY_SECONDS:
            return []
        self._proposed_at = {
            k: at for k, at in self._proposed_at.items() if now - at < PROPOSAL_RECORD_SECONDS
        }
        self._proposed_at[key] = now
        return [Propose(command)]

    def _current_round(self, now: float) -> PromotionRound:
        record = self._record
        if self._round is None or self._round.term != record.term:
            self._round = self._new_round(now, keeps_former=self._keeps_former)
        return self._round

    def _new_round(self, now: float, *, keeps_former: bool) -> PromotionRound:
        return PromotionRound(
            self._record,
            self._record.term,
            now,
            keeps_former,
            is_registered_start=self._contacts.is_registered_start,
        )

    def _publish(self) -> list[Effect]:
        """Publish the routes if the term, the route state or the leaving targets have changed."""
        leaving = sum(target.leaving for target in self._record.targets.values())
        current = (self._record.term, self.route_state, self.pauses_transactions, leaving)
        if current == self._published:
            return []
        self._published = current
        return [PublishRoutes(self._record.group)]

    def _raise_required_position(self, position: LogPosition) -> None:
        self._required_position = max(self._required_position, position)
