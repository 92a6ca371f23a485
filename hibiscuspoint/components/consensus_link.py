"""The outgoing consensus stream to one peer."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import grpc

from hibiscuspoint.util.tasks import run_until_first
from hibiscuspoint.wire.consensus_pb2_grpc import ConsensusStub
from hibiscuspoint.wire.parts import split_envelope

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.wire.consensus_pb2 import Envelope

__all__ = ["CHANNEL_OPTIONS", "PeerLink"]

logger = logging.getLogger(__name__)

#: A local subchannel pool makes a new channel use a new connection, so that one that went silent
#: is not used again. The minimum reconnect backoff is no wait: gRPC grants each attempt at least
#: that time (MIN_CONNECT_TIMEOUT of its connection backoff protocol), so it may exceed the maximum.
#: An attempt at a silent peer ends after 1 s, which leaves time for a second one within the connect
#: timeout; the wait after a refused attempt grows from 100 to 500 ms.
CHANNEL_OPTIONS = [
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 5_000),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 1_000),
    ("grpc.max_reconnect_backoff_ms", 500),
]

#: Longest time in seconds to connect to a peer.
_CONNECT_TIMEOUT = 2.0
#: Shortest and longest wait in seconds before a stream is opened again; it doubles until a reply.
_BACKOFF_MIN = 0.1
_BACKOFF_MAX = 1.0

#: Requests that may wait for one peer; further ones are dropped.
_QUEUE_LENGTH = 256

#: A stream on which a request stays unanswered for this many checks is replaced. Checks are
#: counted, so that a pause of this process does not count as silence of the peer.
_SILENT_CHECKS = 3
#: Seconds between two checks.
_CHECK_INTERVAL = 0.2


class PeerLink:
    """Sends requests to one peer and receives their replies; reconnects after failures.

    Messages are dropped while the peer cannot be reached; the protocol sends them again.

    :param address: "ip:port" of the peer.
    :param channel_factory: creates a channel like ``grpc.aio.insecure_channel``.
    :param receive: called with each reply.
    :param generation: returns a number whose change asks for a new channel.
    """

    def __init__(
        self,
        address: str,
        channel_factory: Callable[..., grpc.aio.Channel],
        receive: Callable[[Envelope], None],
        generation: Callable[[], int],
    ) -> None:
        self._address = address
        self._channel_factory = channel_factory
        self._receive = receive
        self._generation = generation
        self._queue: asyncio.Queue[Envelope] = asyncio.Queue(_QUEUE_LENGTH)
        self._backoff = _BACKOFF_MIN
        self._unanswered = False
        self._last_send = float("-inf")

    def is_idle(self, duration: float) -> bool:
        """Tell whether nothing was sent for some seconds."""
        return asyncio.get_running_loop().time() - self._last_send >= duration

    def send(self, envelope: Envelope) -> None:
        """Queue a request; it is dropped when the queue is full."""
        self._last_send = asyncio.get_running_loop().time()
        if not self._queue.full():
            self._queue.put_nowait(envelope)

    async def run(self) -> None:
        """Keep a stream to the peer open until cancelled."""
        while True:
            try:
                await self._connect_and_converse()
            except (grpc.RpcError, TimeoutError, asyncio.InvalidStateError) as error:
                logger.debug("consensus stream to %s ended: %r", self._address, error)
            await asyncio.sleep(self._backoff)
            self._backoff = min(2 * self._backoff, _BACKOFF_MAX)

    async def _connect_and_converse(self) -> None:
        channel = self._channel_factory(self._address, options=CHANNEL_OPTIONS)
        try:
            await asyncio.wait_for(channel.channel_ready(), _CONNECT_TIMEOUT)
            await self._converse(ConsensusStub(channel).Exchange())
        finally:
            await channel.close()

    async def _converse(self, call: grpc.aio.StreamStreamCall) -> None:
        """Run until the first of writer, reader and check ends."""
        self._unanswered = False
        try:
            await run_until_first(self._write(call), self._read(call), self._check())
        finally:
            call.cancel()

    async def _write(self, call: grpc.aio.StreamStreamCall) -> None:
        while True:
            envelope = await self._queue.get()
            self._unanswered = True
            for part in split_envelope(envelope):
                await call.write(part)

    async def _read(self, call: grpc.aio.StreamStreamCall) -> None:
        async for envelope in call:
            self._unanswered = False
            self._backoff = _BACKOFF_MIN
            self._receive(envelope)

    async def _check(self) -> None:
        silent_checks = 0
        generation = self._generation()
        while silent_checks < _SILENT_CHECKS:
            await asyncio.sleep(_CHECK_INTERVAL)
            if self._generation() != generation:
                return
            silent_checks = silent_checks + 1 if self._unanswered else 0
        raise TimeoutError(f"no reply from {self._address}")
