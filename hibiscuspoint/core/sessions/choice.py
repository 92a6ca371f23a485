"""The choice of the target of a read."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscuspoint.core.entry.routes import RouteMember
    from hibiscuspoint.ids import AvailabilityZone, TargetId

__all__ = ["TargetLoad", "rank_targets"]

#: Factor on the expected time at the primary, so that reads leave its slots to writes.
PRIMARY_FACTOR = 1.6

#: Seconds added to the expected time at a target in another zone: the way there and back.
ZONE_SECONDS = 0.002

#: Expected seconds of a statement at a target that has answered none yet.
DEFAULT_SECONDS = 0.02

#: Weight of the latest time in the moving average.
LATEST_WEIGHT = 0.1

#: Seconds for which a target that failed is chosen last.
PENALTY_SECONDS = 1.0


@dataclass
class TargetLoad:
    """What one instance has seen of a target; times in seconds."""

    in_progress: int = 0
    average_seconds: float = DEFAULT_SECONDS
    failed_at: float = float("-inf")

    def record_success(self, elapsed: float) -> None:
        """Take the time of an answered statement."""
        self.average_seconds += LATEST_WEIGHT * (elapsed - self.average_seconds)
        self.failed_at = float("-inf")

    def record_failure(self, now: float) -> None:
        """Record that the target did not answer or did not run a statement."""
        self.failed_at = now


def rank_targets(
    members: list[RouteMember],
    loads: dict[TargetId, TargetLoad],
    primary: TargetId | None,
    zone: AvailabilityZone,
    now: float,
) -> list[RouteMember]:
    """Return the targets that may serve a read, best first.

    :param primary: the primary, if its lease is valid.
    :param zone: availability zone of this instance.
    """

    def cost(member: RouteMember) -> tuple[bool, float]:
        load = loads.get(member.target) or TargetLoad()
        expected = load.average_seconds * (1 + load.in_progress / max(1, member.slots))
        if member.target == primary:
            expected *= PRIMARY_FACTOR
        if member.zone != zone:
            expected += ZONE_SECONDS
        return now - load.failed_at < PENALTY_SECONDS, expected

    return sorted(members, key=cost)
