"""Random sequences of events at a pool of connections of several organisations."""

from __future__ import annotations

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from hibiscuspoint.components.sessions.pool import TargetPool
from hibiscuspoint.core.sessions import (
    ConnectionDemand,
    ConnectionPlan,
    OpeningBudget,
    OpeningRules,
)
from hibiscuspoint.drivers.errors import ConnectError
from hibiscuspoint.ids import OrganisationId
from tests.builders_failover import GROUP, PRIMARY
from tests.components.sessions.fakes import FakeDriver, LoopClock, ScriptedTarget

ORGANISATIONS = [OrganisationId(name) for name in "abcde"]

#: Time in seconds within which every waiting statement gets a connection once nobody holds one for
#: long: the longest time between two attempts at a full target, and some handshakes.
SERVED_SECONDS = 1.0
STEP_SECONDS = 0.004


class PoolMachine(RuleBasedStateMachine):
    """A pool in a loop whose time the rules move on."""

    def __init__(self) -> None:
        super().__init__()
        self._loop = asyncio.new_event_loop()
        self._time = 0.0
        self._loop.time = lambda: self._time
        self._driver = FakeDriver()
        self._target = self._driver.targets[PRIMARY] = ScriptedTarget(connect_delay=0.012)
        self._tasks: dict[asyncio.Task, OrganisationId] = {}
        self._held = []

    @initialize(limit=st.integers(1, 5), others=st.integers(0, 2))
    def start(self, limit: int, others: int) -> None:
        """Build the pool.

        :param others: connections of the limit that the target has no room for.
        """
        plan = ConnectionPlan(limit, limit, 50.0)
        self._target.limit = max(1, limit - others)
        self._pool = TargetPool(GROUP, PRIMARY, "10.0.0.1:9000", self._driver, LoopClock())
        self._pool.limit = self._pool.share = limit
        self._pool.rules = OpeningRules(plan)
        self._pool.budget = OpeningBudget(plan.openings_per_second, plan.limit)

    @rule(organisation=st.sampled_from(ORGANISATIONS), seconds=st.sampled_from([0.01, 0.1, 100.0]))
    def ask(self, organisation: OrganisationId, seconds: float) -> None:
        """Let a statement ask for a connection."""
        demand = ConnectionDemand(self._time + seconds, organisation=organisation)
        task = self._loop.create_task(self._pool.acquire(demand))
        self._tasks[task] = organisation
        self._settle()

    @precondition(lambda self: self._held)
    @rule(number=st.integers(0, 9), is_usable=st.booleans())
    def give_back(self, number: int, is_usable: bool) -> None:
        """End one use; the connection may have been lost."""
        pooled = self._held.pop(number % len(self._held))
        if not is_usable:
            pooled.close()
        self._loop.call_soon(pooled.give_back)
        self._settle()

    @precondition(lambda self: self._tasks)
    @rule(number=st.integers(0, 9))
    def cancel(self, number: int) -> None:
        """Let one statement give up."""
        list(self._tasks)[number % len(self._tasks)].cancel()
        self._settle()

    @rule(steps=st.sampled_from([1, 3, 10, 100]))
    def wait(self, steps: int) -> None:
        """Let time pass."""
        for _ in range(steps):
            self._time += STEP_SECONDS
            self._settle()
        self._pool.tick(self._time)

    @rule()
    def finish(self) -> None:
        """Guards against a statement that starves although all others end soon."""
        waiting = set(self._tasks)
        for _ in range(int(SERVED_SECONDS / STEP_SECONDS)):
            if not self._held and not waiting & set(self._tasks):
                break
            while self._held:
                self._loop.call_soon(self._held.pop().give_back)
                self._settle()
            self._time += STEP_SECONDS
            self._settle()
        assert not waiting & set(self._tasks)

    @invariant()
    def limits_are_kept(self) -> None:
        """Guards against more connections than the plan or the target allows."""
        if hasattr(self, "_pool"):
            opened = sum(connection.is_open for connection in self._target.connections)
            assert opened <= self._target.limit
            assert self._pool.size + self._pool._opening.total() <= self._pool.limit

    @invariant()
    def no_usable_connection_is_idle(self) -> None:
        """Guards against a statement that waits beside a connection that it may use."""
        if hasattr(self, "_pool"):
            idle = {p.organisation for p in self._pool._idle if p.is_open}
            waiting = {waiter.demand.organisation for waiter in self._pool._futures}
            assert not idle & waiting
            assert waiting == set(self._pool._waiting)

    def teardown(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._settle()
        if hasattr(self, "_pool"):
            self._pool.close()
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
            self._loop.run_until_complete(asyncio.gather(task, return_exceptions=True))
        self._loop.close()

    def _settle(self) -> None:
        """Run what is due, and look at the connections that statements got."""
        for _ in range(6):
            self._loop.run_until_complete(asyncio.sleep(0))
        for task in [task for task in self._tasks if task.done()]:
            organisation = self._tasks.pop(task)
            if task.cancelled():
                continue
            if task.exception() is not None:
                assert isinstance(task.exception(), ConnectError)
                continue
            pooled = task.result()
            assert pooled.organisation == organisation == pooled.connection.organisation
            self._held.append(pooled)


TestPool = PoolMachine.TestCase
TestPool.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)
