"""Tests of the age of requests after a suspension."""

from __future__ import annotations

from hibiscuspoint.core.sessions.suspension import (
    BACKLOG_READ_SECONDS,
    MIN_SUSPENSION_SECONDS,
    SuspensionDetector,
)

TICK_SECONDS = 0.05


def test_request_is_fresh_while_the_process_runs():
    """Guards against refused requests on a machine that is merely busy."""
    detector = SuspensionDetector(0.0)
    for number in range(1, 100):
        now = number * TICK_SECONDS
        assert detector.longest_wait(now) == 0.0
        detector.tick(now)
    assert detector.longest_wait(now + MIN_SUSPENSION_SECONDS / 2) == 0.0


def test_request_read_before_the_first_tick_may_have_waited_for_the_whole_suspension():
    """Guards against stale requests that the event loop reads before the overdue timer runs."""
    detector = SuspensionDetector(0.0)
    assert detector.longest_wait(3.0) == 3.0


def test_request_read_after_the_first_tick_may_have_waited_as_well():
    """Guards against stale requests that the event loop reads after the overdue timer has run."""
    detector = SuspensionDetector(0.0)
    detector.tick(3.0)
    assert detector.longest_wait(3.0 + BACKLOG_READ_SECONDS / 2) >= 3.0
    detector.tick(3.0 + TICK_SECONDS)
    assert detector.longest_wait(3.0 + BACKLOG_READ_SECONDS / 2) >= 3.0
    assert detector.longest_wait(3.0 + BACKLOG_READ_SECONDS) == 0.0
