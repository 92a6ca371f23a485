"""A database on a loopback port with slots, which refuses what it has no room for."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = ["BusyDatabase"]

#: Verbs of the statements that take a slot.
_SLOT_VERBS = ("READ", "WRITE", "COMMIT")


@dataclass
class BusyDatabase:
    """Serves reads and writes in slots; a handshake takes one as well.

    :param slots: statements and handshakes that it runs at the same time.
    :param queue: statements that wait for a slot; more are refused.
    :param work_seconds: time of a statement in its slot.
    :param handshake_seconds: time of a handshake in its slot.
    :param ends_connections: whether it ends each connection after one statement.
    :param commit_seconds: time between two commits of others, which move the log position; 0 for a
        database whose log stands still.
    """

    slots: int = 2
    queue: int = 4
    work_seconds: float = 0.005
    handshake_seconds: float = 0.012
    commit_seconds: float = 0.0
    ends_connections: bool = False
    address: str = ""
    handshakes: int = 0
    refused: int = 0

    @asynccontextmanager
    async def serve(self) -> AsyncIterator[BusyDatabase]:
        """Listen while the context is open."""
        self._free = asyncio.Semaphore(self.slots)
        self._waiting = 0
        self._commits = 0
        self._started_at = asyncio.get_running_loop().time()
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())
        async with server:
            yield self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        state = "I"
        try:
            while True:
                message = (await reader.readuntil(b"\r\n"))[:-2].decode()
                word, _, rest = message.partition(" ")
                if word == "STARTUP":
                    self.handshakes += 1
                    await self._work(self.handshake_seconds)
                    writer.write(f"READY {state} {self._position()}\r\n".encode())
                    continue
                request, _, text = rest.partition(" ")
                answer, state = await self._answer(request, text, state)
                writer.write(f"{answer}READY {state} {self._position()}\r\n".encode())
                if self.ends_connections:
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: str, text: str, state: str) -> tuple[str, str]:
        verb, _, rest = text.partition(" ")
        if verb == "AFTERLSN":
            required, _, text = rest.partition(" ")
            if int(required.partition(".")[2]) > int(self._position().partition(".")[2]):
                return "ERROR LAGGING i-0\r\n", state
            verb = text.partition(" ")[0]
        if verb in _SLOT_VERBS:
            if self._waiting >= self.queue:
                self.refused += 1
                return "ERROR BUSY i-0\r\n", state
            await self._work(self.work_seconds)
            self._commits += verb == "COMMIT" or (verb == "WRITE" and state == "I")
            state = "I" if verb == "COMMIT" else state
            return f"COMPLETE sig-{request}\r\n", state
        if verb == "BEGIN":
            state = "T"
        elif verb == "ROLLBACK":
            state = "I"
        return "COMPLETE -\r\n", state

    async def _work(self, seconds: float) -> None:
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            await asyncio.sleep(seconds)
        finally:
            self._free.release()

    def _position(self) -> str:
        elapsed = asyncio.get_running_loop().time() - self._started_at
        others = int(elapsed / self.commit_seconds) if self.commit_seconds else 0
        return f"1.{self._commits + others}"
