"""Cost of control on each node: CPU, memory and bytes of an idle environment."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import psutil

from benchmarks.common import median
from benchmarks.registry import BENCHMARKS, Figures, Options
from benchmarks.sockets import process_bytes, socket_bytes
from hibiscuspoint.load.topology import Topology

if TYPE_CHECKING:
    from collections.abc import Callable

#: Numbers of entry instances; the targets come on top.
SIZES = (9, 30, 90)
QUICK_SIZES = (9,)
#: Time for attachments and announcements to become steady in seconds.
SETTLE_S = 3.0
START_TIMEOUT_S = 180.0
MEGABYTE = 1024 * 1024
KILOBYTE = 1024


@dataclass(frozen=True, slots=True)
class _Cost:
    """Cost of one node."""

    cpu_percent: float
    memory_mb: float
    kb_per_s: float


async def _costs(topology: Topology, seconds: float) -> dict[str, _Cost]:
    processes = {name: psutil.Process(topology.process(name).pid) for name in topology.instances}
    started = time.monotonic()
    before = _sample(processes)
    await asyncio.sleep(seconds)
    after = _sample(processes)
    elapsed = time.monotonic() - started
    return {
        name: _Cost(
            cpu_percent=100 * (after[name][0] - before[name][0]) / elapsed,
            memory_mb=process.memory_info().rss / MEGABYTE,
            kb_per_s=(after[name][1] - before[name][1]) / elapsed / KILOBYTE,
        )
        for name, process in processes.items()
    }


def _sample(processes: dict[str, psutil.Process]) -> dict[str, tuple[float, int]]:
    """Return CPU seconds and socket bytes of each process."""
    counters = socket_bytes()
    samples = {}
    for name, process in processes.items():
        times = process.cpu_times()
        samples[name] = (times.user + times.system, process_bytes(process.pid, counters))
    return samples


def _figures(costs: dict[str, _Cost], leader: str, control: set[str]) -> Figures:
    """Return the figures of all nodes, of those that only run an entry, and of the leader.

    The nodes without control are the baseline of those with it.
    """
    entries = [cost for name, cost in costs.items() if name not in control]
    everything = list(costs.values())

    def spread(name: str, chosen: list[_Cost], value: Callable[[_Cost], float]) -> Figures:
        values = [value(cost) for cost in chosen] or [0.0]
        return {f"{name}_median": round(median(values), 3), f"{name}_max": round(max(values), 3)}

    return {
        "nodes": len(costs),
        **spread("cpu_percent", everything, lambda cost: cost.cpu_percent),
        **spread("memory_mb", everything, lambda cost: cost.memory_mb),
        **spread("kb_per_s", everything, lambda cost: cost.kb_per_s),
        **spread("entry_cpu_percent", entries, lambda cost: cost.cpu_percent),
        **spread("entry_kb_per_s", entries, lambda cost: cost.kb_per_s),
        "leader_cpu_percent": round(costs[leader].cpu_percent, 3),
        "leader_kb_per_s": round(costs[leader].kb_per_s, 3),
    }


async def _measure(options: Options, size: int) -> Figures:
    layout = options.layout(entries=size, groups=1)
    topology = Topology(layout)
    try:
        topology.launch()
        await topology.submit(START_TIMEOUT_S)
        await topology.ready(START_TIMEOUT_S)
        await asyncio.sleep(SETTLE_S)
        costs = await _costs(topology, options.choose(10.0, 5.0))
        leader = await topology.leader()
    finally:
        await topology.close()
    control = {name for name, plan in topology.instances.items() if plan.is_control}
    return _figures(costs, leader, control)


@BENCHMARKS.register("control")
async def control(options: Options) -> Figures:
    """Measure idle environments of several sizes."""
    sizes = QUICK_SIZES if options.quick else SIZES
    figures = {f"nodes_{size}": await _measure(options, size) for size in sizes}
    return {**figures, "largest": figures[f"nodes_{sizes[-1]}"]}
