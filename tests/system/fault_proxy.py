"""TCP proxy that injects faults into one link between two processes."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import threading
import time
from enum import Enum
from typing import TYPE_CHECKING, Self, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ["Direction", "FaultProxy"]

T = TypeVar("T")

CHUNK_BYTES = 65536
CONTROL_TIMEOUT_S = 10.0
#: Chunks that one direction of a connection holds back before the sender is slowed down.
QUEUE_CHUNKS = 256


class Direction(Enum):
    """Direction in which bytes travel."""

    TO_SERVER = "to-server"
    TO_CLIENT = "to-client"


class _Connection:
    """One proxied connection.

    Bytes that a fault holds back are delivered when it ends, as TCP does after a partition.
    """

    def __init__(
        self,
        proxy: FaultProxy,
        client: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        server: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        source: str,
    ) -> None:
        self._proxy = proxy
        self._writers = (client[1], server[1])
        self._passes = asyncio.Event()
        self._passes.set()
        self.source = source
        self._tasks = [
            *self._start(Direction.TO_SERVER, client[0], server[1]),
            *self._start(Direction.TO_CLIENT, server[0], client[1]),
        ]

    def _start(
        self, direction: Direction, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> list[asyncio.Task[None]]:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(QUEUE_CHUNKS)
        return [
            asyncio.create_task(self._receive(reader, queue)),
            asyncio.create_task(self._send(direction, queue, writer)),
        ]

    async def _receive(
        self, reader: asyncio.StreamReader, queue: asyncio.Queue[tuple[float, bytes]]
    ) -> None:
        while True:
            try:
                chunk = await reader.read(CHUNK_BYTES)
            except ConnectionResetError:
                # Bytes that are held back are lost if their sender resets the connection.
                self.close(reset=True)
                return
            except OSError:
                chunk = b""
            await queue.put((time.monotonic() + self._proxy.delay_s, chunk))
            if not chunk:
                return

    async def _send(
        self,
        direction: Direction,
        queue: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            due, chunk = await queue.get()
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            await self._proxy.passage(direction).wait()
            await self._proxy.source_passage(self.source).wait()
            await self._passes.wait()
            if not chunk:
                break
            writer.write(chunk)
            with contextlib.suppress(OSError):
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()

    def silence(self) -> None:
        """Pass no byte any more, without closing."""
        self._passes.clear()

    async def finished(self) -> None:
        """Wait until both directions ended."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def close(self, *, reset: bool = False) -> None:
        """Close both sides.

        :param reset: send RST instead of FIN.
        """
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            if reset:
                _linger_zero(writer)
                writer.transport.abort()
            else:
                writer.close()


def _linger_zero(writer: asyncio.StreamWriter) -> None:
    """Make the close of a socket send RST."""
    raw = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


class FaultProxy:
    """One link; it runs in its own thread, so a test controls it from any thread or loop.

    :param upstream: ``ip:port`` of the server.
    :param host: loopback address to listen on; the kernel chooses the port.
    :param identify: returns the name of the process that opened a connection, given the addresses
        of client and proxy; without it, all sources are one.
    """

    def __init__(
        self,
        upstream: str,
        host: str = "127.0.0.1",
        identify: Callable[[tuple[str, int], tuple[str, int]], str] = lambda *_: "",
    ) -> None:
        self._upstream = upstream
        self._host = host
        self._identify = identify
        self._port = 0
        self._delay_s = 0.0
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._passages = {direction: asyncio.Event() for direction in Direction}
        self._source_passages: dict[str, asyncio.Event] = {}

    @property
    def address(self) -> str:
        """Return ``ip:port`` of the proxy."""
        return f"{self._host}:{self._port}"

    @property
    def delay_s(self) -> float:
        """Return the delay of each chunk in seconds."""
        return self._delay_s

    @property
    def connections(self) -> int:
        """Return the number of established connections."""
        return self._call(lambda: len(self._connections))

    def passage(self, direction: Direction) -> asyncio.Event:
        """Return the event that is set while bytes may pass in a direction."""
        return self._passages[direction]

    def source_passage(self, source: str) -> asyncio.Event:
        """Return the event that is set while bytes from and to a source may pass."""
        if source not in self._source_passages:
            self._source_passages[source] = asyncio.Event()
            self._source_passages[source].set()
        return self._source_passages[source]

    def start(self) -> None:
        """Listen."""
        self._thread.start()
        self.heal()

    def stop(self) -> None:
        """Close everything and end the thread."""
        self.refuse()
        self.reset()
        self._call(self._cancel_tasks)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def cut(self, *directions: Direction) -> None:
        """Pass no bytes in the given directions, or in both; new connections stay silent too."""
        self._call(lambda: [self._passages[d].clear() for d in directions or Direction])

    def cut_sources(self, sources: Iterable[str]) -> None:
        """Pass no bytes from or to some sources, on old and new connections."""
        self._call(lambda: [self.source_passage(source).clear() for source in sources])

    def delay(self, seconds: float) -> None:
        """Delay each chunk that arrives from now on."""
        self._delay_s = seconds

    def blackhole_established(self, sources: Iterable[str] | None = None) -> int:
        """Silence the established connections for ever; new ones work.

        :param sources: silence only the connections of these sources.
        :return: number of silenced connections.
        """
        wanted = None if sources is None else set(sources)
        return self._call(lambda: self._silence(wanted))

    def reset(self) -> None:
        """Reset the established connections; new ones work."""
        self._call(lambda: [connection.close(reset=True) for connection in self._connections])

    def refuse(self) -> None:
        """Refuse new connections; established ones work."""
        self._run(self._stop_listening())

    def heal(self) -> None:
        """End cuts, delay and refusal; silenced connections stay silent."""
        self._delay_s = 0.0
        self._call(self._open_passages)
        self._run(self._listen())

    def __enter__(self) -> Self:
        self.start()
        return self

    def __exit__(self, *_exc: object) -> None:
        self.stop()

    def _call(self, function: Callable[[], T]) -> T:
        async def run() -> T:
            return function()

        return self._run(run())

    def _run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(CONTROL_TIMEOUT_S)

    async def _listen(self) -> None:
        if self._server is None:
            self._server = await asyncio.start_server(self._accept, self._host, self._port)
            self._port = self._server.sockets[0].getsockname()[1]

    async def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def _open_passages(self) -> None:
        for passage in (*self._passages.values(), *self._source_passages.values()):
            passage.set()

    def _silence(self, sources: set[str] | None) -> int:
        found = [c for c in self._connections if sources is None or c.source in sources]
        for connection in found:
            connection.silence()
        return len(found)

    def _cancel_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        host, port = self._upstream.rsplit(":", 1)
        try:
            server = await asyncio.open_connection(host, int(port))
        except OSError:
            # The client must see the same as from a server that is down: a reset.
            _linger_zero(writer)
            writer.transport.abort()
            return
        ends = writer.get_extra_info("peername"), writer.get_extra_info("sockname")
        source = self._identify(*ends)
        connection = _Connection(self, (reader, writer), server, source)
        self._connections.add(connection)
        try:
            await connection.finished()
        finally:
            self._connections.discard(connection)
            connection.close()
