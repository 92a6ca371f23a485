"""Guaranteed parts of the capacity for the request classes that wait."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["ArrivalRates", "ClassShares", "guaranteed_share"]

#: Part of the service time that a waiting class gets whatever waits in more urgent ones. At 0.05, a
#: class of 22 ms statements beside one of 4.5 ms that asks for all of the capacity costs the latter
#: one statement in twenty.
GUARANTEED_SHARE = 0.05

#: Largest part of the service time that all guarantees together take.
MAX_GUARANTEED = 0.5

#: Multiple of the service time of its next demand that a class can save up.
SAVED_DEMANDS = 2.0

#: Time constant in seconds of the average of the work that arrives in a class; bursts last for
#: seconds, and the shortest objective is 0.15 s.
RATE_SECONDS = 0.5


def guaranteed_share(classes: int) -> float:
    """Return the part of the service time that each of several waiting classes gets."""
    return min(GUARANTEED_SHARE, MAX_GUARANTEED / max(1, classes))


class ClassShares:
    """Decides which class is served next: the most urgent one, or one that its guarantee owes."""

    def __init__(self) -> None:
        self._saved: dict[int, float] = {}

    def choose(self, costs: Mapping[int, float]) -> int:
        """Return the class that is served next.

        :param costs: expected service time of the next demand by class, for each class that has
            one that can be served.
        """
        owed = [priority for priority in costs if self._saved.get(priority, 0.0) >= costs[priority]]
        if owed:
            return max(owed, key=lambda priority: self._saved[priority] / costs[priority])
        return min(costs)

    def record(self, served: int, cost: float, waiting: Mapping[int, float]) -> None:
        """Add the guaranteed part of a service to what each waiting class has saved.

        :param waiting: expected service time of one demand by class that waits.
        """
        share = guaranteed_share(len(waiting))
        for priority, next_cost in waiting.items():
            saved = self._saved.get(priority, 0.0) + share * cost
            self._saved[priority] = min(saved, SAVED_DEMANDS * next_cost)
        self._saved[served] = max(0.0, self._saved.get(served, 0.0) - cost)


class ArrivalRates:
    """Work per second that arrives in each class, as an exponential moving average."""

    def __init__(self) -> None:
        self._rates: defaultdict[int, float] = defaultdict(float)
        self._updated_at: dict[int, float] = {}

    def record(self, priority: int, seconds: float, now: float) -> None:
        """Record a demand of an expected service time."""
        self._rates[priority] = self._rate(priority, now) + seconds / RATE_SECONDS
        self._updated_at[priority] = now

    def more_urgent(self, priority: int, now: float) -> float:
        """Return the connections that the more urgent classes keep busy."""
        return sum(self._rate(other, now) for other in self._rates if other < priority)

    def _rate(self, priority: int, now: float) -> float:
        elapsed = now - self._updated_at.get(priority, now)
        return self._rates[priority] * math.exp(-max(0.0, elapsed) / RATE_SECONDS)
