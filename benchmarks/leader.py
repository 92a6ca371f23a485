"""Cost of a real control leader for light entries and targets up to the full size."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import multiprocessing
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING

import grpc.aio
import psutil
import tomli_w

from benchmarks.fleet import FleetPart, FleetResult, run_part
from benchmarks.registry import BENCHMARKS, Figures, Options
from benchmarks.sockets import process_bytes, socket_bytes
from hibiscuspoint.errors import HibiscusError
from hibiscuspoint.ids import InstanceId
from hibiscuspoint.load.layout import InstancePlan, Layout, document, node_settings
from hibiscuspoint.load.operator_client import CALL_TIMEOUT_S, Operator
from hibiscuspoint.load.ports import PortAllocator
from hibiscuspoint.load.process import OwnedProcess
from hibiscuspoint.load.topology import wait_until

if TYPE_CHECKING:
    from collections.abc import Sequence

logger = logging.getLogger(__name__)

#: Entries; targets and groups in the proportion of section 1.5.
SIZES = (9, 90, 270, 560)
QUICK_SIZES = (9, 30)
TARGETS_AT_560 = 590
TARGETS_PER_GROUP = 3
GENERATORS = 3
#: Time for attachments, promotions and shares to become steady in seconds.
SETTLE_S = 10.0
KILOBYTE = 1024
MEGABYTE = 1024 * 1024


def group_count(entries: int) -> int:
    """Return the number of groups in proportion to the entries."""
    return max(3, round(entries * TARGETS_AT_560 / 560 / TARGETS_PER_GROUP))


def parts(
    leader: str, layout: Layout, entries: int, start: float, seconds: float
) -> list[FleetPart]:
    """Return the shares of the generator processes; the members of a group stay together."""
    names = [f"entry-{number}" for number in range(entries)]
    return [
        FleetPart(
            leader=leader,
            entries=tuple(names[part::GENERATORS]),
            targets=tuple(
                (target, group)
                for group in layout.group_ids[part::GENERATORS]
                for target in layout.target_ids(group)
            ),
            measure_from=start,
            seconds=seconds,
        )
        for part in range(GENERATORS)
    ]


def document_seconds(
    results: Sequence[FleetResult], number: int, entries: int, submitted: float
) -> float | None:
    """Return the time until all entries had a document; ``None`` if some never had it."""
    seen = [at for result in results for at in result.documents.get(number, {}).values()]
    return round(max(seen) - submitted, 3) if len(seen) == entries else None


class _Leader:
    """A control group of one process."""

    def __init__(self, layout: Layout, directory: Path) -> None:
        ports = PortAllocator()
        name = InstanceId("instance-1")
        self.address = ports.address()
        plan = InstancePlan(
            instance=name,
            zone=layout.zone(0),
            address=self.address,
            http=ports.address(),
            members={name: self.address},
        )
        settings = directory / "node.toml"
        settings.write_text(tomli_w.dumps(node_settings(layout, plan)), encoding="utf-8")
        arguments = ["hibiscuspoint.daemon", "--settings", str(settings)]
        self.process = OwnedProcess(name, arguments, directory)
        self._layout = layout

    async def submit(self, number: int) -> None:
        """Submit a document, repeating until it is accepted."""
        # The timeout differs, so that each document differs from the one before it.
        text = tomli_w.dumps(document(self._layout, number, default_timeout_ms=5_000 + number))
        operator = Operator(self.address)

        async def is_accepted() -> bool:
            try:
                await operator.submit(text)
            except (grpc.aio.AioRpcError, HibiscusError):
                self.process.check()
                return False
            return True

        try:
            await wait_until(is_accepted, "submit the document", 2 * CALL_TIMEOUT_S)
        finally:
            await operator.close()


def _sample(process: psutil.Process) -> tuple[float, int]:
    times = process.cpu_times()
    return times.user + times.system, process_bytes(process.pid, socket_bytes())


async def _measure(options: Options, entries: int) -> Figures:
    seconds = options.choose(6.0, 3.0)
    layout = options.layout(groups=group_count(entries))
    with tempfile.TemporaryDirectory(prefix="hibiscuspoint-leader-") as name:
        leader = _Leader(layout, Path(name))
        leader.process.start()
        try:
            await leader.submit(1)
            return await _drive(leader, layout, entries, seconds)
        finally:
            leader.process.kill()


async def _drive(leader: _Leader, layout: Layout, entries: int, seconds: float) -> Figures:
    start = time.monotonic() + SETTLE_S
    loop = asyncio.get_running_loop()
    context = multiprocessing.get_context("spawn")
    process = psutil.Process(leader.process.pid)
    with ProcessPoolExecutor(GENERATORS, mp_context=context) as executor:
        # The document of the change follows the measured time, within the life of the fleet.
        fleet = parts(leader.address, layout, entries, start, seconds + SETTLE_S)
        running = [loop.run_in_executor(executor, run_part, part) for part in fleet]
        await asyncio.sleep(max(0.0, start - time.monotonic()))
        before, began = _sample(process), time.monotonic()
        await asyncio.sleep(seconds)
        after, elapsed = _sample(process), time.monotonic() - began
        submitted = time.monotonic()
        with contextlib.suppress(TimeoutError):
            # An overloaded leader accepts nothing; the time of the change is then missing.
            await leader.submit(2)
        results = await asyncio.gather(*running)
    measured_s = seconds + SETTLE_S
    announced = sum(result.announcements for result in results)
    updates = sum(result.updates for result in results)
    return {
        "entries": entries,
        "targets": sum(len(part.targets) for part in fleet),
        "groups": len(layout.group_ids),
        "cpu_percent": round(100 * (after[0] - before[0]) / elapsed, 2),
        "kb_per_s": round((after[1] - before[1]) / elapsed / KILOBYTE, 1),
        "memory_mb": round(process.memory_info().rss / MEGABYTE, 1),
        "reports_per_s": round(sum(result.reports for result in results) / measured_s, 1),
        "updates_per_s": round(updates / measured_s, 1),
        "bytes_per_update": round(sum(r.update_bytes for r in results) / max(1, updates), 1),
        "announcements_per_s": round(announced / measured_s, 1),
        "announcements_failed_share": round(
            sum(result.announcements_failed for result in results) / max(1, announced), 4
        ),
        "leased_routes_per_update": round(sum(r.routes for r in results) / max(1, updates), 3),
        "document_s": document_seconds(results, 2, entries, submitted),
    }


@BENCHMARKS.register("leader")
async def leader(options: Options) -> Figures:
    """Measure one control process at several sizes; the smallest is the baseline."""
    sizes = options.choose(SIZES, QUICK_SIZES)
    figures = {}
    for size in sizes:
        figures[f"entries_{size}"] = await _measure(options, size)
        logger.info("%s", figures[f"entries_{size}"])
    return {**figures, "largest": figures[f"entries_{sizes[-1]}"]}
