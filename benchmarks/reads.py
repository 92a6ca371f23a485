"""Measure 2: share of reads served by replicas at several lags."""

from __future__ import annotations

from typing import TYPE_CHECKING

from benchmarks.registry import BENCHMARKS, Figures, Options
from hibiscuspoint.load.experiment import Experiment, LoadModel
from hibiscuspoint.load.tool import run_experiment
from hibiscuspoint.load.topology import Topology

if TYPE_CHECKING:
    from hibiscuspoint.load.tool import ExperimentResult

LAGS_MS = (10, 100, 1_000, 10_000)
#: The goal is stated for one write to nine reads and a maximum age of 1 s.
READ_SHARE = 0.9
MAX_AGE_MS = 1_000
#: Lag at which the baseline, reads that accept no stale data, runs as well.
BASELINE_LAG_MS = 100


async def _measure(topology: Topology, options: Options, lag_ms: int, aged: float) -> Figures:
    for target in topology.targets:
        await topology.set_fault(target, apply_delay_ms=lag_ms)
    load = LoadModel(
        duration_s=options.choose(8.0, 3.0),
        sessions=20,
        rate=options.choose(200.0, 100.0),
        read_share=READ_SHARE,
        aged_share=aged,
        max_age_ms=MAX_AGE_MS,
    )
    return _figures(await run_experiment(Experiment(name="reads", load=load), topology))


def _figures(result: ExperimentResult) -> Figures:
    reads = [op for op in result.history.operations if op.kind.is_read and op.served_by]
    share = sum(op.from_replica for op in reads) / len(reads) if reads else 0.0
    return {
        "replica_share": round(share, 4),
        "violations": result.summary["violations"],
        "violations_by_rule": result.summary["violations_by_rule"],
        "outcomes": result.summary["outcomes"],
        "latencies": result.summary["latencies"],
    }


@BENCHMARKS.register("reads")
async def reads(options: Options) -> Figures:
    """Run the mix at each lag; the baseline reads accept no stale data."""
    figures: Figures = {}
    async with Topology(options.layout(service_time_us=1_000)) as topology:
        for lag_ms in LAGS_MS:
            figures[f"lag_{lag_ms}_ms"] = await _measure(topology, options, lag_ms, 1.0)
        figures["baseline_no_age"] = await _measure(topology, options, BASELINE_LAG_MS, 0.0)
    figures["violations"] = sum(item["violations"] for item in figures.values())
    return figures
