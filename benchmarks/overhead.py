"""Measure 3: latency added for each statement, and statements/s of one entry process."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import psutil

from benchmarks.common import first_success
from benchmarks.direct import DirectGroup
from benchmarks.generator import ReadLoad, drive
from benchmarks.registry import BENCHMARKS, Figures, Options
from hibiscuspoint.ids import CallerId
from hibiscuspoint.load.answers import statement
from hibiscuspoint.load.caller import Caller
from hibiscuspoint.load.latency import Latencies
from hibiscuspoint.load.topology import Topology

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hibiscuspoint.wire import common_pb2

CREATE = "CREATE TABLE IF NOT EXISTS item (key INTEGER PRIMARY KEY, value INTEGER NOT NULL)"
WRITE = "INSERT INTO item (key, value) VALUES (?, ?) ON CONFLICT (key) DO UPDATE SET value = ?"
READ = "SELECT value FROM item WHERE key = 1"
KEYS = 100
WARM_UP = 50
#: Connections of the baseline; one statement runs at a time.
DIRECT_CONNECTIONS = 2
GENERATORS = 2
SESSIONS_PER_GENERATOR = 32
MAX_AGE_MS = 1_000


def _write(number: int) -> common_pb2.Statement:
    return statement(WRITE, number % KEYS, number, number)


async def _measure(call: Callable[[int], Awaitable[object]], count: int) -> dict[str, float]:
    """Run a call again and again, one at a time."""
    latencies = Latencies()
    for number in range(-WARM_UP, count):
        started = time.monotonic()
        await call(number)
        if number >= 0:
            latencies.record(time.monotonic() - started)
    return latencies.summary()


async def _direct(options: Options, count: int) -> Figures:
    read = statement(READ)
    layout = options.layout(groups=1, service_time_us=0)
    async with DirectGroup(layout, DIRECT_CONNECTIONS) as group:
        await group.run(statement(CREATE), read_only=False)
        return {
            "write": await _measure(lambda n: group.run(_write(n), read_only=False), count),
            "read": await _measure(lambda _: group.run(read, read_only=True), count),
        }


async def _product(topology: Topology, count: int) -> Figures:
    group = topology.layout.group_ids[0]
    read = statement(READ)
    async with Caller(topology.addresses, CallerId("overhead")) as caller:
        session = caller.session()
        for name in topology.layout.group_ids:
            await first_success(lambda name=name: session.write(name, statement(CREATE)))
        await topology.applied()
        return {
            "write": await _measure(lambda n: session.write(group, _write(n)), count),
            "read": await _measure(lambda _: session.read(group, read), count),
            "aged_read": await _measure(
                lambda _: session.read(group, read, max_age_ms=MAX_AGE_MS), count
            ),
        }


async def _throughput(topology: Topology, seconds: float) -> Figures:
    instance = topology.layout.instance_ids[0]
    process = psutil.Process(topology.process(instance).pid)
    load = ReadLoad(
        addresses=tuple(topology.addresses),
        groups=tuple(topology.layout.group_ids),
        sql=READ,
        sessions=SESSIONS_PER_GENERATOR,
        seconds=seconds,
        max_age_ms=MAX_AGE_MS,
    )
    process.cpu_percent()
    rate, failures = await drive(load, GENERATORS)
    return {
        "statements_per_s": round(rate, 1),
        "failures": failures,
        "entry_cpu_percent": process.cpu_percent(),
    }


@BENCHMARKS.register("overhead")
async def overhead(options: Options) -> Figures:
    """Compare one entry process with direct access to the same stand-ins.

    Writes of the baseline do not wait for a quorum, so the added latency contains that wait.
    """
    count = options.choose(1_000, 200)
    direct = await _direct(options, count)
    layout = options.layout(entries=1, control=1, service_time_us=0)
    async with Topology(layout) as topology:
        product = await _product(topology, count)
        throughput = await _throughput(topology, options.choose(10.0, 2.0))
    added = {
        f"{kind}_{percentile}_ms": round(
            product[kind][f"{percentile}_ms"] - direct[kind][f"{percentile}_ms"], 3
        )
        for kind in ("read", "write")
        for percentile in ("p50", "p99")
    }
    return {"added": added, "direct": direct, "product": product, "throughput": throughput}
