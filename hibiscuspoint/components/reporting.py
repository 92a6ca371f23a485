"""The component that reports the state of this entry to control."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Protocol

from circuits import Component, handler

from hibiscuspoint.components.events import report_due
from hibiscuspoint.core.entry.drain import DrainPhase
from hibiscuspoint.ids import Incarnation
from hibiscuspoint.telemetry import catalogue, log_event
from hibiscuspoint.util.units import NANOSECONDS_PER_SECOND
from hibiscuspoint.wire import peer_pb2

if TYPE_CHECKING:
    from hibiscuspoint.components.entry_state import EntryState
    from hibiscuspoint.components.runtime import Runtime
    from hibiscuspoint.core.entry.drain import DrainState
    from hibiscuspoint.core.ports import Clock
    from hibiscuspoint.ids import AvailabilityZone, InstanceId
    from hibiscuspoint.telemetry.metrics import Metrics

__all__ = ["EntryIdentity", "LeaseUser", "Reporting"]

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class EntryIdentity:
    """Identity of an entry in its reports.

    :param address: address at which this instance serves other instances, "ip:port".
    """

    instance: InstanceId
    incarnation: Incarnation
    availability_zone: AvailabilityZone
    address: str


class LeaseUser(Protocol):
    """Component that uses route leases and connection shares and reports their use."""

    def fill_report(self, report: peer_pb2.EntryReport, now: float) -> None:
        """Add leases, shares and observations to a report.

        :param now: monotonic time in seconds at which the report is sent.
        """

    def release_all(self) -> None:
        """Release all leases and shares because the instance stops."""


class Reporting(Component):
    """Builds the reports to control and starts the drain that control requests."""

    channel = "reporting"

    def __init__(
        self,
        identity: EntryIdentity,
        state: EntryState,
        lease_user: LeaseUser,
        drain: DrainState,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._identity = identity
        self._state = state
        self._lease_user = lease_user
        self._drain = drain
        self._clock = clock
        self._metrics = metrics
        self._is_drain_logged = False
        self._last_document_number = 0
        self._usable_groups: set[str] = set()

    def follow_incarnation(self, incarnation: int) -> None:
        """Take a later incarnation than a known one of this instance.

        The incarnation is the time of the start, so that it is too early after the clock was set
        back. The process with the known one has ended, as this one serves at its address.
        """
        if incarnation >= self._identity.incarnation:
            later = Incarnation(incarnation + 1)
            self._identity = replace(self._identity, incarnation=later)
            log_event(logger, catalogue.INCARNATION_RAISED, known=incarnation, incarnation=later)

    def make_report(self) -> peer_pb2.EntryReport:
        """Build the report to be sent now; it returns the leases that are no longer needed."""
        now_ns = int(self._clock.monotonic() * NANOSECONDS_PER_SECOND)
        document = self._state.document
        self._log_drain_end()
        report = peer_pb2.EntryReport(
            instance=self._identity.instance,
            incarnation=self._identity.incarnation,
            availability_zone=self._identity.availability_zone,
            address=self._identity.address,
            sent_at_ns=now_ns,
            document_number=self._state.document_number,
            document_digest=document.digest if document is not None else "",
            draining=not self._drain.is_ready,
            drained=self._drain.phase is DrainPhase.DRAINED,
            holders_version=self._state.holders_version,
            control_term=self._state.control_term,
            routes_missed=self._state.has_missed_routes,
        )
        self._lease_user.fill_report(report, now_ns / NANOSECONDS_PER_SECOND)
        return report

    def _log_drain_end(self) -> None:
        if self._drain.phase is DrainPhase.DRAINED and not self._is_drain_logged:
            self._is_drain_logged = True
            log_event(
                logger,
                catalogue.DRAIN_FINISHED,
                subject=self._identity.instance,
                interrupted=self._drain.in_progress_count,
            )

    async def return_leases_and_shares(self, runtime: Runtime, seconds: float) -> None:
        """Report the completed drain, then release all leases and shares and report again.

        :param seconds: time to wait for each of the two reports to be sent and answered.
        """
        runtime.dispatch(report_due())
        await asyncio.sleep(seconds)
        self._lease_user.release_all()
        runtime.dispatch(report_due())
        await asyncio.sleep(seconds)

    @handler("update_received", channel="*", priority=-1)
    def _on_update(self, update: peer_pb2.ControlUpdate) -> None:
        if update.drain and self._drain.is_ready:
            self._drain.start(self._clock.monotonic())
            log_event(
                logger,
                catalogue.DRAIN_STARTED,
                subject=self._identity.instance,
                open_requests=self._drain.in_progress_count,
            )
        number = self._state.document_number
        if number != self._last_document_number:
            self._last_document_number = number
            self._metrics.document_number.set(number)
            digest = self._state.document.digest
            log_event(logger, catalogue.DOCUMENT_IN_FORCE, document=number, digest=digest)
            self.fire(report_due(), "*")
        if self._withdraws_route(update):
            self.fire(report_due(), "*")

    def _withdraws_route(self, update: peer_pb2.ControlUpdate) -> bool:
        """Tell whether this update revokes or pauses a route that was usable before.

        Only such a change triggers a report. A report in answer to every update without the route
        would make the entry and the leader message each other in a tight loop until the route is
        granted again.
        """
        usable = {route.group for route in update.routes if route.lease_ms and not route.paused}
        if update.renewed_lease_ms and not update.all_routes:
            # The update holds only changes.
            changed = {item.group for item in (*update.routes, *update.revoked)}
            usable |= self._usable_groups - changed
        withdrawn = self._usable_groups - usable
        self._usable_groups = usable
        return bool(withdrawn)
