"""Tests of the adaptive limit on statements in flight."""

from __future__ import annotations

from hibiscuspoint.core.entry.concurrency import ConcurrencyLimit

SLOTS = 2
MAX_LIMIT = 16


def _simulate(limit: ConcurrencyLimit, service_seconds: float, network_seconds: float) -> int:
    """Simulate a target with ``SLOTS`` slots under full load; return the highest limit.

    :param service_seconds: time that the target takes for one statement.
    :param network_seconds: network round trip time.
    """
    now = 0.0
    highest = limit.value
    for _ in range(2000):
        in_flight = limit.value
        latency = max(service_seconds + network_seconds, in_flight * service_seconds / SLOTS)
        now += latency / in_flight
        limit.record_latency(latency, in_flight, MAX_LIMIT, now)
        highest = max(highest, limit.value)
    return highest


def test_limit_grows_to_cover_the_network_time():
    """Guards against slots that stay idle during the network round trip."""
    limit = _simulate(ConcurrencyLimit(SLOTS), service_seconds=0.004, network_seconds=0.004)
    assert 4 <= limit <= 7


def test_limit_stays_near_the_slots_without_network_time():
    """Guards against a long queue at the target, which does not take deadlines into account."""
    limit = _simulate(ConcurrencyLimit(SLOTS), service_seconds=0.01, network_seconds=0.0)
    assert SLOTS <= limit <= 2 * SLOTS + 1


def test_limit_never_exceeds_the_maximum():
    """Guards against requests that occupy an execution slot while they wait for a connection.

    The maximum is the number of connections that the holder may open.
    """
    assert (
        _simulate(ConcurrencyLimit(SLOTS), service_seconds=0.0001, network_seconds=0.1) == MAX_LIMIT
    )


def test_unused_limit_does_not_grow():
    """Guards against a limit that grows without load, and admits a later burst at once."""
    limit = ConcurrencyLimit(8)
    for step in range(100):
        limit.record_latency(0.01, 1, MAX_LIMIT, float(step))
    assert limit.value == 8
