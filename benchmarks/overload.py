"""Measure 4: goodput and rejections at multiples of the capacity of the slots."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import TYPE_CHECKING

from benchmarks.common import OpenLoop
from benchmarks.direct import DirectGroup
from benchmarks.registry import BENCHMARKS, Figures, Options
from hibiscuspoint.errors import HibiscusError
from hibiscuspoint.ids import CallerId
from hibiscuspoint.load.answers import statement
from hibiscuspoint.load.caller import Caller
from hibiscuspoint.load.latency import Latencies
from hibiscuspoint.load.topology import Topology
from hibiscuspoint.util.units import MICROSECONDS_PER_SECOND
from hibiscuspoint.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

MULTIPLES = (0.5, 1.0, 2.0, 4.0)
#: Long statements keep the rates low enough for a load generator in Python.
SERVICE_TIME_US = 30_000
TIMEOUT_S = 1.0
READ = "SELECT 1"


class _Outcomes:
    """What became of the requests of one rate."""

    def __init__(self) -> None:
        self.successes = Latencies()
        self.rejections = Latencies()
        self.verdicts: Counter[str] = Counter()

    async def observe(self, call: Awaitable[object]) -> None:
        """Await a request and count its outcome."""
        started = time.monotonic()
        try:
            await call
        except HibiscusError as error:
            self._fail(error.verdict, time.monotonic() - started)
        except TimeoutError:
            self._fail(Verdict.MAY_HAVE_RUN, time.monotonic() - started)
        else:
            self.verdicts[Verdict.DONE.name] += 1
            self.successes.record(time.monotonic() - started)

    def _fail(self, verdict: Verdict, seconds: float) -> None:
        self.verdicts[verdict.name] += 1
        self.rejections.record(seconds)

    def figures(self, seconds: float) -> Figures:
        """Return the figures; goodput counts requests that ended within their time."""
        return {
            "goodput_per_s": round(self.successes.count / seconds, 1),
            "verdicts": dict(self.verdicts),
            "success": self.successes.summary(),
            "rejection": self.rejections.summary(),
        }


async def _measure(
    request: Callable[[int], Awaitable[object]], rate: float, seconds: float
) -> Figures:
    outcomes = _Outcomes()
    async with OpenLoop(lambda number: outcomes.observe(request(number)), rate):
        await asyncio.sleep(seconds)
    return outcomes.figures(seconds)


async def _direct(options: Options, rate: float, seconds: float) -> Figures:
    """Measure unlimited queues before the slots, the baseline without admission control.

    Each rate gets a group of its own, because the queue of one would delay the next.
    """
    layout = options.layout(groups=1, service_time_us=SERVICE_TIME_US, has_latency=False)
    read = statement(READ)
    async with DirectGroup(layout, options.deployment.slots) as group:

        async def request(number: int) -> None:
            async with asyncio.timeout(TIMEOUT_S):
                await group.run(read, read_only=True, member=number)

        return await _measure(request, rate, seconds)


async def _product(options: Options, capacity: float, seconds: float) -> Figures:
    layout = options.layout(groups=1, service_time_us=SERVICE_TIME_US)
    read = statement(READ)
    async with (
        Topology(layout) as topology,
        Caller(topology.addresses, CallerId("overload")) as caller,
    ):
        group = layout.group_ids[0]

        def request(_number: int) -> Awaitable[object]:
            return caller.session().read(group, read, max_age_ms=1_000, timeout=TIMEOUT_S)

        return {
            f"{multiple}x": await _measure(request, capacity * multiple, seconds)
            for multiple in MULTIPLES
        }


@BENCHMARKS.register("overload")
async def overload(options: Options) -> Figures:
    """Offer reads at multiples of what the slots of one group carry."""
    deployment = options.deployment
    slots = deployment.slots * deployment.targets_per_group
    capacity = slots / (SERVICE_TIME_US / MICROSECONDS_PER_SECOND)
    seconds = options.choose(6.0, 3.0)
    direct = {
        f"{multiple}x": await _direct(options, capacity * multiple, seconds)
        for multiple in MULTIPLES
    }
    product = await _product(options, capacity, seconds)
    best = max(item["goodput_per_s"] for item in product.values())
    failed: Counter[str] = Counter()
    for item in product.values():
        failed.update(item["verdicts"])
    rejected = failed.total() - failed[Verdict.DONE.name]
    return {
        "capacity_per_s": capacity,
        "goodput_4x_of_best": round(product["4.0x"]["goodput_per_s"] / best, 4) if best else 0.0,
        "rejections_not_run_share": (
            round(failed[Verdict.NOT_RUN.name] / rejected, 4) if rejected else 1.0
        ),
        "product": product,
        "direct": direct,
    }
