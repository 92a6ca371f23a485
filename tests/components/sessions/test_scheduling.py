"""Tests of the fair order at pools, holders and entries."""

from __future__ import annotations

import asyncio
import logging
import math

import pytest

from hibiscuspoint.components.sessions import (
    ConnectionBorrowing,
    ConnectionLending,
    GroupAccess,
    WaitRecords,
)
from hibiscuspoint.components.sessions.borrow_messages import refusal_message
from hibiscuspoint.components.sessions.pool import TargetPool
from hibiscuspoint.core.sessions import ConnectionDemand, EntryPlace, Failure, ReadMode
from hibiscuspoint.drivers.errors import ConnectError, ConnectFailure
from hibiscuspoint.ids import AvailabilityZone, InstanceId
from hibiscuspoint.telemetry import Metrics
from hibiscuspoint.wire import peer_pb2
from tests.builders_failover import GROUP, PRIMARY
from tests.components.sessions.fakes import FakeDriver, LoopClock, ScriptedTarget, refusal
from tests.components.sessions.harness import SessionHarness

ZONE = AvailabilityZone("zone-a")
HOLDERS = [EntryPlace(InstanceId(f"10.0.0.{number}:1"), ZONE) for number in range(1, 4)]


def _now() -> float:
    return asyncio.get_running_loop().time()


def test_late_waiter_is_refused_as_soon_as_another_can_be_in_time():
    """Load pattern: all connections are held; a waiter must not stay until its timeout."""

    async def scenario():
        pool = TargetPool(GROUP, PRIMARY, "10.0.0.1:9000", FakeDriver(), LoopClock(), "fair")
        held = await pool.acquire(ConnectionDemand(_now() + 5))
        started = _now()
        late, timely = (
            asyncio.create_task(pool.acquire(ConnectionDemand(started + 5, 1, objective_at=at)))
            for at in (started + 0.05, started + 1)
        )
        with pytest.raises(ConnectError) as error:
            await late
        assert 0.05 <= _now() - started < 0.5
        assert error.value.failure is ConnectFailure.LIMITED
        assert error.value.retry_after_seconds > 0
        assert refusal_message(error.value).lost.retry_after_ms > 0
        pool.release(held)
        assert await timely is held

    asyncio.run(scenario())


def test_holder_without_connections_to_a_full_target_refuses_soon():
    """Load pattern: other holders have all connections of a target.

    In a trial with three holders, statements waited 0.6 of their 0.8 s in vain at the one without.
    """

    async def scenario():
        driver = FakeDriver()
        driver.targets[PRIMARY] = ScriptedTarget(limit=0)
        pool = TargetPool(GROUP, PRIMARY, "10.0.0.1:9000", driver, LoopClock(), "fair")
        pool.limit = 4
        for longest in (0.5, 0.05):
            started = _now()
            with pytest.raises(ConnectError) as error:
                await pool.acquire(ConnectionDemand(started + 1.5, 2, objective_at=started + 0.8))
            assert _now() - started < longest
            assert error.value.retry_after_seconds > 0
        driver.targets[PRIMARY].limit = 1
        await asyncio.sleep(0.35)
        assert await pool.acquire(ConnectionDemand(_now() + 1.5, objective_at=_now() + 0.8))

    asyncio.run(scenario())


class _FullHolders(ConnectionBorrowing):
    """Borrowing from holders that are full."""

    def __init__(self) -> None:
        super().__init__(ZONE, None, LoopClock(), "fair")
        self.requests = []

    async def _ask(self, holder, wanted, deadline):
        self.requests.append(wanted.request)
        raise ConnectError(ConnectFailure.LIMITED, "full", 0.2)


def test_entry_asks_full_holders_once_and_states_what_it_needs():
    """Load pattern: an overloaded group, where each statement asked three holders in six rounds."""

    async def scenario():
        borrowing = _FullHolders()
        for _ in range(5):
            now = _now()
            demand = ConnectionDemand(
                now + 0.8, 2, 0.15, objective_at=now + 0.15, expected_seconds=0.0045, is_retry=True
            )
            with pytest.raises(ConnectError) as error:
                await borrowing.acquire(HOLDERS, GROUP, PRIMARY, demand)
            assert error.value.retry_after_seconds > 0
        assert len(borrowing.requests) == 3
        wanted = borrowing.requests[0]
        assert 100 <= wanted.objective_ms <= 150
        assert (wanted.expected_ms, wanted.retry, wanted.transaction) == (5, True, False)

    asyncio.run(scenario())


@pytest.mark.parametrize(("scheduling", "longest"), [("fair", 0.19), ("priority", 0.4)])
def test_pauses_end_with_the_objective(scheduling, longest):
    """Load pattern: a primary without room; a statement is refused while its caller can act."""

    async def scenario():
        harness = SessionHarness(ReadMode.PRIMARY)
        harness.access = GroupAccess(
            harness.state, harness.driver, harness.clock, scheduling=scheduling
        )
        harness.route(lease_ms=2500)
        harness.targets[PRIMARY].script += [refusal(Failure.OVERLOADED)] * 50
        started = _now()
        (reply,) = await harness.run(harness.session(), "WRITE x 1")
        assert reply.error.failure is Failure.OVERLOADED
        assert 0.06 < _now() - started < longest
        # The time between two attempts doubles, as each one keeps the full target busy.
        assert harness.access.counts(PRIMARY).successes <= 6

    asyncio.run(scenario())


def test_repeated_rounds_are_a_small_part_of_first_ones():
    """Load pattern: thousands of statements at a full group; their retries would be most of it."""

    async def scenario():
        harness = SessionHarness(ReadMode.PRIMARY)
        harness.access = GroupAccess(
            harness.state, harness.driver, harness.clock, scheduling="fair"
        )
        harness.route(lease_ms=2500)
        target = harness.targets[PRIMARY]
        target.script += [refusal(Failure.OVERLOADED)] * 1000
        session = harness.session()
        for _ in range(60):
            await harness.run(session, "WRITE x 1")
        assert len(target.log) <= 60 + 10 + 0.1 * 60

    asyncio.run(scenario())


def test_full_group_is_logged_once_and_counted(caplog):
    """Load pattern: hundreds of refusals a second must not be as many lines."""
    caplog.set_level(logging.INFO, logger="hibiscuspoint")
    metrics = Metrics()
    records = WaitRecords(metrics, is_logging=True)
    for number in range(300):
        records.record_refusal(GROUP, 1, "late", "inputs", 0.01 * number)
    records.record_wait(GROUP, 1, 0.01, 3.5)
    records.record_wait(GROUP, 1, 0.01, 4.1)
    records.record_wait(GROUP, 1, 0.01, 4.2)
    events = [r.event for r in caplog.records if r.name.endswith("wait_records")]
    assert events == ["group-full", "group-has-capacity"]
    assert metrics.connection_refusals.labels("1", "late")._value.get() == 300


def test_full_target_does_not_keep_urgent_statements_behind_slow_ones():
    """Load pattern: slow statements hold and await the only connection when urgent ones come."""

    async def scenario():
        driver = FakeDriver()
        driver.targets[PRIMARY] = ScriptedTarget(limit=1)
        pool = TargetPool(GROUP, PRIMARY, "10.0.0.1:9000", driver, LoopClock(), "fair")
        held = await pool.acquire(ConnectionDemand(_now() + 5))
        demands = [ConnectionDemand(_now() + 5, priority) for priority in (2, 2, 0)]
        slow, slower, urgent = (asyncio.create_task(pool.acquire(demand)) for demand in demands)
        await asyncio.sleep(0.01)
        pool.release(held)
        assert await urgent is held
        assert not slow.done()
        pool.close()
        await asyncio.gather(slow, slower, return_exceptions=True)

    asyncio.run(scenario())


class _RecordingAccess:
    """Takes the demands of other instances and has no connection for them."""

    def __init__(self) -> None:
        self.demands = []

    async def acquire(self, group, target, demand):
        self.demands.append(demand)
        raise ConnectError(ConnectFailure.LIMITED, "full")


def test_holder_takes_over_what_the_entry_states():
    """Guards against a holder that orders statements without what their entry knows of them."""

    async def scenario():
        access = _RecordingAccess()
        lending = ConnectionLending(access, LoopClock())
        wanted = peer_pb2.ConnectionRequest(
            group=GROUP, target=PRIMARY, organisation="o", objective_ms=150, expected_ms=5
        )
        wanted.retry = wanted.transaction = True
        started = _now()
        for objective_ms in (150, 0):
            wanted.objective_ms = objective_ms
            with pytest.raises(ConnectError):
                await lending._acquire(wanted, 0.8)
        demand, without_objective = access.demands
        assert (demand.organisation, demand.expected_seconds) == ("o", 0.005)
        assert demand.is_retry and demand.is_transaction
        assert 0.15 <= demand.objective_at - started < 0.3
        assert without_objective.objective_at == math.inf

    asyncio.run(scenario())
