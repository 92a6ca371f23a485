"""Channels to other processes of hibiscuspoint."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hibiscuspoint.util.channels import CHANNEL_OPTIONS
from hibiscuspoint.util.tasks import spawn

if TYPE_CHECKING:
    import grpc

    from hibiscuspoint.security import Transport

__all__ = ["PEER_SERVER_OPTIONS", "PeerChannels"]

#: Seconds between two looks at the certificate files.
CHECK_SECONDS = 1.0

#: Seconds for which a replaced channel stays open, for calls that chose it before.
RETIRE_SECONDS = 5.0

#: Seconds that calls in progress on a replaced channel may take after that.
RETIRE_GRACE_SECONDS = 60.0

#: A call on a connection that went silent ends within two seconds (D11). The keepalive timeout
#: alone has no effect: the ping timeout, 60 s by default, decides in gRPC 1.85. Idle connections
#: are not pinged.
_KEEPALIVE_OPTIONS = (
    ("grpc.keepalive_time_ms", 1000),
    ("grpc.keepalive_timeout_ms", 1000),
    ("grpc.http2.ping_timeout_ms", 1000),
    ("grpc.http2.max_pings_without_data", 0),
)

#: After a loss of power all instances start within half a second, and each waits for the others.
_RECONNECT_OPTIONS = (("grpc.max_reconnect_backoff_ms", 250),)

PEER_SERVER_OPTIONS = (
    ("grpc.so_reuseport", 0),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 300),
    ("grpc.http2.max_ping_strikes", 0),
)


class PeerChannels:
    """Opens one channel for each address and keeps it.

    A channel is never closed because a call on it failed: that would cancel the other calls on
    it. gRPC connects again by itself, and keepalive ends calls on connections that went silent.

    :param transport: TLS or plain text.
    """

    def __init__(self, transport: Transport) -> None:
        self._transport = transport
        self._channels: dict[str, grpc.aio.Channel] = {}
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
        options = {**dict(CHANNEL_OPTIONS), **dict(_KEEPALIVE_OPTIONS), **dict(_RECONNECT_OPTIONS)}
        kept = [(name, value) for name, value in options.items() if "message_length" not in name]
        return self._transport.channel(address, kept)

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
