"""Load patterns shared by the benchmarks."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from hibiscuspoint.errors import HibiscusError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

__all__ = ["OpenLoop", "first_success", "gap_figures", "longest_pause", "median"]

RETRY_INTERVAL_S = 0.1
FIRST_SUCCESS_TIMEOUT_S = 30.0


class OpenLoop:
    """Starts an operation at fixed intervals, whether or not earlier ones have ended.

    :param operate: starts the operation with this number.
    :param rate: operations a second.
    """

    def __init__(self, operate: Callable[[int], Awaitable[object]], rate: float) -> None:
        self._operate = operate
        self._interval = 1 / rate
        self._is_stopping = False
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> OpenLoop:
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *_exc: object) -> None:
        self._is_stopping = True
        await self._task

    async def _run(self) -> None:
        async with asyncio.TaskGroup() as group:
            due = time.monotonic()
            number = 0
            while not self._is_stopping:
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                group.create_task(self._operate(number))
                number += 1
                due += self._interval


async def first_success(call: Callable[[], Awaitable[object]]) -> None:
    """Repeat an idempotent call until it succeeds, so that a measurement starts in a steady state.

    :raises HibiscusError: the call still fails after ``FIRST_SUCCESS_TIMEOUT_S``.
    """
    deadline = time.monotonic() + FIRST_SUCCESS_TIMEOUT_S
    while True:
        try:
            await call()
        except HibiscusError:
            if time.monotonic() >= deadline:
                raise
            await asyncio.sleep(RETRY_INTERVAL_S)
        else:
            return


def median(values: Iterable[float]) -> float:
    """Return the median, the lower one of two."""
    ordered = sorted(values)
    return ordered[(len(ordered) - 1) // 2]


def gap_figures(seconds: list[float]) -> dict[str, float]:
    """Return count, median and maximum of gaps in seconds."""
    return {
        "count": len(seconds),
        "gap_median_s": round(median(seconds), 4),
        "gap_max_s": round(max(seconds), 4),
    }


def longest_pause(times: Iterable[float]) -> float:
    """Return the longest time between two successive instants, 0 with fewer than two."""
    ordered = sorted(times)
    pauses = (later - earlier for earlier, later in zip(ordered, ordered[1:], strict=False))
    return max(pauses, default=0.0)
