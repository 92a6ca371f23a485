"""Choice of the holders: the instances that keep connections to the targets of a group for all."""

from __future__ import annotations

import itertools
import math
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

import xxhash

from hibiscuspoint.core.sessions.connection_plan import order_holders
from hibiscuspoint.ids import NO_ORGANISATION, TargetId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hibiscuspoint.ids import AvailabilityZone, GroupId, InstanceId, OrganisationId

__all__ = ["EntryPlace", "HolderRanking", "choose_holders", "serving_version"]

#: Connections to each target that one holder should have. With fewer, a holder often has none idle
#: while other holders have some; with more, few instances carry the load of a group.
CONNECTIONS_PER_HOLDER = 5

#: Minimum number of holders of a group, so that the loss of one leaves others.
MINIMUM_HOLDERS = 2

#: Time for which a holder that did not reply is ranked last; a restart takes about as long.
FAILURE_PENALTY_SECONDS = 1.0

#: Difference in seconds from which one holder counts as slower than another. It is above the time
#: that a message takes between availability zones, so that a holder of the own zone is preferred
#: unless statements wait there.
WAIT_STEP_SECONDS = 0.005

#: As above, for the demands of an organisation: another holder costs a handshake of 12 ms in a slot
#: of the target, so it must be faster by more than two of them.
ORGANISATION_WAIT_STEP_SECONDS = 0.03

#: Connections of an organisation that one instance borrows from one holder before it asks the next.
#: Statements of one organisation that one instance runs at the same time at a target are usually
#: fewer; an instance with more of them serves an organisation with excess load.
SPREAD_CONNECTIONS = 3

#: Weight of the latest wait in the average of a holder.
WAIT_WEIGHT = 0.3

#: Time in seconds in which the average wait at a holder fades to a third without new waits.
WAIT_FADE_SECONDS = 1.0

#: Pairs of a holder and a target of which waits are remembered before unused ones are forgotten,
#: and the time in seconds after which a pair counts as unused.
MAX_WAITS = 1024
WAIT_MEMORY_SECONDS = 30.0

_NO_TARGET = TargetId("")


@dataclass(frozen=True, order=True, slots=True)
class EntryPlace:
    """An instance that serves callers, with its availability zone."""

    instance: InstanceId
    zone: AvailabilityZone


def serving_version(entries: Iterable[EntryPlace]) -> int:
    """Return a digest of a set of serving instances.

    Every control leader computes the same digest, whatever the order of the entries.
    """
    digest = xxhash.xxh64()
    for entry in sorted(entries):
        digest.update(f"{entry.instance} {entry.zone}\n".encode())
    return digest.intdigest()


def choose_holders(
    group: GroupId, entries: Iterable[EntryPlace], usable_connections: int
) -> list[EntryPlace]:
    """Return the holders of a group, spread over the zones; empty if every instance is a holder.

    Holders are chosen by rendezvous hashing: instances with the same list of entries choose the
    same holders, and a change of the list replaces few of them.

    :param entries: the instances that serve callers.
    :param usable_connections: connections that a target accepts from all instances together.
    """
    candidates = list(entries)
    if len(candidates) <= usable_connections:
        return []
    count = max(MINIMUM_HOLDERS, usable_connections // CONNECTIONS_PER_HOLDER)
    ranks: dict[AvailabilityZone, int] = {}
    ranked = []
    for score, entry in sorted((_score(group, entry), entry) for entry in candidates):
        rank = ranks[entry.zone] = ranks.get(entry.zone, -1) + 1
        ranked.append((rank, score, entry))
    return [entry for _, _, entry in sorted(ranked)[:count]]


def _score(group: GroupId, entry: EntryPlace) -> int:
    return xxhash.xxh64_intdigest(f"{group} {entry.instance}".encode())


_WaitKey: TypeAlias = "tuple[InstanceId, TargetId, OrganisationId]"


class HolderRanking:
    """Order in which one instance borrows from the holders of a group.

    :param zone: availability zone of this instance.
    """

    def __init__(self, zone: AvailabilityZone) -> None:
        self._zone = zone
        self._borrowed_counts: dict[InstanceId, int] = {}
        self._organisation_counts: Counter[_WaitKey] = Counter()
        self._failed_at: dict[InstanceId, float] = {}
        self._waits: dict[_WaitKey, _WaitAverage] = {}
        self._forget_at = MAX_WAITS
        self._uses = itertools.count()
        self._last_uses: dict[InstanceId, int] = {}

    def rank(
        self,
        holders: Iterable[EntryPlace],
        target: TargetId,
        now: float,
        target_zone: AvailabilityZone | None = None,
    ) -> list[InstanceId]:
        """Return the holders, best first.

        Holders without a recent failure precede the others, then those at which statements wait
        less for a connection to the target, then those in the zone of this instance, then those
        from which it borrows the fewest connections, and last the one used least recently.

        :param target_zone: zone of the target, if a holder there is as near as one of the own zone;
            a statement crosses a border twice only at a holder of a third zone.
        """
        near = (self._zone, target_zone)

        def cost(entry: EntryPlace) -> tuple[bool, int, bool, int, int]:
            holder = entry.instance
            failed_at = self._failed_at.get(holder, float("-inf"))
            wait = self._waits.get((holder, target, NO_ORGANISATION))
            return (
                now - failed_at < FAILURE_PENALTY_SECONDS,
                int(wait.seconds(now) / WAIT_STEP_SECONDS) if wait is not None else 0,
                entry.zone not in near,
                self._borrowed_counts.get(holder, 0),
                self._last_uses.get(holder, -1),
            )

        return [entry.instance for entry in sorted(holders, key=cost)]

    def rank_for(
        self,
        organisation: OrganisationId,
        group: GroupId,
        holders: Iterable[EntryPlace],
        target: TargetId,
        now: float,
    ) -> list[InstanceId]:
        """Return the holders of a target for a demand of an organisation, best first.

        Holders without a recent failure precede the others, then those at which the organisation
        waits less, then those from which it borrows few connections, and last the order that all
        instances compute for the organisation, so that its connections are at few holders.
        """

        def cost(holder: InstanceId) -> tuple[bool, int, int]:
            key = (holder, target, organisation)
            failed_at = self._failed_at.get(holder, float("-inf"))
            wait = self._waits.get(key)
            return (
                now - failed_at < FAILURE_PENALTY_SECONDS,
                int(wait.seconds(now) / ORGANISATION_WAIT_STEP_SECONDS) if wait is not None else 0,
                self._organisation_counts.get(key, 0) // SPREAD_CONNECTIONS,
            )

        ordered = order_holders(group, organisation, holders)
        return sorted((place.instance for place in ordered), key=cost)

    def record_wait(
        self,
        holder: InstanceId,
        target: TargetId,
        seconds: float,
        now: float,
        organisation: OrganisationId = NO_ORGANISATION,
    ) -> None:
        """Record how long a holder took to lend a connection to a target, or to refuse one."""
        if len(self._waits) >= self._forget_at:
            self._forget_faded(now)
            # Each organisation has waits of its own, so more than the maximum may be in use.
            self._forget_at = max(MAX_WAITS, 2 * len(self._waits))
        self._last_uses[holder] = next(self._uses)
        key = (holder, target, organisation)
        self._waits.setdefault(key, _WaitAverage()).record(seconds, now)

    def record_borrow(
        self,
        holder: InstanceId,
        target: TargetId = _NO_TARGET,
        organisation: OrganisationId = NO_ORGANISATION,
    ) -> None:
        """Record that a connection was borrowed."""
        if organisation:
            self._organisation_counts[holder, target, organisation] += 1
        self._borrowed_counts[holder] = self._borrowed_counts.get(holder, 0) + 1

    def record_return(
        self,
        holder: InstanceId,
        target: TargetId = _NO_TARGET,
        organisation: OrganisationId = NO_ORGANISATION,
    ) -> None:
        """Record that a borrowed connection was returned."""
        if organisation:
            key = (holder, target, organisation)
            self._organisation_counts[key] -= 1
            if not self._organisation_counts[key]:
                del self._organisation_counts[key]
        self._borrowed_counts[holder] -= 1
        if not self._borrowed_counts[holder]:
            del self._borrowed_counts[holder]

    def record_answer(self, holder: InstanceId) -> None:
        """Record a reply of a holder."""
        self._failed_at.pop(holder, None)

    def record_failure(self, holder: InstanceId, now: float) -> bool:
        """Record that a holder did not reply; return whether it was not yet ranked last."""
        is_new = now - self._failed_at.get(holder, float("-inf")) >= FAILURE_PENALTY_SECONDS
        self._failed_at[holder] = now
        return is_new

    def _forget_faded(self, now: float) -> None:
        """Forget holders and targets that were not used for long, such as those that left."""
        self._waits = {
            key: wait
            for key, wait in self._waits.items()
            if now - wait.recorded_at < WAIT_MEMORY_SECONDS
        }
        known = {holder for holder, _, _ in self._waits}
        self._last_uses = {h: use for h, use in self._last_uses.items() if h in known}
        self._failed_at = {
            holder: failed_at
            for holder, failed_at in self._failed_at.items()
            if now - failed_at < WAIT_MEMORY_SECONDS
        }


class _WaitAverage:
    """Moving average of waits that fades, so that an avoided holder is tried again."""

    def __init__(self) -> None:
        self._average_seconds = 0.0
        #: Monotonic time of the last wait.
        self.recorded_at = float("-inf")

    def seconds(self, now: float) -> float:
        """Return the average in seconds at a monotonic time."""
        return self._average_seconds * math.exp((self.recorded_at - now) / WAIT_FADE_SECONDS)

    def record(self, seconds: float, now: float) -> None:
        """Record one wait."""
        average = self.seconds(now)
        self._average_seconds = average + WAIT_WEIGHT * (seconds - average)
        self.recorded_at = now
