"""Ends of leases as the two sides measure them on their own clocks (design D7)."""

from __future__ import annotations

__all__ = ["lease_end_at_grantor", "lease_end_at_holder"]

#: Greatest relative difference of the rates of two monotonic clocks.
_CLOCK_RATE_MARGIN = 0.02


def lease_end_at_holder(requested_at: float, seconds: float) -> float:
    """Return when the holder of a lease stops using it.

    :param requested_at: the holder's monotonic time in seconds at which it requested the lease.
    :param seconds: duration of the lease.
    """
    return requested_at + seconds * (1 - _CLOCK_RATE_MARGIN)


def lease_end_at_grantor(granted_at: float, seconds: float) -> float:
    """Return the time from which the grantor may count a lease as ended.

    :param granted_at: the grantor's monotonic time in seconds at which it granted the lease.
    :param seconds: duration of the lease.
    """
    return granted_at + seconds * (1 + _CLOCK_RATE_MARGIN)
