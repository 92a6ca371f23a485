"""Measure 1: time without writes after the loss of a primary, and during a switchover."""

from __future__ import annotations

import asyncio
from collections import Counter

from benchmarks.common import OpenLoop, gap_figures
from benchmarks.registry import BENCHMARKS, Figures, Options
from benchmarks.writes import WRITE_RATE, WriteRun
from hibiscuspoint.ids import CallerId
from hibiscuspoint.load.caller import Caller
from hibiscuspoint.load.checker import check
from hibiscuspoint.load.history import Outcome
from hibiscuspoint.load.topology import Topology

LOSS_RULES = ["lost-writes", "ledger"]


@BENCHMARKS.register("failover")
async def failover(options: Options) -> Figures:
    """Kill primaries and switch over under continuous writes.

    The baseline of the kills is the planned switchover in the same run.
    """
    async with (
        Topology(options.layout()) as topology,
        Caller(topology.addresses, CallerId("failover")) as caller,
    ):
        run = WriteRun(topology, caller, topology.layout.group_ids[0])
        await run.workload.prepare(caller.session())
        async with OpenLoop(run.write, WRITE_RATE):
            await asyncio.sleep(1.0)
            kills = []
            for _ in range(options.choose(10, 2)):
                killed, gap = await run.kill_primary()
                kills.append(gap)
                await run.restart(killed)
            before = len(run.operations)
            switchovers = [await run.switch_over() for _ in range(options.choose(3, 1))]
        history = run.recorder.history()
        history.readouts.append(await run.workload.readout(caller.session()))
    rejected = [op for op in run.operations[before:] if op.outcome is not Outcome.OK]
    return {
        "kill": gap_figures(kills),
        "switchover": {**gap_figures(switchovers), "rejected": len(rejected)},
        "writes": dict(Counter(op.outcome.value for op in history.operations)),
        "acknowledged_lost": len(check(history, LOSS_RULES)),
        "violations": len(check(history)),
    }
