"""Watch stream of a target: progress and tip samples."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import TYPE_CHECKING

import grpc

from hibiscuspoint.security import open_secured_channel
from hibiscuspoint.util.messages import decoded
from hibiscuspoint.util.tasks import run_until_first
from hibiscuspoint.wire import target_pb2, target_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.security import TlsFiles

__all__ = ["StandinWatch"]

logger = logging.getLogger(__name__)

#: Seconds between two keepalive samples; their answers show that the stream is alive.
SAMPLE_INTERVAL_SECONDS = 0.5
#: Seconds without a message after which a stream is closed and opened again.
SILENCE_TIMEOUT_SECONDS = 1.0
#: Bounds of the backoff before a stream is opened again; it doubles while attempts fail.
MIN_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0
# Ids from here up are keepalive samples of the watch; callers use lower ids.
FIRST_KEEPALIVE_SAMPLE_ID = 1 << 63
KEEPALIVE_OPTIONS = (
    ("grpc.keepalive_time_ms", 1000),
    ("grpc.keepalive_timeout_ms", 1000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
)


class StandinWatch:
    """Follows the progress of one target and reconnects when the stream ends or goes silent.

    Samples that have no answer when a stream ends, or when an attempt to open one fails, are
    dropped; ``on_lost`` reports it.

    :param on_progress: called for each progress; ``sample_id`` is 0 unless it answers a sample.
    :param on_lost: called when a stream ends or an attempt to open one fails.
    :param tls: certificate files, read for each new stream; ``None`` for plain text.
    """

    def __init__(
        self,
        address: str,
        on_progress: Callable[[target_pb2.Progress], None],
        *,
        on_lost: Callable[[], None] | None = None,
        tls: TlsFiles | None = None,
    ) -> None:
        self._address = address
        self._on_progress = on_progress
        self._on_lost = on_lost
        self._tls = tls
        self._outgoing: deque[int] = deque()
        self._wake = asyncio.Event()
        self._is_connected = False
        self._last_message_at = 0.0
        self._keepalive_sample_count = 0
        self._task = asyncio.create_task(self._run())

    def sample(self, sample_id: int) -> None:
        """Request the current position; ids are from 1 to 2**63 - 1."""
        self._outgoing.append(sample_id)
        self._wake.set()

    def close(self) -> None:
        """Stop watching."""
        self._task.cancel()

    async def _run(self) -> None:
        backoff = MIN_BACKOFF_SECONDS
        while True:
            channel = open_secured_channel(self._address, self._tls, KEEPALIVE_OPTIONS)
            try:
                await self._follow(target_pb2_grpc.TargetStub(channel).Watch())
            except (grpc.aio.AioRpcError, asyncio.InvalidStateError, TimeoutError) as error:
                logger.debug("watch of %s ended: %s", self._address, error)
            finally:
                await channel.close()
            backoff = (
                MIN_BACKOFF_SECONDS if self._is_connected else min(2 * backoff, MAX_BACKOFF_SECONDS)
            )
            self._handle_disconnect()
            await asyncio.sleep(backoff)

    def _handle_disconnect(self) -> None:
        self._is_connected = False
        self._outgoing.clear()
        if self._on_lost is not None:
            self._on_lost()

    async def _follow(self, call: grpc.aio.StreamStreamCall) -> None:
        self._last_message_at = asyncio.get_running_loop().time()
        try:
            await run_until_first(self._receive(call), self._send(call))
        finally:
            call.cancel()

    async def _receive(self, call: grpc.aio.StreamStreamCall) -> None:
        loop = asyncio.get_running_loop()
        while (progress := decoded(await call.read())) is not grpc.aio.EOF:
            self._last_message_at = loop.time()
            self._is_connected = True
            if progress.sample_id >= FIRST_KEEPALIVE_SAMPLE_ID:
                progress.sample_id = 0
            self._on_progress(progress)

    async def _send(self, call: grpc.aio.StreamStreamCall) -> None:
        loop = asyncio.get_running_loop()
        keepalive_due_at = loop.time()
        while True:
            if loop.time() >= keepalive_due_at:
                if loop.time() - self._last_message_at > SILENCE_TIMEOUT_SECONDS:
                    raise TimeoutError("the stream is silent")
                keepalive_due_at = loop.time() + SAMPLE_INTERVAL_SECONDS
                self._keepalive_sample_count += 1
                self._outgoing.append(FIRST_KEEPALIVE_SAMPLE_ID + self._keepalive_sample_count)
            async with asyncio.timeout(SILENCE_TIMEOUT_SECONDS):
                while self._outgoing:
                    request = target_pb2.WatchRequest(sample_id=self._outgoing.popleft())
                    await call.write(request)
            await self._wait(keepalive_due_at - loop.time())

    async def _wait(self, seconds: float) -> None:
        self._wake.clear()
        try:
            async with asyncio.timeout(max(seconds, 0.0)):
                await self._wake.wait()
        except TimeoutError:
            return
