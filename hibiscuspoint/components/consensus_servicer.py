"""The gRPC service that receives the consensus streams of the peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hibiscuspoint.wire.consensus_pb2_grpc import ConsensusServicer
from hibiscuspoint.wire.parts import SnapshotAssembler

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    import grpc

    from hibiscuspoint.ids import InstanceId
    from hibiscuspoint.wire.consensus_pb2 import Envelope

__all__ = ["ExchangeServicer"]

_QUEUE_LENGTH = 256


class ExchangeServicer(ConsensusServicer):
    """Receives requests of peers and returns the replies on the same stream.

    :param receive: called with each request.
    """

    def __init__(self, receive: Callable[[Envelope], None]) -> None:
        self._receive = receive
        self._replies: dict[InstanceId, asyncio.Queue[Envelope | None]] = {}
        self._streams: set[asyncio.Queue[Envelope | None]] = set()

    def reply(self, envelope: Envelope) -> bool:
        """Queue a reply on the latest stream of its target; return whether there is one."""
        queue = self._replies.get(envelope.target)
        if queue is None:
            return False
        if not queue.full():
            queue.put_nowait(envelope)
        return True

    def close(self) -> None:
        """End all streams."""
        for queue in self._streams:
            _end(queue)

    async def Exchange(
        self, request_iterator: AsyncIterator[Envelope], context: grpc.aio.ServicerContext
    ) -> AsyncIterator[Envelope]:
        """Serve one stream of a peer."""
        queue: asyncio.Queue[Envelope | None] = asyncio.Queue(_QUEUE_LENGTH)
        self._streams.add(queue)
        reader = asyncio.create_task(self._read(request_iterator, queue))
        try:
            while (envelope := await queue.get()) is not None:
                yield envelope
        finally:
            reader.cancel()
            await asyncio.gather(reader, return_exceptions=True)
            self._forget(queue)

    async def _read(
        self,
        request_iterator: AsyncIterator[Envelope],
        queue: asyncio.Queue[Envelope | None],
    ) -> None:
        assembler = SnapshotAssembler()
        try:
            async for part in request_iterator:
                self._replies[part.source.instance] = queue
                envelope = assembler.add(part)
                if envelope is not None:
                    self._receive(envelope)
        finally:
            _end(queue)

    def _forget(self, queue: asyncio.Queue[Envelope | None]) -> None:
        self._streams.discard(queue)
        self._replies = {i: other for i, other in self._replies.items() if other is not queue}


def _end(queue: asyncio.Queue[Envelope | None]) -> None:
    """Let the writer of a stream return, even when its queue is full."""
    if queue.full():
        queue.get_nowait()
    queue.put_nowait(None)
