"""Expiry of leases, measured by each side on its own clock (design D7)."""

from __future__ import annotations

import math

from hibiscuspoint.util.units import NANOSECONDS_PER_SECOND

__all__ = [
    "ALL_GRANTS_NS",
    "NO_LATER_GRANT_NS",
    "lease_end_at_grantor",
    "lease_end_at_holder",
    "release_time_ns",
]

#: Time of a release that covers every lease granted so far; entries of earlier versions state none.
ALL_GRANTS_NS = 0

#: Time of a release that covers every lease of its term, also one that is still to be granted.
NO_LATER_GRANT_NS = 2**63 - 1

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


def release_time_ns(released_at: float) -> int:
    """Return the time of a release for a report, in nanoseconds.

    :param released_at: monotonic time of the holder in seconds; infinity if it covers all leases.
    """
    if released_at == math.inf:
        return NO_LATER_GRANT_NS
    return int(released_at * NANOSECONDS_PER_SECOND)
