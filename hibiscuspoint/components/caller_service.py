"""gRPC services for callers and for requests that other entries forward."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hibiscuspoint.components.events import execute_requested, forward_requested
from hibiscuspoint.wire import caller_pb2, caller_pb2_grpc, peer_pb2, peer_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import grpc

    from hibiscuspoint.components.runtime import Runtime
    from hibiscuspoint.components.transactions import TransactionStreams

__all__ = ["CallerService", "PeerService"]


class CallerService(caller_pb2_grpc.CallerServicer):
    """Serves callers: dispatches an event for each request and awaits its reply."""

    def __init__(self, runtime: Runtime, streams: TransactionStreams) -> None:
        self._runtime = runtime
        self._streams = streams

    async def Execute(
        self, request: caller_pb2.ExecuteRequest, context: grpc.aio.ServicerContext
    ) -> caller_pb2.ExecuteReply:
        """Run one request."""
        return await self._runtime.dispatch(execute_requested(request)).reply

    async def Transact(
        self,
        request_iterator: AsyncIterator[caller_pb2.TransactRequest],
        context: grpc.aio.ServicerContext,
    ) -> AsyncIterator[caller_pb2.ExecuteReply]:
        """Run an interactive transaction."""
        async for reply in self._streams.serve(request_iterator):
            yield reply


class PeerService(peer_pb2_grpc.PeerServicer):
    """Serves requests that other entries forward to this holder."""

    def __init__(self, runtime: Runtime, streams: TransactionStreams) -> None:
        self._runtime = runtime
        self._streams = streams

    async def Forward(
        self, request: peer_pb2.ForwardRequest, context: grpc.aio.ServicerContext
    ) -> peer_pb2.ForwardReply:
        """Run one request."""
        # Shielded so that the request still completes with a definite outcome when the forwarding
        # entry crashes and gRPC cancels this call.
        reply = self._runtime.dispatch(forward_requested(request)).reply
        return await asyncio.shield(asyncio.ensure_future(reply))

    async def ForwardTransact(
        self,
        request_iterator: AsyncIterator[peer_pb2.ForwardTransactRequest],
        context: grpc.aio.ServicerContext,
    ) -> AsyncIterator[peer_pb2.ForwardReply]:
        """Run an interactive transaction."""
        async for reply in self._streams.serve_forwarded(request_iterator):
            yield reply
