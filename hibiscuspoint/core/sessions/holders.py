"""Choice of the holders: the instances that keep connections to the targets of a group for all."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hibiscuspoint.ids import AvailabilityZone, GroupId, InstanceId

__all__ = ["EntryPlace", "HolderRanking", "choose_holders", "serving_version"]

#: Connections to each target that one holder should have. With fewer, a holder often has none idle
#: while other holders have some; with more, few instances carry the load of a group.
CONNECTIONS_PER_HOLDER = 5

#: Minimum number of holders of a group, so that the loss of one leaves others.
MINIMUM_HOLDERS = 2

#: Time for which a holder that did not reply is ranked last; a restart takes about as long.
FAILURE_PENALTY_SECONDS = 1.0


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


class HolderRanking:
    """Order in which one instance borrows from the holders of a group.

    :param zone: availability zone of this instance.
    """

    def __init__(self, zone: AvailabilityZone) -> None:
        self._zone = zone
        self._borrowed_counts: dict[InstanceId, int] = {}
        self._failed_at: dict[InstanceId, float] = {}

    def rank(self, holders: Iterable[EntryPlace], now: float) -> list[InstanceId]:
        """Return the holders, best first.

        Holders without a recent failure precede the others, then those in the zone of this
        instance, then those from which it borrows the fewest connections.
        """

        def cost(entry: EntryPlace) -> tuple[bool, bool, int]:
            failed_at = self._failed_at.get(entry.instance, float("-inf"))
            borrowed_count = self._borrowed_counts.get(entry.instance, 0)
            return (
                now - failed_at < FAILURE_PENALTY_SECONDS,
                entry.zone != self._zone,
                borrowed_count,
            )

        return [entry.instance for entry in sorted(holders, key=cost)]

    def record_borrow(self, holder: InstanceId) -> None:
        """Record that a connection was borrowed."""
        self._borrowed_counts[holder] = self._borrowed_counts.get(holder, 0) + 1

    def record_return(self, holder: InstanceId) -> None:
        """Record that a borrowed connection was returned."""
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
