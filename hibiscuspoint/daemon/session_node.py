"""One instance whose callers have connections as sessions: its components and life cycle."""

from __future__ import annotations

import asyncio
import logging
import math
import signal
import time
from dataclasses import fields, replace
from typing import TYPE_CHECKING

import grpc

from hibiscuspoint import __version__
from hibiscuspoint.components.attachment import Attachment
from hibiscuspoint.components.configuration import ConfigurationService
from hibiscuspoint.components.control_service import ControlService
from hibiscuspoint.components.entry_state import EntryState
from hibiscuspoint.components.events import report_due
from hibiscuspoint.components.introductions import Introductions
from hibiscuspoint.components.leader_client import LeaderClient
from hibiscuspoint.components.metrics_server import MetricsServer
from hibiscuspoint.components.peers import PEER_SERVER_OPTIONS, PeerChannels
from hibiscuspoint.components.readiness import ReadinessLog
from hibiscuspoint.components.reporting import EntryIdentity, Reporting
from hibiscuspoint.components.runtime import Runtime, SystemClock
from hibiscuspoint.components.sessions import (
    ConnectionBorrowing,
    ConnectionLending,
    GroupAccess,
    ReadBalancing,
    SessionService,
    WaitRecords,
)
from hibiscuspoint.components.sessions.quotas import QuotaGate
from hibiscuspoint.core.entry.drain import DrainState
from hibiscuspoint.daemon.failures import FailureMonitor
from hibiscuspoint.drivers.answer_monitor import AnswerMonitor
from hibiscuspoint.errors import ConfigurationError
from hibiscuspoint.ids import Incarnation
from hibiscuspoint.security import TlsMode, Transport
from hibiscuspoint.telemetry import Metrics, catalogue, log_event
from hibiscuspoint.util.tasks import spawn
from hibiscuspoint.wire import peer_pb2, peer_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.components.consensus import ReplicatedLog
    from hibiscuspoint.components.failover_control import FailoverControl
    from hibiscuspoint.daemon.control_role import ControlRole
    from hibiscuspoint.daemon.session_ports import Ports, SessionNodeSettings
    from hibiscuspoint.telemetry.bounded import BoundedHandler

__all__ = ["SessionNode"]

logger = logging.getLogger(__name__)

#: Seconds between two ticks of connections and readiness.
TICK_SECONDS = 0.05

#: Seconds after a stop was asked for in which new callers are still served: the load balancer asks
#: once per second and takes an instance out after two refusals.
NOTICE_SECONDS = 2.2

#: Seconds without contact with control after which an instance sends its callers elsewhere. Its
#: leases have ended by then; the loss of a control leader is usually over before.
CONTACT_SECONDS = 2.5

#: Seconds between two looks at the settings file.
RELOAD_SECONDS = 1.0

#: Share of the grace time after which open transactions are rolled back.
TRANSACTION_SHARE = 0.5

#: Seconds before the end of the grace time at which the process ends in any case.
EXIT_MARGIN_SECONDS = 0.7

#: Largest message between instances in bytes: a configuration of some thousand routes.
MESSAGE_BYTES = 16_777_216

#: Seconds without an update after which the control leader is left for another one; it answers each
#: report, which are 0.25 s apart.
CONTROL_SILENCE_SECONDS = 0.7

#: Seconds to wait for the first update of an instance, at first. The leader answers each report at
#: once, so that a lost machine delays the way to the next leader only so much.
FIRST_UPDATE_SECONDS = 0.4

#: Seconds that the gRPC server waits for calls when the process stops.
STOP_GRACE_SECONDS = 0.2

#: Longest time in seconds to wait until control has the leases back when the instance stops.
#: Without them, a promotion would wait for what this process may have acknowledged.
LEASE_RETURN_SECONDS = 0.3


class SessionNode:
    """All components of one process, on one asyncio loop.

    :param log_handler: handler of the log, whose dropped lines are counted.
    :param started_at: when the process started, on the clock of the control log.
    :param read_settings: reads the settings again; raises ``ConfigurationError``.
    """

    def __init__(
        self,
        settings: SessionNodeSettings,
        ports: Ports,
        log_handler: BoundedHandler,
        read_settings: Callable[[], SessionNodeSettings],
        started_at: float,
    ) -> None:
        self._started_at = started_at
        self._settings = settings
        self._latest = settings
        self._read_settings = read_settings
        self._ports = ports
        self._log_handler = log_handler
        self._clock = SystemClock()
        self._metrics = Metrics()
        self._transport = Transport(TlsMode.PLAIN_TEXT, None, MESSAGE_BYTES)
        self._incarnation = Incarnation(time.time_ns())
        self._drain = DrainState()
        self._stopping: asyncio.Event | None = None
        self._cut_off_since: float | None = None

    async def run(self) -> int:
        """Serve until SIGTERM, SIGINT or a failure that needs a restart; return the exit status."""
        self._stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._build()
        await self._start()
        ticker = spawn(self._tick_forever(), "timer")
        reloader = spawn(self._reload_forever(), "settings")
        await self._stopping.wait()
        await self._drain_work()
        ticker.cancel()
        reloader.cancel()
        await self._stop()
        status = int(self._failures.status)
        log_event(logger, catalogue.DAEMON_STOPPED, status=status)
        self._log_handler.flush()
        return status

    def _build(self) -> None:
        settings = self._settings
        self._runtime = Runtime()
        self._failures = FailureMonitor(self._stopping.set).register(self._runtime)
        self._channels = PeerChannels(self._transport)
        self._state = EntryState("", self._ports.parse, CONTACT_SECONDS)
        self._quotas = QuotaGate(
            self._state,
            settings.quota_bounds,
            self._clock,
            self._metrics,
            lambda: self._runtime.dispatch(report_due()),
        )
        zone, scheduling = settings.availability_zone, settings.scheduling
        records = WaitRecords(self._metrics, is_logging=scheduling == "fair")
        reads = ReadBalancing(zone, settings.ranking, self._metrics)
        self._ports.driver.set_answer_monitor(AnswerMonitor(self._clock, self._metrics))
        borrowing = ConnectionBorrowing(
            zone, self._channels, self._clock, scheduling, records, reads
        )
        self._access = GroupAccess(
            self._state,
            self._ports.driver,
            self._clock,
            settings.instance,
            borrowing,
            self._metrics,
            scheduling,
            records,
            reads,
            self._quotas,
        )
        self._lending = ConnectionLending(self._access, self._clock)
        self._service = SessionService(
            self._state,
            self._access,
            settings.availability_zone,
            self._drain,
            self._clock,
            self._metrics,
            limiter=self._quotas,
        ).register(self._runtime)
        self._readiness = ReadinessLog(self._state, self._drain)
        self._build_control()
        self._build_reporting()
        self._callers = self._ports.make_callers(self._service)
        configuration = ConfigurationService(self._control, self._leader_client)
        self._others = self._ports.make_others(
            self._announce, configuration, lambda: self._service.is_ready
        )
        self._others.append(MetricsServer(settings.metrics_address, self._metrics))

    def _build_control(self) -> None:
        settings = self._settings
        self._role: ControlRole | None = None
        self._log: ReplicatedLog | None = None
        self._control: FailoverControl | None = None
        if settings.data_directory is not None:
            self._role = self._make_control_role()
            self._log, self._control = self._role.log, self._role.control
        self._leader_client = LeaderClient(self._log, list(settings.seeds), self._channels)

    def _make_control_role(self) -> ControlRole:
        # Instances without a disk do not load consensus and failover, which take a quarter of the
        # start time.
        from hibiscuspoint.daemon.control_role import ControlRole

        return ControlRole(
            self._settings,
            self._ports,
            self._runtime,
            self._clock,
            self._metrics,
            self._open_control_channel,
            self._started_at,
        )

    def _build_reporting(self) -> None:
        settings = self._settings
        identity = EntryIdentity(
            settings.instance, self._incarnation, settings.availability_zone, settings.instance
        )
        self._reporting = Reporting(
            identity, self._state, self._access, self._drain, self._clock, self._metrics
        ).register(self._runtime)
        self._attachment = Attachment(
            self._runtime,
            self._channels,
            list(settings.seeds),
            self._make_report,
            on_update=self._on_attached,
            on_detached=self._on_detached,
            on_refused=self._on_refused,
            on_later_start=self._reporting.follow_incarnation,
            silence_seconds=CONTROL_SILENCE_SECONDS,
            first_update_seconds=FIRST_UPDATE_SECONDS,
        ).register(self._runtime)
        self._introductions = Introductions(
            settings.instance,
            self._leader_client,
            self._channels,
            lambda: self._settings.seeds,
            lambda: self._log is not None or not self._leader_client.known_leader,
            self._on_introduced,
        )

    def _make_report(self) -> peer_pb2.EntryReport:
        report = self._reporting.make_report()
        if self._log is not None:
            report.disk = self._log.disk_id
        return report

    def _on_attached(self, update: peer_pb2.ControlUpdate) -> None:
        """Remember where control is, for the next attachment and for calls of others."""
        self._leader_client.record_attachment(update.leader, update.control_members)
        if update.control_members:
            self._attachment.set_members(self._candidates())

    def _on_detached(self) -> None:
        self._leader_client.record_detachment()
        self._quotas.begin_stream()
        self._introductions.wake()

    def _on_refused(self, update: peer_pb2.ControlUpdate) -> None:
        """Take what an instance that does not lead knows about control."""
        self._leader_client.record_introduction(
            peer_pb2.Introduction(control_members=update.control_members)
        )
        self._attachment.set_members(self._candidates())

    def _on_introduced(self, leader: str) -> None:
        self._attachment.set_members(self._candidates())
        self._attachment.suggest_leader(leader)

    async def _announce(self, announcement: peer_pb2.Announcement) -> bool:
        if self._control is not None and await self._control.handle_announcement(announcement):
            return True
        reply = await self._leader_client.announce(announcement)
        return reply.accepted

    def _open_control_channel(self, address: str, options: object = ()) -> grpc.aio.Channel:
        return self._transport.channel(address, list(options or ()))

    async def _start(self) -> None:
        options = [*self._transport.server_options, *PEER_SERVER_OPTIONS]
        self._server = grpc.aio.server(options=options)
        peer_pb2_grpc.add_ControlServicer_to_server(
            ControlService(self._control, self._leader_client), self._server
        )
        peer_pb2_grpc.add_ConnectionsServicer_to_server(self._lending, self._server)
        if self._role is not None:
            self._role.add_services(self._server)
        self._server.add_insecure_port(self._settings.instance)
        await self._server.start()
        if self._role is not None:
            await self._role.start()
        self._attachment.set_members(self._candidates())
        self._attachment.start()
        self._introductions.start()
        await self._callers.start()
        for port in self._others:
            await port.start()
        log_event(
            logger,
            catalogue.DAEMON_STARTED,
            version=__version__,
            address=self._settings.instance,
            roles=["entry", "control"] if self._log is not None else ["entry"],
        )

    async def _tick_forever(self) -> None:
        while True:
            due = self._clock.monotonic() + TICK_SECONDS
            await asyncio.sleep(TICK_SECONDS)
            now = self._clock.monotonic()
            self._metrics.loop_lag.observe(max(0.0, now - due))
            self._access.tick(now)
            self._lending.tick(now)
            self._readiness.tick(now)
            self._attachment.suggest_leader(self._leader_client.known_leader)
            self._watch_contact(now)
            self._log_handler.flush()
            dropped = self._log_handler.take_dropped()
            if dropped:
                self._metrics.log_lines_dropped.inc(dropped)

    def _watch_contact(self, now: float) -> None:
        """Send callers elsewhere once the load balancer has had time to take this instance out."""
        if self._state.has_contact(now):
            self._cut_off_since = None
        elif self._cut_off_since is None:
            self._cut_off_since = now
        elif now - self._cut_off_since >= NOTICE_SECONDS:
            self._cut_off_since = math.inf
            self._callers.close_idle()

    async def _reload_forever(self) -> None:
        """Look for changed settings, as the file may change without a signal."""
        while True:
            await asyncio.sleep(RELOAD_SECONDS)
            self._reload()

    def _reload(self) -> None:
        """Read the settings again and take over what may change while the process runs."""
        try:
            settings = self._read_settings()
        except ConfigurationError as error:
            log_event(logger, catalogue.SETTINGS_REFUSED, reason=error.message)
            return
        known, self._latest = self._latest, settings
        changed = [
            field.name
            for field in fields(settings)
            if getattr(settings, field.name) != getattr(known, field.name)
        ]
        if not changed:
            return
        log_event(logger, catalogue.SETTINGS_RELOADED, changed=changed, seeds=settings.seeds)
        # Addresses, the disk and the founders stay those of the start of the process.
        self._settings = replace(
            self._settings,
            seeds=settings.seeds,
            tolerated_losses=settings.tolerated_losses,
            grace_seconds=settings.grace_seconds,
        )
        self._leader_client.set_seeds(settings.seeds)
        self._attachment.set_members(self._candidates())

    def _candidates(self) -> list[str]:
        """Return the addresses where control may be found, best first."""
        members = self._leader_client.members
        if self._log is not None:
            own = [self._settings.instance, *self._log.voter_addresses]
            members = list(dict.fromkeys([*members, *own]))
        return members + [seed for seed in self._settings.seeds if seed not in members]

    async def _drain_work(self) -> None:
        """Leave the load balancer, let work end, and roll back what does not end in time."""
        started = self._clock.monotonic()
        self._drain.start(started)
        log_event(
            logger,
            catalogue.DRAIN_STARTED,
            subject=self._settings.instance,
            open_requests=self._drain.in_progress_count,
        )
        grace = self._settings.grace_seconds
        await asyncio.sleep(NOTICE_SECONDS)
        self._callers.close_when_idle()
        await self._wait_until_empty(started + grace * TRANSACTION_SHARE)
        self._callers.end_sessions()
        await self._wait_until_empty(started + grace - EXIT_MARGIN_SECONDS)
        self._access.release_all()
        await self._attachment.report(LEASE_RETURN_SECONDS)

    async def _wait_until_empty(self, deadline: float) -> None:
        # The port of the callers has no event for its last session.
        while self._callers.open_sessions and self._clock.monotonic() < deadline:  # noqa: ASYNC110
            await asyncio.sleep(TICK_SECONDS)

    async def _stop(self) -> None:
        await self._callers.stop()
        for port in self._others:
            await port.stop()
        await self._introductions.stop()
        await self._attachment.stop()
        if self._role is not None:
            await self._role.stop()
        self._access.close()
        await self._server.stop(STOP_GRACE_SECONDS)
        await self._channels.close()
