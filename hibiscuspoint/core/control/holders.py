"""Choice of the entries that keep connections to the targets of a group."""

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
    """Choose holders by rendezvous hashing; entries in the zones of the targets come first.

    With rendezvous hashing, the holders of a group change only when one of them leaves or an entry
    that ranks higher joins.

    :param entries: entries that may become holders.
    :param zones: availability zones of the group's targets.
    :param count: number of holders to choose.
    :returns: the chosen entries, highest rank first; fewer than ``count`` if there are not enough.
    """

    def rank(entry: EntryInfo) -> tuple[bool, int]:
        weight = xxhash.xxh64_intdigest(f"{group}\0{entry.instance}".encode())
        return entry.availability_zone in zones, weight

    ranked = sorted(entries, key=rank, reverse=True)
    return [entry.instance for entry in ranked[:count]]
