"""Expected time of the use of a connection by statements and transactions of a route."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscuspoint.core.sessions import DatabaseRoute
    from hibiscuspoint.ids import TargetId

__all__ = ["UseTimes"]

#: Weight of the latest use in the exponential moving average.
AVERAGE_WEIGHT = 0.1

#: Largest part of the objective of a route that a statement is expected to take. With more, no
#: statement would be let in after a slow phase, and the average would never fall again.
OBJECTIVE_PART = 0.5

#: Most averages that are kept; the oldest one is dropped beyond that.
MAX_AVERAGES = 4096


class UseTimes:
    """Moving averages by route, target and kind of use."""

    def __init__(self) -> None:
        self._averages: dict[tuple[str, TargetId, bool], float] = {}

    def record(
        self, route: DatabaseRoute, target: TargetId, seconds: float, *, is_transaction: bool
    ) -> None:
        """Record how long a connection was used."""
        key = (route.name, target, is_transaction)
        average = self._averages.get(key, seconds)
        if len(self._averages) >= MAX_AVERAGES and key not in self._averages:
            del self._averages[next(iter(self._averages))]
        self._averages[key] = average + AVERAGE_WEIGHT * (seconds - average)

    def expected(self, route: DatabaseRoute, target: TargetId, *, is_transaction: bool) -> float:
        """Return the expected seconds of a use; 0 when nothing is known."""
        average = self._averages.get((route.name, target, is_transaction), 0.0)
        return average if is_transaction else min(average, OBJECTIVE_PART * route.objective_seconds)
