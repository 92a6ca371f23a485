"""Division of the connections of a target among holders and organisations."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from hibiscuspoint.core.sessions.holders import EntryPlace
    from hibiscuspoint.ids import AvailabilityZone, GroupId, InstanceId, OrganisationId

__all__ = [
    "MINIMUM_LIMIT",
    "ConnectionPlan",
    "OpeningBudget",
    "OpeningRules",
    "openings_per_second",
    "order_holders",
    "target_holders",
]

#: Connections that one instance may open to a target in any case, as when no holder answers.
MINIMUM_LIMIT = 4

#: Minimum number of holders of a target, so that the loss of one leaves another.
MINIMUM_TARGET_HOLDERS = 2

#: Time in seconds for which a new connection occupies a slot of its target.
HANDSHAKE_SECONDS = 0.012

#: Part of the slot time of a target that new connections may take in the long run.
HANDSHAKE_SHARE = 0.25

#: Average time in seconds of a handshake from which the slots of a target count as busy, and the
#: part of the rate that is allowed then. In a trial with demand at the capacity of 4 slots, 17% of
#: the statements failed without this rule, and 2% with it.
BUSY_HANDSHAKE_SECONDS = 3 * HANDSHAKE_SECONDS
BUSY_RATE_FACTOR = 0.2

#: Weight of the latest handshake in the moving average.
HANDSHAKE_WEIGHT = 0.2

#: Part of its connections that a holder keeps while they are idle. A target counts connections of a
#: machine that lost power for 3 s more. When all machines start again, a tenth of 54 to 64
#: connections is still more than the 4 or 5 slots of a target.
KEPT_SHARE = 0.9

#: Part of the connections of a pool that one organisation may take while others wait.
ORGANISATION_SHARE = 0.5


def target_holders(holders: Sequence[EntryPlace], zone: AvailabilityZone) -> list[EntryPlace]:
    """Return the holders of a target: those of its group in its zone, all where these are few."""
    near = [holder for holder in holders if holder.zone == zone]
    return near if len(near) >= MINIMUM_TARGET_HOLDERS else list(holders)


def order_holders(
    group: GroupId, organisation: OrganisationId, holders: Iterable[EntryPlace]
) -> list[EntryPlace]:
    """Return holders in the order in which an organisation uses them, by rendezvous hashing."""
    scored = sorted(
        (xxhash.xxh64_intdigest(f"{group} {organisation} {holder.instance}".encode()), holder)
        for holder in holders
    )
    return [holder for _, holder in scored]


def openings_per_second(slots: int, sharing: int) -> float:
    """Return the connections that one instance may open to a target per second in the long run.

    :param slots: statements and handshakes that the target executes at the same time.
    :param sharing: number of instances that open connections to it.
    """
    return max(1, slots) * HANDSHAKE_SHARE / HANDSHAKE_SECONDS / max(1, sharing)


@dataclass(frozen=True)
class ConnectionPlan:
    """Connections of one instance to one target where organisations are in force.

    :param kept: connections that the instance keeps while they are idle.
    :param limit: connections that it may have.
    :param openings_per_second: connections that it may open per second in the long run.
    """

    kept: int
    limit: int
    openings_per_second: float

    @classmethod
    def divide(
        cls,
        usable: int,
        holders: Sequence[EntryPlace],
        instance: InstanceId,
        entries: int,
        slots: int,
    ) -> ConnectionPlan:
        """Return the part of one instance.

        :param usable: connections that the target accepts from all instances together.
        :param holders: holders of the target; empty if every instance has its own connections.
        :param entries: number of instances that serve callers.
        :param slots: statements that the target executes at the same time.
        """
        sharing = max(1, len(holders) or entries)
        part = max(1, usable // sharing)
        rate = openings_per_second(slots, sharing)
        if not holders:
            return cls(part, min(usable, max(MINIMUM_LIMIT, part)), rate)
        if any(holder.instance == instance for holder in holders):
            return cls(max(1, int(part * KEPT_SHARE)), part, rate)
        return cls(0, min(usable, MINIMUM_LIMIT), rate)


class OpeningBudget:
    """Bounds the connections that one instance opens to a target, whatever the cause.

    :param rate: connections per second in the long run.
    :param burst: connections that may be opened at once.
    """

    def __init__(self, rate: float, burst: int) -> None:
        self._full_rate = rate
        self._burst = burst
        self._allowance = float(burst)
        self._counted_at = -math.inf
        self._handshake_seconds = HANDSHAKE_SECONDS

    @property
    def _rate(self) -> float:
        """Return the connections that may be opened per second at present."""
        is_busy = self._handshake_seconds > BUSY_HANDSHAKE_SECONDS
        return self._full_rate * (BUSY_RATE_FACTOR if is_busy else 1.0)

    def update(self, rate: float, burst: int) -> None:
        """Take over other bounds, like those of the constructor; a larger burst counts at once."""
        self._allowance += max(0, burst - self._burst)
        self._full_rate, self._burst = rate, burst

    def opening_delay(self, now: float) -> float:
        """Return the seconds until the rate allows the next connection."""
        self._refill(now)
        return max(0.0, (1.0 - self._allowance) / self._rate)

    def record_opening(self, now: float) -> None:
        """Record that a connection is opened."""
        self._refill(now)
        self._allowance -= 1.0

    def record_handshake(self, seconds: float) -> None:
        """Record how long a handshake took; it is long when the slots of the target are busy."""
        self._handshake_seconds += HANDSHAKE_WEIGHT * (seconds - self._handshake_seconds)

    def _refill(self, now: float) -> None:
        """Add what the rate allows since the last call; at most the burst."""
        if now > self._counted_at > -math.inf:
            self._allowance += (now - self._counted_at) * self._rate
        self._allowance = min(self._allowance, float(self._burst))
        self._counted_at = now


class OpeningRules:
    """Decides whether a pool opens a connection for an organisation now."""

    def __init__(self, plan: ConnectionPlan) -> None:
        self._plan = plan
        self._patient_until: dict[OrganisationId, float] = {}

    @property
    def organisation_limit(self) -> int:
        """Return the connections that one organisation may take while others wait."""
        return max(1, math.ceil(self._plan.limit * ORGANISATION_SHARE))

    def update(self, plan: ConnectionPlan) -> None:
        """Take over another division of the connections."""
        self._plan = plan

    def record_progress(self, organisation: OrganisationId, now: float) -> None:
        """Record that an organisation began to wait or that one of its statements was served."""
        self._patient_until[organisation] = now + HANDSHAKE_SECONDS

    def forget(self, organisation: OrganisationId) -> None:
        """Forget an organisation that no longer waits."""
        self._patient_until.pop(organisation, None)

    def expected_returns(
        self, organisation: OrganisationId, in_use: int, use_seconds: float, now: float
    ) -> int:
        """Return the connections that become free before a new one would be open.

        :param in_use: connections that the organisation uses.
        :param use_seconds: average time of a use; 0 when nothing is known.
        """
        if use_seconds <= 0 or now >= self._patient_until.get(organisation, now):
            return 0
        return min(in_use, int(in_use * HANDSHAKE_SECONDS / use_seconds))

    def next_decision(self, now: float) -> float | None:
        """Return the seconds until an organisation no longer waits for its own connections."""
        ends = [until - now for until in self._patient_until.values() if until > now]
        return min(ends, default=None)
