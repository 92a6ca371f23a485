"""Expected times of reads at the targets, as one entry sees them."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hibiscuspoint.ids import TargetId

__all__ = ["HolderReport", "ResponseTimes"]

#: Weights of the latest time in the recent average, and in the usual time if longer or shorter.
#: The usual time is that without a queue; it must not grow with an overload of some minutes.
RECENT_WEIGHT = 0.3
USUAL_LONGER_WEIGHT = 0.005
USUAL_SHORTER_WEIGHT = 0.1

#: Time in seconds in which recent times and reports fade to a third. An entry uses a target about
#: once a second; a queue of a second ago says little.
FADE_SECONDS = 1.5
REPORT_FADE_SECONDS = 1.0

#: Expected time in seconds of a target of a group that has not answered any read yet.
INITIAL_SECONDS = 0.02

#: Time in seconds that a refusal for lack of room adds to the one that was measured. The refusal is
#: fast, but the read has to be sent again.
REFUSAL_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class HolderReport:
    """Use of a target by the connections of one holder.

    :param limit: connections that the holder may have to the target; 0: nothing is known.
    :param is_avoided: whether the holder avoids the target, as it fails.
    :param is_trial: whether the statement that borrows the connection is a trial.
    """

    in_use: int = 0
    waiting: int = 0
    limit: int = 0
    is_avoided: bool = False
    is_trial: bool = False


class ResponseTimes:
    """Times from the demand for a connection to the answer, round trip and queues included."""

    def __init__(self) -> None:
        self._records: dict[TargetId, _Times] = {}

    def record(self, target: TargetId, seconds: float, now: float) -> None:
        """Record an answered read."""
        self._records.setdefault(target, _Times()).add(seconds, now)

    def record_refusal(self, target: TargetId, seconds: float, now: float) -> None:
        """Record that there was no room for a read."""
        self._records.setdefault(target, _Times()).add_refusal(seconds + REFUSAL_SECONDS, now)

    def record_report(self, target: TargetId, report: HolderReport, now: float) -> None:
        """Record what a holder told about its queue."""
        record = self._records.setdefault(target, _Times())
        record.waiting_share = report.waiting / max(1, report.in_use)
        record.reported_at = now

    def has_sample(self, target: TargetId) -> bool:
        """Tell whether a read was answered or refused by a target."""
        record = self._records.get(target)
        return record is not None and record.count > 0

    def usual(self, targets: Iterable[TargetId]) -> float:
        """Return the lowest usual time of a group, for targets without a sample."""
        known = (self._records.get(target) for target in targets)
        return min((r.usual_seconds for r in known if r is not None and r.count), default=-1.0)

    def expected(self, target: TargetId, usual_seconds: float, now: float) -> float:
        """Return the expected time of a read.

        :param usual_seconds: time of a target without a sample; negative: not known either.
        """
        record = self._records.get(target)
        base = self.unloaded(target, usual_seconds)
        if record is None:
            return base
        # The recent time holds the wait of the past; the report tells of the present one.
        waited = base * (1.0 + record.queue(now))
        return max(record.recent(now), waited) if record.count else waited

    def unloaded(self, target: TargetId, usual_seconds: float) -> float:
        """Return the time of a read without a queue.

        :param usual_seconds: time of a target without a sample; negative: not known either.
        """
        record = self._records.get(target)
        if record is not None and record.count:
            return record.usual_seconds
        return usual_seconds if usual_seconds >= 0 else INITIAL_SECONDS

    def keep_only(self, targets: Iterable[TargetId]) -> None:
        """Forget the targets that are not listed any more."""
        kept = set(targets)
        self._records = {t: record for t, record in self._records.items() if t in kept}


class _Times:
    """Times of one target."""

    def __init__(self) -> None:
        self.count = 0
        self.usual_seconds = 0.0
        self.waiting_share = 0.0
        self.reported_at = -math.inf
        self._recent_seconds = 0.0
        self._recorded_at = -math.inf

    def recent(self, now: float) -> float:
        """Return the average of the last seconds, which fades to the usual time."""
        weight = math.exp((self._recorded_at - now) / FADE_SECONDS)
        return self.usual_seconds + weight * (self._recent_seconds - self.usual_seconds)

    def queue(self, now: float) -> float:
        """Return the statements that wait for each connection in use, from the last report."""
        return self.waiting_share * math.exp((self.reported_at - now) / REPORT_FADE_SECONDS)

    def add(self, seconds: float, now: float) -> None:
        """Take a time into account."""
        self.count += 1
        self._add_recent(seconds, now)
        if self.count == 1:
            self.usual_seconds = seconds
        is_longer = seconds > self.usual_seconds
        weight = USUAL_LONGER_WEIGHT if is_longer else USUAL_SHORTER_WEIGHT
        self.usual_seconds += weight * (seconds - self.usual_seconds)

    def add_refusal(self, seconds: float, now: float) -> None:
        """Take the time that a refusal costs into account; it is no usual time."""
        if not self.count:
            self.count, self.usual_seconds = 1, INITIAL_SECONDS
        self._add_recent(seconds, now)

    def _add_recent(self, seconds: float, now: float) -> None:
        recent = self.recent(now) if self._recorded_at > -math.inf else seconds
        self._recent_seconds = recent + RECENT_WEIGHT * (seconds - recent)
        self._recorded_at = now
