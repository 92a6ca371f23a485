"""The balance of reads of one instance: its log lines, metrics and messages."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from hibiscuspoint.core.balancing import (
    HolderReport,
    RankingMode,
    ReadBalancer,
    ReadChoice,
    ReadRequest,
    RoundTripSource,
)
from hibiscuspoint.core.sessions import Failure
from hibiscuspoint.drivers.errors import AnswerUnclear, ConnectError, ConnectFailure, ConnectionLost
from hibiscuspoint.telemetry import catalogue, log_event
from hibiscuspoint.wire import peer_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from random import Random

    from hibiscuspoint.components.sessions.attempts import Candidate
    from hibiscuspoint.ids import AvailabilityZone, GroupId, TargetId
    from hibiscuspoint.telemetry.metrics import Metrics

__all__ = ["HolderLost", "ReadBalancing", "holder_report"]

logger = logging.getLogger(__name__)

#: Change of the fraction of reads that leave the zone from which it is logged again.
FRACTION_LOG_STEP = 0.1

#: Shortest time in seconds between two log lines about one target or group.
LOG_SECONDS = 1.0

_CONNECT_FAILURES = {
    ConnectFailure.LIMITED: Failure.OVERLOADED,
    ConnectFailure.WRONG_TARGET: Failure.WRONG_TARGET,
    ConnectFailure.LEAVING: Failure.READ_ONLY,
}


class HolderLost(ConnectionLost):
    """A holder did not answer, which says nothing about the target."""


def holder_report(load: peer_pb2.TargetLoad) -> HolderReport:
    """Return what a holder told about a target."""
    return HolderReport(load.in_use, load.waiting, load.limit, load.avoided, load.trial)


class ReadBalancing:
    """Ranks the targets of the reads of this instance and reports what it decides.

    :param zone: availability zone of this instance.
    :param mode: when the balanced ranking is used.
    """

    def __init__(
        self,
        zone: AvailabilityZone,
        mode: RankingMode = RankingMode.MEASURED,
        metrics: Metrics | None = None,
        chance: Random | None = None,
    ) -> None:
        self._zone = zone
        self._balancer = ReadBalancer(zone, mode, chance)
        self._metrics = metrics
        self._targets: dict[GroupId, dict[TargetId, AvailabilityZone]] = {}
        self._avoided: set[TargetId] = set()
        self._logged_at: dict[str, float] = {}
        self._logged_fractions: dict[GroupId, float] = {}

    @property
    def is_balanced(self) -> bool:
        """Tell whether the balanced ranking is in use."""
        return self._balancer.is_balanced

    def rank(self, request: ReadRequest) -> list[ReadChoice]:
        """Return the targets that may serve a read, best first."""
        self._targets[request.group] = {m.target: m.zone for m in request.members}
        choices = self._balancer.rank(request)
        self._report_changes(request.group, request.now)
        return choices

    def count(self, candidate: Candidate) -> None:
        """Count a read that is sent to a target."""
        if self._metrics is not None:
            relation = "own" if candidate.member.zone == self._zone else "other"
            self._metrics.read_zones.labels(relation, candidate.reason.value).inc()

    def must_skip(
        self, group: GroupId, candidate: Candidate, report: HolderReport, now: float
    ) -> bool:
        """Take the report of a holder; tell whether a read should go to the next target."""
        targets = self._targets.get(group, {})
        is_refused = self._balancer.must_skip(candidate.target, targets, report, now)
        return is_refused and candidate.may_skip

    def record_answer(
        self,
        target: TargetId,
        failure: Failure | None,
        times: tuple[float, float],
        report: HolderReport,
        now: float,
    ) -> None:
        """Record the answer to a read.

        :param times: seconds from the demand for a connection and from the statement to the answer.
        """
        self._balancer.record_read(target, failure, *times, now, report)

    def record_error(self, target: TargetId, error: Exception, seconds: float, now: float) -> None:
        """Record that a read got no connection or no answer.

        :param seconds: time since the demand for a connection.
        """
        if isinstance(error, ConnectError):
            failure = _CONNECT_FAILURES.get(error.failure, Failure.TIMEOUT)
        elif _is_of_target(error):
            failure = Failure.TIMEOUT
        else:
            return
        self._balancer.record_read(target, failure, seconds, seconds, now)

    def begin_lent(self, target: TargetId, now: float) -> None:
        """Record that another instance sends a read over a connection of this one."""
        self._balancer.begin_lent(target, now)

    def record_lent(
        self,
        target: TargetId,
        outcome: Failure | Exception | None,
        seconds: float,
        now: float,
        *,
        concurrent: int = 1,
    ) -> None:
        """Record the answer to a read of another instance, or the error instead of one.

        :param concurrent: connections of this instance to the target in use.
        """
        if isinstance(outcome, Exception):
            if not _is_of_target(outcome):
                return
            outcome = Failure.TIMEOUT
        self._balancer.record_lent(target, outcome, seconds, now, concurrent=concurrent)

    def make_load(
        self,
        target: TargetId,
        targets: Mapping[TargetId, AvailabilityZone],
        use: tuple[int, int, int],
        now: float,
    ) -> peer_pb2.TargetLoad:
        """Return what this instance tells an entry to which it lends a connection.

        :param targets: targets of the group with their zones.
        :param use: connections in use, waiting statements and limit.
        """
        report = self._balancer.make_report(target, targets, use, now)
        self._log_health(now)
        return peer_pb2.TargetLoad(
            in_use=report.in_use,
            waiting=report.waiting,
            limit=report.limit,
            avoided=report.is_avoided,
            trial=report.is_trial,
        )

    def record_round_trip(
        self, zone: AvailabilityZone, source: RoundTripSource, seconds: float, now: float
    ) -> None:
        """Record the time of one exchange with an instance or a target in a zone."""
        self._balancer.round_trips.record(zone, source, seconds, now)

    def keep_only(self, targets: Iterable[TargetId]) -> None:
        """Forget the targets that are not listed any more."""
        kept = set(targets)
        self._balancer.keep_only(list(kept))
        self._avoided &= kept
        subjects = kept | self._targets.keys()
        self._logged_at = {s: at for s, at in self._logged_at.items() if s in subjects}
        self._set_gauge()

    def _report_changes(self, group: GroupId, now: float) -> None:
        self._log_health(now)
        fraction = self._balancer.fraction(group)
        known = self._logged_fractions.get(group, 0.0)
        if abs(fraction - known) > FRACTION_LOG_STEP and self._may_log(group, now):
            self._logged_fractions[group] = fraction
            log_event(
                logger,
                catalogue.ZONE_FRACTION_CHANGED,
                group=group,
                subject=self._zone,
                fraction=round(fraction, 2),
            )

    def _log_health(self, now: float) -> None:
        for change in self._balancer.take_changes():
            (self._avoided.add if change.is_avoided else self._avoided.discard)(change.target)
            self._set_gauge()
            if self._may_log(change.target, now):
                event = catalogue.TARGET_AVOIDED if change.is_avoided else catalogue.TARGET_USED
                log_event(logger, event, target=change.target, reason=change.reason)

    def _may_log(self, subject: str, now: float) -> bool:
        if now - self._logged_at.get(subject, float("-inf")) < LOG_SECONDS:
            return False
        self._logged_at[subject] = now
        return True

    def _set_gauge(self) -> None:
        if self._metrics is not None:
            self._metrics.targets_avoided.set(len(self._avoided))


def _is_of_target(error: Exception) -> bool:
    """Tell whether a lost connection may be the fault of the target."""
    if isinstance(error, HolderLost | AnswerUnclear) or not isinstance(error, ConnectionLost):
        return False
    return error.sent or error.is_silent
