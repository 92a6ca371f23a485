"""Order of waiting statements by priority and arrival."""

from __future__ import annotations

import bisect
import itertools
from typing import TYPE_CHECKING

from hibiscuspoint.core.scheduling.queue import (
    ConnectionUse,
    Refusal,
    Waiter,
    latest_start,
    wait_queues,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.core.sessions import ConnectionDemand

__all__ = ["PriorityQueue"]

#: Expected uses of a connection that must fit between the start of a waiting statement and the end
#: of its time. In an overload each one starts at the last moment; many take longer than expected.
USES_BEFORE_TIMEOUT = 2


def _order(waiter: Waiter) -> tuple[int, int]:
    return waiter.demand.priority, waiter.number


@wait_queues.register("priority")
class PriorityQueue:
    """Serves the most urgent priority first, and the longest wait within one."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._waiters)

    def push(self, demand: ConnectionDemand, now: float) -> Waiter:
        """Add a demand."""
        start_until = latest_start(demand, demand.answer_until, USES_BEFORE_TIMEOUT)
        check_at = min(demand.deadline, start_until)
        waiter = Waiter(demand, next(self._numbers), now, check_at)
        bisect.insort(self._waiters, waiter, key=_order)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter that gave up; one that does not wait any more is ignored."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def pop(self, now: float, can_use: Callable[[ConnectionDemand], bool]) -> Waiter | None:
        """Remove and return the first waiter that can use an idle connection."""
        waiter = self.first(now, can_use)
        if waiter is not None:
            self._waiters.remove(waiter)
        return waiter

    def first(self, now: float, can_use: Callable[[ConnectionDemand], bool]) -> Waiter | None:
        """Return the first waiter whose demand satisfies a condition."""
        return next((waiter for waiter in self._waiters if can_use(waiter.demand)), None)

    def expired(self, now: float) -> list[Waiter]:
        """Remove and return the waiters whose answer would come too late.

        Sent all the same, they would time out, which costs their connections.
        """
        late = [waiter for waiter in self._waiters if waiter.check_at < now]
        for waiter in late:
            self._waiters.remove(waiter)
        return late

    def ahead_of(self, demand: ConnectionDemand) -> int:
        """Return the number of waiters of the same and of more urgent priorities."""
        return sum(waiter.demand.priority <= demand.priority for waiter in self._waiters)

    def check(
        self, demand: ConnectionDemand, connections: ConnectionUse, now: float
    ) -> Refusal | None:
        """Refuse a demand that would wait too long for one of the connections in use."""
        if connections.may_open or not connections.in_use:
            return None
        ahead = self.ahead_of(demand)
        wait = (ahead + 1) * connections.average_seconds / connections.in_use
        if wait <= min(demand.deadline - now, demand.max_expected_wait_seconds):
            return None
        return Refusal(f"{ahead} statements wait for {connections.in_use} connections")
