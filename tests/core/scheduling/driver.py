"""Feeds a queue with arrivals and completions in discrete time."""

from __future__ import annotations

import heapq
import random
from collections import Counter

from hibiscuspoint.core.scheduling import ConnectionUse, wait_queues
from hibiscuspoint.core.sessions import ConnectionDemand
from hibiscuspoint.ids import OrganisationId

__all__ = ["Driver"]


class Driver:
    """A number of connections behind a queue; results are counted by class and organisation."""

    def __init__(self, connections: int, name: str = "fair") -> None:
        self.queue = wait_queues.get(name)()
        self.free, self._held, self._average, self._number = connections, {}, 0.0, 0
        self.arrived, self.timely, self.refused, self.service = (Counter() for _ in range(4))
        self._events, self.refusal_delays = [], []

    def at(self, time: float, action, *arguments) -> None:
        """Schedule a call with the time as its first argument."""
        self._number += 1
        heapq.heappush(self._events, (time, self._number, action, arguments))

    def load(self, cls, rate: float, start: float, end: float, organisation: str = "a") -> None:
        """Schedule Poisson arrivals of a class."""
        source = random.Random(f"{cls}{organisation}{start}")
        while (start := start + source.expovariate(rate)) < end:
            self.at(start, self.arrive, cls, organisation)

    def arrive(self, now: float, cls, organisation: str = "a", service: float = 0.0) -> None:
        """Bring one request."""
        demand = ConnectionDemand(
            now + cls.timeout, cls.priority, cls.objective, objective_at=now + cls.objective,
            organisation=OrganisationId(organisation), expected_seconds=cls.service,
        )  # fmt: skip
        self.arrived[cls] += 1
        held = tuple(now - taken for taken in self._held.values())
        use = ConnectionUse(held, self._average, self.free > 0)
        if self.free <= 0 and self.queue.check(demand, use, now) is not None:
            return self._refuse(cls, organisation, 0.0)
        waiter = self.queue.push(demand, now)
        waiter.request = (cls, organisation, service or cls.service)
        self._serve(now)
        self.at(waiter.check_at + 1e-6, self._serve)

    def _refuse(self, cls, organisation: str, delay: float) -> None:
        self.refused.update((cls, organisation))
        self.refusal_delays.append(delay / cls.objective)

    def _serve(self, now: float) -> None:
        for waiter in self.queue.expired(now):
            self._refuse(*waiter.request[:2], now - waiter.pushed_at)
        while self.free > 0 and (waiter := self.queue.pop(now, lambda demand: True)) is not None:
            self.free -= 1
            self._held[waiter] = now
            self.at(now + waiter.request[2], self._complete, waiter)
        assert self.free <= 0 or not len(self.queue)

    def _complete(self, now: float, waiter) -> None:
        cls, organisation, service = waiter.request
        self._average += 0.05 * (now - self._held.pop(waiter) - self._average)
        self.free += 1
        if now <= waiter.demand.objective_at:
            self.timely.update((cls, organisation))
        self.service[organisation] += service
        self._serve(now)

    def run(self) -> Driver:
        """Run until nothing is left to happen."""
        while self._events:
            time, _, action, arguments = heapq.heappop(self._events)
            action(time, *arguments)
        return self
