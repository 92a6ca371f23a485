"""Ranking of the targets that may serve a read."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscuspoint.core.entry.routes import RouteMember
    from hibiscuspoint.ids import AvailabilityZone, TargetId

__all__ = ["TargetLoad", "rank_targets"]

#: Factor on the expected response time of the primary, so that reads leave its slots to writes.
PRIMARY_COST_FACTOR = 1.6

#: Round trip to another availability zone, added to the expected response time of a target there.
ZONE_ROUND_TRIP_SECONDS = 0.002

#: Expected response time of a target that has not replied to any statement yet.
INITIAL_RESPONSE_SECONDS = 0.02

#: Weight of the latest response time in the exponential moving average.
AVERAGE_WEIGHT = 0.1

#: Time for which a target is ranked last after a failure.
FAILURE_PENALTY_SECONDS = 1.0


@dataclass
class TargetLoad:
    """Load of a target as one instance observes it.

    :param in_progress: number of statements of this instance that run at the target.
    :param average_seconds: moving average of the response time.
    :param failed_at: monotonic time in seconds of a failure since the last success.
    """

    in_progress: int = 0
    average_seconds: float = INITIAL_RESPONSE_SECONDS
    failed_at: float = float("-inf")

    def record_success(self, elapsed: float) -> None:
        """Record a completed statement.

        :param elapsed: response time in seconds.
        """
        self.average_seconds += AVERAGE_WEIGHT * (elapsed - self.average_seconds)
        self.failed_at = float("-inf")

    def record_failure(self, now: float) -> None:
        """Record that the target did not reply or refused to run a statement."""
        self.failed_at = now


def rank_targets(
    members: list[RouteMember],
    loads: dict[TargetId, TargetLoad],
    primary: TargetId | None,
    zone: AvailabilityZone,
    now: float,
) -> list[RouteMember]:
    """Return the targets that may serve a read, best first.

    :param loads: load of the targets that have been used.
    :param primary: the primary, if its route lease is valid.
    :param zone: availability zone of this instance.
    """

    def cost(member: RouteMember) -> tuple[bool, float]:
        load = loads.get(member.target) or TargetLoad()
        expected_seconds = load.average_seconds * (1 + load.in_progress / max(1, member.slots))
        if member.target == primary:
            expected_seconds *= PRIMARY_COST_FACTOR
        if member.zone != zone:
            expected_seconds += ZONE_ROUND_TRIP_SECONDS
        return now - load.failed_at < FAILURE_PENALTY_SECONDS, expected_seconds

    return sorted(members, key=cost)
