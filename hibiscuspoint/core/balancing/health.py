"""Targets that fail or delay part of their work, whatever their health check says."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from statistics import median_low
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from hibiscuspoint.ids import AvailabilityZone, TargetId

__all__ = ["HealthChange", "TargetCondition", "TargetHealth"]

#: Failures in a row after which a target is avoided. An entry sees about one statement a second of
#: a target, so that a share over more statements would be known too late.
FAILURE_STREAK = 2

#: Failures in a row count together when they are at most this many seconds apart.
STREAK_SECONDS = 10.0

#: Share of failures above which a target is avoided, and the decayed number of failures that it
#: needs at least.
FAILURE_SHARE = 0.2
FAILURE_MINIMUM = 1.8

#: Time in seconds in which the counts of successes and failures fade to a third.
SHARE_FADE_SECONDS = 2.0

#: A target that fails no more than this multiple of the best one of its group is not avoided: the
#: statements fail and not the target.
PEER_FAILURE_FACTOR = 2.0

#: Multiple of the usual time of a target, and of the recent times of others, from which an answer
#: counts as slow, and the number of such answers in a row after which it is avoided. A target is
#: compared with those of its zone, which an overload of the zone reaches as well; one that is alone
#: in its zone is compared with all others and needs more slow answers.
SLOW_FACTOR = 3.0
SLOW_STREAK = 2
SLOW_STREAK_ALONE = 8

#: Difference in seconds to the usual time that an answer needs to count as slow.
SLOW_MINIMUM_SECONDS = 0.01

#: Connections in use at one holder for which a target has about one slot. With more, statements
#: queue at the target, which is no reason to avoid it.
CONNECTIONS_PER_SLOT = 2

#: Seconds after a refusal for lack of room in which slow answers are taken for a queue.
BUSY_SECONDS = 1.0

#: Weights of the latest time in the recent and in the usual average.
RECENT_WEIGHT = 0.3
USUAL_WEIGHT = 0.02

#: Seconds for which recent times of other targets are compared.
PEER_MEMORY_SECONDS = 10.0

#: Bounds of the seconds between two trials of an avoided target; the time doubles with each failed
#: trial, as thirty entries of a zone may try a target on their own. Good trials follow each other
#: sooner.
TRIAL_MIN_SECONDS = 1.0
TRIAL_MAX_SECONDS = 8.0
GOOD_TRIAL_SECONDS = 0.5

#: Successful trials in a row after which a target is used again. It doubles, up to the maximum,
#: when the target fails again soon, so that one that flaps stays avoided for longer.
RECOVERY_TRIALS = 3
RECOVERY_TRIALS_MAX = 12
RELAPSE_SECONDS = 15.0

#: Seconds for which one late answer keeps a target behind the others of its zone.
LATE_SECONDS = 2.0

#: Seconds for which one failure, or the report of a holder, keeps a target behind the others.
SUSPICION_SECONDS = 1.0

#: Longest time in seconds for which reports that repeat each other do so. Each entry asks a holder
#: again after it, and the question crosses the zones.
REPORT_MAX_SECONDS = 4.0


class TargetCondition(Enum):
    """How reads use a target."""

    GOOD = "good"
    #: It failed once or a holder reports that it fails; a later read asks again.
    SUSPECTED = "suspected"
    #: Only trial reads go there.
    AVOIDED = "avoided"


@dataclass(frozen=True, slots=True)
class HealthChange:
    """A target that is avoided from now on, or used again."""

    target: TargetId
    is_avoided: bool
    reason: str


class TargetHealth:
    """Judges targets by the statements that this instance sent or lent a connection to."""

    def __init__(self) -> None:
        self._records: dict[TargetId, _Record] = {}
        self._changes: list[HealthChange] = []

    def record_success(
        self, target: TargetId, seconds: float, now: float, *, concurrent: int = 1
    ) -> None:
        """Record an answer.

        :param seconds: time from the statement to its answer at a connection.
        :param concurrent: connections to the target in use, which may explain a longer time.
        """
        record = self._record(target)
        record.add_success(now)
        is_slow = record.add_time(seconds, concurrent, now)
        if record.avoided_since is None:
            return
        if is_slow:
            record.fail_trial(now)
        else:
            self._count_trial(target, record, now)

    def record_failure(self, target: TargetId, now: float, *, weight: float = 1.0) -> None:
        """Record a missing answer or an error that other targets would not give.

        :param weight: less than 1 for an error that healthy targets give now and then.
        """
        record = self._record(target)
        record.add_failure(weight, now)
        if record.avoided_since is not None and weight >= 1.0:
            record.fail_trial(now)

    def record_busy(self, target: TargetId, now: float) -> None:
        """Record that a target had no room; this explains slow answers and is no failure."""
        record = self._record(target)
        record.busy_at = now
        record.slow_streak = 0

    def is_busy(self, target: TargetId, now: float) -> bool:
        """Tell whether a target had no room a moment ago."""
        record = self._records.get(target)
        return record is not None and now - record.busy_at < BUSY_SECONDS

    def record_report(self, target: TargetId, now: float) -> None:
        """Record that a holder avoids a target."""
        record = self._record(target)
        record.add_report(now)
        if record.avoided_since is not None:
            record.fail_trial(now)

    def conditions(
        self, targets: Mapping[TargetId, AvailabilityZone], now: float
    ) -> dict[TargetId, TargetCondition]:
        """Return the targets that are not good; at most half of the targets of a group.

        :param targets: targets of the group with their zones.
        """
        for target in targets:
            self._judge(target, targets, now)
        known = [target for target in targets if target in self._records]
        avoided = [t for t in known if self._records[t].avoided_since is not None]
        suspected = [
            target
            for target in known
            if target not in avoided
            and (self._records[target].is_suspected(now) or self._is_late(target, targets, now))
        ]
        # The longest avoided ones first, so that the choice does not change with each read.
        avoided.sort(key=lambda target: self._records[target].avoided_since)
        found = dict.fromkeys(avoided, TargetCondition.AVOIDED)
        found.update(dict.fromkeys(suspected, TargetCondition.SUSPECTED))
        return dict(list(found.items())[: len(targets) // 2])

    def is_trial_due(self, target: TargetId, now: float) -> bool:
        """Tell whether a read may try an avoided target now."""
        record = self._records.get(target)
        is_avoided = record is not None and record.avoided_since is not None
        return is_avoided and now >= record.next_trial_at

    def take_trial(self, target: TargetId, now: float) -> bool:
        """Tell whether a read may try an avoided target now; the next one may do so later."""
        if not self.is_trial_due(target, now):
            return False
        record = self._records[target]
        record.next_trial_at = now + record.trial_seconds
        return True

    def take_changes(self) -> list[HealthChange]:
        """Return the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def keep_only(self, targets: Iterable[TargetId]) -> None:
        """Forget the targets that are not listed any more."""
        kept = set(targets)
        self._records = {t: record for t, record in self._records.items() if t in kept}

    def _record(self, target: TargetId) -> _Record:
        return self._records.setdefault(target, _Record())

    def _judge(
        self, target: TargetId, targets: Mapping[TargetId, AvailabilityZone], now: float
    ) -> None:
        record = self._records.get(target)
        if record is None or record.avoided_since is not None:
            return
        reason = ""
        if record.is_failing(now):
            others = (self._records.get(other) for other in targets if other != target)
            best = min((r.share(now) if r is not None else 0.0 for r in others), default=0.0)
            if record.share(now) > PEER_FAILURE_FACTOR * best:
                reason = f"{record.share(now):.0%} of its statements fail"
        elif record.is_slow(now) and self._is_slower_than_peers(target, targets, now):
            reason = f"answers take {record.recent_seconds / record.usual_seconds:.0f} times"
            reason += " as long as usual"
        if reason:
            record.avoid(now)
            self._changes.append(HealthChange(target, True, reason))

    def _is_late(
        self, target: TargetId, targets: Mapping[TargetId, AvailabilityZone], now: float
    ) -> bool:
        """Tell whether the last answer was much later than those of the others in its zone."""
        record = self._records[target]
        return (
            record.is_slow(now, streak=1, memory_seconds=LATE_SECONDS)
            and any(o != target and zone == targets[target] for o, zone in targets.items())
            and self._is_slower_than_peers(target, targets, now)
        )

    def _is_slower_than_peers(
        self, target: TargetId, targets: Mapping[TargetId, AvailabilityZone], now: float
    ) -> bool:
        record = self._records[target]
        recent = {
            other: self._records[other].recent_seconds
            for other in targets
            if other != target
            and other in self._records
            and self._records[other].has_recent_time(now)
        }
        near = [s for other, s in recent.items() if targets[other] == targets[target]]
        if not near and record.slow_streak < SLOW_STREAK_ALONE:
            return False
        peers = near or list(recent.values())
        return not peers or record.recent_seconds > SLOW_FACTOR * median_low(peers)

    def _count_trial(self, target: TargetId, record: _Record, now: float) -> None:
        record.succeed_trial(now)
        if record.good_trials < record.required_trials:
            return
        reason = f"{record.good_trials} trials in a row succeeded"
        record.use_again(now)
        self._changes.append(HealthChange(target, False, reason))


class _Record:
    """What is known about one target."""

    def __init__(self) -> None:
        self._successes = 0.0
        self._failures = 0.0
        self._counted_at = -math.inf
        self._streak = 0
        self._failed_at = -math.inf
        self._time_count = 0
        self._timed_at = -math.inf
        self._used_again_at = -math.inf
        self._trial_counts_at = -math.inf
        self.slow_streak = 0
        self.recent_seconds = 0.0
        self.usual_seconds = 0.0
        self.busy_at = -math.inf
        self._reported_at = -math.inf
        self._report_seconds = SUSPICION_SECONDS
        self.avoided_since: float | None = None
        self.next_trial_at = 0.0
        self.trial_seconds = TRIAL_MIN_SECONDS
        self.good_trials = 0
        self.required_trials = RECOVERY_TRIALS

    def share(self, now: float) -> float:
        """Return the share of recent statements that failed."""
        total = self._successes + self._failures
        if self._streak < FAILURE_STREAK and now - self._counted_at > 2 * SHARE_FADE_SECONDS:
            return 0.0
        return self._failures / total if total else 0.0

    def is_failing(self, now: float) -> bool:
        """Tell whether the failures suffice to avoid the target."""
        if self._streak >= FAILURE_STREAK and now - self._failed_at < STREAK_SECONDS:
            return True
        self._fade(now)
        return self._failures >= FAILURE_MINIMUM and self.share(now) > FAILURE_SHARE

    def is_slow(
        self,
        now: float,
        *,
        streak: int = SLOW_STREAK,
        memory_seconds: float = PEER_MEMORY_SECONDS,
    ) -> bool:
        """Tell whether the answers are slow without a queue.

        :param streak: slow answers in a row.
        :param memory_seconds: age of the last answer from which nothing is known.
        """
        is_queueing = now - self.busy_at < BUSY_SECONDS
        is_recent = now - self._timed_at < memory_seconds
        return self.slow_streak >= streak and not is_queueing and is_recent

    def has_recent_time(self, now: float) -> bool:
        """Tell whether the recent time may be compared."""
        return now - self._timed_at < PEER_MEMORY_SECONDS

    def is_suspected(self, now: float) -> bool:
        """Tell whether a failure or a report of a holder is recent."""
        has_failed = self._streak > 0 and now - self._failed_at < SUSPICION_SECONDS
        return has_failed or now - self._reported_at < self._report_seconds

    def add_report(self, now: float) -> None:
        """Take the report of a holder into account, for longer if it is the same as before."""
        age = now - self._reported_at
        if age >= self._report_seconds:
            is_again = age < 2 * self._report_seconds + SUSPICION_SECONDS
            longer = min(2 * self._report_seconds, REPORT_MAX_SECONDS)
            self._report_seconds = longer if is_again else SUSPICION_SECONDS
        self._reported_at = now

    def add_success(self, now: float) -> None:
        """Count an answer."""
        self._fade(now)
        self._successes += 1.0
        self._streak = 0

    def add_failure(self, weight: float, now: float) -> None:
        """Count a failure."""
        self._fade(now)
        self._failures += weight
        if weight < 1.0:
            return
        is_in_a_row = now - self._failed_at < STREAK_SECONDS
        self._streak = self._streak + 1 if is_in_a_row else 1
        self._failed_at = now

    def add_time(self, seconds: float, concurrent: int, now: float) -> bool:
        """Take the time of an answer into account; returns whether it was slow."""
        limit = max(SLOW_FACTOR * self.usual_seconds, self.usual_seconds + SLOW_MINIMUM_SECONDS)
        queue_factor = max(1.0, concurrent / CONNECTIONS_PER_SLOT)
        is_slow = self._time_count > 0 and seconds / queue_factor > limit
        self._time_count += 1
        self._timed_at = now
        first_weight = 1.0 / self._time_count
        self.recent_seconds += max(RECENT_WEIGHT, first_weight) * (seconds - self.recent_seconds)
        self.usual_seconds += max(USUAL_WEIGHT, first_weight) * (
            min(seconds, limit if is_slow else seconds) - self.usual_seconds
        )
        self.slow_streak = self.slow_streak + 1 if is_slow else 0
        return is_slow

    def avoid(self, now: float) -> None:
        """Avoid the target from now on."""
        if now - self._used_again_at < RELAPSE_SECONDS:
            self.required_trials = min(2 * self.required_trials, RECOVERY_TRIALS_MAX)
        else:
            self.required_trials = RECOVERY_TRIALS
        self.avoided_since = now
        self._trial_counts_at = now + GOOD_TRIAL_SECONDS
        self.good_trials = 0
        self.trial_seconds = TRIAL_MIN_SECONDS
        self.next_trial_at = now + TRIAL_MIN_SECONDS

    def fail_trial(self, now: float) -> None:
        """Wait longer until the next trial."""
        self.good_trials = 0
        self.trial_seconds = min(2 * self.trial_seconds, TRIAL_MAX_SECONDS)
        self.next_trial_at = now + self.trial_seconds

    def succeed_trial(self, now: float) -> None:
        """Count a good trial; the next one follows soon.

        Answers to statements that were sent before the target was avoided do not count.
        """
        if now < self._trial_counts_at:
            return
        self._trial_counts_at = now + GOOD_TRIAL_SECONDS / 2
        self.good_trials += 1
        self.trial_seconds = GOOD_TRIAL_SECONDS
        self.next_trial_at = min(self.next_trial_at, now + GOOD_TRIAL_SECONDS)

    def use_again(self, now: float) -> None:
        """End the avoidance."""
        self.avoided_since = None
        self._used_again_at = now
        self._successes = self._failures = 0.0
        self._streak = self.slow_streak = 0
        self.recent_seconds = self.usual_seconds
        self._reported_at = -math.inf

    def _fade(self, now: float) -> None:
        if self._counted_at < now:
            factor = math.exp((self._counted_at - now) / SHARE_FADE_SECONDS)
            self._successes *= factor
            self._failures *= factor
            self._counted_at = now
