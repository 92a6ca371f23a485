"""Tests of the order by priority and arrival."""

from __future__ import annotations

from hibiscuspoint.core.scheduling import ConnectionUse, wait_queues
from hibiscuspoint.core.sessions import ConnectionDemand
from hibiscuspoint.ids import OrganisationId

OWN = OrganisationId("own")


def test_waiter_whose_connection_is_not_idle_lets_others_pass():
    """Guards against an idle connection of one organisation that waits for another one's turn."""
    queue = wait_queues.get("priority")()
    first = queue.push(ConnectionDemand(1.0, 0), 0.0)
    second = queue.push(ConnectionDemand(1.0, 1, organisation=OWN), 0.0)
    third = queue.push(ConnectionDemand(1.0, 0), 0.0)
    assert queue.ahead_of(ConnectionDemand(1.0, 0)) == 2
    assert queue.pop(0.0, lambda demand: demand.organisation == OWN) is second
    queue.remove(first)
    assert queue.pop(0.0, lambda demand: True) is third
    assert queue.pop(0.0, lambda demand: True) is None


def test_statement_is_not_started_when_its_answer_would_come_too_late():
    """Load pattern: a burst in which each statement gets a connection right before its time ends.

    Sent then, they time out, and each one that does costs a connection and its handshake.
    """
    queue = wait_queues.get("priority")()
    waiter = queue.push(ConnectionDemand(1.0, expected_seconds=0.1, answer_until=1.0), 0.0)
    queue.push(ConnectionDemand(1.0, expected_seconds=0.1, answer_until=2.0), 0.0)
    assert queue.expired(0.75) == []
    assert queue.expired(0.85) == [waiter]
    assert len(queue) == 1


def test_demand_that_would_wait_too_long_is_refused():
    """Load pattern: a burst at a target whose connections are all in use for long."""
    queue = wait_queues.get("priority")()
    queue.push(ConnectionDemand(1.0), 0.0)
    use = ConnectionUse((0.0,), 0.1, may_open=False)
    assert queue.check(ConnectionDemand(0.25), use, 0.0) is None
    assert (
        queue.check(ConnectionDemand(0.15), use, 0.0).text == "1 statements wait for 1 connections"
    )
    assert queue.check(ConnectionDemand(0.15), ConnectionUse((0.0,), 0.1, True), 0.0) is None
