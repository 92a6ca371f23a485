"""Control calls to targets over one shared channel for each address."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import grpc

from hibiscuspoint.drivers.errors import AdminError
from hibiscuspoint.security import open_secured_channel
from hibiscuspoint.util.messages import decoded
from hibiscuspoint.wire import target_pb2, target_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Iterable

    from google.protobuf.message import Message

    from hibiscuspoint.security import TlsFiles

__all__ = ["AdminClient"]

#: Seconds that calls in progress may take when changed certificate files replace their channel.
RETIRE_GRACE_SECONDS = 60.0


class AdminClient:
    """Client for the seal, promote, follow and terminate calls of targets.

    A channel on which a call fails is discarded, because gRPC would go on using a TCP connection
    that no longer answers. A call whose connection broke is retried once on a new one, because only
    a new connection shows whether the address still accepts any. All channels are replaced when the
    certificate files change.

    :param tls: certificate files; ``None`` for plain text.
    """

    def __init__(self, tls: TlsFiles | None = None) -> None:
        self._tls = tls
        self._generation = tls.generation if tls is not None else 0
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._closing: set[asyncio.Task[None]] = set()

    async def seal(self, address: str, term: int, *, timeout: float) -> target_pb2.SealReply:
        """Raise the sealed term of a target."""
        return await self._call(address, "Seal", target_pb2.SealRequest(term=term), timeout)

    async def promote(
        self, address: str, term: int, members: Iterable[target_pb2.Member], *, timeout: float
    ) -> target_pb2.MemberState:
        """Make a target primary; it ships its log to the other members."""
        request = target_pb2.PromoteRequest(term=term, members=members)
        return await self._call(address, "Promote", request, timeout)

    async def follow(
        self, address: str, term: int, primary: target_pb2.Member, *, timeout: float
    ) -> target_pb2.MemberState:
        """Make a target a replica."""
        request = target_pb2.FollowRequest(term=term, primary=primary)
        return await self._call(address, "Follow", request, timeout)

    async def terminate(
        self, address: str, instance: str, up_to_incarnation: int, *, timeout: float
    ) -> int:
        """Close the connections of an instance; return how many were closed."""
        request = target_pb2.TerminateRequest(
            instance=instance, up_to_incarnation=up_to_incarnation
        )
        reply = await self._call(address, "Terminate", request, timeout)
        return reply.closed

    async def terminate_connection(
        self, address: str, instance: str, connection_incarnation: int, *, timeout: float
    ) -> int:
        """Close one connection of an instance; return how many were closed."""
        request = target_pb2.TerminateRequest(
            instance=instance, connection_incarnation=connection_incarnation
        )
        reply = await self._call(address, "Terminate", request, timeout)
        return reply.closed

    async def close(self) -> None:
        """Close all channels."""
        channels = list(self._channels.values())
        self._channels.clear()
        for channel in channels:
            await channel.close()

    async def _call(self, address: str, method: str, request: Message, timeout: float) -> Message:
        try:
            return await self._call_once(address, method, request, timeout)
        except AdminError as error:
            if not error.is_refused:
                raise
        return await self._call_once(address, method, request, timeout)

    async def _call_once(
        self, address: str, method: str, request: Message, timeout: float
    ) -> Message:
        channel = self._channel(address)
        stub = target_pb2_grpc.TargetStub(channel)
        try:
            return decoded(await getattr(stub, method)(request, timeout=timeout))
        except grpc.aio.AioRpcError as error:
            self._discard_channel(address, channel)
            raise AdminError(
                f"{method} at {address} failed: {error.code().name}: {error.details()}",
                is_refused=error.code() is grpc.StatusCode.UNAVAILABLE,
            ) from error

    def _channel(self, address: str) -> grpc.aio.Channel:
        if self._tls is not None and self._tls.generation != self._generation:
            self._generation = self._tls.generation
            replaced, self._channels = self._channels, {}
            for channel in replaced.values():
                self._close_in_background(channel, RETIRE_GRACE_SECONDS)
        if address not in self._channels:
            self._channels[address] = open_secured_channel(address, self._tls)
        return self._channels[address]

    def _discard_channel(self, address: str, channel: grpc.aio.Channel) -> None:
        if self._channels.get(address) is not channel:
            return
        del self._channels[address]
        self._close_in_background(channel)

    def _close_in_background(self, channel: grpc.aio.Channel, grace: float | None = None) -> None:
        task = asyncio.create_task(channel.close(grace))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
