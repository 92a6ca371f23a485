"""The component that builds the reports of this entry."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from circuits import Component, handler

from hibiscuspoint.components.events import report_due
from hibiscuspoint.core.entry.drain import DrainPhase
from hibiscuspoint.telemetry import catalogue, log_event
from hibiscuspoint.util.units import NANOSECONDS_PER_SECOND
from hibiscuspoint.wire import peer_pb2

if TYPE_CHECKING:
    from hibiscuspoint.components.entry_state import EntryState
    from hibiscuspoint.components.runtime import Runtime
    from hibiscuspoint.core.entry.drain import DrainState
    from hibiscuspoint.core.ports import Clock
    from hibiscuspoint.ids import AvailabilityZone, Incarnation, InstanceId
    from hibiscuspoint.telemetry.metrics import Metrics

__all__ = ["EntryIdentity", "LeaseUser", "Reporting"]

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class EntryIdentity:
    """Who reports.

    :param address: address of the services for other instances, "ip:port".
    """

    instance: InstanceId
    incarnation: Incarnation
    availability_zone: AvailabilityZone
    address: str


class LeaseUser(Protocol):
    """What uses primaries under leases and tells control about them."""

    def fill_report(self, report: peer_pb2.EntryReport, now: float) -> None:
        """Add leases, shares and observations to a report."""

    def release_all(self) -> None:
        """Hand back everything, as the instance stops."""


class Reporting(Component):
    """Reports to control and follows its request to drain."""

    channel = "reporting"

    def __init__(
        self,
        identity: EntryIdentity,
        state: EntryState,
        holders: LeaseUser,
        drain: DrainState,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._identity = identity
        self._state = state
        self._holders = holders
        self._drain = drain
        self._clock = clock
        self._metrics = metrics
        self._is_drain_logged = False
        self._reported_document = 0
        self._usable_routes: set[str] = set()

    def make_report(self) -> peer_pb2.EntryReport:
        """Return the report that is sent now; leases that are not needed are handed back."""
        now_ns = int(self._clock.monotonic() * NANOSECONDS_PER_SECOND)
        document = self._state.document
        self._log_drained()
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
        )
        self._holders.fill_report(report, now_ns / NANOSECONDS_PER_SECOND)
        return report

    def _log_drained(self) -> None:
        if self._drain.phase is DrainPhase.DRAINED and not self._is_drain_logged:
            self._is_drain_logged = True
            log_event(
                logger,
                catalogue.DRAIN_FINISHED,
                subject=self._identity.instance,
                interrupted=self._drain.in_progress_count,
            )

    async def return_leases_and_shares(self, runtime: Runtime, seconds: float) -> None:
        """Report the end of the work so that leases and shares can go to others.

        :param seconds: time to wait for the report to be sent and answered.
        """
        runtime.dispatch(report_due())
        await asyncio.sleep(seconds)
        self._holders.release_all()
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
        if number != self._reported_document:
            self._reported_document = number
            self._metrics.document_number.set(number)
            digest = self._state.document.digest
            log_event(logger, catalogue.DOCUMENT_IN_FORCE, document=number, digest=digest)
            self.fire(report_due(), "*")
        if self._has_revoked_route(update):
            self.fire(report_due(), "*")

    def _has_revoked_route(self, update: peer_pb2.ControlUpdate) -> bool:
        """Tell whether a route was revoked or paused by this update.

        Only the change is news: answering each update with a report would let the entry and the
        leader send to each other without pause until the route is granted again.
        """
        usable = {route.group for route in update.routes if route.lease_ms and not route.paused}
        revoked = self._usable_routes - usable
        self._usable_routes = usable
        return bool(revoked)
