"""Entries that report to the control leader."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from hibiscuspoint.core.control.leases import LEASE_SECONDS
from hibiscuspoint.core.lease import lease_end_at_grantor
from hibiscuspoint.ids import AvailabilityZone, Incarnation, InstanceId

if TYPE_CHECKING:
    from hibiscuspoint.wire import peer_pb2

__all__ = ["EntryDirectory", "EntryInfo"]

#: Seconds after which a silent entry loses its place as holder.
ENTRY_LIVE_SECONDS = 1.0

#: Seconds after which nothing is kept about a silent entry. Its leases have ended by then.
ENTRY_FORGET_SECONDS = 60.0


@dataclass(frozen=True)
class EntryInfo:
    """The last report of an entry; ``seen_at`` is monotonic time in seconds."""

    instance: InstanceId
    incarnation: Incarnation
    availability_zone: AvailabilityZone
    address: str
    document_number: int
    draining: bool
    drained: bool
    holders_version: int
    serving_version: int
    sent_at_ns: int
    seen_at: float

    @property
    def order(self) -> tuple[Incarnation, int]:
        """Return the order in which the instance sent its reports."""
        return self.incarnation, self.sent_at_ns

    @property
    def place(self) -> tuple[InstanceId, AvailabilityZone, str]:
        """Return what the choice of holders and their published addresses depend on."""
        return self.instance, self.availability_zone, self.address

    @classmethod
    def from_message(cls, message: peer_pb2.EntryReport, now: float) -> EntryInfo:
        """Return the content of a report that arrived at ``now``."""
        return cls(
            instance=InstanceId(message.instance),
            incarnation=Incarnation(message.incarnation),
            availability_zone=AvailabilityZone(message.availability_zone),
            address=message.address,
            document_number=message.document_number,
            draining=message.draining,
            drained=message.drained,
            holders_version=message.holders_version,
            serving_version=message.serving_version,
            sent_at_ns=message.sent_at_ns,
            seen_at=now,
        )


class EntryDirectory:
    """Soft state about all entries, rebuilt from reports."""

    def __init__(self) -> None:
        self._entries: dict[InstanceId, EntryInfo] = {}

    @property
    def all(self) -> list[EntryInfo]:
        """Return the known entries, ordered by id."""
        return sorted(self._entries.values(), key=lambda entry: entry.instance)

    def record_report(self, info: EntryInfo) -> bool:
        """Keep a report; returns false for one that was sent before the last, or repeats it.

        Reports of a stream that the entry gave up may arrive after those of its new stream.
        """
        previous = self._entries.get(info.instance)
        if previous is not None and info.order <= previous.order:
            return False
        self._entries[info.instance] = info
        return True

    def get(self, instance: InstanceId) -> EntryInfo | None:
        """Return the last report of an entry."""
        return self._entries.get(instance)

    def is_live(self, instance: InstanceId, now: float) -> bool:
        """Tell whether an entry reports."""
        entry = self._entries.get(instance)
        return entry is not None and now - entry.seen_at < ENTRY_LIVE_SECONDS

    def live(self, now: float) -> list[EntryInfo]:
        """Return the entries that report."""
        return [entry for entry in self.all if now - entry.seen_at < ENTRY_LIVE_SECONDS]

    def serving(self, now: float) -> list[EntryInfo]:
        """Return the live entries that are not draining."""
        return [entry for entry in self.live(now) if not entry.draining]

    def has_no_valid_lease(self, instance: InstanceId, now: float) -> bool:
        """Tell whether every lease of an entry has run out since its last report."""
        info = self._entries.get(instance)
        return info is None or now > lease_end_at_grantor(info.seen_at, LEASE_SECONDS)

    def discount_stall(self, stalled: float, now: float) -> None:
        """Leave a time in which this process did not run out of the silence of all entries.

        :param stalled: seconds in which this process did not run.
        """
        for entry in list(self._entries.values()):
            seen_at = min(now, entry.seen_at + stalled)
            self._entries[entry.instance] = replace(entry, seen_at=seen_at)

    def remove_silent(self, now: float) -> None:
        """Drop entries that have been silent for long."""
        for entry in list(self._entries.values()):
            if now - entry.seen_at > ENTRY_FORGET_SECONDS:
                del self._entries[entry.instance]
