"""Measure the driver against a running stand-in: runs per second and latency."""

from __future__ import annotations

import argparse
import asyncio
import time
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from hibiscuspoint.drivers import StandinDriver
from hibiscuspoint.ids import Incarnation, InstanceId, TargetId
from hibiscuspoint.standin.values import to_statement
from hibiscuspoint.util.units import MICROSECONDS_PER_SECOND
from hibiscuspoint.wire import target_pb2

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hibiscuspoint.drivers.connection import StandinConnection

__all__ = ["main"]

TIMEOUT_S = 10.0
HIGHEST_LATENCY_US = 10_000_000
PREPARE = (
    "CREATE TABLE IF NOT EXISTS measure (id INTEGER PRIMARY KEY, v INTEGER)",
    "INSERT OR REPLACE INTO measure VALUES (1, 0)",
)
RUNS = {
    "read": target_pb2.Run(
        read_only=True, statements=[to_statement("SELECT v FROM measure WHERE id = ?", 1)]
    ),
    "write": target_pb2.Run(
        begin=True,
        statements=[to_statement("UPDATE measure SET v = v + 1 WHERE id = ?", 1)],
        commit=True,
    ),
}


async def _repeat(
    connection: StandinConnection, run: target_pb2.Run, end: float, latencies: HdrHistogram
) -> None:
    while (started := time.perf_counter()) < end:
        await connection.run(run, TIMEOUT_S)
        latencies.record_value(int((time.perf_counter() - started) * MICROSECONDS_PER_SECOND))


async def _measure(name: str, connections: Sequence[StandinConnection], seconds: float) -> None:
    latencies = HdrHistogram(1, HIGHEST_LATENCY_US, 3)
    started = time.perf_counter()
    end = started + seconds
    await asyncio.gather(*(_repeat(c, RUNS[name], end, latencies) for c in connections))
    rate = latencies.get_total_count() / (time.perf_counter() - started)
    p50, p99 = (latencies.get_value_at_percentile(p) / 1000 for p in (50, 99))
    print(
        f"{name} connections={len(connections)} runs/s={rate:.0f} p50={p50:.2f}ms p99={p99:.2f}ms"
    )


async def _run(flags: argparse.Namespace) -> None:
    driver = StandinDriver.from_config()
    await driver.admin.promote(flags.address, 1, [], timeout=TIMEOUT_S)
    connections = [
        await driver.connect(
            TargetId(flags.target),
            flags.address,
            instance=InstanceId("measure"),
            instance_incarnation=Incarnation(1),
        )
        for _ in range(flags.connections)
    ]
    statements = [to_statement(sql) for sql in PREPARE]
    await connections[0].run(target_pb2.Run(statements=statements), TIMEOUT_S)
    for name in RUNS:
        await _measure(name, connections[:1], flags.seconds)
        await _measure(name, connections, flags.seconds)
    for connection in connections:
        connection.close()
    await driver.close()


def main() -> None:
    """Measure single-row reads and one-message write transactions."""
    parser = argparse.ArgumentParser(prog="python -m hibiscuspoint.standin.measure")
    parser.add_argument("--address", required=True, metavar="IP:PORT")
    parser.add_argument("--target", required=True)
    parser.add_argument("--connections", type=int, default=8)
    parser.add_argument("--seconds", type=float, default=3.0)
    asyncio.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()
