"""Which instances keep the connections to the targets of a group for all."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hibiscuspoint.ids import AvailabilityZone, GroupId, InstanceId

__all__ = ["EntryPlace", "HolderRanking", "choose_holders", "serving_version"]

#: Connections to each target that one holder should have: fewer leave it without an idle one while
#: other holders have some, more concentrate the load of a group on few instances.
CONNECTIONS_PER_HOLDER = 5

#: Holders of a group at least, so that the loss of one leaves others.
MINIMUM_HOLDERS = 2

#: Seconds for which a holder that did not answer is asked last; a restart takes about that long.
AVOID_SECONDS = 1.0


@dataclass(frozen=True, order=True, slots=True)
class EntryPlace:
    """An instance that serves callers, and where it is."""

    instance: InstanceId
    zone: AvailabilityZone


def serving_version(entries: Iterable[EntryPlace]) -> int:
    """Return a digest of a list of serving instances, which is equal at every control leader."""
    digest = xxhash.xxh64()
    for entry in sorted(entries):
        digest.update(f"{entry.instance} {entry.zone}\n".encode())
    return digest.intdigest()


def choose_holders(
    group: GroupId, entries: Iterable[EntryPlace], usable_connections: int
) -> list[EntryPlace]:
    """Return the holders of a group, spread over the zones; empty when every instance is one.

    Instances that know the same entries choose the same holders, and a change of the entries
    changes few of them.

    :param usable_connections: connections that a target accepts from all instances together.
    """
    known = list(entries)
    if len(known) <= usable_connections:
        return []
    count = max(MINIMUM_HOLDERS, usable_connections // CONNECTIONS_PER_HOLDER)
    ranks: dict[AvailabilityZone, int] = {}
    ranked = []
    for score, entry in sorted((_score(group, entry), entry) for entry in known):
        rank = ranks[entry.zone] = ranks.get(entry.zone, -1) + 1
        ranked.append((rank, score, entry))
    return [entry for _, _, entry in sorted(ranked)[:count]]


def _score(group: GroupId, entry: EntryPlace) -> int:
    return xxhash.xxh64_intdigest(f"{group} {entry.instance}".encode())


class HolderRanking:
    """The order in which one instance asks the holders of a group.

    :param zone: availability zone of this instance.
    """

    def __init__(self, zone: AvailabilityZone) -> None:
        self._zone = zone
        self._in_use: dict[InstanceId, int] = {}
        self._failed_at: dict[InstanceId, float] = {}

    def rank(self, holders: Iterable[EntryPlace], now: float) -> list[InstanceId]:
        """Return the holders, best first: those that answer, in this zone, with the least work."""

        def cost(entry: EntryPlace) -> tuple[bool, bool, int]:
            failed_at = self._failed_at.get(entry.instance, float("-inf"))
            in_use = self._in_use.get(entry.instance, 0)
            return now - failed_at < AVOID_SECONDS, entry.zone != self._zone, in_use

        return [entry.instance for entry in sorted(holders, key=cost)]

    def record_borrow(self, holder: InstanceId) -> None:
        """Count a connection that was borrowed."""
        self._in_use[holder] = self._in_use.get(holder, 0) + 1

    def record_return(self, holder: InstanceId) -> None:
        """Count a connection that was given back."""
        self._in_use[holder] -= 1
        if not self._in_use[holder]:
            del self._in_use[holder]

    def record_answer(self, holder: InstanceId) -> None:
        """Record that a holder answers."""
        self._failed_at.pop(holder, None)

    def record_failure(self, holder: InstanceId, now: float) -> bool:
        """Record that a holder did not answer; returns whether it was not avoided before."""
        is_new = now - self._failed_at.get(holder, float("-inf")) >= AVOID_SECONDS
        self._failed_at[holder] = now
        return is_new
