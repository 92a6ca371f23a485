"""Permits of one organisation at one entry."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscuspoint.core.organisations import RateLimit

__all__ = ["QuotaBucket"]

#: Shortest time in seconds between two requests for permits outside the usual reports. It doubles
#: with each request in vain, as an organisation above its limit lacks permits at all entries.
ASK_INTERVAL_SECONDS = 0.02
ASK_INTERVAL_MAX_SECONDS = 2.0

#: Longest time in seconds after which a caller is told to retry.
RETRY_MAX_SECONDS = 1.0


@dataclass
class QuotaBucket:
    """Token bucket of an organisation, refilled at the rate of the share.

    :param rate: permits per second that arise here.
    :param burst: permits that may be collected here.
    :param sequence: sequence of the message that set the share.
    :param asked_at: when the leader was last asked for permits.
    """

    limit: RateLimit
    rate: float = 0.0
    burst: int = 0
    sequence: int = 0
    permits: float = 0.0
    refilled_at: float = -math.inf
    asked_at: float = -math.inf
    ask_interval: float = ASK_INTERVAL_SECONDS
    admitted: int = 0
    refused: int = 0
    wanted: int = 0
    returned: int = 0
    is_wanting: bool = False
    is_changed: bool = False
    even_permits: float = 1.0
    even_refilled_at: float = -math.inf
    recent: deque[float] = field(default_factory=deque)

    @property
    def is_reportable(self) -> bool:
        """Tell whether the next report must mention the organisation."""
        return bool(
            self.admitted or self.refused or self.is_wanting or self.is_changed or self.wanted
        )

    def take(self, now: float) -> bool:
        """Use one permit if there is one."""
        self.refill(now)
        if self.permits < 1:
            self.wanted += 1
            return False
        self.permits -= 1
        self.admitted += 1
        self.recent.append(now)
        return True

    def take_even(self, rate: float, now: float) -> bool:
        """Use one permit of the even share, which an entry has without an answer of the leader.

        :param rate: permits per second that arise in the even share; one is kept at most.
        """
        elapsed = max(0.0, now - self.even_refilled_at)
        self.even_permits = min(1.0, self.even_permits + rate * elapsed)
        self.even_refilled_at = now
        if self.even_permits < 1:
            return False
        self.even_permits -= 1
        self.admitted += 1
        self.recent.append(now)
        return True

    def refill(self, now: float) -> None:
        """Add the permits that arose since the last call."""
        if self.rate:
            elapsed = max(0.0, now - self.refilled_at)
            self.permits = min(self.burst, self.permits + self.rate * elapsed)
        self.refilled_at = now

    def set_share(self, rate: float, burst: int, permits: int, sequence: int, now: float) -> None:
        """Replace the share and add permits; those that exceed the burst are given back."""
        self.refill(now)
        if permits:
            self.expect_permits()
        collected = self.permits + permits
        self.permits = min(collected, burst)
        self.returned += math.floor(collected - self.permits)
        self.rate, self.burst, self.sequence = rate, burst, sequence
        self.is_changed = True

    def reduce(self, rate_factor: float, burst_factor: float, now: float) -> None:
        """Reduce the share in proportion to a lower limit."""
        self.refill(now)
        self.rate *= rate_factor
        self.burst = math.floor(self.burst * burst_factor)
        self.permits = min(self.permits, self.burst)

    def clear_counts(self) -> None:
        """Start to count for the next report."""
        self.admitted = self.refused = self.wanted = self.returned = 0
        self.is_changed = self.is_wanting = False

    def expect_permits(self) -> None:
        """Ask at once when a permit is missing, as there are some now."""
        self.ask_interval = ASK_INTERVAL_SECONDS
        self.asked_at = -math.inf

    def end_share(self) -> None:
        """Drop the share and all permits."""
        self.rate = self.permits = 0.0
        self.burst = 0

    def is_ask_due(self, now: float) -> bool:
        """Tell whether to ask for permits now; the next report does while some are left."""
        if 2 * self.permits >= self.burst > 0 and self.permits >= 1:
            return False
        self.is_wanting = True
        if not self.wanted or now - self.asked_at < self.ask_interval:
            return False
        self.asked_at = now
        self.ask_interval = min(2 * self.ask_interval, ASK_INTERVAL_MAX_SECONDS)
        return True

    def retry_after_seconds(self) -> float:
        """Return the time after which a permit may be there."""
        if not self.rate:
            return RETRY_MAX_SECONDS
        return min(RETRY_MAX_SECONDS, (1 - self.permits) / self.rate)

    def count_recent(self, since: float) -> int:
        """Return the operations admitted after a time and forget older ones."""
        while self.recent and self.recent[0] <= since:
            self.recent.popleft()
        return len(self.recent)
