"""Reply sides of gRPC streams, with network delay and the silence switch."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from types import TracebackType

    import grpc

    from hibiscuspoint.standin.faults import Faults

__all__ = ["PostedReplies", "ReplyStream", "StreamRegistry"]

T = TypeVar("T")


class StreamRegistry:
    """Open streams of a target."""

    def __init__(self, faults: Faults) -> None:
        self._streams: set[ReplyStream] = set()
        faults.add_silence_listener(self._silence_all)

    def add(self, stream: ReplyStream) -> None:
        """Add an open stream."""
        self._streams.add(stream)

    def remove(self, stream: ReplyStream) -> None:
        """Remove a stream that ended."""
        self._streams.discard(stream)

    def _silence_all(self) -> None:
        for stream in self._streams:
            stream.is_silent = True


class ReplyStream(Generic[T]):
    """Replies of one stream.

    :param delay: one-way delay in seconds, added to each answer.
    """

    def __init__(
        self,
        context: grpc.aio.ServicerContext,
        faults: Faults,
        registry: StreamRegistry,
        delay: float,
    ) -> None:
        self._context = context
        self._faults = faults
        self._registry = registry
        self._delay = delay
        self._lock = asyncio.Lock()
        #: True when nothing is read or answered any more.
        self.is_silent = False

    @property
    def delay(self) -> float:
        """Return the one-way delay in seconds."""
        return self._delay

    def __enter__(self) -> ReplyStream[T]:
        self._registry.add(self)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._registry.remove(self)

    async def answer(self, *messages: T) -> None:
        """Send an answer after the one-way delay; its messages stay together."""
        if self._delay:
            await asyncio.sleep(self._delay)
        await self.write(*messages)

    async def write(self, *messages: T) -> None:
        """Send messages without the one-way delay."""
        async with self._lock:
            for message in messages:
                if self._faults.is_frozen:
                    await self._faults.wait_until_thawed()
                if self.is_silent:
                    return
                await self._context.write(message)


class PostedReplies(Generic[T]):
    """Queue of replies that leave in order, each after the one-way delay."""

    def __init__(self, stream: ReplyStream[T]) -> None:
        self._stream = stream
        self._queue: asyncio.Queue[tuple[float, T]] = asyncio.Queue()

    def post(self, message: T) -> None:
        """Queue a reply."""
        due = asyncio.get_running_loop().time() + self._stream.delay
        self._queue.put_nowait((due, message))

    async def run(self) -> None:
        """Send the queued replies until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due, message = await self._queue.get()
            wait = due - loop.time()
            if wait > 0:
                await asyncio.sleep(wait)
            await self._stream.write(message)
