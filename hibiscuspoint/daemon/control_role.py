"""The role control of an instance whose callers have connections as sessions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.components.consensus import ReplicatedLog
from hibiscuspoint.components.control_state import ControlStateMachine
from hibiscuspoint.components.failover_control import DocumentReader, FailoverControl
from hibiscuspoint.components.target_poller import TargetPoller
from hibiscuspoint.core.consensus.timing import Timing
from hibiscuspoint.wire import consensus_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Callable

    import grpc

    from hibiscuspoint.components.runtime import Runtime
    from hibiscuspoint.core.ports import Clock
    from hibiscuspoint.daemon.session_ports import Ports, SessionNodeSettings
    from hibiscuspoint.telemetry import Metrics

__all__ = ["ControlRole"]

#: Applied entries after which a snapshot replaces them. A configuration of 500 routes is 100 kB, so
#: that the log stays below 10 MB of a 64 MB disk.
COMPACTION_ENTRIES = 64

#: Times of the control group. Elections decide how long an outage of all instances lasts, and the
#: instances are within a millisecond of each other; a slow disk delays a heartbeat by up to 0.3 s.
CONTROL_TIMING = Timing(
    heartbeat_interval_seconds=0.1,
    election_timeout_min_seconds=0.7,
    election_timeout_max_seconds=1.2,
    lease_seconds=0.6,
)


class ControlRole:
    """The control log of an instance with a disk, and the leader that it may become.

    :param open_channel: opens a channel to another control instance.
    :param started_at: when the process started, on the clock of the control log.
    """

    def __init__(
        self,
        settings: SessionNodeSettings,
        ports: Ports,
        runtime: Runtime,
        clock: Clock,
        metrics: Metrics,
        open_channel: Callable[..., grpc.aio.Channel],
        started_at: float,
    ) -> None:
        machine = ControlStateMachine(runtime)
        self._log = ReplicatedLog(
            settings.instance,
            {founder: founder for founder in settings.founders},
            settings.data_directory,
            machine,
            channel_factory=open_channel,
            compaction_entries=COMPACTION_ENTRIES,
            dynamic_membership=True,
            started_at=started_at,
            timing=CONTROL_TIMING,
        ).register(runtime)
        self._control = FailoverControl(
            settings.instance,
            self._log,
            machine,
            TargetPoller(ports.driver, clock),
            ports.authority,
            clock,
            metrics,
            settings.required_voters,
            DocumentReader(ports.parse, settings.quota_bounds),
        ).register(runtime)

    @property
    def log(self) -> ReplicatedLog:
        """Return the control log."""
        return self._log

    @property
    def control(self) -> FailoverControl:
        """Return the component that acts while this instance leads."""
        return self._control

    def add_services(self, server: grpc.aio.Server) -> None:
        """Add the gRPC services of the role to a server."""
        consensus_pb2_grpc.add_ConsensusServicer_to_server(self._log.servicer, server)

    async def start(self) -> None:
        """Recover the log and take part in the control group."""
        await self._log.start()
        self._control.start()

    async def stop(self) -> None:
        """Leave the control group."""
        await self._control.stop()
        await self._log.stop()
