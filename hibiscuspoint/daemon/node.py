"""One instance: its components, servers and life cycle."""

from __future__ import annotations

import asyncio
import logging
import signal
import time
from typing import TYPE_CHECKING

import grpc

from hibiscuspoint import __version__
from hibiscuspoint.components.access import AccessInterceptor, AccessPolicy
from hibiscuspoint.components.attachment import Attachment
from hibiscuspoint.components.caller_service import CallerService, PeerService
from hibiscuspoint.components.consensus import ReplicatedLog
from hibiscuspoint.components.control import Control
from hibiscuspoint.components.control_service import ControlService
from hibiscuspoint.components.control_state import ControlStateMachine
from hibiscuspoint.components.entry import Entry
from hibiscuspoint.components.entry_state import EntryState
from hibiscuspoint.components.holder import HolderContext
from hibiscuspoint.components.holders import LocalHolder
from hibiscuspoint.components.http import HttpServer
from hibiscuspoint.components.leader_client import LeaderClient
from hibiscuspoint.components.operator_service import OperatorService
from hibiscuspoint.components.peers import PEER_SERVER_OPTIONS, PeerChannels
from hibiscuspoint.components.readiness import ReadinessLog
from hibiscuspoint.components.reporting import EntryIdentity, Reporting
from hibiscuspoint.components.router import Router
from hibiscuspoint.components.runtime import Runtime, SystemClock
from hibiscuspoint.components.transactions import TransactionStreams
from hibiscuspoint.core.entry.drain import DrainPhase, DrainState
from hibiscuspoint.core.entry.session import TokenCodec
from hibiscuspoint.daemon.failures import FailureMonitor
from hibiscuspoint.drivers import standin as standin  # registers the driver
from hibiscuspoint.drivers import target_drivers
from hibiscuspoint.ids import AvailabilityZone, Incarnation, InstanceId
from hibiscuspoint.security import Transport
from hibiscuspoint.settings import TlsMode
from hibiscuspoint.telemetry import Metrics, catalogue, log_event
from hibiscuspoint.util.tasks import spawn
from hibiscuspoint.wire import caller_pb2_grpc, consensus_pb2_grpc, peer_pb2_grpc

if TYPE_CHECKING:
    from hibiscuspoint.settings import NodeSettings

__all__ = ["Node"]

logger = logging.getLogger(__name__)

#: Seconds between two ticks of the holders.
TICK_SECONDS = 0.02

#: Seconds that the gRPC server waits for calls when the process stops.
STOP_GRACE_SECONDS = 1.0

#: Seconds to tell the control leader about handed back leases before the process ends.
HAND_BACK_SECONDS = 0.3


class Node:
    """All components of one process, on one asyncio loop."""

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        self._instance = InstanceId(settings.node.instance)
        self._clock = SystemClock()
        self._metrics = Metrics()
        self._transport = Transport.from_settings(settings.tls, settings.limits.message_bytes)
        driver_class = target_drivers.get(settings.target_driver.kind)
        self._driver = driver_class.from_settings(settings.target_driver)
        self._codec = TokenCodec(settings.node.environment, list(settings.session.key_bytes))
        self._incarnation = Incarnation(time.time_ns())
        self._drain = DrainState()
        self._stopping: asyncio.Event | None = None

    @classmethod
    def from_settings(cls, settings: NodeSettings) -> Node:
        """Build a node.

        :raises ConfigurationError: certificate files or keys cannot be used.
        """
        return cls(settings)

    async def run(self) -> int:
        """Serve until SIGTERM, SIGINT or a failure that needs a restart; return the exit status.

        The stop after a failure is a planned one, as the entry still serves.
        """
        self._stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        self._build()
        await self._start()
        ticker = spawn(self._tick_forever(), "holder timer")
        await self._stopping.wait()
        await self._drain_work()
        ticker.cancel()
        await self._stop()
        status = self._failures.status
        log_event(logger, catalogue.DAEMON_STOPPED, status=int(status))
        return int(status)

    def _build(self) -> None:
        settings = self._settings
        self._runtime = Runtime()
        self._failures = FailureMonitor(self._stopping.set).register(self._runtime)
        self._channels = PeerChannels(self._transport)
        self._state = EntryState(settings.node.environment)
        self._holders = self._build_holders()
        self._build_request_path()
        self._build_control()
        self._build_reporting()
        self._http = HttpServer(settings.listen.http, self._entry, self._metrics)

    def _build_holders(self) -> LocalHolder:
        context = HolderContext(
            instance=self._instance,
            incarnation=self._incarnation,
            driver=self._driver,
            clock=self._clock,
            routes=self._state.routes,
            metrics=self._metrics,
        )
        return LocalHolder(context, self._state).register(self._runtime)

    def _build_request_path(self) -> None:
        limits = self._settings.limits
        router = Router(self._state, self._holders, self._channels, self._clock)
        self._entry = Entry(
            self._state,
            router,
            self._holders,
            self._codec,
            self._drain,
            limits,
            self._clock,
            self._metrics,
        ).register(self._runtime)
        self._readiness = ReadinessLog(self._state, self._drain)
        self._streams = TransactionStreams(
            self._entry,
            self._holders,
            router,
            limits,
            self._clock,
            self._metrics,
        )

    def _build_reporting(self) -> None:
        settings = self._settings
        identity = EntryIdentity(
            self._instance,
            self._incarnation,
            AvailabilityZone(settings.node.availability_zone),
            settings.listen.advertised_address,
        )
        self._reporting = Reporting(
            identity,
            self._state,
            self._holders,
            self._drain,
            self._clock,
            self._metrics,
        ).register(self._runtime)
        members = list(settings.control.members.values())
        self._attachment = Attachment(
            self._runtime,
            self._channels,
            members,
            self._reporting.make_report,
            on_later_start=self._reporting.follow_incarnation,
        ).register(self._runtime)

    def _build_control(self) -> None:
        settings = self._settings
        self._log: ReplicatedLog | None = None
        self._control: Control | None = None
        if settings.node.is_control:
            machine = ControlStateMachine(self._runtime)
            members = {InstanceId(name): a for name, a in settings.control.members.items()}
            self._log = ReplicatedLog(
                self._instance,
                members,
                settings.control.data_directory,
                machine,
                channel_factory=self._open_control_channel,
                channel_generation=lambda: self._channels.generation,
                compaction_entries=settings.control.compaction_entries,
            ).register(self._runtime)
            self._control = Control(
                self._instance, self._log, machine, self._driver, self._clock, self._metrics
            ).register(self._runtime)
        addresses = list(settings.control.members.values())
        self._leader_client = LeaderClient(self._log, addresses, self._channels)

    def _open_control_channel(self, address: str, options: object = ()) -> grpc.aio.Channel:
        return self._transport.channel(address, list(options or ()))

    async def _start(self) -> None:
        if self._settings.target_driver.ca is None:
            log_event(logger, catalogue.TARGETS_IN_PLAIN_TEXT)
        self._servers = self._make_servers()
        for server in self._servers:
            await server.start()
        await self._http.start()
        if self._log is not None:
            await self._log.start()
            self._control.start()
        self._attachment.start()
        log_event(
            logger,
            catalogue.DAEMON_STARTED,
            version=__version__,
            address=self._settings.listen.address,
            roles=[role.value for role in self._settings.node.roles],
        )

    def _make_servers(self) -> list[grpc.aio.Server]:
        """Return the server of the main address and, if there is one, that of the callers."""
        listen, tls = self._settings.listen, self._settings.tls
        options = [*self._transport.server_options, *PEER_SERVER_OPTIONS]
        interceptors = []
        if tls.mode is TlsMode.MUTUAL:
            interceptors.append(AccessInterceptor(AccessPolicy.from_settings(tls)))
        server = grpc.aio.server(options=options, interceptors=interceptors)
        self._add_internal_services(server)
        self._transport.bind(server, listen.address)
        if listen.callers is None:
            self._add_caller_service(server)
            return [server]
        caller_server = grpc.aio.server(options=options)
        self._add_caller_service(caller_server)
        self._transport.bind(caller_server, listen.callers, for_callers=True)
        return [server, caller_server]

    def _add_caller_service(self, server: grpc.aio.Server) -> None:
        caller_pb2_grpc.add_CallerServicer_to_server(
            CallerService(self._runtime, self._streams), server
        )

    def _add_internal_services(self, server: grpc.aio.Server) -> None:
        peer_pb2_grpc.add_PeerServicer_to_server(PeerService(self._runtime, self._streams), server)
        peer_pb2_grpc.add_ControlServicer_to_server(
            ControlService(self._control, self._leader_client), server
        )
        peer_pb2_grpc.add_OperatorServicer_to_server(
            OperatorService(self._settings.node.environment, self._control, self._leader_client),
            server,
        )
        if self._log is not None:
            consensus_pb2_grpc.add_ConsensusServicer_to_server(self._log.servicer, server)

    async def _tick_forever(self) -> None:
        while True:
            due = self._clock.monotonic() + TICK_SECONDS
            await asyncio.sleep(TICK_SECONDS)
            now = self._clock.monotonic()
            self._metrics.loop_lag.observe(max(0.0, now - due))
            self._holders.tick(now)
            self._drain.tick(now)
            self._channels.tick(now)
            self._readiness.tick(now)

    async def _drain_work(self) -> None:
        now = self._clock.monotonic()
        self._drain.start(now)
        log_event(
            logger,
            catalogue.DRAIN_STARTED,
            subject=self._instance,
            open_requests=self._drain.in_progress_count,
        )
        await self._wait_drained()
        await self._reporting.return_leases_and_shares(self._runtime, HAND_BACK_SECONDS)

    async def _wait_drained(self) -> None:
        """Wait for the end of the work; a state without I/O cannot signal it."""
        while self._drain.tick(self._clock.monotonic()) is not DrainPhase.DRAINED:  # noqa: ASYNC110
            await asyncio.sleep(TICK_SECONDS)

    async def _stop(self) -> None:
        await self._attachment.stop()
        if self._log is not None:
            await self._control.stop()
            await self._log.stop()
        self._holders.close()
        await self._http.stop()
        await asyncio.gather(*(server.stop(STOP_GRACE_SECONDS) for server in self._servers))
        await self._channels.close()
        await self._driver.close()
