"""Tests of what entries remember about waits and uses."""

from __future__ import annotations

from hibiscuspoint.core.scheduling import FullHolders, UseTimes
from hibiscuspoint.core.scheduling.full_holders import MAX_REPORTS
from hibiscuspoint.core.sessions import ConnectionDemand, DatabaseRoute, ReadMode
from hibiscuspoint.ids import InstanceId, TargetId
from tests.builders_failover import GROUP, PRIMARY

HOLDER, OTHER = InstanceId("10.0.0.1:7440"), InstanceId("10.0.0.2:7440")


def test_full_holder_is_skipped_until_it_expects_capacity():
    """Load pattern: statements of a full group must not ask one holder after the other."""
    full = FullHolders()
    refused = ConnectionDemand(1.0, 1, objective_at=0.1)
    full.record(HOLDER, PRIMARY, refused, 0.2, 0.0)
    urgent = ConnectionDemand(1.05, 1, objective_at=0.15)
    usable, wait = full.with_room([HOLDER], PRIMARY, urgent, 0.05)
    assert (usable, round(wait, 3)) == ([], 0.25)
    assert full.with_room([HOLDER, OTHER], PRIMARY, urgent, 0.05) == ([OTHER], 0.0)
    # One with more time, of another class, or after the wait may be served.
    for demand, now in (
        (ConnectionDemand(1.05, 1, objective_at=0.5), 0.05),
        (ConnectionDemand(1.05, 0, objective_at=0.15), 0.05),
        (ConnectionDemand(1.05, 1, objective_at=0.25), 0.2),
    ):
        assert full.with_room([HOLDER], PRIMARY, demand, now)[0] == [HOLDER]
    assert len(full) == 0


def test_memory_of_full_holders_is_bounded_and_short():
    """Guards against memory that grows with names, and against a report that stays for long."""
    full = FullHolders()
    demand = ConnectionDemand(100.0, objective_at=0.1)
    for number in range(2 * MAX_REPORTS):
        full.record(HOLDER, TargetId(f"t{number}"), demand, 60.0, 0.0)
    assert len(full) <= MAX_REPORTS
    last = TargetId(f"t{2 * MAX_REPORTS - 1}")
    assert full.wait(HOLDER, last, demand, 0.4)
    assert not full.wait(HOLDER, last, demand, 0.5)


def test_slow_phase_does_not_make_each_statement_hopeless():
    """Guards against an average above the objective that never falls, as nothing runs any more."""
    uses = UseTimes()
    route = DatabaseRoute("r", "d", GROUP, ReadMode.PRIMARY, 0.8, 0.15, 0, 2, 0.0)
    assert uses.expected(route, PRIMARY, is_transaction=False) == 0.0
    uses.record(route, PRIMARY, 3.0, is_transaction=False)
    uses.record(route, PRIMARY, 2.0, is_transaction=True)
    assert uses.expected(route, PRIMARY, is_transaction=False) == 0.075
    assert uses.expected(route, PRIMARY, is_transaction=True) == 2.0
