"""Bounds within which the operations of one organisation at all instances must stay."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscuspoint.core.organisations import RateLimit

__all__ = ["SHARE_LEASE_SECONDS", "QuotaBounds", "QuotaMode"]

DEFAULT_WINDOW_SECONDS = 5.0
DEFAULT_EXCESS = 0.1
DEFAULT_SLACK = 20

#: Time after the last answered report at which the shares of an entry end. It exceeds the time
#: without a control leader: 3 s until a frozen one is replaced and 0.5 s to find the next one. A
#: new leader has to expect for as long that there are shares that it does not know.
SHARE_LEASE_SECONDS = 4.0

#: Part of the permitted excess that raises the rate; the rest raises the number of permits.
EXCESS_RATE_PART = 0.2

#: Part of the permits beyond the burst that only a new leader gives out, while it does not know
#: all shares of its predecessor.
SUCCESSOR_PART = 0.3


class QuotaMode(Enum):
    """How a limit is kept over all instances."""

    #: Entries hold permits of the leader, so that the bound holds for any schedule of messages. An
    #: entry asks the leader for most operations of small organisations, so few entries suit it.
    PERMITS = "permits"
    #: Entries admit the fraction that the leader computes from their reports.
    FEEDBACK = "feedback"


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """How far the operations may exceed a limit in a window.

    All permits of an organisation form one token bucket that the leader and the entries hold in
    parts: ``window_seconds * rate() + total_permits()`` is the bound on the operations in a window.

    :param excess: part by which rate and burst may be exceeded.
    :param slack: operations that are permitted in addition.
    :param mode: how the limits are kept.
    """

    window_seconds: float = DEFAULT_WINDOW_SECONDS
    excess: float = DEFAULT_EXCESS
    slack: int = DEFAULT_SLACK
    mode: QuotaMode = QuotaMode.FEEDBACK

    def rate(self, limit: RateLimit) -> float:
        """Return the permits per second that arise at the leader and all entries together."""
        return limit.rate_per_s * (1 + self.excess * EXCESS_RATE_PART)

    def total_permits(self, limit: RateLimit) -> float:
        """Return the permits that may exist at one time."""
        if not limit.rate_per_s:
            return 0.0
        return self._extra(limit) + limit.burst

    def regular_permits(self, limit: RateLimit) -> float:
        """Return the permits that may exist while the leader knows all shares."""
        return self.total_permits(limit) - self.successor_permits(limit)

    def successor_permits(self, limit: RateLimit) -> float:
        """Return the permits with which a new leader starts."""
        return SUCCESSOR_PART * self._extra(limit) if limit.rate_per_s else 0.0

    def _extra(self, limit: RateLimit) -> float:
        rate_part = self.window_seconds * limit.rate_per_s * (1 - EXCESS_RATE_PART)
        return self.excess * (rate_part + limit.burst) + self.slack
