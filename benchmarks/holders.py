"""Decision D9: number of holders of a group."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from benchmarks import scrape
from benchmarks.common import OpenLoop, first_success, longest_pause
from benchmarks.registry import BENCHMARKS, Figures, Options
from hibiscuspoint.errors import HibiscusError
from hibiscuspoint.ids import CallerId
from hibiscuspoint.load.answers import statement
from hibiscuspoint.load.caller import Caller, Roaming
from hibiscuspoint.load.latency import Latencies
from hibiscuspoint.load.topology import Topology, wait_until

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hibiscuspoint.ids import GroupId, InstanceId
    from hibiscuspoint.load.answers import Answer

COUNTS = (1, 2, 3, 9)
CREATE = "CREATE TABLE IF NOT EXISTS item (key INTEGER PRIMARY KEY, value INTEGER NOT NULL)"
WRITE = "INSERT INTO item (key, value) VALUES (1, ?) ON CONFLICT (key) DO UPDATE SET value = ?"
READ = "SELECT value FROM item WHERE key = 1"
#: Callers are spread over the holders by their names.
CALLERS = 6
WRITES_PER_CALLER = 20
#: Time after a kill; longer than a lease, an election and the repair of the holder list together.
OBSERVE_S = 6.0
#: Time in which connections beyond the shares are closed.
SETTLE_S = 2.0
OPEN_CONNECTIONS = "hibiscuspoint_open_connections"


@dataclass
class _Caller:
    """One caller, the times of its acknowledged writes, and its failures."""

    caller: Caller
    acknowledged: list[float] = field(default_factory=list)
    failed: Counter[str] = field(default_factory=Counter)

    async def write(self, group: GroupId, number: int) -> None:
        try:
            await self.caller.session().write(group, statement(WRITE, number, number))
        except HibiscusError as error:
            self.failed[error.verdict.name] += 1
        else:
            self.acknowledged.append(time.monotonic())


async def _holders(topology: Topology) -> list[InstanceId]:
    status = await topology.status()
    groups = status.groups if status is not None else ()
    return [holder.instance for group in groups for holder in group.holders]


async def _set_holders(topology: Topology, count: int) -> None:
    await topology.submit(holders=count)

    async def is_listed() -> bool:
        return len(await _holders(topology)) == count

    await wait_until(is_listed, f"{count} holders")
    await asyncio.sleep(SETTLE_S)


async def _measure(call: Callable[[], Awaitable[Answer]], count: int) -> tuple[Figures, float]:
    """Run calls one at a time; return latencies and the share that replicas served."""
    latencies = Latencies()
    from_replica = 0
    for _ in range(count):
        started = time.monotonic()
        answer = await call()
        latencies.record(time.monotonic() - started)
        from_replica += answer.from_replica
    return latencies.summary(), round(from_replica / count, 4)


async def _latencies(topology: Topology, count: int) -> Figures:
    """Measure at all entries in turn, so that most requests are forwarded when holders are few."""
    group = topology.layout.group_ids[0]
    numbers = itertools.count()
    async with Caller(topology.addresses, CallerId("holders")) as caller:
        session = caller.session(Roaming.EACH_REQUEST)

        def write() -> Awaitable[Answer]:
            number = next(numbers)
            return session.write(group, statement(WRITE, number, number))

        await first_success(lambda: session.write(group, statement(CREATE)))
        await first_success(write)
        writes, _ = await _measure(write, count)
        reads, share = await _measure(lambda: session.read(group, statement(READ)), count)
    return {"write": writes, "strict_read": reads, "replica_share": share}


async def _connections(topology: Topology) -> int:
    endpoints = [
        plan.http for name, plan in topology.instances.items() if topology.process(name).is_running
    ]
    return int(await scrape.total(endpoints, OPEN_CONNECTIONS))


async def _kill_holder(topology: Topology) -> Figures:
    """Kill a holder under writes of several callers at other entries.

    The leader is spared where possible, as its loss is measured elsewhere.
    """
    holders = await _holders(topology)
    leader = await topology.leader()
    victim = next((name for name in holders if name != leader), holders[0])
    others = [plan.address for name, plan in topology.instances.items() if name != victim]
    group = topology.layout.group_ids[0]
    async with AsyncExitStack() as stack:
        callers = []
        for number in range(CALLERS):
            caller = Caller(others, CallerId(f"holders-{number}"))
            callers.append(_Caller(await stack.enter_async_context(caller)))
            loop = OpenLoop(lambda n, c=callers[-1]: c.write(group, n), WRITES_PER_CALLER)
            await stack.enter_async_context(loop)
        await asyncio.sleep(1.0)
        killed_at = time.monotonic()
        topology.process(victim).kill()
        await asyncio.sleep(OBSERVE_S)
    topology.process(victim).start()
    await topology.ready()
    gaps = [
        longest_pause(at for at in caller.acknowledged if at >= killed_at - 0.5)
        for caller in callers
    ]
    return {
        "gap_max_s": round(max(gaps), 3),
        "gap_min_s": round(min(gaps), 3),
        "failed_writes": dict(sum((caller.failed for caller in callers), Counter())),
        "victim_was_leader": victim == leader,
    }


@BENCHMARKS.register("holders")
async def holders(options: Options) -> Figures:
    """Measure one group with several numbers of holders; one holder is the baseline."""
    figures: Figures = {}
    counts = options.choose(COUNTS, COUNTS[:2])
    over_limit = 0
    async with Topology(options.layout(groups=1)) as topology:
        limit = options.deployment.connections * options.deployment.targets_per_group
        for count in counts:
            await _set_holders(topology, count)
            measured = await _latencies(topology, options.choose(200, 30))
            await asyncio.sleep(SETTLE_S)
            connections = await _connections(topology)
            over_limit += max(0, connections - limit)
            killed = await _kill_holder(topology)
            figures[f"k_{count}"] = {**measured, "idle_connections": connections, "kill": killed}
    return {**figures, "connections_over_limit": over_limit}
