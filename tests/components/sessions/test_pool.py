"""Tests of connections that sessions share."""

from __future__ import annotations

import asyncio
import logging

import pytest

from hibiscuspoint.components.sessions.pool import FULL_RETRY_MIN_SECONDS, TargetPool
from hibiscuspoint.core.sessions import ConnectionDemand, SessionContext
from hibiscuspoint.drivers.errors import ConnectError, ConnectFailure, ConnectionLost
from tests.builders_failover import GROUP, PRIMARY, position
from tests.components.sessions.fakes import FakeDriver, LoopClock, ScriptedTarget
from tests.components.sessions.harness import statement


def _pool(driver: FakeDriver, limit: int = 4) -> TargetPool:
    pool = TargetPool(GROUP, PRIMARY, "10.0.0.1:9000", driver, LoopClock())
    pool.limit = limit
    return pool


def _now() -> float:
    return asyncio.get_running_loop().time()


def test_waiting_statements_are_served_by_priority():
    """Load pattern: more statements than connections; the urgent ones go first."""

    async def scenario():
        pool = _pool(FakeDriver(), limit=1)
        order = []
        held = await pool.acquire(ConnectionDemand(_now() + 1))

        async def use(priority: int) -> None:
            pooled = await pool.acquire(ConnectionDemand(_now() + 1, priority))
            order.append(priority)
            pool.release(pooled)

        tasks = [asyncio.create_task(use(priority)) for priority in (2, 1, 0)]
        await asyncio.sleep(0.01)
        pool.release(held)
        await asyncio.gather(*tasks)
        assert order == [0, 1, 2]

    asyncio.run(scenario())


def test_full_target_is_asked_ever_less_often():
    """Load pattern: all instances want connections of a full target.

    Found on trouble-1 of kovacik-zaloha: 7,100 connections were refused in a day.
    """

    async def scenario():
        driver = FakeDriver()
        target = driver.targets[PRIMARY] = ScriptedTarget(limit=0)
        attempts = 0
        connect = driver.connect

        async def count(*arguments):
            nonlocal attempts
            attempts += 1
            return await connect(*arguments)

        driver.connect = count
        pool = _pool(driver)
        with pytest.raises(ConnectError) as error:
            await pool.acquire(ConnectionDemand(_now() + 1.0))
        assert error.value.failure is ConnectFailure.LIMITED
        assert attempts <= 8
        target.limit = 1
        assert await pool.acquire(ConnectionDemand(_now() + 1.0))

    asyncio.run(scenario())


def test_refused_connection_fails_all_waiting_statements_at_once():
    """Load pattern: a target stops; its statements go elsewhere without a wait."""

    async def scenario():
        driver = FakeDriver()
        driver.targets[PRIMARY] = ScriptedTarget(is_refusing=True)
        pool = _pool(driver)
        waits = [pool.acquire(ConnectionDemand(_now() + 5)) for _ in range(5)]
        results = await asyncio.gather(*waits, return_exceptions=True)
        assert all(error.failure is ConnectFailure.REFUSED for error in results)
        assert pool.refusals

    asyncio.run(scenario())


def test_given_up_wait_leaks_no_connection():
    """Guards against connections that nobody uses and that count against the limit."""

    async def scenario():
        pool = _pool(FakeDriver(), limit=1)
        held = await pool.acquire(ConnectionDemand(_now() + 1))
        with pytest.raises(ConnectError):
            await pool.acquire(ConnectionDemand(_now() + 0.02))
        task = asyncio.create_task(pool.acquire(ConnectionDemand(_now() + 5)))
        await asyncio.sleep(0)
        pool.release(held)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert await pool.acquire(ConnectionDemand(_now() + 1))

    asyncio.run(scenario())


def test_connections_beyond_the_share_are_closed_when_idle():
    """Load pattern: bursts at one instance must not keep connections from the others."""

    async def scenario():
        pool = _pool(FakeDriver())
        pool.share = 1
        used = [await pool.acquire(ConnectionDemand(_now() + 1)) for _ in range(3)]
        for pooled in used:
            pool.release(pooled)
        pool.tick(_now() + 2.0)
        assert pool.size == 1

    asyncio.run(scenario())


def test_scarce_connections_are_given_up_soon():
    """Load pattern: more instances than connections, each with a transaction now and then.

    Found on quiet-1 of kovacik-zaloha-grown: 70 instances, 34 connections, 15,438 new connections.
    """

    async def scenario():
        pool = _pool(FakeDriver())
        pool.share = 0
        pool.release(await pool.acquire(ConnectionDemand(_now() + 1)))
        pool.tick(_now() + 0.1)
        assert pool.size == 1
        pool.tick(_now() + 0.3)
        assert pool.size == 0

    asyncio.run(scenario())


def test_statement_that_would_wait_beyond_its_deadline_is_refused_at_once():
    """Load pattern: a burst at a primary whose connections are all in use for long.

    Found on trouble-1 of kovacik-zaloha-grown: requests were held until their client gave up.
    """

    async def scenario():
        pool = _pool(FakeDriver(), limit=1)
        for _ in range(60):
            pooled = await pool.acquire(ConnectionDemand(_now() + 1))
            await asyncio.sleep(0.01)
            pool.release(pooled)
        held = await pool.acquire(ConnectionDemand(_now() + 1))
        waiting = [
            asyncio.create_task(pool.acquire(ConnectionDemand(_now() + 1, 1))) for _ in range(10)
        ]
        await asyncio.sleep(0)
        started = _now()
        with pytest.raises(ConnectError) as error:
            await pool.acquire(ConnectionDemand(started + 0.05, 1))
        assert error.value.failure is ConnectFailure.LIMITED
        assert _now() - started < 0.02
        with pytest.raises(ConnectError):
            await pool.acquire(ConnectionDemand(started + 1, 1, max_expected_wait_seconds=0.05))
        # One that has the time, or goes before the others, waits.
        patient = asyncio.create_task(pool.acquire(ConnectionDemand(_now() + 1, 1)))
        urgent = asyncio.create_task(pool.acquire(ConnectionDemand(_now() + 0.05)))
        await asyncio.sleep(0)
        pool.release(held)
        assert await urgent
        for task in (*waiting, patient):
            task.cancel()

    asyncio.run(scenario())


def test_statement_is_not_kept_waiting_for_a_connection_of_a_full_target():
    """Load pattern: a burst at a target whose connections other holders have.

    Found on scale-1 of a deployment of 89 machines: for 6 s after a burst a quarter of the
    statements of a group waited until their deadline, behind others that were too late when they
    got their connection.
    """

    async def scenario():
        driver = FakeDriver()
        driver.targets[PRIMARY] = ScriptedTarget(limit=1)
        pool = _pool(driver, limit=6)
        for _ in range(60):
            pooled = await pool.acquire(ConnectionDemand(_now() + 1))
            await asyncio.sleep(0.01)
            pool.release(pooled)
        held = await pool.acquire(ConnectionDemand(_now() + 10))
        waiting = [
            asyncio.create_task(pool.acquire(ConnectionDemand(_now() + 10, 1))) for _ in range(10)
        ]
        # The target has refused a second connection, and the next attempt is on its way.
        await asyncio.sleep(FULL_RETRY_MIN_SECONDS / 2)
        driver.targets[PRIMARY].connect_delay = 1.0
        await asyncio.sleep(4 * FULL_RETRY_MIN_SECONDS)
        for _ in range(20):
            started = _now()
            with pytest.raises(ConnectError) as error:
                await pool.acquire(ConnectionDemand(started + 1, 1, max_expected_wait_seconds=0.02))
            assert error.value.failure is ConnectFailure.LIMITED
            assert _now() - started < 0.02
            await asyncio.sleep(0.01)
        for task in waiting:
            task.cancel()
        pool.release(held)

    asyncio.run(scenario())


def test_statement_without_time_for_its_answer_gets_no_connection():
    """Guards against a time-out, which costs a connection, where an idle one is there at once."""

    async def scenario():
        pool = _pool(FakeDriver())
        pool.release(await pool.acquire(ConnectionDemand(_now() + 1)))
        demand = ConnectionDemand(_now() + 1, expected_seconds=0.1, answer_until=_now() + 0.05)
        with pytest.raises(ConnectError) as error:
            await pool.acquire(demand)
        assert error.value.failure is ConnectFailure.LIMITED

    asyncio.run(scenario())


def test_connection_at_which_a_refusal_would_be_in_doubt_waits_for_the_log():
    """Guards against writes in doubt after refusals, and writes that are never sent again."""

    async def scenario():
        pool = _pool(FakeDriver(), limit=1)
        pooled = await pool.acquire(ConnectionDemand(_now() + 1))
        pooled.connection.exhausted_at = position(7)
        with pytest.raises(ConnectionLost) as error:
            await pooled.run(statement("WRITE x 1"), SessionContext(), _now() + 1)
        assert not error.value.sent
        pooled.give_back()
        waiting = asyncio.create_task(pool.acquire(ConnectionDemand(_now() + 1)))
        await asyncio.sleep(0.05)
        assert not waiting.done()
        pooled.connection.exhausted_at = None
        assert await waiting is pooled

    asyncio.run(scenario())


def test_connection_rests_once_for_a_refusal():
    """Guards against a second rest after a use without a statement, as of a skipped read."""

    async def scenario():
        pool = _pool(FakeDriver(), limit=1)
        pooled = await pool.acquire(ConnectionDemand(_now() + 1))
        pooled.was_refused = True
        for rests in (1, 0):
            pooled.give_back()
            assert len(pool._kept_back) == rests
            assert await pool.acquire(ConnectionDemand(_now() + 1)) is pooled

    asyncio.run(scenario())


def test_target_that_is_lost_and_regained_is_logged_once_each(caplog):
    """Load pattern: a target stops; each statement that cannot be sent must not add a line.

    Found on trouble-1 of pluma-viva-grown: 3,328 lines in a second told of one target.
    """
    caplog.set_level(logging.INFO, logger="hibiscuspoint.components.sessions.pool")

    async def scenario():
        driver = FakeDriver()
        target = driver.targets[PRIMARY] = ScriptedTarget(is_refusing=True)
        pool = _pool(driver)
        for _ in range(5):
            with pytest.raises(ConnectError):
                await pool.acquire(ConnectionDemand(_now() + 1))
        target.is_refusing = False
        assert await pool.acquire(ConnectionDemand(_now() + 1))

    asyncio.run(scenario())
    events = [r.event for r in caplog.records if r.name.startswith("hibiscuspoint.")]
    assert events == ["connection-failed", "connection-restored"]
