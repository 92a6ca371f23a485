"""Properties of the fair order for any sequence of demands."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscuspoint.core.scheduling import FairQueue
from hibiscuspoint.core.sessions import ConnectionDemand
from hibiscuspoint.ids import OrganisationId
from tests.core.scheduling.builders import PROGRESS
from tests.core.scheduling.driver import Driver

SERVICES = st.floats(0.001, 0.05)
DEMANDS = st.builds(
    lambda priority, service, objective, timeout, retry, name: ConnectionDemand(
        timeout,
        priority,
        organisation=OrganisationId(name),
        objective_at=objective,
        expected_seconds=service,
        is_retry=retry,
    ),
    st.integers(0, 3),
    SERVICES,
    st.floats(0.01, 1.0),
    st.floats(0.01, 2.0),
    st.booleans(),
    st.sampled_from("abcd"),
)


@given(st.lists(SERVICES, min_size=1, max_size=5), st.integers(0, 3))
def test_no_class_starves(services, waiting):
    """Guards against a class that gets nothing while a more urgent one is always waiting."""
    queue, served = FairQueue(), {0: 0.0, 1: 0.0}
    for step in range(600):
        for priority in served:
            service = services[(step + priority + waiting) % len(services)]
            demand = ConnectionDemand(1e9, priority, expected_seconds=service)
            queue.push(demand, 0.0)
        waiter = queue.pop(0.0, lambda demand: True)
        served[waiter.demand.priority] += waiter.service_seconds
    assert served[1] >= 0.05 * sum(served.values()) - 2 * max(services)


@settings(max_examples=200)
@given(st.lists(DEMANDS, max_size=30), st.sets(st.sampled_from("abcd")), st.floats(0.0, 0.5))
def test_connection_goes_to_any_demand_that_can_use_it(demands, usable, now):
    """Guards against a connection that stays idle, and against one for an expired demand."""
    queue = FairQueue()
    waiting = {queue.push(demand, 0.0) for demand in demands}
    while waiter := queue.pop(now, lambda demand: demand.organisation in usable):
        assert waiter.demand.organisation in usable
        assert now <= waiter.demand.deadline - waiter.demand.expected_seconds
        waiting.remove(waiter)
    waiting -= set(queue.expired(now))
    assert not any(waiter.demand.organisation in usable for waiter in waiting)
    assert len(queue) == len(waiting)
    for waiter in waiting:
        queue.remove(waiter)
    assert len(queue) == 0


@settings(max_examples=20, deadline=None)
@given(st.integers(2, 12))
def test_more_sessions_gain_nothing(factor):
    """Guards against an organisation that gets more of a class by more sessions or instances."""
    driver = Driver(2)
    driver.load(PROGRESS, 150, 0.0, 3.0, "own")
    for number in range(factor):
        driver.load(PROGRESS, 150, 0.001 * number, 3.0, "many")
    driver.run()
    assert driver.service["many"] <= 1.15 * driver.service["own"]


def test_first_attempt_and_earlier_objective_go_first():
    """Guards against repeated attempts that keep first ones of their class waiting."""
    queue = FairQueue()
    pushed = [
        queue.push(ConnectionDemand(2.0, 1, objective_at=at, is_retry=retry), 0.0)
        for at, retry in ((0.1, True), (0.9, False), (0.5, False))
    ]
    served = [queue.pop(0.0, lambda demand: True) for _ in pushed]
    assert served == [pushed[2], pushed[1], pushed[0]]


def test_late_demand_runs_when_nothing_in_time_waits():
    """Guards against work that is thrown away while a connection for it is idle."""
    queue = FairQueue()
    late = queue.push(ConnectionDemand(1.0, objective_at=0.1, expected_seconds=0.02), 0.0)
    assert queue.expired(0.2) == []
    assert queue.pop(0.2, lambda demand: True) is late
    late = queue.push(ConnectionDemand(1.0, objective_at=0.1, expected_seconds=0.02), 0.0)
    queue.push(ConnectionDemand(1.0, 1, objective_at=0.9), 0.1)
    assert queue.expired(0.2) == [late]
