"""Admission of operations at one entry, within the permits that the control leader gave it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from hibiscuspoint.core.quotas.bounds import SHARE_LEASE_SECONDS, QuotaBounds
from hibiscuspoint.core.quotas.bucket import RETRY_MAX_SECONDS, QuotaBucket
from hibiscuspoint.core.quotas.verdict import QuotaVerdict
from hibiscuspoint.ids import OrganisationId
from hibiscuspoint.util.units import NANOSECONDS_PER_SECOND

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from hibiscuspoint.core.organisations import Organisation, RateLimit
    from hibiscuspoint.wire import peer_pb2

__all__ = ["QuotaMeter"]

#: Thousandths in which rates are transmitted.
_MILLI = 1000

_ADMITTED = QuotaVerdict(is_admitted=True)


class QuotaMeter:
    """Permits of all organisations at this entry; they end without contact to the leader.

    :param ask: called when a report to the leader is due at once.
    """

    def __init__(
        self, bounds: QuotaBounds | None = None, ask: Callable[[], None] = lambda: None
    ) -> None:
        self._bounds = bounds or QuotaBounds()
        self._ask = ask
        self._buckets: dict[OrganisationId, QuotaBucket] = {}
        self._stream = 0
        # Whether the leader has answered a complete report of the present stream.
        self._is_stream_known = False
        # Send time of the newest report that the leader has answered.
        self._answered_at = -math.inf

    @property
    def share_count(self) -> int:
        """Return the number of shares in force."""
        return sum(1 for bucket in self._buckets.values() if bucket.burst)

    def admit(self, organisation: Organisation, now: float) -> QuotaVerdict:
        """Count one operation if there is a permit for it.

        :param now: monotonic time in seconds, on a clock that counts suspended time.
        """
        if self.try_admit(organisation, now):
            return _ADMITTED
        return self.refuse(organisation, now)

    def try_admit(self, organisation: Organisation, now: float) -> bool:
        """Use a permit if there is one, and ask the leader when they run low."""
        if organisation.limit is None:
            return True
        if not organisation.limit.rate_per_s:
            return False
        self._end_expired(now)
        bucket = self._bucket(organisation, now)
        is_admitted = bucket.take(now)
        if bucket.is_ask_due(now):
            self._ask()
        return is_admitted

    def admit_unanswered(self, organisation: Organisation, entries: int, now: float) -> bool:
        """Admit an operation within the even share, as the leader does not answer.

        The even shares of all entries together have the rate of the limit. An entry that has a
        share already uses only that one.

        :param entries: number of serving entries.
        """
        limit = organisation.limit
        if limit is None or not limit.rate_per_s:
            return limit is None
        bucket = self._bucket(organisation, now)
        if bucket.burst:
            return False
        return bucket.take_even(limit.rate_per_s / max(1, entries), now)

    def refuse(self, organisation: Organisation, now: float) -> QuotaVerdict:
        """Count a refused operation and return when to retry."""
        limit = organisation.limit
        if limit is None or not limit.rate_per_s:
            return QuotaVerdict(is_admitted=False, retry_after_seconds=RETRY_MAX_SECONDS)
        bucket = self._bucket(organisation, now)
        bucket.refused += 1
        return QuotaVerdict(is_admitted=False, retry_after_seconds=bucket.retry_after_seconds())

    def may_wait(self, organisation: Organisation) -> bool:
        """Tell whether the leader has not yet answered that it has no permit for this entry."""
        bucket = self._buckets.get(organisation.name)
        return bucket is not None and self._answered_at <= bucket.asked_at

    def update(self, limits: Mapping[OrganisationId, RateLimit | None], now: float) -> None:
        """Take over the limits of the configuration in force."""
        for name, bucket in list(self._buckets.items()):
            limit = limits.get(name)
            if limit is None:
                del self._buckets[name]
                self.begin_stream()
            elif limit != bucket.limit:
                self._set_limit(bucket, limit, now)

    def begin_stream(self) -> None:
        """Make the next report state all shares; shares that are on their way are ignored."""
        self._stream = 0

    def fill_report(self, report: peer_pb2.EntryReport, now: float) -> None:
        """Add the use of permits and the shares that the leader has to know."""
        self._end_expired(now)
        if not self._buckets:
            return
        if not self._stream:
            self._stream = int(now * NANOSECONDS_PER_SECOND) or 1
            self._is_stream_known = False
        is_complete = not self._is_stream_known
        report.quota_stream = self._stream
        report.quota_complete = is_complete
        for name, bucket in self._buckets.items():
            recent = bucket.count_recent(now - self._bounds.window_seconds)
            if not (bucket.is_reportable or (is_complete and (bucket.burst or recent))):
                continue
            report.quota_uses.add(
                organisation=name,
                admitted=recent if is_complete else bucket.admitted,
                refused=bucket.refused,
                rate_milli=math.ceil(round(bucket.rate * _MILLI, 6)),
                burst=bucket.burst,
                sequence=bucket.sequence,
                wanting=bucket.is_wanting,
                wanted=bucket.wanted,
                returned=bucket.returned,
            )
            bucket.clear_counts()

    def apply(self, update: peer_pb2.ControlUpdate, now: float) -> None:
        """Take over the shares in an update, which also renews all others."""
        self._end_expired(now)
        answered_at = update.echo_sent_at_ns / NANOSECONDS_PER_SECOND
        self._answered_at = max(self._answered_at, answered_at)
        if update.quota_stream != self._stream or not self._stream:
            if update.echo_sent_at_ns >= self._stream:
                # The leader has forgotten this entry, which was silent for long.
                self._is_stream_known = False
            return
        self._is_stream_known = True
        if self._is_expired(now):
            return
        is_reduced = False
        for share in update.quota_shares:
            bucket = self._buckets.get(OrganisationId(share.organisation))
            if bucket is None or share.sequence <= bucket.sequence:
                continue
            is_reduced |= share.burst < bucket.burst or share.rate_milli < bucket.rate * _MILLI
            rate = share.rate_milli / _MILLI
            bucket.set_share(rate, share.burst, share.permits, share.sequence, now)
        if is_reduced:
            # Others can have what this entry gave up once the leader knows.
            self._ask()

    def _is_expired(self, now: float) -> bool:
        return now >= self._answered_at + SHARE_LEASE_SECONDS

    def _end_expired(self, now: float) -> None:
        if not self._is_expired(now):
            return
        held = [bucket for bucket in self._buckets.values() if bucket.burst]
        for bucket in held:
            bucket.end_share()
        if held:
            self.begin_stream()

    def _bucket(self, organisation: Organisation, now: float) -> QuotaBucket:
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            bucket = QuotaBucket(organisation.limit, refilled_at=now)
            self._buckets[organisation.name] = bucket
        elif bucket.limit != organisation.limit:
            self._set_limit(bucket, organisation.limit, now)
        return bucket

    def _set_limit(self, bucket: QuotaBucket, limit: RateLimit, now: float) -> None:
        """Take over a changed limit; a lower one reduces the share in proportion at once."""
        before = bucket.limit
        bucket.limit = limit
        bucket.expect_permits()
        rate_factor = _ratio(self._bounds.rate(limit), self._bounds.rate(before))
        burst_factor = _ratio(self._bounds.total_permits(limit), self._bounds.total_permits(before))
        if min(rate_factor, burst_factor) < 1:
            bucket.reduce(rate_factor, burst_factor, now)
            # The leader has to know what is left before it changes the share.
            self.begin_stream()


def _ratio(value: float, before: float) -> float:
    return min(1.0, value / before) if before else 0.0
