"""Rankings of the targets that may serve a read."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random
from statistics import fmean
from typing import TYPE_CHECKING, Protocol

from hibiscuspoint.core.balancing.health import TargetCondition, TargetHealth
from hibiscuspoint.core.balancing.round_trips import FAR_ZONE_SECONDS, RoundTrips
from hibiscuspoint.core.balancing.times import ResponseTimes
from hibiscuspoint.core.balancing.zones import ZoneBalance, margin_seconds
from hibiscuspoint.core.sessions.choice import PRIMARY_COST_FACTOR, TargetLoad, rank_targets
from hibiscuspoint.registry import Registry

if TYPE_CHECKING:
    from hibiscuspoint.core.entry.routes import RouteMember
    from hibiscuspoint.ids import AvailabilityZone, GroupId, TargetId

__all__ = [
    "Observations",
    "ReadChoice",
    "ReadReason",
    "ReadRequest",
    "TargetRanking",
    "target_rankings",
]

#: Largest random addition to an expected time, as a share of it. Entries that hear the same report
#: of a holder would otherwise all choose the same target. It is below the factor of the primary, so
#: that reads leave its slots to writes as with the fixed ranking.
SPREAD = 0.5


class ReadReason(Enum):
    """Why a target was chosen."""

    #: The fixed ranking was used.
    COST = "cost"
    #: A target in the zone of the entry was fast enough.
    NEAR = "near"
    #: The zone of the entry is slower than another one.
    BALANCE = "balance"
    #: The zone of the entry has no usable target.
    NO_TARGET = "no_target"
    #: Another target had no answer or no room.
    FALLBACK = "fallback"
    #: The target is avoided, and this read finds out whether it still fails.
    TRIAL = "trial"


@dataclass(frozen=True, slots=True)
class ReadRequest:
    """A read, and what is known about the targets that are fresh enough for it.

    :param loads: load of the targets that have been used.
    :param primary: the primary, if its route lease is valid.
    :param zone: availability zone of the entry.
    """

    group: GroupId
    members: list[RouteMember]
    loads: dict[TargetId, TargetLoad]
    primary: TargetId | None
    zone: AvailabilityZone
    now: float


@dataclass(frozen=True, slots=True)
class ReadChoice:
    """A target that may serve a read.

    :param may_skip: whether another target is tried first if the holder avoids this one.
    """

    member: RouteMember
    reason: ReadReason
    may_skip: bool = False


class Observations:
    """What one entry has seen of the targets and zones.

    :param zone: availability zone of the entry.
    :param chance: source of the random numbers, which must differ between entries.
    """

    def __init__(self, zone: AvailabilityZone, chance: Random | None = None) -> None:
        self.chance = chance if chance is not None else Random()
        self.health = TargetHealth()
        self.times = ResponseTimes()
        self.round_trips = RoundTrips(zone)
        self.balances: dict[GroupId, ZoneBalance] = {}

    def balance(self, group: GroupId) -> ZoneBalance:
        """Return the balance between the zones of a group."""
        found = self.balances.get(group)
        if found is None:
            found = self.balances[group] = ZoneBalance(self.chance.random())
        return found


class TargetRanking(Protocol):
    """Orders the targets that may serve a read."""

    def __init__(self, observations: Observations) -> None: ...

    def rank(self, request: ReadRequest) -> list[ReadChoice]:
        """Return the targets, best first."""


target_rankings: Registry[type[TargetRanking]] = Registry("target ranking")


@target_rankings.register("fixed")
class FixedRanking:
    """Adds a fixed cost to the targets of other zones."""

    def __init__(self, observations: Observations) -> None:
        pass

    def rank(self, request: ReadRequest) -> list[ReadChoice]:
        """Return the targets, best first."""
        ranked = rank_targets(
            request.members, request.loads, request.primary, request.zone, request.now
        )
        return [ReadChoice(member, ReadReason.COST) for member in ranked]


@target_rankings.register("balanced")
class BalancedRanking:
    """Weighs the zones by expected times and avoids targets that fail."""

    def __init__(self, observations: Observations) -> None:
        self._seen = observations

    def rank(self, request: ReadRequest) -> list[ReadChoice]:
        """Return the targets, best first; avoided ones last, or first when a trial is due."""
        conditions = self._seen.health.conditions(
            {member.target: member.zone for member in request.members}, request.now
        )
        costs = self._costs(request)
        good = [member for member in request.members if member.target not in conditions]
        chance = self._seen.chance
        good.sort(key=lambda m: costs.expected[m.target] * (1.0 + SPREAD * chance.random()))
        first, reason = self._first(request, good, costs)
        good.remove(first)
        avoided = [member for member in request.members if member.target in conditions]
        avoided.sort(key=lambda m: conditions[m.target] is TargetCondition.AVOIDED)
        trial = next(
            (
                member
                for member in avoided
                if conditions[member.target] is TargetCondition.AVOIDED
                and self._seen.health.take_trial(member.target, request.now)
            ),
            None,
        )
        choices = [ReadChoice(trial, ReadReason.TRIAL, True)] if trial is not None else []
        choices.append(ReadChoice(first, reason, True))
        choices += [ReadChoice(member, ReadReason.FALLBACK, True) for member in good]
        choices += [ReadChoice(m, ReadReason.FALLBACK) for m in avoided if m is not trial]
        return choices

    def _costs(self, request: ReadRequest) -> _Costs:
        """Return the expected times of a read by target; higher at the primary."""
        times, trips = self._seen.times, self._seen.round_trips
        usual = times.usual(member.target for member in request.members)
        costs = _Costs(request.primary, {}, {})
        for member in request.members:
            trip_seconds = 0.0
            if member.zone != request.zone and not times.has_sample(member.target):
                trip = trips.seconds(member.zone)
                trip_seconds = trip if trip is not None else FAR_ZONE_SECONDS
            load = request.loads.get(member.target)
            factor = 1 + load.in_progress / max(1, member.slots) if load is not None else 1.0
            if member.target == request.primary:
                factor *= PRIMARY_COST_FACTOR
            expected = times.expected(member.target, usual, request.now)
            unloaded = times.unloaded(member.target, usual)
            costs.expected[member.target] = (expected + trip_seconds) * factor
            costs.present[member.target] = (unloaded + trip_seconds) * factor
        return costs

    def _first(
        self, request: ReadRequest, good: list[RouteMember], costs: _Costs
    ) -> tuple[RouteMember, ReadReason]:
        """Return the first target of the zone that the balance chooses."""
        own = [member for member in good if member.zone == request.zone]
        other = [member for member in good if member.zone != request.zone]
        if not own:
            return other[0], ReadReason.NO_TARGET
        if not other:
            return own[0], ReadReason.NEAR
        by_zone: dict[AvailabilityZone, list[RouteMember]] = {}
        for member in other:
            by_zone.setdefault(member.zone, []).append(member)
        balance = self._seen.balance(request.group)
        balance.update(
            costs.zone_seconds(own), min(map(costs.zone_seconds, by_zone.values())), request.now
        )
        if balance.take() or costs.is_crowded(own, other):
            return other[0], ReadReason.BALANCE
        return own[0], ReadReason.NEAR


@dataclass(frozen=True)
class _Costs:
    """Expected times of one read.

    :param expected: times by target, from the recent ones.
    :param present: times by target, from those without a queue and what this entry has in progress.
    """

    primary: TargetId | None
    expected: dict[TargetId, float]
    present: dict[TargetId, float]

    def zone_seconds(self, members: list[RouteMember]) -> float:
        """Return the expected time in a zone; the primary counts only where it is alone."""
        replicas = [self.expected[m.target] for m in members if m.target != self.primary]
        return fmean(replicas or [self.expected[m.target] for m in members])

    def is_crowded(self, own: list[RouteMember], other: list[RouteMember]) -> bool:
        """Tell whether this entry alone has so much in progress at the own targets.

        This answers a burst before the recent times show it.
        """
        other_seconds = min(self.present[member.target] for member in other)
        own_seconds = min(self.present[member.target] for member in own)
        return own_seconds > other_seconds + margin_seconds(other_seconds)
