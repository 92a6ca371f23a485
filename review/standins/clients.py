"""Clients, whose sessions are connections."""

from __future__ import annotations

import asyncio
import random
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING

from standins.databases import ONE_WAY_SECONDS

if TYPE_CHECKING:
    from collections.abc import Callable

    from standins.records import Record
    from standins.system import System

__all__ = ["Client", "Cut", "Sent"]


@dataclass
class Sent:
    """One statement that a client has sent.

    :param operation: id of the BEGIN of its transaction, or its own id.
    :param taken_by: instance to which it was sent.
    """

    at: float
    text: str
    operation: str
    taken_by: int


@dataclass(frozen=True)
class Cut:
    """A connection that ended while a statement had no whole answer."""

    at: float
    request: str
    sent: Sent


class Client:
    """A client with one session, which reconnects when it ends.

    :param database: name of the database, the host of a route.
    :param next_operation: returns the statement texts of the next operation and the longest pause
        between them.
    :param sent: all statements of all clients by id.
    :param on_cut: called when a connection ends without a whole answer.
    :param acknowledged: gets the ids of the writes whose commit succeeded, with the time.
    """

    def __init__(
        self,
        system: System,
        record: Record,
        database: str,
        next_operation: Callable[[], tuple[list[str], float]],
        sent: dict[str, Sent],
        on_cut: Callable[[Cut], None] = lambda cut: None,
        acknowledged: dict[str, float] | None = None,
    ) -> None:
        self._system = system
        self._record = record
        self._database = database
        self._next_operation = next_operation
        self._sent = sent
        self._on_cut = on_cut
        self._acknowledged = {} if acknowledged is None else acknowledged
        self._number = 0
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.served = 0

    async def run(self) -> None:
        """Run operations until cancelled."""
        try:
            while True:
                if not await self._is_connected():
                    await asyncio.sleep(0.1)
                    continue
                try:
                    await self._run_operation()
                except (OSError, asyncio.IncompleteReadError, TimeoutError):
                    self._close()
        finally:
            self._close()

    async def _is_connected(self) -> bool:
        if self._writer is not None and not self._reader.at_eof():
            return True
        self._close()
        ready = self._system.in_rotation
        if not ready:
            return False
        self._number = random.choice(ready)
        host, _, port = self._system.frontend(self._number).rpartition(":")
        try:
            async with asyncio.timeout(2.0):
                self._reader, self._writer = await asyncio.open_connection(host, int(port))
                self._writer.write(
                    f"STARTUP {self._database} u{random.randint(1, 99)}\r\n".encode()
                )
                if (await self._reader.readline()).startswith(b"READY"):
                    return True
        except (OSError, TimeoutError):
            pass
        self._close()
        return False

    def _close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def _run_operation(self) -> None:
        texts, pause = self._next_operation()
        operation = ""
        writes: list[str] = []
        for text in texts:
            request = uuid.uuid4().hex[:16]
            operation = operation or request
            answer = await self._run_statement(request, text, operation)
            if answer[0].startswith("ERROR"):
                if answer[-1].split()[1] != "I":
                    self._close()
                await asyncio.sleep(random.uniform(0.02, 0.1))
                return
            if text.startswith("WRITE"):
                writes.append(request)
            if text == "COMMIT" or len(texts) == 1:
                self._acknowledged.update(dict.fromkeys(writes, self._record.now))
            await asyncio.sleep(random.uniform(0.3, 1.0) * pause)
        self.served += 1

    async def _run_statement(self, request: str, text: str, operation: str) -> list[str]:
        sent = Sent(self._record.now, text, operation, self._number)
        self._sent[request] = sent
        self._record.add(f"client sends {request} {text} to instance-{self._number}")
        await asyncio.sleep(ONE_WAY_SECONDS)
        self._writer.write(f"QUERY {request} {text}\r\n".encode())
        answer: list[str] = []
        while not answer or not answer[-1].startswith("READY"):
            try:
                line = await self._reader.readline()
            except OSError:
                line = b""
            if not line.endswith(b"\n"):
                self._record.add(f"client gets no whole answer to {request}")
                self._on_cut(Cut(self._record.now, request, sent))
                raise ConnectionError("the connection ended")
            answer.append(line.decode().rstrip("\r\n"))
        self._record.add(f"client gets {answer[-2]} to {request}")
        return answer
