"""The outgoing consensus stream to one peer."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import grpc

from hibiscuspoint.util.messages import decoded
from hibiscuspoint.util.tasks import run_until_first
from hibiscuspoint.wire.consensus_pb2_grpc import ConsensusStub
from hibiscuspoint.wire.parts import split_envelope

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.wire.consensus_pb2 import Envelope

__all__ = ["CHANNEL_OPTIONS", "PeerLink"]

logger = logging.getLogger(__name__)

#: A local subchannel pool makes a new channel open a new connection, so that a connection that went
#: silent is not reused. The minimum reconnect backoff is not a delay but the least time that gRPC
#: grants to each connection attempt (MIN_CONNECT_TIMEOUT of its connection backoff protocol), so it
#: may exceed the maximum. An attempt to reach a silent peer ends after 1 s, which leaves time for a
#: second one within the connect timeout; the delay after refused attempts grows from 100 to 500 ms.
CHANNEL_OPTIONS = [
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 5_000),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 1_000),
    ("grpc.max_reconnect_backoff_ms", 500),
]

#: Timeout of connecting to a peer.
_CONNECT_TIMEOUT_SECONDS = 2.0
#: Bounds of the exponential backoff before a stream is reopened; a reply resets it.
_BACKOFF_MIN_SECONDS = 0.1
_BACKOFF_MAX_SECONDS = 1.0

#: Maximum number of requests queued for a peer; further ones are dropped.
_MAX_QUEUED_REQUESTS = 256

#: A stream is replaced when a request stays unanswered for this many checks. Checks are counted
#: instead of time, so that a pause of this process does not count as silence of the peer.
_MAX_SILENT_CHECKS = 3
#: Interval between two checks.
_CHECK_INTERVAL_SECONDS = 0.2


class PeerLink:
    """Sends requests to one peer, receives the replies and reconnects after failures.

    Requests are dropped while the peer is unreachable, because the protocol repeats them.

    :param address: "ip:port" of the peer.
    :param channel_factory: creates a channel like ``grpc.aio.insecure_channel``.
    :param receive: called with each reply.
    :param channel_generation: returns a number; when it changes, the channel is replaced.
    """

    def __init__(
        self,
        address: str,
        channel_factory: Callable[..., grpc.aio.Channel],
        receive: Callable[[Envelope], None],
        channel_generation: Callable[[], int],
    ) -> None:
        self._address = address
        self._channel_factory = channel_factory
        self._receive = receive
        self._channel_generation = channel_generation
        self._queue: asyncio.Queue[Envelope] = asyncio.Queue(_MAX_QUEUED_REQUESTS)
        self._backoff_seconds = _BACKOFF_MIN_SECONDS
        self._awaits_reply = False
        self._last_sent_at = float("-inf")

    def is_idle(self, duration_seconds: float) -> bool:
        """Return whether no request was sent during the last ``duration_seconds``."""
        return asyncio.get_running_loop().time() - self._last_sent_at >= duration_seconds

    def send(self, envelope: Envelope) -> None:
        """Queue a request, or drop it if the queue is full."""
        self._last_sent_at = asyncio.get_running_loop().time()
        if not self._queue.full():
            self._queue.put_nowait(envelope)

    async def run(self) -> None:
        """Keep a stream to the peer open until this coroutine is cancelled."""
        while True:
            try:
                await self._connect_and_exchange()
            except (grpc.RpcError, TimeoutError, asyncio.InvalidStateError) as error:
                logger.debug(
                    "consensus stream to %s ended and is reopened after a backoff: %r",
                    self._address,
                    error,
                )
            await asyncio.sleep(self._backoff_seconds)
            self._backoff_seconds = min(2 * self._backoff_seconds, _BACKOFF_MAX_SECONDS)

    async def _connect_and_exchange(self) -> None:
        channel = self._channel_factory(self._address, options=CHANNEL_OPTIONS)
        try:
            await asyncio.wait_for(channel.channel_ready(), _CONNECT_TIMEOUT_SECONDS)
            await self._run_stream(ConsensusStub(channel).Exchange())
        finally:
            await channel.close()

    async def _run_stream(self, call: grpc.aio.StreamStreamCall) -> None:
        """Exchange messages on a stream until it fails, falls silent or must be replaced."""
        self._awaits_reply = False
        try:
            await run_until_first(self._write(call), self._read(call), self._monitor_stream())
        finally:
            call.cancel()

    async def _write(self, call: grpc.aio.StreamStreamCall) -> None:
        while True:
            envelope = await self._queue.get()
            self._awaits_reply = True
            for part in split_envelope(envelope):
                await call.write(part)

    async def _read(self, call: grpc.aio.StreamStreamCall) -> None:
        async for envelope in call:
            self._awaits_reply = False
            self._backoff_seconds = _BACKOFF_MIN_SECONDS
            self._receive(decoded(envelope))

    async def _monitor_stream(self) -> None:
        silent_checks = 0
        generation = self._channel_generation()
        while silent_checks < _MAX_SILENT_CHECKS:
            await asyncio.sleep(_CHECK_INTERVAL_SECONDS)
            if self._channel_generation() != generation:
                return
            silent_checks = silent_checks + 1 if self._awaits_reply else 0
        raise TimeoutError(f"{self._address} does not answer requests")
