"""Which target serves a read: zones, response times and targets that fail."""

from __future__ import annotations

from hibiscuspoint.core.balancing.balancer import RankingMode, ReadBalancer
from hibiscuspoint.core.balancing.health import HealthChange, TargetCondition, TargetHealth
from hibiscuspoint.core.balancing.rankings import (
    ReadChoice,
    ReadReason,
    ReadRequest,
    TargetRanking,
    target_rankings,
)
from hibiscuspoint.core.balancing.round_trips import (
    FAR_ZONE_SECONDS,
    RoundTrips,
    RoundTripSource,
)
from hibiscuspoint.core.balancing.times import HolderReport, ResponseTimes
from hibiscuspoint.core.balancing.zones import ZoneBalance

__all__ = [
    "FAR_ZONE_SECONDS",
    "HealthChange",
    "HolderReport",
    "RankingMode",
    "ReadBalancer",
    "ReadChoice",
    "ReadReason",
    "ReadRequest",
    "ResponseTimes",
    "RoundTripSource",
    "RoundTrips",
    "TargetCondition",
    "TargetHealth",
    "TargetRanking",
    "ZoneBalance",
    "target_rankings",
]
