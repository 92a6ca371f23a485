"""Connections of a caller to several entry instances."""

from __future__ import annotations

import asyncio
import math
import time
from typing import TYPE_CHECKING

import grpc
import grpc.aio

from hibiscuspoint.load.errors import EntryUnreachableError
from hibiscuspoint.wire import caller_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["EntryConnection", "EntryPool"]

#: Greatest size of a message in bytes.
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
#: Time in which calls in progress may end on a connection that is replaced, in seconds. Each call
#: ends by its own deadline before that; gRPC cancels the others, and a cancelled call looks to its
#: session as if its own task had been cancelled.
REPLACE_GRACE_S = 3600.0
#: Time for which an entry that asked its callers to go elsewhere is avoided, in seconds.
AVOID_S = 5.0

#: gRPC must not repeat a call by itself, because that would hide whether it ran. A local subchannel
#: pool gives each pool its own TCP connections. Short backoffs make a restarted entry usable soon;
#: the minimum is the time granted to an attempt to connect, not a wait between attempts.
CHANNEL_OPTIONS = (
    ("grpc.enable_retries", 0),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.initial_reconnect_backoff_ms", 50),
    ("grpc.min_reconnect_backoff_ms", 1000),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.enable_http_proxy", 0),
)


class EntryConnection:
    """One replaceable connection to one entry.

    :param address: ``ip:port`` of the entry.
    :param credentials: TLS credentials; ``None`` for plain text.
    """

    def __init__(self, address: str, credentials: grpc.ChannelCredentials | None = None) -> None:
        self._address = address
        self._credentials = credentials
        self._closing: set[asyncio.Task[None]] = set()
        self._avoided_until = -math.inf
        self._open()

    @property
    def address(self) -> str:
        """Return ``ip:port`` of the entry."""
        return self._address

    @property
    def stub(self) -> caller_pb2_grpc.CallerStub:
        """Return the stub of the current connection."""
        return self._stub

    @property
    def is_avoided(self) -> bool:
        """Tell whether the entry asked its callers to go elsewhere a short time ago."""
        return time.monotonic() < self._avoided_until

    def avoid(self) -> None:
        """Keep all sessions away from the entry for a while, because it is stopping."""
        self._avoided_until = time.monotonic() + AVOID_S

    def _open(self) -> None:
        if self._credentials is None:
            self._channel = grpc.aio.insecure_channel(self._address, options=CHANNEL_OPTIONS)
        else:
            self._channel = grpc.aio.secure_channel(
                self._address, self._credentials, options=CHANNEL_OPTIONS
            )
        self._stub = caller_pb2_grpc.CallerStub(self._channel)

    async def ready(self, timeout: float) -> None:
        """Wait until the connection is established.

        :param timeout: seconds.
        :raises EntryUnreachableError: the connection was refused or not established in time.
        """
        try:
            async with asyncio.timeout(timeout):
                await self._established()
        except TimeoutError:
            raise EntryUnreachableError(
                f"the connection to {self._address} was not established within {timeout:.3f} s"
            ) from None

    async def _established(self) -> None:
        state = self._channel.get_state(try_to_connect=True)
        while state is not grpc.ChannelConnectivity.READY:
            if state in (
                grpc.ChannelConnectivity.TRANSIENT_FAILURE,
                grpc.ChannelConnectivity.SHUTDOWN,
            ):
                raise EntryUnreachableError(f"the connection to {self._address} was refused")
            await self._channel.wait_for_state_change(state)
            state = self._channel.get_state(try_to_connect=True)

    def replace(self) -> None:
        """Open a new connection, because the present one may have gone silent."""
        task = asyncio.ensure_future(self._channel.close(REPLACE_GRACE_S))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
        self._open()

    async def close(self) -> None:
        """Close all connections at once."""
        for task in list(self._closing):
            task.cancel()
        await asyncio.gather(*self._closing, return_exceptions=True)
        await self._channel.close()


class EntryPool:
    """Connections to all entries that a caller knows.

    :param addresses: ``ip:port`` of each entry.
    :param credentials: TLS credentials; ``None`` for plain text.
    :raises ValueError: no address is given.
    """

    def __init__(
        self, addresses: Sequence[str], credentials: grpc.ChannelCredentials | None = None
    ) -> None:
        if not addresses:
            raise ValueError("a caller needs at least one entry address")
        self._connections = [EntryConnection(address, credentials) for address in addresses]
        self._next = 0

    def __len__(self) -> int:
        return len(self._connections)

    def __getitem__(self, index: int) -> EntryConnection:
        return self._connections[index % len(self._connections)]

    def assign(self) -> int:
        """Return the index of the first entry of a new session, round robin."""
        index = self._next
        self._next = (self._next + 1) % len(self._connections)
        return index

    async def close(self) -> None:
        """Close all connections."""
        await asyncio.gather(*(connection.close() for connection in self._connections))
