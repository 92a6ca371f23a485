"""New connections where each connection belongs to one of 84 organisations."""

from __future__ import annotations

import asyncio
import random
import selectors
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeVar

from benchmarks.registry import BENCHMARKS, Figures, Options
from hibiscuspoint.components.sessions.pool import TargetPool
from hibiscuspoint.core.sessions import (
    ConnectionDemand,
    ConnectionPlan,
    EntryPlace,
    OpeningRules,
    order_holders,
)
from hibiscuspoint.core.sessions.connection_plan import HANDSHAKE_SECONDS
from hibiscuspoint.drivers.errors import ConnectError
from hibiscuspoint.ids import AvailabilityZone, GroupId, InstanceId, OrganisationId, TargetId
from hibiscuspoint.load.latency import Latencies

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

T = TypeVar("T")

GROUP, TARGET = GroupId("group"), TargetId("target")
ORGANISATIONS = [OrganisationId(f"organisation-{number}") for number in range(84)]
ZIPF_EXPONENT = 1.2
#: Statements a second at one of 12 targets that share 490 to 540.
RATE = 42.0
#: Work of a statement in seconds, with the statements a second of its class.
WORK = {0.0045: 72, 0.022: 126, 0.014: 339}
#: Connections that all instances may have to the target, with its slots.
SIZES = ((54, 4), (64, 5))
HOLDERS = 4
ENTRIES = 90
#: Longest time at a holder while another one can be asked.
HOLDER_WAIT_SECONDS = 0.06
DEADLINE_SECONDS = 0.8
#: Factor on the demand of the largest organisation.
EXCESS = 5
#: Time between two looks for idle connections, as in an instance.
TICK_SECONDS = 0.25


class _JumpingSelector(selectors.SelectSelector):
    """Does not wait; the time jumps to the next timer instead."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return what is ready, and move the time on."""
        self.now += timeout or 0.0
        return super().select(0)


def _run(main: Coroutine[Any, Any, T]) -> T:
    """Run in a loop whose time jumps, so that minutes of load take seconds."""
    selector = _JumpingSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now
    try:
        return loop.run_until_complete(main)
    finally:
        loop.close()


class _Clock:
    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def unix(self) -> float:
        return self.monotonic()


@dataclass
class _Connection:
    is_open: bool = True

    def close(self) -> None:
        self.is_open = False


@dataclass
class _Target:
    """Slots of a target, which statements and handshakes occupy in order of arrival."""

    slots: asyncio.Semaphore
    opened: int = 0

    async def connect(self, *_: object) -> _Connection:
        async with self.slots:
            await asyncio.sleep(HANDSHAKE_SECONDS)
        self.opened += 1
        return _Connection()

    async def work(self, seconds: float) -> None:
        async with self.slots:
            await asyncio.sleep(seconds)


@dataclass
class _Play:
    """Statements of all organisations at the holders of one target.

    :param is_hashed: whether each organisation has an order of the holders of its own.
    """

    usable: int
    slot_count: int
    is_hashed: bool
    excess: int
    served: int = 0
    failed: int = 0
    work_seconds: float = 0.0
    waits: Latencies = field(default_factory=Latencies)

    def __post_init__(self) -> None:
        self._random = random.Random(1)
        self._target = _Target(asyncio.Semaphore(self.slot_count))
        zone = AvailabilityZone("zone")
        self._holders = [EntryPlace(InstanceId(f"10.0.0.{n}:1"), zone) for n in range(HOLDERS)]
        self._pools = {holder: self._pool(holder) for holder in self._holders}

    def _pool(self, holder: EntryPlace) -> TargetPool:
        pool = TargetPool(GROUP, TARGET, "10.0.1.1:1", self._target, _Clock())
        plan = ConnectionPlan.divide(
            self.usable, self._holders, holder.instance, ENTRIES, self.slot_count
        )
        pool.share, pool.limit, pool.rules = plan.kept, plan.limit, OpeningRules(plan)
        return pool

    async def run(self, seconds: float) -> Figures:
        """Send statements in an open loop."""
        weights = [(rank + 1) ** -ZIPF_EXPONENT for rank in range(len(ORGANISATIONS))]
        usual = sum(weights)
        weights[0] *= self.excess
        rate = RATE * sum(weights) / usual
        now, tasks, ticked = 0.0, set(), 0.0
        while now < seconds:
            await asyncio.sleep(self._random.expovariate(rate))
            now = asyncio.get_running_loop().time()
            if now - ticked >= TICK_SECONDS:
                ticked = now
                for pool in self._pools.values():
                    pool.tick(now)
            organisation = self._random.choices(ORGANISATIONS, weights)[0]
            work = self._random.choices(list(WORK), list(WORK.values()))[0]
            task = asyncio.create_task(self._statement(organisation, work))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
        handshakes = self._target.opened * HANDSHAKE_SECONDS
        return {
            "statements_per_connection": round(self.served / self._target.opened, 2),
            "handshake_share_of_slots": round(handshakes / seconds / self.slot_count, 4),
            "handshake_seconds_per_work_second": round(handshakes / self.work_seconds, 4),
            "connections_per_s": round(self._target.opened / seconds, 2),
            "failed": self.failed,
            "wait": self.waits.summary(),
        }

    async def _statement(self, organisation: OrganisationId, work: float) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        holders = order_holders(GROUP, organisation, self._holders)
        if not self.is_hashed:
            self._random.shuffle(holders)
        for number, holder in enumerate(holders, 1):
            wait = DEADLINE_SECONDS if number == len(holders) else HOLDER_WAIT_SECONDS
            demand = ConnectionDemand(loop.time() + wait, 0, wait, organisation=organisation)
            try:
                pooled = await self._pools[holder].acquire(demand)
            except ConnectError:
                continue
            self.waits.record(loop.time() - started)
            await self._target.work(work)
            pooled.give_back()
            self.served += 1
            self.work_seconds += work
            return
        self.failed += 1


async def _play(usable: int, slots: int, seconds: float, *, is_hashed: bool, excess: int = 1):
    return await _Play(usable, slots, is_hashed, excess).run(seconds)


@BENCHMARKS.register("organisations")
async def organisations(options: Options) -> Figures:
    """Measure pools of one target; the baseline asks any holder for any organisation."""
    seconds = options.choose(300.0, 60.0)
    figures: Figures = {}
    for usable, slots in SIZES:
        plays = {
            "usual": _play(usable, slots, seconds, is_hashed=True),
            "excess": _play(usable, slots, seconds, is_hashed=True, excess=EXCESS),
            "any_holder": _play(usable, slots, seconds, is_hashed=False),
        }
        for name, play in plays.items():
            figures[f"connections_{usable}_{name}"] = await asyncio.to_thread(_run, play)
    return figures
