"""Channels to other processes of hibiscuspoint."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

import grpc

from hibiscuspoint.util.channels import CHANNEL_OPTIONS
from hibiscuspoint.util.tasks import spawn
from hibiscuspoint.wire import peer_pb2, peer_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hibiscuspoint.components.tls import Transport

__all__ = ["PEER_SERVER_OPTIONS", "PeerChannels"]

#: Seconds between two looks at the certificate files.
CHECK_SECONDS = 1.0

#: Seconds for which a replaced channel stays open, for calls that chose it before.
RETIRE_SECONDS = 5.0

#: Seconds that calls in progress on a replaced channel may take after that.
RETIRE_GRACE_SECONDS = 60.0

#: Seconds without an answer after which the connection is asked for a sign of life (D11).
OVERDUE_SECONDS = 0.5

#: Seconds within which a ping must be answered (D11).
SILENCE_SECONDS = 0.5

PEER_SERVER_OPTIONS = (("grpc.so_reuseport", 0),)


class PeerChannels:
    """Opens one channel for each address and keeps it.

    A channel is never closed because a call on it failed: that would cancel the other calls on
    it. gRPC connects again by itself. A call that is overdue sends a ping on the same connection,
    and a channel without an answer to it is closed. The keepalive of gRPC would do the same with
    ``grpc.http2.ping_timeout_ms`` set, but also ping every idle connection each second.

    :param transport: TLS or plain text.
    """

    def __init__(self, transport: Transport) -> None:
        self._transport = transport
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._pinged: set[grpc.aio.Channel] = set()
        self._generation = transport.generation
        self._checked_at = float("-inf")

    @property
    def generation(self) -> int:
        """Return a number that increases when the certificate files changed."""
        return self._generation

    def tick(self, now: float) -> None:
        """Replace all channels when the certificate files have changed.

        Calls in progress go on over the channel on which they began.

        :param now: monotonic time in seconds.
        """
        if now - self._checked_at < CHECK_SECONDS:
            return
        self._checked_at = now
        generation = self._transport.generation
        if generation == self._generation:
            return
        self._generation = generation
        replaced, self._channels = self._channels, {}
        for address, channel in replaced.items():
            spawn(_retire(channel), f"end of the channel to {address}")

    def get(self, address: str) -> grpc.aio.Channel:
        """Return the channel to an address."""
        channel = self._channels.get(address)
        if channel is None:
            channel = self.open(address)
            self._channels[address] = channel
        return channel

    def open(self, address: str) -> grpc.aio.Channel:
        """Open a channel that the caller closes."""
        options = [o for o in CHANNEL_OPTIONS if "message_length" not in o[0]]
        return self._transport.channel(address, options)

    @contextmanager
    def awaiting_answer(self, address: str) -> Iterator[grpc.aio.Channel]:
        """Yield the channel to an address for one call and watch over its answer.

        The channel is closed, which ends all its calls, when the answer is overdue and a ping on
        the same connection is not answered either.
        """
        channel = self.get(address)
        loop = asyncio.get_running_loop()
        timer = loop.call_later(OVERDUE_SECONDS, self._ping, address, channel)
        try:
            yield channel
        except grpc.aio.AioRpcError as error:
            if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                self._ping(address, channel)
            raise
        finally:
            timer.cancel()

    def _ping(self, address: str, channel: grpc.aio.Channel) -> None:
        if channel in self._pinged or self._channels.get(address) is not channel:
            return
        self._pinged.add(channel)
        spawn(self._close_if_silent(address, channel), f"ping of {address}")

    async def _close_if_silent(self, address: str, channel: grpc.aio.Channel) -> None:
        stub = peer_pb2_grpc.PeerStub(channel)
        try:
            await stub.Ping(peer_pb2.PingRequest(), timeout=SILENCE_SECONDS)
        except grpc.aio.AioRpcError as error:
            is_silent = error.code() is grpc.StatusCode.DEADLINE_EXCEEDED
            if is_silent and self._channels.get(address) is channel:
                del self._channels[address]
                await channel.close()
        finally:
            self._pinged.discard(channel)

    async def is_ready(self, address: str, timeout: float) -> bool:
        """Wait until the channel to an address is connected.

        :param timeout: seconds.
        """
        try:
            async with asyncio.timeout(timeout):
                await self.get(address).channel_ready()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            await channel.close()
        self._channels.clear()


async def _retire(channel: grpc.aio.Channel) -> None:
    await asyncio.sleep(RETIRE_SECONDS)
    await channel.close(RETIRE_GRACE_SECONDS)
