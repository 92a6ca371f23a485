"""Tests of the age of requests after a suspension."""

from __future__ import annotations

from hibiscuspoint.core.sessions.suspension import (
    BACKLOG_SECONDS,
    SUSPENDED_SECONDS,
    SuspensionDetector,
)

TICK_SECONDS = 0.05


def test_request_is_fresh_while_the_process_runs():
    """Guards against refusals on a machine that is only busy."""
    watch = SuspensionDetector(0.0)
    for number in range(1, 100):
        now = number * TICK_SECONDS
        assert watch.longest_wait(now) == 0.0
        watch.tick(now)
    assert watch.longest_wait(now + SUSPENDED_SECONDS / 2) == 0.0


def test_request_that_is_read_before_the_first_tick_may_have_waited_for_all_of_it():
    """The loop may read a request before it runs the timer that is due."""
    watch = SuspensionDetector(0.0)
    assert watch.longest_wait(3.0) == 3.0


def test_request_that_is_read_after_the_first_tick_may_have_waited_too():
    """The loop may run the timer first and read what came before it only then."""
    watch = SuspensionDetector(0.0)
    watch.tick(3.0)
    assert watch.longest_wait(3.0 + BACKLOG_SECONDS / 2) >= 3.0
    watch.tick(3.0 + TICK_SECONDS)
    assert watch.longest_wait(3.0 + BACKLOG_SECONDS / 2) >= 3.0
    assert watch.longest_wait(3.0 + BACKLOG_SECONDS) == 0.0
