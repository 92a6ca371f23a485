"""Times at which records entered the log, for delayed shipping and applying."""

from __future__ import annotations

import asyncio
from bisect import bisect_right
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscuspoint.standin.engine import Engine

__all__ = ["Arrivals", "ChangeSignal"]

# Older entries count as due, which bounds memory at high rates.
MAX_ENTRIES = 200_000


class ChangeSignal:
    """Wakes one task after changes; changes while it runs are merged."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def set(self) -> None:
        """Wake the task."""
        self._event.set()

    async def wait(self, timeout: float | None = None) -> bool:
        """Wait for a change; return ``False`` after ``timeout`` seconds without one."""
        if not self._event.is_set():
            try:
                async with asyncio.timeout(timeout):
                    await self._event.wait()
            except TimeoutError:
                return False
        self._event.clear()
        return True


class Arrivals:
    """Arrival time of each record; records found at the start count as due."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self._floor = engine.received.index
        self._indexes: list[int] = []
        self._times: list[float] = []
        engine.add_listener(self._on_change)

    def due_index(self, delay: float) -> int:
        """Return the last index that arrived at least ``delay`` seconds ago."""
        if delay <= 0:
            return self._engine.received.index
        count = bisect_right(self._times, self._now() - delay)
        index = self._indexes[count - 1] if count else self._floor
        return min(index, self._engine.received.index)

    def wait_s(self, delay: float) -> float | None:
        """Return the seconds until another record is due, ``None`` if none is waiting."""
        count = bisect_right(self._times, self._now() - delay)
        if count == len(self._times):
            return None
        return max(self._times[count] + delay - self._now(), 0.0)

    def _on_change(self) -> None:
        last = self._engine.received.index
        while self._indexes and self._indexes[-1] > last:
            self._indexes.pop()
            self._times.pop()
        self._floor = min(self._floor, last)
        if last > (self._indexes[-1] if self._indexes else self._floor):
            self._indexes.append(last)
            self._times.append(self._now())
        if len(self._indexes) > MAX_ENTRIES:
            self._prune()

    def _prune(self) -> None:
        count = MAX_ENTRIES // 2
        self._floor = self._indexes[count - 1]
        del self._indexes[:count]
        del self._times[:count]

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
