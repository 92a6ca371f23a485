"""Tests of pools whose connections belong to one organisation each."""

from __future__ import annotations

import asyncio

import pytest

from hibiscuspoint.components.sessions.connection_records import ConnectionCounts
from hibiscuspoint.components.sessions.pool import TargetPool
from hibiscuspoint.core.sessions import (
    ConnectionDemand,
    ConnectionPlan,
    OpeningBudget,
    OpeningRules,
)
from hibiscuspoint.ids import NO_ORGANISATION, OrganisationId
from tests.builders_failover import GROUP, PRIMARY
from tests.components.sessions.fakes import FakeDriver, LoopClock, ScriptedTarget

A, B, C = (OrganisationId(name) for name in "abc")


def _pool(driver: FakeDriver, limit: int) -> TargetPool:
    pool = TargetPool(GROUP, PRIMARY, "10.0.0.1:9000", driver, LoopClock())
    pool.limit = pool.share = limit
    return pool


def _demand(organisation: OrganisationId, seconds: float = 1.0) -> ConnectionDemand:
    now = asyncio.get_running_loop().time()
    return ConnectionDemand(now + seconds, organisation=organisation)


async def _use(pool: TargetPool, organisation: OrganisationId, seconds: float = 0.0) -> None:
    pooled = await pool.acquire(_demand(organisation))
    assert pooled.connection.organisation == organisation
    await asyncio.sleep(seconds)
    pooled.give_back()


def _opened(driver: FakeDriver) -> list[str]:
    return [connection.organisation for connection in driver.targets[PRIMARY].connections]


def _open(driver: FakeDriver) -> list[str]:
    return [c.organisation for c in driver.targets[PRIMARY].connections if c.is_open]


def test_idle_connection_is_reused_by_its_organisation_only():
    """Guards against a statement on a connection that was opened in the name of another."""

    async def scenario():
        driver = FakeDriver()
        pool = _pool(driver, limit=3)
        for organisation in (A, B, A, NO_ORGANISATION, B, A):
            await _use(pool, organisation)
        assert _opened(driver) == [A, B, NO_ORGANISATION]
        assert pool.take_counts() == ConnectionCounts(opened=3)

    asyncio.run(scenario())


def test_idle_connection_used_least_recently_is_replaced():
    """Load pattern: more organisations than connections."""

    async def scenario():
        driver = FakeDriver()
        pool = _pool(driver, limit=2)
        for organisation in (A, B, A, C):
            await _use(pool, organisation)
        assert _open(driver) == [A, C]
        assert pool.take_counts() == ConnectionCounts(opened=3, replaced=1)

    asyncio.run(scenario())


@pytest.mark.parametrize("limit_at", ["pool", "target"])
def test_organisation_that_always_waits_does_not_keep_all_connections(limit_at):
    """Load pattern: one organisation sends 5 times its usual, another one a statement now and then.

    :param limit_at: whether the pool or the target has no other connection.
    """

    async def scenario():
        driver = FakeDriver()
        driver.targets[PRIMARY] = ScriptedTarget(limit=2)
        pool = _pool(driver, limit=2 if limit_at == "pool" else 4)
        stop = False

        async def flood():
            while not stop:
                await _use(pool, A, 0.005)

        tasks = [asyncio.create_task(flood()) for _ in range(8)]
        await asyncio.sleep(0.1)
        async with asyncio.timeout(0.3):
            for _ in range(2):
                await _use(pool, B)
        stop = True
        await asyncio.gather(*tasks)
        assert len(_opened(driver)) < 10

    asyncio.run(scenario())


def test_full_target_gets_room_from_an_idle_connection():
    """Load pattern: a target counts connections of a lost machine, and a pool has an idle one.

    Found by test_pool_states: the pool asked the full target again without closing its idle one.
    """

    async def scenario():
        driver = FakeDriver()
        driver.targets[PRIMARY] = ScriptedTarget(limit=1, connect_delay=0.005)
        pool = _pool(driver, limit=2)
        await _use(pool, A)
        async with asyncio.timeout(0.2):
            await _use(pool, B)
        assert _open(driver) == [B]

    asyncio.run(scenario())


def test_all_organisations_at_once_are_served_within_the_rate():
    """Load pattern: all machines start again, and every organisation sends a statement at once."""

    async def scenario():
        driver = FakeDriver()
        target = driver.targets[PRIMARY] = ScriptedTarget(connect_delay=0.002)
        pool = _pool(driver, limit=6)
        pool.rules = OpeningRules(ConnectionPlan(6, 6, 60.0))
        pool.budget = OpeningBudget(60.0, 6)
        started = asyncio.get_running_loop().time()
        names = [OrganisationId(f"o{number}") for number in range(24)]
        await asyncio.gather(*(_use(pool, name) for name in names))
        elapsed = asyncio.get_running_loop().time() - started
        assert sum(connection.is_open for connection in target.connections) <= 6
        assert len(target.connections) == len(names) <= 6 + 60.0 * elapsed + 1

    asyncio.run(scenario())


def test_organisation_with_excess_load_leaves_connections_to_waiting_ones():
    """Load pattern: one organisation sends 5 times its usual, in transactions of 30 ms."""

    async def scenario():
        driver = FakeDriver()
        pool = _pool(driver, limit=4)
        pool.rules = OpeningRules(ConnectionPlan(4, 4, 100.0))
        pool.budget = OpeningBudget(100.0, 4)
        flood = [asyncio.create_task(_use(pool, A, 0.03)) for _ in range(40)]
        await asyncio.sleep(0.05)
        assert _open(driver) == [A] * 4
        others = [asyncio.create_task(_use(pool, name, 0.2)) for name in (B, C)]
        await asyncio.sleep(0.1)
        assert sorted(_open(driver)) == [A, A, B, C]
        await asyncio.gather(*flood, *others)

    asyncio.run(scenario())


def test_burst_of_short_statements_reuses_connections():
    """Guards against a handshake of 12 ms for a statement that could wait 5 ms."""

    async def scenario():
        driver = FakeDriver()
        driver.targets[PRIMARY] = ScriptedTarget(connect_delay=0.012)
        pool = _pool(driver, limit=16)
        pool.rules = OpeningRules(ConnectionPlan(16, 16, 100.0))
        pool.budget = OpeningBudget(100.0, 16)
        for _ in range(40):
            await _use(pool, A, 0.001)
        await asyncio.gather(*(_use(pool, A, 0.001) for _ in range(3)))
        assert len(_opened(driver)) <= 3

    asyncio.run(scenario())


def test_statement_that_gave_up_leaves_no_count_behind():
    """Guards against an organisation that counts as waiting for ever and gets no connection."""

    async def scenario():
        driver = FakeDriver()
        pool = _pool(driver, limit=1)
        held = await pool.acquire(_demand(A))
        waiting = [asyncio.create_task(pool.acquire(_demand(B, 0.02))) for _ in range(3)]
        await asyncio.gather(*waiting, return_exceptions=True)
        assert not pool._waiting.total()
        held.give_back()
        await _use(pool, B)
        await _use(pool, A)
        assert _opened(driver) == [A, B, A]

    asyncio.run(scenario())
