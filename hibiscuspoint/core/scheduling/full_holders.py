"""What an entry remembers about holders that reported a full group."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hibiscuspoint.core.sessions import ConnectionDemand
    from hibiscuspoint.ids import InstanceId, OrganisationId, TargetId

__all__ = ["FullHolders"]

#: Longest time in seconds for which a report is remembered.
MEMORY_SECONDS = 0.5

#: Most reports that are remembered: 12 targets with three holders each, three classes and ten
#: organisations whose demands are refused.
MAX_REPORTS = 1024


class FullHolders:
    """Refusals of holders by target, organisation and priority, until they expect capacity.

    A holder refuses one class and organisation while it has room for others.
    """

    def __init__(self) -> None:
        self._reports: dict[
            tuple[InstanceId, TargetId, OrganisationId, int], tuple[float, float]
        ] = {}

    def __len__(self) -> int:
        return len(self._reports)

    def record(
        self,
        holder: InstanceId,
        target: TargetId,
        demand: ConnectionDemand,
        retry_after_seconds: float,
        now: float,
    ) -> None:
        """Record a refusal.

        :param retry_after_seconds: time after which the holder expects capacity; 0 is ignored.
        """
        if retry_after_seconds <= 0:
            return
        key = (holder, target, demand.organisation, demand.priority)
        self._reports.pop(key, None)
        if len(self._reports) >= MAX_REPORTS:
            self._drop(now)
        limit = max(0.0, min(demand.max_expected_wait_seconds, _slack(demand, now)))
        until = now + min(retry_after_seconds, MEMORY_SECONDS)
        self._reports[key] = (until, now + retry_after_seconds + limit)

    def wait(
        self, holder: InstanceId, target: TargetId, demand: ConnectionDemand, now: float
    ) -> float:
        """Return the seconds after which a holder may serve a demand; 0 when nothing is known."""
        key = (holder, target, demand.organisation, demand.priority)
        until, served_at = self._reports.get(key, (0.0, 0.0))
        if now >= until:
            self._reports.pop(key, None)
            return 0.0
        return served_at - now

    def with_room(
        self, holders: Sequence[InstanceId], target: TargetId, demand: ConnectionDemand, now: float
    ) -> tuple[list[InstanceId], float]:
        """Return the holders to ask, and the seconds until one has room if there are none.

        Holders that reported nothing go alone; otherwise those that may serve the demand in time,
        the soonest last, as the last one that is asked is the one where the demand may wait.
        """
        waits = {holder: self.wait(holder, target, demand, now) for holder in holders}
        unknown = [holder for holder in holders if not waits[holder]]
        if unknown or not holders:
            return unknown, 0.0
        slack = _slack(demand, now)
        possible = [holder for holder in holders if waits[holder] <= slack]
        soonest = min(waits.values())
        return sorted(possible, key=waits.__getitem__, reverse=True), min(soonest, MEMORY_SECONDS)

    def _drop(self, now: float) -> None:
        """Drop the reports that are over, or the oldest one."""
        self._reports = {key: item for key, item in self._reports.items() if item[0] > now}
        if len(self._reports) >= MAX_REPORTS:
            del self._reports[next(iter(self._reports))]


def _slack(demand: ConnectionDemand, now: float) -> float:
    service = 0.0 if demand.is_transaction else demand.expected_seconds
    return min(demand.objective_at, demand.deadline) - service - now
