"""Order of the waiting demands of one class: organisations in turn by service time."""

from __future__ import annotations

import bisect
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from hibiscuspoint.core.scheduling.queue import Waiter
    from hibiscuspoint.core.sessions import ConnectionDemand
    from hibiscuspoint.ids import OrganisationId

__all__ = ["ClassFlows"]


def _order(waiter: Waiter) -> tuple[bool, float, int]:
    """Return the order within an organisation: first attempts, then the earliest due time."""
    demand = waiter.demand
    return demand.is_retry, min(demand.objective_at, demand.deadline), waiter.number


@dataclass
class _Flow:
    """Demands of one organisation.

    :param start: virtual time at which its next demand starts.
    """

    start: float
    waiters: list[Waiter] = field(default_factory=list)


class ClassFlows:
    """Start-time fair queueing over the expected service time of the demands of a class."""

    def __init__(self) -> None:
        self._flows: dict[OrganisationId, _Flow] = {}
        self._virtual = 0.0
        self._count = 0
        #: Expected service time of all waiting demands in seconds.
        self.work = 0.0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[Waiter]:
        return (waiter for flow in self._flows.values() for waiter in flow.waiters)

    def push(self, waiter: Waiter) -> None:
        """Add a demand; an organisation that was absent starts at the present virtual time."""
        flow = self._flows.get(waiter.demand.organisation)
        if flow is None:
            flow = self._flows[waiter.demand.organisation] = _Flow(self._virtual)
        elif not flow.waiters:
            flow.start = max(flow.start, self._virtual)
        bisect.insort(flow.waiters, waiter, key=_order)
        self._count += 1
        self.work += waiter.service_seconds

    def remove(self, waiter: Waiter) -> bool:
        """Remove a demand that is not served; returns whether it waited."""
        flow = self._flows.get(waiter.demand.organisation)
        if flow is None or waiter not in flow.waiters:
            return False
        flow.waiters.remove(waiter)
        self._forget(waiter)
        return True

    def first(self, can_use: Callable[[ConnectionDemand], bool]) -> Waiter | None:
        """Return the demand that is served next among those that can use a connection."""
        best: Waiter | None = None
        best_key = (True, float("inf"), 0)
        for flow in self._flows.values():
            for waiter in flow.waiters:
                key = (waiter.demand.is_retry, flow.start, waiter.number)
                if best is not None and key[:2] > best_key[:2]:
                    break
                if can_use(waiter.demand):
                    if best is None or key < best_key:
                        best, best_key = waiter, key
                    break
        return best

    def serve(self, waiter: Waiter) -> None:
        """Remove a demand that gets a connection and charge its organisation for it."""
        flow = self._flows[waiter.demand.organisation]
        self._virtual = max(self._virtual, flow.start)
        flow.start += waiter.service_seconds
        flow.waiters.remove(waiter)
        self._forget(waiter)

    def ahead(self, demand: ConnectionDemand) -> tuple[int, float]:
        """Return the number and the work of the demands that would be served before a new one."""
        flow = self._flows.get(demand.organisation)
        start = max(flow.start, self._virtual) if flow is not None else self._virtual
        due = (demand.is_retry, min(demand.objective_at, demand.deadline))
        own = [w for w in flow.waiters if _order(w)[:2] <= due] if flow is not None else []
        count, work = len(own), sum(waiter.service_seconds for waiter in own)
        # Another organisation is served before while its virtual start is below that of the demand.
        start += sum(w.service_seconds for w in own if w.demand.is_retry == demand.is_retry)
        for other in self._flows.values():
            if other is flow:
                continue
            tag = other.start
            for waiter in other.waiters:
                if waiter.demand.is_retry > demand.is_retry:
                    break
                # First attempts of all organisations go before repeated ones.
                if waiter.demand.is_retry == demand.is_retry and tag > start:
                    break
                tag += waiter.service_seconds
                count += 1
                work += waiter.service_seconds
        return count, work

    def _forget(self, waiter: Waiter) -> None:
        self._count -= 1
        self.work = self.work - waiter.service_seconds if self._count else 0.0
        if self._count:
            # A flow without demands is kept only while it is ahead of the others.
            flow = self._flows[waiter.demand.organisation]
            if not flow.waiters and flow.start <= self._virtual:
                del self._flows[waiter.demand.organisation]
        else:
            self._flows.clear()
            self._virtual = 0.0
