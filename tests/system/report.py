"""Report on a failed system test, from which its cause can be found without a second run."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING

from hibiscuspoint.load.history import Outcome

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from hibiscuspoint.load.history import Operation
    from hibiscuspoint.load.topology import Topology

__all__ = ["report"]

#: Time before the failure whose operations are counted, in seconds.
LAST_S = 10.0
#: Lines of the log of each process.
LOG_LINES = 25


async def report(topology: Topology, operations: Sequence[Operation]) -> str:
    """Return the last outcomes at each entry, and the end of the log of each process."""
    lines = ["outcomes of the last 10 s by entry, class, outcome and code:"]
    counts = Counter(_class(op) for op in operations if _is_late(op))
    lines += [f"  {count:5} {' '.join(key)}" for key, count in sorted(counts.items())]
    for name in (*topology.instances, *topology.targets):
        process = topology.process(name)
        lines.append(f"{name} exit status: {process.exit_status()}, last log lines:")
        lines += _last_lines(topology.directory / name / "events.jsonl")
        lines += _last_lines(topology.directory / f"{name}.out")
    return "\n".join(lines)


def _is_late(operation: Operation) -> bool:
    completed = operation.completed_at
    return completed is None or completed >= time.monotonic() - LAST_S


def _class(operation: Operation) -> tuple[str, ...]:
    is_open = operation.completed_at is None
    outcome = "open" if is_open else operation.outcome.value
    code = "" if operation.outcome is Outcome.OK else operation.error_code
    return operation.entry, operation.kind.value, outcome, code, operation.served_by


def _last_lines(path: Path) -> list[str]:
    lines = path.read_text(errors="replace").splitlines() if path.exists() else []
    return [f"  {line}" for line in lines[-LOG_LINES:]]
