"""The order of the targets of each read at one entry, and what it learns from the answers."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from hibiscuspoint.core.balancing.health import HealthChange, TargetCondition
from hibiscuspoint.core.balancing.rankings import (
    Observations,
    ReadChoice,
    ReadRequest,
    target_rankings,
)
from hibiscuspoint.core.balancing.times import HolderReport
from hibiscuspoint.core.sessions.statements import Failure

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from random import Random

    from hibiscuspoint.core.balancing.round_trips import RoundTrips
    from hibiscuspoint.ids import AvailabilityZone, GroupId, TargetId

    #: Targets with their zones.
    Zones = Mapping[TargetId, AvailabilityZone]

__all__ = ["RankingMode", "ReadBalancer"]

#: Weight of a refusal of a replica that has not applied the required position. Healthy replicas
#: refuse reads that follow a write closely, so that only a lasting lag counts.
LAGGING_WEIGHT = 0.5

_NO_REPORT = HolderReport()

_FAILED = frozenset({Failure.FAILED, Failure.TIMEOUT, Failure.WRONG_TARGET})
_BUSY = frozenset({Failure.OVERLOADED, Failure.TOO_MANY_CONNECTIONS})


class RankingMode(Enum):
    """When the balanced ranking is used."""

    #: Where the measured round trip to another zone is long.
    MEASURED = "measured"
    ALWAYS = "always"


class ReadBalancer:
    """Decides for one entry, which hears only the reports of holders about other entries.

    :param zone: availability zone of this entry.
    """

    def __init__(
        self,
        zone: AvailabilityZone,
        mode: RankingMode = RankingMode.MEASURED,
        chance: Random | None = None,
    ) -> None:
        self._mode = mode
        self._seen = Observations(zone, chance)
        self._rankings = {
            name: target_rankings.get(name)(self._seen) for name in target_rankings.names
        }

    @property
    def is_balanced(self) -> bool:
        """Tell whether the balanced ranking is in use."""
        return self._mode is RankingMode.ALWAYS or self._seen.round_trips.is_far()

    @property
    def round_trips(self) -> RoundTrips:
        """Return the round trips to the zones."""
        return self._seen.round_trips

    def rank(self, request: ReadRequest) -> list[ReadChoice]:
        """Return the targets that may serve a read, best first."""
        if not request.members:
            return []
        name = "balanced" if self.is_balanced else "fixed"
        return self._rankings[name].rank(request)

    def fraction(self, group: GroupId) -> float:
        """Return the fraction of the reads of a group that leaves the zone."""
        balance = self._seen.balances.get(group)
        return balance.fraction if balance is not None else 0.0

    def record_read(
        self,
        target: TargetId,
        failure: Failure | None,
        total_seconds: float,
        run_seconds: float,
        now: float,
        report: HolderReport = _NO_REPORT,
    ) -> None:
        """Record the answer to a read of this entry.

        :param total_seconds: time from the demand for a connection to the answer.
        :param run_seconds: time from the statement to the answer.
        """
        if failure is None:
            self._seen.times.record(target, total_seconds, now)
        elif failure in _BUSY:
            self._seen.times.record_refusal(target, total_seconds, now)
        self.record_lent(target, failure, run_seconds, now, concurrent=report.in_use)

    def record_lent(
        self,
        target: TargetId,
        failure: Failure | None,
        run_seconds: float,
        now: float,
        *,
        concurrent: int = 1,
    ) -> None:
        """Record the answer to a read that another entry sent over a connection of this one."""
        health = self._seen.health
        if failure is Failure.TIMEOUT and health.is_busy(target, now):
            # The queue of a full target outlasts the time of an attempt.
            failure = Failure.OVERLOADED
        if failure is None:
            health.record_success(target, run_seconds, now, concurrent=concurrent)
        elif failure in _BUSY:
            health.record_busy(target, now)
        elif failure is Failure.LAGGING:
            health.record_failure(target, now, weight=LAGGING_WEIGHT)
        elif failure in _FAILED:
            health.record_failure(target, now)

    def begin_lent(self, target: TargetId, now: float) -> None:
        """Record that another entry sends a read; at an avoided target this is the trial."""
        self._seen.health.take_trial(target, now)

    def must_skip(self, target: TargetId, targets: Zones, report: HolderReport, now: float) -> bool:
        """Take the report of a holder; tell whether the read should go to another target.

        :param targets: targets of the group that may serve the read.
        """
        self._seen.times.record_report(target, report, now)
        if not report.is_avoided or report.is_trial or not self.is_balanced:
            return False
        self._seen.health.record_report(target, now)
        return target in self._seen.health.conditions(targets, now)

    def make_report(
        self, target: TargetId, targets: Zones, use: tuple[int, int, int], now: float
    ) -> HolderReport:
        """Return what this instance tells an entry to which it lends a connection.

        :param targets: targets of the group.
        :param use: connections in use, waiting statements and limit.
        """
        is_avoided = is_trial = False
        if self.is_balanced:
            condition = self._seen.health.conditions(targets, now).get(target)
            is_avoided = condition is TargetCondition.AVOIDED
            is_trial = is_avoided and self._seen.health.is_trial_due(target, now)
        return HolderReport(*use, is_avoided, is_trial)

    def take_changes(self) -> list[HealthChange]:
        """Return which targets are avoided from now on, or used again."""
        return self._seen.health.take_changes()

    def keep_only(self, targets: Sequence[TargetId]) -> None:
        """Forget the targets that are not listed any more."""
        self._seen.health.keep_only(targets)
        self._seen.times.keep_only(targets)
