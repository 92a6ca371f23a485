"""Permits of one organisation, as the control leader divides them among the entries."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.core.quotas.bounds import SHARE_LEASE_SECONDS

if TYPE_CHECKING:
    from hibiscuspoint.core.organisations import RateLimit
    from hibiscuspoint.core.quotas.bounds import QuotaBounds
    from hibiscuspoint.ids import InstanceId
    from hibiscuspoint.wire import peer_pb2

__all__ = ["Holding", "QuotaAccount"]

#: Time after its report for which the need of an entry counts.
WANT_SECONDS = 0.6

#: Time constant in seconds with which the measured demand of an entry decays. An organisation whose
#: callers move has its full rate at the other entries within 0.5 s.
DEMAND_DECAY_SECONDS = 0.5

#: Shortest time in seconds over which demand is measured.
DEMAND_MIN_SECONDS = 0.25

#: Time constant in seconds of the demand that decides about the rate of a share.
USUAL_DEMAND_SECONDS = 2.0

#: Rate of a share as a multiple of the usual demand, so that its permits do not run low.
RATE_FACTOR = 1.6

#: Permits of a share beyond those for one second of demand.
SPARE_PERMITS = 2

#: Part of the permits below which the leader takes unused shares back.
SCARCE_PART = 0.5

#: Operations per second from which an entry gets more than it needs at once, while permits are
#: scarce. Less is served from the permits of the leader, at the cost of a round trip.
LASTING_DEMAND = 0.75

#: Time without use after which a share is taken back while permits are scarce.
SCARCE_IDLE_SECONDS = 0.5

#: The same for an entry with lasting demand, whose share bridges the loss of a leader.
LASTING_IDLE_SECONDS = 2.5

#: Least demand per second that counts for an entry that is short of permits.
DEMAND_FLOOR = 0.5

#: Part of the regular permits that shares may bind; the rest serves entries without a share.
DIVIDED_PART = 0.85

#: A share is reduced for others only when it exceeds the fair one by this factor.
REDUCTION_FACTOR = 1.25

#: Time without use after which a share is taken back.
IDLE_SECONDS = 30.0

#: Time without use after which an entry without a share is forgotten.
UNUSED_SECONDS = 3.0

#: Time for which the sum of the demand of all entries is used before it is computed again.
WEIGHT_SECONDS = 0.05

#: Thousandths in which rates are transmitted; shares are multiples, so that both sides agree.
MILLI = 1000

#: Part by which the clock of an entry may be slower than that of the leader.
CLOCK_DRIFT = 0.02


@dataclass
class Holding:
    """Share of one entry.

    :param rate: permits per second in the last share that was sent.
    :param burst: permits that may be collected, in that share.
    :param is_due: the entry reported that it is short, and had no answer yet.
    :param permits: permits that the last share brought with it.
    :param wanted: operations that found no permit, in the last report.
    :param demand: operations per second lately; a rise counts at once.
    :param usual_demand: operations per second over a longer time.
    :param rate_ceiling: highest rate that the entry may have, as messages are on their way.
    """

    used_at: float
    demanded_at: float
    rate: float = 0.0
    burst: int = 0
    sequence: int = 0
    rate_ceiling: float = 0.0
    burst_ceiling: int = 0
    is_confirmed: bool = True
    is_due: bool = False
    permits: int = 0
    wanted: int = 0
    demand: float = 0.0
    usual_demand: float = 0.0
    wanting_at: float = -math.inf

    @property
    def is_bound(self) -> bool:
        """Tell whether the entry has or may have a share."""
        return bool(self.burst_ceiling)

    def weight(self, now: float) -> float:
        """Return the present demand in operations per second."""
        decayed = self.demand * math.exp((self.demanded_at - now) / DEMAND_DECAY_SECONDS)
        return max(decayed, DEMAND_FLOOR if self.is_wanting(now) else 0.0)

    def usual_demand_now(self, now: float) -> float:
        """Return the operations per second over a longer time."""
        return self.usual_demand * math.exp((self.demanded_at - now) / USUAL_DEMAND_SECONDS)

    def is_wanting(self, now: float) -> bool:
        """Tell whether the entry was short of permits in its last reports."""
        return now - self.wanting_at < WANT_SECONDS

    def record_demand(self, operations: int, seconds: float, now: float) -> None:
        """Record the operations of the last seconds; a rise counts at once."""
        decay = math.exp((self.demanded_at - now) / DEMAND_DECAY_SECONDS)
        rate = operations / max(DEMAND_MIN_SECONDS, seconds)
        self.demand = max(rate, self.demand * decay)
        period = max(seconds, USUAL_DEMAND_SECONDS)
        self.usual_demand = self.usual_demand_now(now) + operations / period
        self.demanded_at = now
        if operations:
            self.used_at = now

    def has(self, rate: float, burst: int, sequence: int) -> bool:
        """Tell whether the entry reports what is already known."""
        reported = (rate, burst, sequence)
        return sequence != self.sequence or (
            self.is_confirmed and reported == (self.rate, self.burst, self.sequence)
        )

    def confirm(self, rate: float, burst: int, sequence: int) -> None:
        """Take over the share that the entry has."""
        self.rate = self.rate_ceiling = rate
        self.burst = self.burst_ceiling = burst
        self.sequence = sequence
        self.is_confirmed = True

    def send(self, rate: float, burst: int, permits: int, sequence: int) -> None:
        """Change the share; until it is confirmed the entry may have any of those sent."""
        self.rate, self.burst, self.sequence = rate, burst, sequence
        # Those of an unconfirmed share are not added: the entry may have them already.
        self.permits = permits
        self.rate_ceiling = max(self.rate_ceiling, rate)
        self.burst_ceiling = max(self.burst_ceiling, burst)
        self.is_confirmed = False


class QuotaAccount:
    """All permits of one organisation: those left at the leader, and the shares.

    Permits left, shares and shares that are not known together never exceed
    ``QuotaBounds.total_permits``, and their rates never exceed ``QuotaBounds.rate``.

    :param is_successor: an earlier leader may have given shares that are not known yet.
    """

    def __init__(
        self, limit: RateLimit, bounds: QuotaBounds, now: float, *, is_successor: bool
    ) -> None:
        self.limit = limit
        self._bounds = bounds
        self.holdings: dict[InstanceId, Holding] = {}
        # Sums of the ceilings of all shares.
        self._bound_rate = 0.0
        self._bound_burst = 0
        self._shortage_at = -math.inf
        self._weighed_at = -math.inf
        self._weight = 0.0
        self._refilled_at = now
        self._unknown_until = now
        self._unknown_rate = 0.0
        self._unknown_burst = 0.0
        self.permits = bounds.regular_permits(limit)
        self.is_limiting = False
        self.refused_at = -math.inf
        if is_successor:
            self._unknown_until = now + SHARE_LEASE_SECONDS * (1 + CLOCK_DRIFT)
            self._unknown_rate = bounds.rate(limit)
            self._unknown_burst = bounds.regular_permits(limit)
            self.permits = bounds.successor_permits(limit)

    @property
    def free_rate(self) -> float:
        """Return the permits per second that no share has."""
        rate = self._bounds.rate(self.limit)
        return max(0.0, rate - self._unknown_rate - self._bound_rate)

    def _is_scarce(self, holding: Holding) -> bool:
        """Tell whether the share of an entry may keep others from having one."""
        scarce = SCARCE_PART * self._bounds.regular_permits(self.limit)
        return self.permits < scarce and self._bound_burst > holding.burst_ceiling

    def set_limit(self, limit: RateLimit, now: float) -> None:
        """Take over a changed limit and reduce the shares in proportion."""
        self.refill(now)
        before, self.limit = self._bounds.regular_permits(self.limit), limit
        self.permits += max(0.0, self._bounds.regular_permits(limit) - before)
        self.permits = max(0.0, min(self.permits, self._room()))

    def refill(self, now: float) -> None:
        """Add the permits that arose at the leader."""
        if now >= self._unknown_until:
            self._unknown_rate = self._unknown_burst = 0.0
        elapsed, self._refilled_at = max(0.0, now - self._refilled_at), now
        room = self._room()
        self.permits = max(0.0, min(room, self.permits + self.free_rate * elapsed))

    def adopt(
        self, instance: InstanceId, use: peer_pb2.QuotaUse, now: float, *, is_first: bool
    ) -> Holding:
        """Take over a share that an entry reports and that this leader does not know.

        :param is_first: the entry has not reported to this leader before.
        """
        self.refill(now)
        rate = use.rate_milli / MILLI
        if is_first:
            self._unknown_rate = max(0.0, self._unknown_rate - rate)
            self._unknown_burst = max(0.0, self._unknown_burst - use.burst)
        holding = self.holdings[instance] = Holding(now, now)
        holding.confirm(rate, use.burst, use.sequence)
        self._bound_rate += rate
        self._bound_burst += use.burst
        return holding

    def confirm(self, holding: Holding, use: peer_pb2.QuotaUse, now: float) -> None:
        """Take over that an entry has the last share that was sent to it."""
        rate = use.rate_milli / MILLI
        self.refill(now)
        if not holding.has(rate, use.burst, use.sequence):
            self._bound_rate += rate - holding.rate_ceiling
            self._bound_burst += use.burst - holding.burst_ceiling
            holding.confirm(rate, use.burst, use.sequence)
        self.permits = max(0.0, min(self._room(), self.permits + use.returned))

    def remove(self, instance: InstanceId, now: float) -> None:
        """Forget an entry that has no share any more."""
        if instance in self.holdings:
            self.refill(now)
            del self.holdings[instance]
            self._bound_rate = sum(holding.rate_ceiling for holding in self.holdings.values())
            self._bound_burst = sum(holding.burst_ceiling for holding in self.holdings.values())

    def remove_unused(self, now: float) -> None:
        """Forget the entries that have no share and did not need one for long."""
        for instance, holding in list(self.holdings.items()):
            if not holding.is_bound and now - holding.used_at >= UNUSED_SECONDS:
                self.remove(instance, now)

    def grant(self, instance: InstanceId, now: float, sequence: int) -> bool:
        """Raise the share of an entry that is short of permits; return whether it changed."""
        self.refill(now)
        holding = self.holdings[instance]
        fair_rate, fair_burst = self._fair(holding, now)
        available = math.floor(self.permits)
        is_lasting = not self._is_scarce(holding) or holding.usual_demand >= LASTING_DEMAND
        stock = math.ceil(holding.usual_demand_now(now)) + SPARE_PERMITS if is_lasting else 0
        goal = max(stock, holding.wanted)
        goal = max(1, min(goal, fair_burst))
        added = max(holding.wanted, goal - holding.burst, goal // 2)
        # The last permits are for operations that find none, as those would be refused.
        reserve = (1 - DIVIDED_PART) * self._bounds.regular_permits(self.limit)
        spare = max(0, math.ceil((available - reserve) / 2))
        added = max(0, min(added, available, max(holding.wanted, spare)))
        burst = max(holding.burst, min(goal, holding.burst_ceiling + added))
        added = min(added, burst)
        fair_rate = min(fair_rate, holding.usual_demand * RATE_FACTOR)
        rate = holding.rate
        if burst and is_lasting:
            rate = _milli(rate + max(0.0, min(self.free_rate, fair_rate - rate)))
        if added < min(1, holding.wanted) or (is_lasting and rate < fair_rate / REDUCTION_FACTOR):
            self._shortage_at = now
        holding.wanted = 0
        if not added and (rate, burst) == (holding.rate, holding.burst):
            return False
        self.permits -= added
        self._send(holding, rate, burst, added, sequence)
        return True

    def reduce(self, instance: InstanceId, now: float, sequence: int) -> bool:
        """Reduce the share of an entry to the fair one; return whether it changed."""
        self.refill(now)
        holding = self.holdings[instance]
        fair_rate, fair_burst = self._fair(holding, now)
        rate, burst = holding.rate, holding.burst
        if rate > fair_rate * REDUCTION_FACTOR:
            rate = _milli(fair_rate)
        if burst > fair_burst * REDUCTION_FACTOR:
            burst = fair_burst
        if not burst:
            rate = 0.0
        if (rate, burst) == (holding.rate, holding.burst):
            return False
        self._send(holding, rate, burst, 0, sequence)
        return True

    def has_shortage(self, now: float) -> bool:
        """Tell whether an entry lately lacked what the leader did not have."""
        return now - self._shortage_at < WANT_SECONDS

    def is_idle(self, instance: InstanceId, now: float) -> bool:
        """Tell whether to take the share of an entry back that has not used it for some time."""
        holding = self.holdings[instance]
        longest = IDLE_SECONDS
        if self._is_scarce(holding):
            longest = SCARCE_IDLE_SECONDS
            if holding.usual_demand_now(now) >= LASTING_DEMAND / 2:
                longest = LASTING_IDLE_SECONDS
        return bool(holding.burst) and now - holding.used_at >= longest

    def take_back(self, instance: InstanceId, sequence: int) -> bool:
        """End the share of an entry."""
        self._send(self.holdings[instance], 0.0, 0, 0, sequence)
        return True

    def _room(self) -> float:
        """Return how many permits the leader may have."""
        if self._unknown_until > self._refilled_at:
            total = self._bounds.total_permits(self.limit)
        else:
            total = self._bounds.regular_permits(self.limit)
        return total - self._unknown_burst - self._bound_burst

    def _send(self, holding: Holding, rate: float, burst: int, permits: int, sequence: int) -> None:
        self._bound_rate += max(0.0, rate - holding.rate_ceiling)
        self._bound_burst += max(0, burst - holding.burst_ceiling)
        holding.send(rate, burst, permits, sequence)

    def _total_weight(self, now: float) -> float:
        """Return the demand of all entries, which need not be exact."""
        if now - self._weighed_at >= WEIGHT_SECONDS:
            self._weighed_at = now
            self._weight = sum(other.weight(now) for other in self.holdings.values())
        return self._weight

    def _fair(self, holding: Holding, now: float) -> tuple[float, int]:
        """Return the share of an entry by its part of the demand."""
        weight = holding.weight(now)
        total = max(weight, self._total_weight(now))
        part = weight / total if total else 0.0
        divided = 1.0 if part == 1.0 else DIVIDED_PART
        burst = self._bounds.regular_permits(self.limit) * divided * part
        return self._bounds.rate(self.limit) * part, math.floor(burst)


def _milli(rate: float) -> float:
    return math.floor(rate * MILLI + 1e-6) / MILLI
