"""Load tool: runs an experiment, checks its history and summarizes it."""

from __future__ import annotations

import asyncio
import json
import logging
import time
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path
from typing import TYPE_CHECKING, Any

from hibiscuspoint.ids import GroupId
from hibiscuspoint.load.checker import check
from hibiscuspoint.load.experiment import Experiment
from hibiscuspoint.load.faults import apply_faults
from hibiscuspoint.load.history import Outcome
from hibiscuspoint.load.runner import LoadRunner
from hibiscuspoint.load.topology import Topology

if TYPE_CHECKING:
    from hibiscuspoint.load.checker import Violation
    from hibiscuspoint.load.history import History

__all__ = ["ExperimentResult", "run", "run_experiment", "summarize"]

logger = logging.getLogger(__name__)

#: Violations that a summary repeats in words.
LISTED_VIOLATIONS = 20


class ExperimentResult:
    """Outcome of one experiment.

    :param history: all operations with the final contents.
    :param summary: counts, latencies and violations, ready for JSON.
    """

    def __init__(self, history: History, summary: dict[str, Any]) -> None:
        self.history = history
        self.summary = summary

    @property
    def holds(self) -> bool:
        """Tell whether the history violates no guarantee."""
        return not self.summary["violations"]


def run(path: Path | str) -> ExperimentResult:
    """Run the experiment of a TOML file and write the files that it names.

    :raises ConfigurationError: the file is not valid.
    """
    path = Path(path)
    experiment = Experiment.from_file(path)
    result = asyncio.run(run_experiment(experiment))
    if experiment.output.history:
        result.history.write(path.parent / experiment.output.history)
    if experiment.output.summary:
        text = json.dumps(result.summary, indent=2)
        (path.parent / experiment.output.summary).write_text(text + "\n", encoding="utf-8")
    return result


async def run_experiment(
    experiment: Experiment, topology: Topology | None = None
) -> ExperimentResult:
    """Run an experiment.

    :param topology: a started topology to use; by default one is launched, unless the experiment
        names the entries of a running system.
    """
    system = experiment.system
    async with AsyncExitStack() as stack:
        if topology is None and not system.entries:
            topology = await stack.enter_async_context(Topology(system.layout))
        if topology is None:
            addresses, groups = list(system.entries), [GroupId(name) for name in system.group_names]
        else:
            addresses, groups = topology.addresses, topology.layout.group_ids
        # Table names differ between runs on one database, because readouts cover whole tables.
        name = f"{experiment.name}_{time.time_ns() // 1_000_000}"
        runner = LoadRunner(experiment.load, addresses, groups, name)
        stack.push_async_callback(runner.close)
        await runner.prepare()
        if topology is not None:
            # At a replica that has not applied the set-up, reads of fresh tables would fail.
            await topology.applied()
        started = time.monotonic()
        await _run_with_faults(runner, experiment, topology)
        seconds = time.monotonic() - started
        history = await runner.history()
    summary = summarize(history, seconds)
    summary["latencies"] = {name: item.summary() for name, item in runner.latencies.items()}
    return ExperimentResult(history, {"name": experiment.name, **summary})


async def _run_with_faults(
    runner: LoadRunner, experiment: Experiment, topology: Topology | None
) -> None:
    async with asyncio.TaskGroup() as group:
        group.create_task(runner.run())
        if topology is not None:
            group.create_task(apply_faults(topology, experiment.fault))


def summarize(history: History, seconds: float) -> dict[str, Any]:
    """Return the counts of a history and what the checker found.

    :param seconds: duration of the run.
    """
    violations = check(history)
    outcomes = Counter(op.outcome.value for op in history.operations)
    aged = [op for op in history.operations if op.max_age_ms and op.outcome is Outcome.OK]
    replica_reads = sum(op.from_replica for op in aged)
    return {
        "seconds": round(seconds, 3),
        "operations": len(history.operations),
        "successes_per_s": round(outcomes[Outcome.OK.value] / seconds, 1) if seconds else 0.0,
        "outcomes": dict(outcomes),
        "errors": dict(Counter(op.error_code for op in history.operations if op.error_code)),
        "replica_share_of_aged_reads": round(replica_reads / len(aged), 4) if aged else None,
        "violations": len(violations),
        "violations_by_rule": dict(Counter(violation.rule for violation in violations)),
        "first_violations": [_describe(item) for item in violations[:LISTED_VIOLATIONS]],
    }


def _describe(violation: Violation) -> str:
    return f"{violation.rule}, operation {violation.op_id}: {violation.message}"
