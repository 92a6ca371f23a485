"""Fair order of waiting statements, in which what cannot be in time is refused."""

from __future__ import annotations

import heapq
import itertools
import math
from typing import TYPE_CHECKING

from hibiscuspoint.core.scheduling.classes import ArrivalRates, ClassShares, guaranteed_share
from hibiscuspoint.core.scheduling.flows import ClassFlows
from hibiscuspoint.core.scheduling.queue import (
    ConnectionUse,
    Refusal,
    RefusalReason,
    Waiter,
    latest_start,
    wait_queues,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.core.sessions import ConnectionDemand

__all__ = ["FairQueue"]

#: Expected service time in seconds while neither the demand nor the measured uses state one.
INITIAL_SERVICE_SECONDS = 0.01

#: Multiple of the average use, and least time in seconds, after which a connection in use is taken
#: for one that an idle transaction holds and is not expected to become free soon.
STUCK_FACTOR = 5.0
STUCK_SECONDS = 0.1

#: Factor on expected waits, so that few of the demands that are let in are refused after a wait. At
#: twice the capacity, 8 to 19% of the refusals come later than a quarter of the objective with 1.0
#: and 1 to 5% with 1.25, which costs 0.2 to 1.3% of the answers in time (driver of the tests).
WAIT_MARGIN = 1.25

#: Attempts that are expected until a full target, of which others hold all connections, accepts
#: another one. With 1, statements waited 0.6 s in vain at a holder without a connection, as a later
#: attempt is as likely to fail; with 4, the first failure exceeds the patience of an entry that can
#: ask another holder.
OPEN_ATTEMPTS = 4

#: Bounds of the seconds after which a refused demand is told to expect capacity.
RETRY_MIN_SECONDS = 0.005
RETRY_MAX_SECONDS = 0.5


@wait_queues.register("fair")
class FairQueue:
    """Serves classes by priority with guaranteed parts and their organisations by service time.

    A demand whose answer would be late stays only while no demand that can be in time waits.
    """

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self._classes: dict[int, ClassFlows] = {}
        self._shares = ClassShares()
        self._rates = ArrivalRates()
        self._checks: list[tuple[float, int, Waiter]] = []
        self._late: dict[Waiter, None] = {}
        self._dropped: list[Waiter] = []
        self._average_seconds = 0.0

    def __len__(self) -> int:
        return self._timely + len(self._late)

    @property
    def _timely(self) -> int:
        """Return the number of waiting demands that can be in time."""
        return sum(map(len, self._classes.values()))

    def push(self, demand: ConnectionDemand, now: float) -> Waiter:
        """Add a demand."""
        service = self._service(demand)
        waiter = Waiter(demand, next(self._numbers), now, 0.0, service)
        self._rates.record(demand.priority, service, now)
        if now > latest_start(demand, demand.objective_at):
            self._add_late(waiter)
        else:
            self._classes.setdefault(demand.priority, ClassFlows()).push(waiter)
            due = min(demand.objective_at, demand.deadline)
            self._schedule_check(waiter, latest_start(demand, due))
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter that gave up; one that does not wait any more is ignored."""
        if waiter in self._dropped:
            self._dropped.remove(waiter)
        self._take(waiter)

    def pop(self, now: float, can_use: Callable[[ConnectionDemand], bool]) -> Waiter | None:
        """Remove and return the waiter that is served next; none that is expired."""
        waiter = self.first(now, can_use)
        if waiter is None:
            return None
        if waiter in self._late:
            self._take(waiter)
            return waiter
        priority = waiter.demand.priority
        waiting = {
            p: max(flows.work / len(flows), self._next_seconds(flows, can_use))
            for p, flows in self._classes.items()
        }
        self._shares.record(priority, waiter.service_seconds, waiting)
        self._classes[priority].serve(waiter)
        self._drop_empty(priority)
        waiter.is_waiting = False
        return waiter

    def first(self, now: float, can_use: Callable[[ConnectionDemand], bool]) -> Waiter | None:
        """Return the waiter that would be served next among those that satisfy a condition."""
        self._settle(now)
        firsts = {
            priority: waiter
            for priority, flows in self._classes.items()
            if (waiter := flows.first(can_use)) is not None
        }
        if not firsts:
            return self._first_late(can_use)
        costs = {priority: waiter.service_seconds for priority, waiter in firsts.items()}
        return firsts[self._shares.choose(costs)]

    def expired(self, now: float) -> list[Waiter]:
        """Remove and return the waiters that cannot be in time, or not before their deadline."""
        self._settle(now)
        dropped, self._dropped = self._dropped, []
        return dropped

    def ahead_of(self, demand: ConnectionDemand) -> int:
        """Return the number of waiters that would be served before a demand."""
        own = self._classes.get(demand.priority)
        return self._more_urgent(demand)[0] + (own.ahead(demand)[0] if own is not None else 0)

    def check(
        self, demand: ConnectionDemand, connections: ConnectionUse, now: float
    ) -> Refusal | None:
        """Return why a demand cannot be in time; ``None`` when it may wait."""
        self._average_seconds = connections.average_seconds
        self._settle(now)
        is_late = now > latest_start(demand, demand.objective_at)
        wait = 0.0
        if not connections.may_open:
            wait = self._expected_wait(demand, connections, now)
        retry_after = min(RETRY_MAX_SECONDS, max(RETRY_MIN_SECONDS, wait))
        if now > latest_start(demand, demand.deadline):
            return Refusal("too little time for a statement", retry_after, RefusalReason.DEADLINE)
        if is_late and self._timely:
            text = "the objective has passed and others wait"
            return Refusal(text, retry_after, RefusalReason.LATE)
        due = demand.deadline if is_late else min(demand.objective_at, demand.deadline)
        limit = min(latest_start(demand, due) - now, demand.max_expected_wait_seconds)
        if wait <= limit:
            return None
        text = (
            f"{self.ahead_of(demand)} statements wait for {connections.in_use} connections, "
            f"{wait:.3f} s are expected and {limit:.3f} s allowed,"
        )
        retry_after = min(RETRY_MAX_SECONDS, max(RETRY_MIN_SECONDS, wait - limit))
        return Refusal(text, retry_after, RefusalReason.EXPECTED_WAIT)

    def _expected_wait(
        self, demand: ConnectionDemand, connections: ConnectionUse, now: float
    ) -> float:
        """Return the seconds until a demand gets a connection under this order.

        More urgent demands that arrive meanwhile go before it, so the work ahead is divided by the
        connections that they leave; the guarantee of its class bounds the wait.
        """
        if not connections.in_use:
            return OPEN_ATTEMPTS * connections.opens_in_seconds
        stuck = max(STUCK_SECONDS, STUCK_FACTOR * connections.average_seconds)
        active = sum(seconds <= stuck for seconds in connections.held_seconds)
        if not active:
            # Nothing is known about the end of a long use; it is taken to be half over.
            return min(connections.held_seconds)
        own = self._classes.get(demand.priority)
        own_work = own.ahead(demand)[1] if own is not None else 0.0
        urgent_work = self._more_urgent(demand)[1]
        less_urgent = sum(priority > demand.priority for priority in self._classes)
        share = guaranteed_share(len({*self._classes, demand.priority}))
        left = active * (1 - share * less_urgent) - self._rates.more_urgent(demand.priority, now)
        guaranteed = active * share
        first = connections.average_seconds / active
        wait = (urgent_work + own_work) / max(guaranteed, left)
        return WAIT_MARGIN * (first + min(wait, (own_work + self._service(demand)) / guaranteed))

    def _more_urgent(self, demand: ConnectionDemand) -> tuple[int, float]:
        """Return the number and the work of the waiters of more urgent classes."""
        flows = [flows for p, flows in self._classes.items() if p < demand.priority]
        return sum(map(len, flows)), sum(item.work for item in flows)

    def _service(self, demand: ConnectionDemand) -> float:
        return demand.expected_seconds or self._average_seconds or INITIAL_SERVICE_SECONDS

    def _settle(self, now: float) -> None:
        """Move demands that cannot be in time any more, and drop those that are refused."""
        while self._checks and self._checks[0][0] < now:
            waiter = heapq.heappop(self._checks)[2]
            if not waiter.is_waiting or waiter.check_at >= now:
                continue
            self._take(waiter)
            if now > latest_start(waiter.demand, waiter.demand.deadline):
                self._dropped.append(waiter)
            else:
                self._add_late(waiter)
        if self._late and self._timely:
            self._dropped += self._late
            for waiter in self._late:
                waiter.is_waiting = False
            self._late.clear()

    def _next_seconds(
        self, flows: ClassFlows, can_use: Callable[[ConnectionDemand], bool]
    ) -> float:
        """Return the expected service time of the next demand of a class; 0 if there is none."""
        waiter = flows.first(can_use)
        return waiter.service_seconds if waiter is not None else 0.0

    def _first_late(self, can_use: Callable[[ConnectionDemand], bool]) -> Waiter | None:
        usable = [waiter for waiter in self._late if can_use(waiter.demand)]
        return min(
            usable, key=lambda w: (w.demand.priority, w.demand.deadline, w.number), default=None
        )

    def _add_late(self, waiter: Waiter) -> None:
        waiter.is_waiting = True
        self._late[waiter] = None
        self._schedule_check(waiter, latest_start(waiter.demand, waiter.demand.deadline))

    def _schedule_check(self, waiter: Waiter, at: float) -> None:
        waiter.check_at = at
        if at < math.inf:
            heapq.heappush(self._checks, (at, waiter.number, waiter))

    def _take(self, waiter: Waiter) -> None:
        if not waiter.is_waiting:
            return
        waiter.is_waiting = False
        if waiter in self._late:
            del self._late[waiter]
            return
        self._classes[waiter.demand.priority].remove(waiter)
        self._drop_empty(waiter.demand.priority)

    def _drop_empty(self, priority: int) -> None:
        if not len(self._classes[priority]):
            del self._classes[priority]
