"""Databases of a service, as the page PROTOCOL describes them."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from standins.http import call

if TYPE_CHECKING:
    from collections.abc import Callable

    from standins.records import Record

__all__ = ["Arrival", "Commit", "Database", "Service"]

#: One way between zones, in seconds.
ONE_WAY_SECONDS = 0.0009

#: Seconds that a new connection takes.
HANDSHAKE_SECONDS = 0.012

#: Seconds between two heartbeats.
HEARTBEAT_SECONDS = 1.2

#: Seconds after a promotion until a former primary that reaches the new one becomes a replica.
NOTICE_SECONDS = 1.0


@dataclass(frozen=True)
class Commit:
    """One commit that wrote.

    :param ids: ids of the writes.
    """

    term: int
    number: int
    ids: tuple[str, ...]
    items: tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class Arrival:
    """One statement of a client that reached a database.

    :param begun_by: id of the BEGIN of the transaction that was open at the connection, if any.
    """

    at: float
    database: Database
    request: str
    text: str
    begun_by: str


@dataclass
class Service:
    """The databases of one service.

    :param controls: addresses that take heartbeats.
    :param on_arrival: called with each statement of a client.
    :param on_lead: called with each database that becomes primary.
    """

    name: str
    controls: list[str]
    record: Record
    slots: int = 2
    connections: int = 16
    work_seconds: float = 0.0045
    lag_seconds: float = 0.008
    promote_seconds: float = 0.6
    on_arrival: Callable[[Arrival], None] = lambda arrival: None
    on_lead: Callable[[Database], None] = lambda database: None
    databases: list[Database] = field(default_factory=list)

    @property
    def primary(self) -> Database | None:
        """Return the running primary of the highest term."""
        primaries = [d for d in self.databases if d.is_running and d.is_primary]
        return max(primaries, key=lambda d: d.term, default=None)

    def find(self, name: str) -> Database | None:
        """Return a database by its id."""
        return next((d for d in self.databases if d.name == name), None)

    async def add(self, name: str, address: str, zone: str, *, is_primary: bool = False) -> None:
        """Start a database; a replica gets the log of the primary."""
        database = Database(self, name, address, zone, is_primary=is_primary)
        if not is_primary and self.primary is not None:
            database.term, database.log = self.primary.term, list(self.primary.log)
        self.databases.append(database)
        await database.start()

    def promote(self, database: Database) -> None:
        """Make a database the primary of the next term after some time."""
        if not database.is_primary:
            loop = asyncio.get_running_loop()
            loop.call_later(self.promote_seconds, self._lead, database)

    def _lead(self, database: Database) -> None:
        if not database.is_running or database.is_primary:
            return
        database.term = max(d.term for d in self.databases) + 1
        database.is_primary, database.paused_term = True, 0
        self.record.note(f"{database.name} leads term {database.term} at {database.position}")
        self.on_lead(database)
        for other in self.databases:
            if other is database or not other.is_running:
                continue
            if other.is_primary:
                loop = asyncio.get_running_loop()
                loop.call_later(NOTICE_SECONDS, other.follow, database)
            else:
                other.follow(database)
        database.beat_soon()

    async def stop(self) -> None:
        """Stop all databases."""
        for database in self.databases:
            await database.stop()


class Database:
    """One database.

    :param log: commits that it has received.
    """

    def __init__(
        self, service: Service, name: str, address: str, zone: str, *, is_primary: bool
    ) -> None:
        self.service = service
        self.name = name
        self.address = address
        self.zone = zone
        self.is_primary = is_primary
        self.is_running = False
        self.is_receiving = True
        self.state = "ready"
        self.term = 1
        self.paused_term = 0
        self.log: list[Commit] = []
        self.drain_acknowledged_at: float | None = None
        self._born = int(time.time() * 1000)
        self._sequence = itertools.count(1)
        self._slots = asyncio.Semaphore(service.slots)
        self._received = asyncio.Event()
        self._connections: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._beater: asyncio.Task | None = None
        self._beat_now = asyncio.Event()

    @property
    def position(self) -> str:
        """Return the position of its log."""
        return f"{self.term}.{self.log[-1].number if self.log else 0}"

    async def start(self) -> None:
        """Listen and send heartbeats."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), limit=1 << 21)
        self.is_running = True
        self._beater = asyncio.create_task(self._beat_forever())

    async def stop(self) -> None:
        """End at once."""
        self.is_running = False
        if self._beater is not None:
            self._beater.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    async def leave(self, drain_seconds: float, longer_seconds: float) -> None:
        """Announce a planned end, serve on, and end."""
        self.state = "draining"
        self.beat_soon()
        while self.drain_acknowledged_at is None:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        self.service.record.note(f"{self.name} is draining, acknowledged")
        await asyncio.sleep(drain_seconds + longer_seconds)
        for control in self.service.controls:
            with contextlib.suppress(OSError):
                path = f"/-/Instances.Deregister/{self.name}"
                status, _ = await call(control, "POST", path, {"born": self._born})
                if status < 300:
                    break
        self.service.record.note(f"{self.name} ends")
        await self.stop()

    def beat_soon(self) -> None:
        """Report a change at once."""
        self._beat_now.set()

    def follow(self, primary: Database) -> None:
        """Become a replica of the primary of a newer term; roll back what that one lacks."""
        if not self.is_running or primary.term <= self.term:
            return
        self.is_primary, self.paused_term, self.term = False, 0, primary.term
        known = set(primary.log)
        self.log = [commit for commit in self.log if commit in known]
        if self.is_receiving:
            self.log = list(primary.log)
        self.beat_soon()

    async def commit(self, ids: list[str], items: dict[str, str]) -> None:
        """Append a commit and wait until one replica has received it."""
        number = self.log[-1].number + 1 if self.log else 1
        commit = Commit(self.term, number, tuple(ids), tuple(items.items()))
        self.log.append(commit)
        while not self._is_received(commit):
            if not self.is_running:
                raise ConnectionError("the database has ended")
            self._ship()
            await asyncio.sleep(ONE_WAY_SECONDS)

    def _is_received(self, commit: Commit) -> bool:
        others = (d for d in self.service.databases if d is not self and d.is_running)
        return any(commit in d.log[-200:] for d in others)

    def _ship(self) -> None:
        for other in self.service.databases:
            may_receive = other.is_running and other.is_receiving and not other.is_primary
            if may_receive and not other.paused_term and other.term == self.term:
                other.log.extend(self.log[len(other.log) :])

    async def _beat_forever(self) -> None:
        controls = itertools.cycle(self.service.controls)
        control = next(controls)
        while True:
            self._beat_now.clear()
            if not await self._beat(control):
                control = next(controls)
                await asyncio.sleep(0.05)
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT_SECONDS):
                    await self._beat_now.wait()

    async def _beat(self, control: str) -> bool:
        state = self.state
        fields = {
            "service": self.service.name,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.service.slots,
            "state": state,
            "cold_left_ms": 0,
            "db_role": "primary" if self.is_primary else "replica",
            "seq_no": next(self._sequence),
            "born": self._born,
        }
        try:
            path = f"/-/Instances.Heartbeat/{self.name}"
            status, _ = await call(control, "POST", path, fields)
        except OSError:
            return False
        is_acknowledged = 200 <= status < 300
        if is_acknowledged and state == "draining" and self.drain_acknowledged_at is None:
            self.drain_acknowledged_at = self.service.record.now
        return is_acknowledged

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        connection = _Connection(self)
        try:
            while (line := await reader.readline()).endswith(b"\n"):
                await asyncio.sleep(ONE_WAY_SECONDS)
                answer = await connection.answer(line.decode().rstrip("\r\n"))
                if answer is None:
                    break
                await asyncio.sleep(ONE_WAY_SECONDS)
                writer.write(answer.encode())
                await writer.drain()
                if connection.is_refused:
                    break
        except OSError:
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def work(self) -> None:
        """Occupy a slot for the time of one statement."""
        async with self._slots:
            await asyncio.sleep(self.service.work_seconds * random.uniform(0.5, 1.5))


class _Connection:
    """One connection of a caller; closing it rolls back."""

    def __init__(self, database: Database) -> None:
        self._database = database
        self._state = "I"
        self._begun_by = ""
        self._term = 0
        self._is_read_only = False
        self._ids: list[str] = []
        self._items: dict[str, str] = {}
        self._prepared: dict[str, str] = {}
        self.is_refused = False

    async def answer(self, line: str) -> str | None:
        """Return the answer to a message; ``None`` ends the connection."""
        word, _, rest = line.partition(" ")
        if word == "STARTUP":
            return await self._start_up(rest.split(" "))
        if word == "TERMINATE":
            return None
        request, _, text = rest.partition(" ")
        if request != "-":
            database, service = self._database, self._database.service
            arrival = Arrival(service.record.now, database, request, text, self._begun_by)
            service.record.add(f"{database.name} runs {request} {text} [{self._state}]")
            service.on_arrival(arrival)
        rows = await self._run(request, text)
        return f"{rows}READY {self._state} {self._database.position}\r\n"

    async def _start_up(self, words: list[str]) -> str:
        database = self._database
        await asyncio.sleep(HANDSHAKE_SECONDS)
        name = words[2] if len(words) > 2 else database.name
        if words[0] != database.service.name or name != database.name:
            self.is_refused = True
            return "ERROR WRONGNODE -\r\n"
        if len(database._connections) > database.service.connections:
            self.is_refused = True
            return "ERROR TOOMANY -\r\n"
        return f"READY I {database.position}\r\n"

    async def _run(self, request: str, text: str) -> str:
        verb, _, rest = text.partition(" ")
        if verb == "AFTERLSN":
            required, _, text = rest.partition(" ")
            if _position(required) > _position(self._database.position):
                return self._fail("LAGGING")
            verb, _, rest = text.partition(" ")
        if self._state == "E" and verb not in ("COMMIT", "ROLLBACK"):
            return "ERROR MALFORMED -\r\n"
        handlers = {
            "BEGIN": self._begin,
            "COMMIT": self._commit,
            "ROLLBACK": self._rollback,
            "READ": self._read,
            "WRITE": self._write,
            "STATUS": self._status,
            "PAUSE": self._pause,
            "RESUME": self._resume,
            "STEPDOWN": self._step_down,
        }
        handler = handlers.get(verb)
        return "COMPLETE -\r\n" if handler is None else await handler(request, rest)

    def _fail(self, code: str) -> str:
        if self._state == "T":
            self._state = "E"
        return f"ERROR {code} {self._database.name}\r\n"

    def _has_lost_lead(self) -> bool:
        database = self._database
        return not database.is_primary or database.term != self._term

    async def _begin(self, request: str, rest: str) -> str:
        database = self._database
        self._is_read_only = rest == "READ"
        if not self._is_read_only and not database.is_primary:
            return self._fail("READONLY")
        self._state, self._begun_by, self._term = "T", request, database.term
        self._ids, self._items = [], {}
        return "COMPLETE -\r\n"

    async def _read(self, request: str, rest: str) -> str:
        if self._state == "T" and not self._is_read_only and self._has_lost_lead():
            return self._fail("READONLY")
        await self._database.work()
        return f"ROW {rest}\r\nCOMPLETE {self._database.name}.{request}\r\n"

    async def _write(self, request: str, rest: str) -> str:
        item, _, data = rest.partition(" ")
        is_open = self._state == "T"
        if self._is_read_only or not self._database.is_primary:
            return self._fail("READONLY")
        if is_open and self._has_lost_lead():
            return self._fail("READONLY")
        await self._database.work()
        if is_open:
            self._ids.append(request)
            self._items[item] = data
        else:
            await self._database.commit([request], {item: data})
        return f"COMPLETE {self._database.name}.{request}\r\n"

    async def _commit(self, request: str, rest: str) -> str:
        state, ids, items = self._state, self._ids, self._items
        self._end()
        if state == "E":
            return "ERROR ABORTED -\r\n"
        if ids and self._has_lost_lead():
            return "ERROR READONLY -\r\n"
        await self._database.work()
        if ids:
            await self._database.commit(ids, items)
        return f"COMPLETE {self._database.name}.{request}\r\n"

    async def _rollback(self, request: str, rest: str) -> str:
        self._end()
        return "COMPLETE -\r\n"

    def _end(self) -> None:
        self._state, self._begun_by, self._ids, self._items = "I", "", [], {}
        self._is_read_only = False

    async def _status(self, request: str, rest: str) -> str:
        database = self._database
        role = "primary" if database.is_primary else "replica"
        busy = database.service.slots - database._slots._value
        row = f"{role} {database.term} {database.position} {database.paused_term} 0 {busy} 1"
        return f"ROW {row}\r\nCOMPLETE -\r\n"

    async def _pause(self, request: str, rest: str) -> str:
        database = self._database
        newest = max(d.term for d in database.service.databases)
        if not database.is_primary and int(rest) > newest:
            database.paused_term = int(rest)
        return await self._status(request, rest)

    async def _resume(self, request: str, rest: str) -> str:
        self._database.paused_term = 0
        return await self._status(request, rest)

    async def _step_down(self, request: str, rest: str) -> str:
        database = self._database
        if database.is_primary and int(rest) > database.term:
            database.is_primary = False
            database.beat_soon()
        return await self._status(request, rest)


def _position(text: str) -> tuple[int, int]:
    term, _, number = text.partition(".")
    return int(term), int(number)
