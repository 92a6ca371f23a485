"""Entries that report to the control leader."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from hibiscuspoint.core.control.leases import LEASE_SECONDS
from hibiscuspoint.core.lease import lease_end_at_grantor
from hibiscuspoint.ids import AvailabilityZone, EntryProcess, Incarnation, InstanceId

if TYPE_CHECKING:
    from hibiscuspoint.core.control.leases import LeaseLedger
    from hibiscuspoint.wire import peer_pb2

__all__ = ["ENTRY_REMOVAL_SECONDS", "EntryDirectory", "EntryInfo"]

#: Seconds without a report after which an entry is no longer a holder.
ENTRY_LIVE_SECONDS = 1.0

#: Seconds without a report after which an entry is removed. Its leases have expired by then.
ENTRY_REMOVAL_SECONDS = 60.0


@dataclass(frozen=True)
class EntryInfo:
    """The last report of an entry.

    :param sent_at_ns: time of sending on the entry's monotonic clock, in nanoseconds.
    :param seen_at: monotonic time of receipt in seconds.
    """

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
    def process(self) -> EntryProcess:
        """The start of the instance that sent the report."""
        return EntryProcess(self.instance, self.incarnation)

    @property
    def report_order(self) -> tuple[Incarnation, int]:
        """Sort key of the reports of an instance by the time at which it sent them."""
        return self.incarnation, self.sent_at_ns

    @property
    def placement(self) -> tuple[InstanceId, AvailabilityZone, str]:
        """Fields that the choice of holders and their published addresses depend on."""
        return self.instance, self.availability_zone, self.address

    @classmethod
    def from_message(cls, message: peer_pb2.EntryReport, now: float) -> EntryInfo:
        """Return the content of a report that was received at ``now``."""
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
    """Last reports of all entries; soft state that a new leader rebuilds."""

    def __init__(self) -> None:
        self._entries: dict[InstanceId, EntryInfo] = {}

    @property
    def all(self) -> list[EntryInfo]:
        """Entries with a report, ordered by id."""
        return sorted(self._entries.values(), key=lambda entry: entry.instance)

    def record_report(self, info: EntryInfo) -> bool:
        """Store a report unless it was sent before the stored one or repeats it.

        Reports on a stream that the entry has abandoned may arrive after those on its new stream.

        :returns: whether the report was stored.
        """
        previous = self._entries.get(info.instance)
        if previous is not None and info.report_order <= previous.report_order:
            return False
        self._entries[info.instance] = info
        return True

    def get(self, instance: InstanceId) -> EntryInfo | None:
        """Return the last report of an entry, or ``None``."""
        return self._entries.get(instance)

    def take_report(self, info: EntryInfo, leases: LeaseLedger) -> bool:
        """Store a report like :meth:`record_report`; the first one of a process ends leases.

        :param leases: ledger in which the leases of former processes of the instance end.
        """
        known = self._entries.get(info.instance)
        is_new_process = known is None or known.incarnation < info.incarnation
        if not self.record_report(info):
            return False
        if is_new_process:
            leases.record_start(info.process, info.seen_at)
        return True

    def is_live(self, instance: InstanceId, now: float) -> bool:
        """Tell whether an entry has reported recently."""
        entry = self._entries.get(instance)
        return entry is not None and now - entry.seen_at < ENTRY_LIVE_SECONDS

    def live(self, now: float) -> list[EntryInfo]:
        """Return the entries that have reported recently, ordered by id."""
        return [entry for entry in self.all if now - entry.seen_at < ENTRY_LIVE_SECONDS]

    def serving(self, now: float) -> list[EntryInfo]:
        """Return the live entries that are not draining, ordered by id."""
        return [entry for entry in self.live(now) if not entry.draining]

    def has_no_valid_lease(self, instance: InstanceId, now: float) -> bool:
        """Tell whether every lease that an entry received with its last report has expired."""
        info = self._entries.get(instance)
        return info is None or now > lease_end_at_grantor(info.seen_at, LEASE_SECONDS)

    def discount_stall(self, stalled: float, now: float) -> None:
        """Deduct a stall of this process from the silence of all entries.

        :param stalled: seconds in which this process did not run.
        """
        for entry in list(self._entries.values()):
            seen_at = min(now, entry.seen_at + stalled)
            self._entries[entry.instance] = replace(entry, seen_at=seen_at)

    def remove_silent(self, now: float) -> None:
        """Remove the entries whose last report is too old."""
        for entry in list(self._entries.values()):
            if now - entry.seen_at > ENTRY_REMOVAL_SECONDS:
                del self._entries[entry.instance]
