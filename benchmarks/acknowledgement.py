"""Decision D3: cost of the quorum acknowledgement, and what acknowledging at once would lose."""

from __future__ import annotations

import asyncio
import sqlite3
import time
from typing import TYPE_CHECKING

from benchmarks import scrape
from benchmarks.common import OpenLoop, first_success
from benchmarks.registry import BENCHMARKS, Figures, Options
from benchmarks.writes import WriteRun
from hibiscuspoint.ids import CallerId
from hibiscuspoint.load.answers import statement
from hibiscuspoint.load.caller import Caller
from hibiscuspoint.load.checker import check
from hibiscuspoint.load.latency import Latencies
from hibiscuspoint.load.topology import Topology

if TYPE_CHECKING:
    from pathlib import Path

SHIP_DELAYS_MS = (0, 1, 10, 100)
#: Ship delays at which primaries are killed: replicas without and with lag.
KILL_DELAYS_MS = (0, 10)
KILL_WRITE_RATE = 100
CREATE = "CREATE TABLE IF NOT EXISTS item (key INTEGER PRIMARY KEY, value INTEGER NOT NULL)"
WRITE = "INSERT INTO item (key, value) VALUES (1, ?) ON CONFLICT (key) DO UPDATE SET value = ?"
ACK_WAIT = "hibiscuspoint_ack_wait_seconds"
LOG = "SELECT idx, term FROM hibiscus_standin_log"
LOSS_RULES = ["lost-writes", "ledger"]


def log_records(path: Path) -> set[tuple[int, int]]:
    """Return index and term of each record in the database file of a stand-in."""
    database = sqlite3.connect(f"file:{path}?mode=ro", uri=True)
    try:
        return set(database.execute(LOG))
    finally:
        database.close()


async def _set_delay(topology: Topology, delay_ms: int) -> None:
    for target in topology.targets:
        await topology.set_fault(target, ship_delay_ms=delay_ms)


async def _latency(topology: Topology, caller: Caller, delay_ms: int, count: int) -> Figures:
    """Measure writes one at a time; the holders measure the wait that acknowledging at once saves.

    A holder waits from the commit response of the primary until the quorum holds the position.
    """
    await _set_delay(topology, delay_ms)
    group = topology.layout.group_ids[0]
    session = caller.session()
    pages = [plan.http for plan in topology.instances.values()]
    await first_success(lambda: session.write(group, statement(CREATE)))
    waited = await scrape.total(pages, f"{ACK_WAIT}_sum")
    writes = await scrape.total(pages, f"{ACK_WAIT}_count")
    latencies = Latencies()
    seconds = 0.0
    for number in range(count):
        started = time.monotonic()
        await session.write(group, statement(WRITE, number, number))
        elapsed = time.monotonic() - started
        seconds += elapsed
        latencies.record(elapsed)
    waited = await scrape.total(pages, f"{ACK_WAIT}_sum") - waited
    writes = await scrape.total(pages, f"{ACK_WAIT}_count") - writes
    mean_ms = 1000 * seconds / count
    wait_ms = 1000 * waited / writes
    return {
        "quorum": {**latencies.summary(), "mean_ms": round(mean_ms, 3)},
        "ack_wait_mean_ms": round(wait_ms, 3),
        "at_once_mean_ms": round(mean_ms - wait_ms, 3),
    }


async def _kills(topology: Topology, run: WriteRun, delay_ms: int, count: int) -> Figures:
    """Kill primaries and count those with committed writes that the new primary does not hold.

    The new primary has the longest log of the replicas, so no other replica holds them either.
    """
    await _set_delay(topology, delay_ms)
    unheld = []
    for _ in range(count):
        killed, _gap = await run.kill_primary()
        promoted = await topology.primary(run.workload.group)
        missing = log_records(_database(topology, killed)) - log_records(
            _database(topology, promoted)
        )
        unheld.append(len(missing))
        await run.restart(killed)
    lossy = sum(number > 0 for number in unheld)
    return {
        "kills": count,
        "writes_per_s": KILL_WRITE_RATE,
        "share_with_unheld_writes": round(lossy / count, 3),
        "unheld_writes": unheld,
    }


def _database(topology: Topology, target: str) -> Path:
    return topology.directory / target / "target.sqlite"


@BENCHMARKS.register("acknowledgement")
async def acknowledgement(options: Options) -> Figures:
    """Compare (b), the quorum, with (a), acknowledging at once, in latency and lost writes."""
    figures: Figures = {}
    async with (
        Topology(options.layout(groups=1)) as topology,
        Caller(topology.addresses, CallerId("acknowledgement")) as caller,
    ):
        for delay_ms in SHIP_DELAYS_MS:
            measured = await _latency(topology, caller, delay_ms, options.choose(200, 30))
            figures[f"ship_{delay_ms}_ms"] = measured
        run = WriteRun(topology, caller, topology.layout.group_ids[0])
        await run.workload.prepare(caller.session())
        async with OpenLoop(run.write, KILL_WRITE_RATE):
            await asyncio.sleep(1.0)
            for delay_ms in KILL_DELAYS_MS:
                kills = await _kills(topology, run, delay_ms, options.choose(5, 1))
                figures[f"kills_ship_{delay_ms}_ms"] = kills
        history = run.recorder.history()
        history.readouts.append(await run.workload.readout(caller.session()))
    return {**figures, "acknowledged_lost": len(check(history, LOSS_RULES))}
