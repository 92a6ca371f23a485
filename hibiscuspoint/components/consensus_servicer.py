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

#: Maximum number of replies queued on a stream; further ones are dropped.
_MAX_QUEUED_REPLIES = 256


class ExchangeServicer(ConsensusServicer):
    """Receives the requests of peers and sends the replies on the stream of the request.

    :param receive: called with each request.
    """

    def __init__(self, receive: Callable[[Envelope], None]) -> None:
        self._receive = receive
        self._reply_queues: dict[InstanceId, asyncio.Queue[Envelope | None]] = {}
        self._stream_queues: set[asyncio.Queue[Envelope | None]] = set()

    def reply(self, envelope: Envelope) -> bool:
        """Queue a reply on the latest stream of its target.

        :return: whether the target has a stream; the reply is dropped if its queue is full.
        """
        queue = self._reply_queues.get(envelope.target)
        if queue is None:
            return False
        if not queue.full():
            queue.put_nowait(envelope)
        return True

    def close(self) -> None:
        """End all streams."""
        for queue in self._stream_queues:
            _end_stream(queue)

    async def Exchange(
        self, request_iterator: AsyncIterator[Envelope], context: grpc.aio.ServicerContext
    ) -> AsyncIterator[Envelope]:
        """Serve one stream of a peer."""
        queue: asyncio.Queue[Envelope | None] = asyncio.Queue(_MAX_QUEUED_REPLIES)
        self._stream_queues.add(queue)
        reader = asyncio.create_task(self._read(request_iterator, queue))
        try:
            while (envelope := await queue.get()) is not None:
                yield envelope
        finally:
            reader.cancel()
            await asyncio.gather(reader, return_exceptions=True)
            self._remove_queue(queue)

    async def _read(
        self,
        request_iterator: AsyncIterator[Envelope],
        queue: asyncio.Queue[Envelope | None],
    ) -> None:
        assembler = SnapshotAssembler()
        try:
            async for part in request_iterator:
                self._reply_queues[part.source.instance] = queue
                envelope = assembler.add(part)
                if envelope is not None:
                    self._receive(envelope)
        finally:
            _end_stream(queue)

    def _remove_queue(self, queue: asyncio.Queue[Envelope | None]) -> None:
        self._stream_queues.discard(queue)
        self._reply_queues = {
            instance: other for instance, other in self._reply_queues.items() if other is not queue
        }


def _end_stream(queue: asyncio.Queue[Envelope | None]) -> None:
    """Queue the end marker of a stream, dropping a reply if the queue is full."""
    if queue.full():
        queue.get_nowait()
    queue.put_nowait(None)
