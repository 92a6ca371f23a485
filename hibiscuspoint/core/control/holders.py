"""Choice of the entries that hold the connections of a group."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from hibiscuspoint.core.control.entries import EntryInfo
    from hibiscuspoint.ids import AvailabilityZone, GroupId, InstanceId

__all__ = ["choose_holders"]


def choose_holders(
    group: GroupId, entries: list[EntryInfo], zones: set[AvailabilityZone], count: int
) -> list[InstanceId]:
    """Choose holders by rendezvous hashing, entries near the targets first.

    Rendezvous hashing moves a group only when one of its own holders comes or goes.

    :param entries: entries that may hold connections.
    :param zones: availability zones of the group's targets.
    :param count: number of holders.
    """

    def rank(entry: EntryInfo) -> tuple[bool, int]:
        weight = xxhash.xxh64_intdigest(f"{group}\0{entry.instance}".encode())
        return entry.availability_zone in zones, weight

    ranked = sorted(entries, key=rank, reverse=True)
    return [entry.instance for entry in ranked[:count]]
