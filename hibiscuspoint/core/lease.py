"""Expiry of leases, measured by each side on its own clock (design D7)."""

from __future__ import annotations

__all__ = ["lease_end_at_grantor", "lease_end_at_holder"]

#: Greatest relative difference between the rates of two monotonic clocks. The holder shortens a
#: lease by it and the grantor extends it, so that the holder stops first.
_CLOCK_RATE_TOLERANCE = 0.02


def lease_end_at_holder(requested_at: float, seconds: float) -> float:
    """Return the time from which the holder of a lease must not use it any more.

    :param requested_at: monotonic time of the holder in seconds at which it requested the lease.
    :param seconds: duration of the lease.
    """
    return requested_at + seconds * (1 - _CLOCK_RATE_TOLERANCE)


def lease_end_at_grantor(granted_at: float, seconds: float) -> float:
    """Return the time from which the grantor may treat a lease as expired.

    :param granted_at: monotonic time of the grantor in seconds at which it granted the lease.
    :param seconds: duration of the lease.
    """
    return granted_at + seconds * (1 + _CLOCK_RATE_TOLERANCE)
