"""Tests of the group queue."""

from __future__ import annotations

import heapq
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscuspoint.core.entry import AdmissionQueue
from hibiscuspoint.errors import OverloadError
from tests.builders_entry import request

_SERVICE = 0.010
_SLOTS = 3


@given(st.lists(st.sampled_from("ab"), max_size=20), st.integers(1, 60))
def test_flood_delays_another_caller_by_one_turn_only(background, flood):
    """A caller that floods must not lock others out, even when it filled the queue first."""
    queue = AdmissionQueue(max_length=40, concurrency_limit=1)
    for caller in background + ["flood"] * flood:
        try:
            queue.enqueue(request(caller), 0.0)
        except OverloadError:
            assert len(queue) == 40
        assert len(queue) <= 40
    queue.enqueue(request("other"), 0.0)
    assert len(queue) <= 40
    served = []
    while (started := queue.start_next(0.0)) is not None:
        queue.release_slot(_SERVICE)
        served.append(started.caller)
    assert max(Counter(served[: served.index("other")]).values(), default=0) <= 1


def test_request_that_cannot_finish_is_rejected_at_once():
    """An early rejection lets the caller use its time elsewhere."""
    queue = AdmissionQueue(max_length=100, concurrency_limit=1)
    _measure(queue, 0.1)
    for _ in range(4):
        queue.enqueue(request("a", 0.45), 0.0)
    with pytest.raises(OverloadError):
        queue.enqueue(request("a", 0.45), 0.0)
    queue.enqueue(request("b", 0.45), 0.0)


def test_high_estimate_is_measured_again():
    """After a slow period an idle group would otherwise reject every request for ever."""
    queue = AdmissionQueue(max_length=10, concurrency_limit=1)
    _measure(queue, 5.0)
    for _ in range(10):
        try:
            queue.enqueue(request("a", 0.5), 0.0)
        except OverloadError:
            continue
        break
    assert queue.start_next(0.0) is not None


def test_pause_holds_requests_without_rejecting_them():
    """A planned switchover rejects no request that has time left."""
    queue = AdmissionQueue(max_length=50, concurrency_limit=1)
    _measure(queue, 0.1)
    queue.pause()
    for _ in range(20):
        queue.enqueue(request("a", 0.5), 0.0)
    assert queue.start_next(0.0) is None
    queue.resume()
    assert queue.start_next(0.1) is not None


def _measure(queue, service_time):
    queue.enqueue(request("x"), 0.0)
    queue.start_next(0.0)
    queue.release_slot(service_time)


def _goodput(load, patience, seconds=10.0):
    """Simulate callers at a multiple of the capacity; return useful answers per second.

    The service time alternates between 0.5 and 1.5 times its mean.
    """
    queue = AdmissionQueue(max_length=1000, concurrency_limit=_SLOTS)
    interval = _SERVICE / _SLOTS / load
    arrivals = int(seconds / interval)
    events = [(i * interval, i, None) for i in range(arrivals)]
    useful, number = 0, arrivals
    while events:
        now, i, running = heapq.heappop(events)
        if running is None:
            try:
                queue.enqueue(request(f"caller-{i % 7}", now + patience), now)
            except OverloadError:
                pass
        else:
            queue.release_slot(now - running[0])
            useful += now <= running[1].deadline
        while (started := queue.start_next(now)) is not None:
            number += 1
            end = now + _SERVICE * (0.5 if number % 2 else 1.5)
            heapq.heappush(events, (end, number, (now, started)))
    return useful / seconds


@pytest.mark.parametrize("patience", [0.03, 0.1, 1.0])
def test_goodput_holds_under_overload(patience):
    """Running requests that miss their deadline would waste the slots (measure 4)."""
    best = max(_goodput(load, patience) for load in (0.5, 0.8, 1.0, 1.2))
    assert _goodput(4.0, patience) >= 0.9 * best
