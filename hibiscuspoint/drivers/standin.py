"""The driver for stand-in targets."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from itertools import count
from typing import TYPE_CHECKING

import grpc

from hibiscuspoint.drivers.admin import AdminClient
from hibiscuspoint.drivers.connection import StandinConnection
from hibiscuspoint.drivers.errors import ConnectError, ConnectFailure
from hibiscuspoint.drivers.registry import target_drivers
from hibiscuspoint.drivers.watch import StandinWatch
from hibiscuspoint.security import TlsFiles, open_secured_channel
from hibiscuspoint.wire import target_pb2, target_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.ids import Incarnation, InstanceId, TargetId
    from hibiscuspoint.settings import TargetDriverSettings

__all__ = ["StandinDriver", "StandinDriverConfig"]

_CONNECT_FAILURES = {
    target_pb2.Failure.LIMIT: ConnectFailure.LIMITED,
    target_pb2.Failure.LEAVING: ConnectFailure.LEAVING,
}


@dataclass(frozen=True)
class StandinDriverConfig:
    """Settings of the driver.

    :param connect_timeout: seconds until an attempt to connect is cancelled.
    :param ping_delay_seconds: seconds by which an answer may be late before a ping is sent (D11).
    :param silence_timeout_seconds: seconds after a ping within which a message must arrive (D11).
    :param tls: files of the authorities that sign targets and of the client certificate;
        ``None`` for plain text.
    """

    connect_timeout: float = 1.0
    ping_delay_seconds: float = 0.5
    silence_timeout_seconds: float = 0.5
    tls: TlsFiles | None = None


@target_drivers.register("standin")
class StandinDriver:
    """Connections, watches and control calls to stand-in targets."""

    def __init__(self, config: StandinDriverConfig) -> None:
        self._config = config
        self._admin = AdminClient(config.tls)
        # Starts at the clock time, so that incarnations of an earlier process are not used again.
        self._incarnations = count(time.time_ns())

    @classmethod
    def from_config(cls, config: StandinDriverConfig | None = None) -> StandinDriver:
        """Return a driver; without a configuration the defaults apply."""
        return cls(config or StandinDriverConfig())

    @classmethod
    def from_settings(cls, settings: TargetDriverSettings) -> StandinDriver:
        """Return a driver with the settings of an instance.

        :raises ConfigurationError: the TLS files are not valid.
        """
        if settings.ca is None:
            return cls(StandinDriverConfig())
        return cls(
            StandinDriverConfig(tls=TlsFiles(settings.certificate, settings.key, settings.ca))
        )

    @property
    def admin(self) -> AdminClient:
        """Return the client for seal, promote, follow and terminate."""
        return self._admin

    async def connect(
        self,
        target: TargetId,
        address: str,
        *,
        instance: InstanceId,
        instance_incarnation: Incarnation,
    ) -> StandinConnection:
        """Open a connection.

        :raises ConnectError: the target refused, is full, is leaving or did not answer in time.
        """
        hello = target_pb2.Hello(
            instance=instance,
            instance_incarnation=instance_incarnation,
            connection_incarnation=next(self._incarnations),
        )
        channel = open_secured_channel(address, self._config.tls)
        try:
            call = target_pb2_grpc.TargetStub(channel).Open()
            async with asyncio.timeout(self._config.connect_timeout):
                await call.write(target_pb2.ConnectionRequest(hello=hello))
                reply = await call.read()
            self._check_welcome(target, address, hello, reply)
        except BaseException as error:
            await channel.close()
            if isinstance(error, TimeoutError):
                message = f"target {target} at {address} did not answer in time"
                raise ConnectError(ConnectFailure.TIMED_OUT, message) from error
            if isinstance(error, grpc.aio.AioRpcError | asyncio.InvalidStateError):
                reason = error.details() if isinstance(error, grpc.aio.AioRpcError) else error
                message = f"target {target} at {address} refused the connection: {reason}"
                raise ConnectError(ConnectFailure.REFUSED, message) from error
            raise
        return StandinConnection(
            channel,
            call,
            hello.connection_incarnation,
            ping_delay_seconds=self._config.ping_delay_seconds,
            silence_timeout_seconds=self._config.silence_timeout_seconds,
        )

    def watch(
        self,
        address: str,
        on_progress: Callable[[target_pb2.Progress], None],
        *,
        on_lost: Callable[[], None] | None = None,
    ) -> StandinWatch:
        """Follow the progress of a target until the watch is closed."""
        return StandinWatch(address, on_progress, on_lost=on_lost, tls=self._config.tls)

    async def close(self) -> None:
        """Close the shared channels; connections and watches are closed by their owners."""
        await self._admin.close()

    @staticmethod
    def _check_welcome(
        target: TargetId,
        address: str,
        hello: target_pb2.Hello,
        reply: target_pb2.ConnectionReply,
    ) -> None:
        if reply is grpc.aio.EOF:
            raise ConnectError(ConnectFailure.REFUSED, f"target {target} closed the connection")
        if reply.HasField("failure"):
            failure = _CONNECT_FAILURES.get(reply.failure.kind, ConnectFailure.REFUSED)
            raise ConnectError(failure, reply.failure.message)
        is_ours = reply.connection_incarnation == hello.connection_incarnation
        if not is_ours or reply.welcome.target != target:
            message = f"{address} serves target {reply.welcome.target!r}, not {target!r}"
            raise ConnectError(ConnectFailure.REFUSED, message)
