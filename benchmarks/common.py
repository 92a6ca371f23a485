"""Load patterns shared by the benchmarks."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

__all__ = ["OpenLoop", "gap_figures", "median"]


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
