"""Targets as queues, and entries that choose among them alone, for tests of the balance."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter

from hibiscuspoint.core.balancing import RankingMode, ReadBalancer, ReadRequest
from hibiscuspoint.core.entry.routes import RouteMember
from hibiscuspoint.core.sessions import Failure, TargetLoad, rank_targets
from hibiscuspoint.ids import AvailabilityZone, GroupId, TargetId

__all__ = ["GROUP", "QueueModel", "members"]

GROUP = GroupId("ledger")
WORK_SECONDS = 0.02
TRIP_SECONDS = 0.007
#: Work in seconds that a target has waiting at most.
QUEUE_SECONDS = 0.3
LATE_SECONDS = 0.15


def members(counts: dict[str, int]) -> list[RouteMember]:
    """Return targets by the number in each zone."""
    return [
        RouteMember(TargetId(f"{zone}{n}"), "10.0.0.1:1", AvailabilityZone(zone), 1)
        for zone, count in counts.items()
        for n in range(count)
    ]


class QueueModel:
    """Ten entries in each zone over targets that serve one statement at a time.

    :param targets: targets by zone; each serves 50 reads a second.
    """

    def __init__(self, targets: dict[str, int], *, is_balanced: bool, seed: int = 1) -> None:
        self.chance = random.Random(seed)
        self.members = members(targets)
        self.balancers = {
            (zone, n): ReadBalancer(
                AvailabilityZone(zone), RankingMode.ALWAYS, random.Random(f"{seed} {zone} {n}")
            )
            for zone in targets
            for n in range(10)
        }
        self.loads = {entry: {} for entry in self.balancers}
        self.free_at = dict.fromkeys((m.target for m in self.members), 0.0)
        self.work = dict.fromkeys(self.free_at, WORK_SECONDS)
        self.is_balanced, self.now, self.failing = is_balanced, 0.0, set()
        self.late, self.reads, self.out, self.uses = Counter(), Counter(), Counter(), Counter()
        self.fractions, self._answers, self._numbers = [], [], itertools.count()

    def share(self, counts: Counter) -> float:
        """Return a count as a share of all reads."""
        return sum(counts.values()) / sum(self.reads.values())

    def play(self, rates: dict[str, float], seconds: float) -> None:
        """Serve reads at given rates a second and zone."""
        end = self.now + seconds
        while (now := self.now + self.chance.expovariate(sum(rates.values()))) < end:
            self.now = now
            while self._answers and self._answers[0][0] <= now:
                at, _, learn = heapq.heappop(self._answers)
                learn(at)
            (zone,) = self.chance.choices(list(rates), list(rates.values()))
            self._read((zone, self.chance.randrange(10)))
        self.now = end

    def _read(self, entry: tuple[str, int]) -> None:
        zone, balancer, loads = entry[0], self.balancers[entry], self.loads[entry]
        request = ReadRequest(GROUP, self.members, loads, None, AvailabilityZone(zone), self.now)
        if self.is_balanced:
            ranked = [choice.member for choice in balancer.rank(request)]
        else:
            ranked = rank_targets(self.members, loads, None, request.zone, self.now)
        self.reads[zone] += 1
        self.fractions.append((self.now, zone, balancer.fraction(GROUP)))
        for member in ranked[:3]:
            target, trip = member.target, TRIP_SECONDS if member.zone != zone else 0.0005
            self.out[zone] += member.zone != zone
            self.uses[target] += 1
            waits = self.free_at[target] - self.now
            if target not in self.failing and waits < QUEUE_SECONDS:
                self.free_at[target] = max(self.now, self.free_at[target]) + self.work[target]
                seconds = self.free_at[target] - self.now + trip
                self.late[zone] += seconds > LATE_SECONDS
                self._learn(balancer, loads, target, seconds, None)
                return
            failure = Failure.FAILED if target in self.failing else Failure.OVERLOADED
            self._learn(balancer, loads, target, trip, failure)
        self.late[zone] += 1

    def _learn(self, balancer, loads, target, seconds, failure) -> None:
        load = loads.setdefault(target, TargetLoad())
        load.in_progress += 1

        def learn(at: float) -> None:
            load.in_progress -= 1
            balancer.record_read(target, failure, seconds, seconds, at)
            if failure is None:
                load.record_success(seconds)
            else:
                load.record_failure(at)

        heapq.heappush(self._answers, (self.now + seconds, next(self._numbers), learn))
