"""Databases of one service: a primary and replicas that follow it over a delayed network.

A commit is acknowledged once one replica has received it. A database that is dark neither reads nor
sends; it keeps its log. What a promoted database lacks is rolled back at the others.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import random
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Database", "Entry", "Service"]

#: Longest message in bytes.
MESSAGE_BYTES = 1_048_576

#: Connections that a database accepts from all callers together.
MAX_CONNECTIONS = 16

#: Redirects that a caller of ``control`` follows.
MAX_REDIRECTS = 2

#: Seconds between two looks of a replica at the log of its primary.
PULL_SECONDS = 0.002

#: Seconds after which a former primary that reaches the new one becomes its replica.
NOTICE_SECONDS = 1.0

#: Seconds without an acknowledgement after which a heartbeat goes to the next node.
BEAT_TIMEOUT_SECONDS = 1.0


@dataclass(frozen=True)
class Entry:
    """One commit in the log of a service.

    :param made_at: time of the commit at the primary, on the clock of the loop.
    """

    term: int
    number: int
    request: str
    items: tuple[tuple[str, str], ...]
    made_at: float


@dataclass(eq=False)
class Database:
    """One database.

    :param delay: seconds that a commit of the primary takes to arrive here.
    :param work_seconds: time that a statement takes.
    :param stutter_share: share of the answers to clients that begin to come a second time, late,
        while the next statement runs, and are cut off after their first row.
    """

    service: Service
    name: str
    address: str
    zone: str
    is_primary: bool = False
    term: int = 1
    paused_term: int = 0
    delay: float = 0.001
    work_seconds: float = 0.001
    is_dark: bool = False
    state: str = "ready"
    born: int = field(default_factory=lambda: _unix_ms())
    log: list[Entry] = field(default_factory=list)
    items: dict[str, str] = field(default_factory=dict)
    sequence: itertools.count = field(default_factory=lambda: itertools.count(1))
    asked_at: float = 0.0
    starts: int = 0
    stutter_share: float = 0.0
    is_known: bool = False
    started: asyncio.Event = field(default_factory=asyncio.Event)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    server: asyncio.Server | None = None

    @property
    def position(self) -> tuple[int, int]:
        """Return the position of the log; its term is at least that of the last commit."""
        return (self.log[-1].term, self.log[-1].number) if self.log else (min(1, self.term), 0)

    def holds(self, request: str) -> bool:
        """Tell whether the log has the commit of a request."""
        return any(entry.request == request for entry in self.log)

    def rebuild(self) -> None:
        """Compute the items from the log."""
        self.items = {item: data for entry in self.log for item, data in entry.items}

    def commit(self, request: str, items: dict[str, str]) -> Entry:
        """Add a commit to the log of the primary."""
        made_at = asyncio.get_running_loop().time()
        number = self.position[1] + 1
        entry = Entry(self.term, number, request, tuple(items.items()), made_at)
        self.service.note(f"{self.name} commits {request} at {self.term}.{number}")
        self.log.append(entry)
        self.items.update(items)
        return entry

    def pull(self, primary: Database, now: float) -> None:
        """Take over what the primary has sent and what has arrived by now."""
        if self.term < primary.term:
            self.term = primary.term
        common = 0
        for mine, theirs in zip(self.log, primary.log, strict=False):
            if mine is not theirs:
                break
            common += 1
        if common < len(self.log):
            del self.log[common:]
            self.rebuild()
        for entry in primary.log[common:]:
            if entry.made_at + self.delay > now:
                break
            self.log.append(entry)
            self.items.update(entry.items)

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port), limit=MESSAGE_BYTES)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await _Connection(self, reader, writer).run()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def wait_until_lit(self, starts: int) -> None:
        """Wait while the database is dark.

        :param starts: number of starts when the connection was opened.
        :raises ConnectionResetError: it was started again since.
        """
        while self.is_dark:  # noqa: ASYNC110 - it is a plain flag
            await asyncio.sleep(0.01)
        if starts != self.starts:
            raise ConnectionResetError("the database was started again")

    def crash(self) -> None:
        """Crash; nothing answers at the address."""
        self.service.note(f"{self.name} goes dark at {_text(self.position)}")
        self.is_dark = True

    def come_back(self, *, is_empty: bool = False) -> None:
        """Start again with the log, as a replica if another database was promoted.

        :param is_empty: it starts as a replica that holds nothing of before.
        """
        self.starts += 1
        if is_empty:
            self.log, self.items, self.is_primary, self.term = [], {}, False, 0
        self.born = _unix_ms()
        self.sequence = itertools.count(1)
        self.is_known = False
        for writer in list(self.writers):
            writer.transport.abort()
        self.paused_term = 0
        if self.is_primary and any(other.term > self.term for other in self.service.databases):
            self.is_primary = False
        self.is_dark = False
        self.started.set()
        role = "primary" if self.is_primary else "replica"
        self.service.note(f"{self.name} is back as {role} at {_text(self.position)}")

    def stop(self) -> None:
        """Stop listening and end all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Service:
    """The databases of a service, their replication, heartbeats and promotion.

    :param controls: addresses that take heartbeats.
    :param beat_seconds: interval of the heartbeats.
    :param promote_seconds: time that a promotion takes.
    """

    def __init__(
        self,
        name: str,
        controls: list[str],
        note: Callable[[str], None],
        beat_seconds: float = 1.2,
        promote_seconds: float = 0.6,
    ) -> None:
        self.name = name
        self.note = note
        self.databases: list[Database] = []
        self.on_promoted: Callable[[Database], None] = lambda database: None
        self.acknowledged_drains: dict[str, float] = {}
        self._controls = controls
        self._beat_seconds = beat_seconds
        self._promote_seconds = promote_seconds
        self._tasks: list[asyncio.Task] = []

    @property
    def primary(self) -> Database:
        """Return the primary of the highest term."""
        return max((d for d in self.databases if d.is_primary), key=lambda d: d.term)

    def add(self, name: str, address: str, zone: str, **options: object) -> Database:
        """Add a database."""
        database = Database(self, name, address, zone, **options)
        self.databases.append(database)
        return database

    async def start(self) -> None:
        """Start all databases."""
        for database in self.databases:
            await database.start()
            self._tasks.append(asyncio.create_task(self._beat_forever(database)))
        self._tasks.append(asyncio.create_task(self._replicate()))

    async def stop(self) -> None:
        """Stop all databases."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for database in self.databases:
            database.stop()

    async def confirmed(self, primary: Database, entry: Entry) -> None:
        """Wait until a replica has received a commit."""
        while not any(  # noqa: ASYNC110 - a log has no event for its next commit
            other is not primary and not other.is_primary and entry in other.log[-200:]
            for other in self.databases
        ):
            await asyncio.sleep(PULL_SECONDS)

    def promote(self, name: str) -> bool:
        """Begin the promotion of a database; false when it does not run."""
        database = next((d for d in self.databases if d.name == name), None)
        if database is None or database.is_dark or database.state == "gone":
            return False
        if not database.is_primary:
            loop = asyncio.get_running_loop()
            loop.call_later(self._promote_seconds, self._lead, database)
        return True

    def _lead(self, database: Database) -> None:
        if database.is_dark or database.is_primary:
            return
        former = [other for other in self.databases if other.is_primary]
        database.term = max(other.term for other in self.databases) + 1
        database.is_primary, database.paused_term = True, 0
        self.note(f"{database.name} leads term {database.term} at {_text(database.position)}")
        self.on_promoted(database)
        for other in self.databases:
            if other is not database:
                other.paused_term = 0
        for other in former:
            self._tasks.append(asyncio.create_task(self._end_lead(other)))

    async def _end_lead(self, former: Database) -> None:
        """End the lead of a former primary a second after it can reach the new one."""
        await asyncio.sleep(NOTICE_SECONDS)
        if not former.is_dark:
            former.is_primary = False

    async def _replicate(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(PULL_SECONDS)
            running = [d for d in self.databases if not d.is_dark and d.state != "gone"]
            primary = max((d for d in running if d.is_primary), key=lambda d: d.term, default=None)
            if primary is None:
                continue
            for replica in running:
                if not replica.is_primary and not replica.paused_term:
                    replica.pull(primary, loop.time())

    async def _beat_forever(self, database: Database) -> None:
        """Send heartbeats at each start and at intervals, to the next node after a failure."""
        number = 0
        while True:
            database.started.clear()
            if not database.is_dark and database.state != "gone":
                for _ in self._controls:
                    control = self._controls[number % len(self._controls)]
                    if await self._beat(database, control):
                        break
                    number += 1
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._beat_seconds):
                    await database.started.wait()

    async def _beat(self, database: Database, control: str) -> bool:
        state = database.state
        body = {
            "service": self.name,
            "addr": database.address,
            "zone": database.zone,
            "version": "v1",
            "slots": 2,
            "state": state,
            "cold_left_ms": 0,
            "db_role": "primary" if database.is_primary else "replica",
            "seq_no": next(database.sequence),
            "born": database.born,
        }
        path = f"/-/Instances.Heartbeat/{database.name}"
        try:
            async with asyncio.timeout(BEAT_TIMEOUT_SECONDS):
                status, _ = await call(control, "POST", path, body)
        except (OSError, TimeoutError, ValueError):
            return False
        if 200 <= status < 300:
            if not database.is_known:
                database.is_known = True
                self.note(f"{control} acknowledged {database.name} born {database.born}")
            if state == "draining" and database.name not in self.acknowledged_drains:
                now = asyncio.get_running_loop().time()
                self.acknowledged_drains[database.name] = now
                self.note(f"{control} acknowledged that {database.name} is draining")
            return True
        return False


class _Connection:
    """One connection to a database."""

    def __init__(
        self, database: Database, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._database = database
        self._reader = reader
        self._writer = writer
        self._prepared: dict[str, list[str]] = {}
        self._state = "I"
        self._writes: dict[str, str] = {}
        self._term = 0
        self._is_read_only = False
        self._starts = database.starts
        self._former: list[str] = []

    async def run(self) -> None:
        """Answer messages until the connection ends."""
        while True:
            line = (await self._reader.readuntil(b"\r\n"))[:-2].decode()
            await self._database.wait_until_lit(self._starts)
            word, _, rest = line.partition(" ")
            if word == "STARTUP":
                service, _, name = rest.split(" ")
                if (service, name) != (self._database.service.name, self._database.name):
                    self._writer.write(b"ERROR WRONGNODE -\r\n")
                    return
                if len(self._database.writers) > MAX_CONNECTIONS:
                    self._writer.write(b"ERROR TOOMANY -\r\n")
                    return
                lines = []
            elif word == "QUERY":
                request, _, text = rest.partition(" ")
                lines = await self._answer(request, text)
                if request != "-":
                    name, outcome = self._database.name, lines[-1]
                    self._database.service.note(f"{name} ran {request} {text}: {outcome}")
                    lines = self._repetition() + lines
                    self._former = lines
            else:
                return
            await self._database.wait_until_lit(self._starts)
            lines.append(f"READY {self._state} {_text(self._database.position)}")
            self._writer.write("".join(f"{line}\r\n" for line in lines).encode())
            await self._writer.drain()

    def _repetition(self) -> list[str]:
        """Return the part of the former answer that comes a second time; usually none."""
        is_drawn = random.random() < self._database.stutter_share
        if not is_drawn or not self._former or not self._former[0].startswith("ROW "):
            return []
        self._database.service.note(f"{self._database.name} repeats {self._former[0]}, cut off")
        return self._former[:1]

    async def _answer(self, request: str, text: str) -> list[str]:
        verb, _, rest = text.partition(" ")
        after = None
        if verb == "AFTERLSN":
            required, _, text = rest.partition(" ")
            after = tuple(map(int, required.split(".")))
            verb, _, rest = text.partition(" ")
        if after is not None and self._database.position < after:
            return [f"ERROR LAGGING {self._database.name}"]
        if request != "-":
            await asyncio.sleep(self._database.work_seconds)
            await self._database.wait_until_lit(self._starts)
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self._prepared:
                return [f"ERROR NOSTMT {name}"]
            verb = self._prepared[name][0]
        if not self._allows(verb):
            return ["ERROR MALFORMED -"]
        return await getattr(self, f"_{verb.lower()}")(request, rest)

    def _allows(self, verb: str) -> bool:
        """Tell whether the state of the session allows a statement."""
        if self._state == "E":
            return verb in ("COMMIT", "ROLLBACK")
        if verb in ("BEGIN", "COMMIT", "ROLLBACK"):
            return (verb == "BEGIN") is (self._state == "I")
        return hasattr(self, f"_{verb.lower()}")

    @property
    def _leads(self) -> bool:
        return self._database.is_primary and self._database.term == self._term

    def _signed(self, request: str) -> str:
        return f"COMPLETE {self._database.name}.{request}"

    def _readonly(self) -> list[str]:
        if self._state == "T":
            self._state, self._writes = "E", {}
        return [f"ERROR READONLY {self._database.name}"]

    async def _read(self, request: str, rest: str) -> list[str]:
        if self._state == "T" and not self._is_read_only and not self._leads:
            return self._readonly()
        data = self._writes.get(rest, self._database.items.get(rest, "none"))
        return [f"ROW {data}", self._signed(request)]

    async def _write(self, request: str, rest: str) -> list[str]:
        item, _, data = rest.partition(" ")
        if self._state == "T":
            if not self._leads:
                return self._readonly()
            self._writes[item] = data
        elif not self._database.is_primary:
            return self._readonly()
        else:
            entry = self._database.commit(request, {item: data})
            await self._database.service.confirmed(self._database, entry)
        return [self._signed(request)]

    async def _begin(self, request: str, rest: str) -> list[str]:
        if rest != "READ" and not self._database.is_primary:
            return self._readonly()
        self._state, self._writes, self._term = "T", {}, self._database.term
        self._is_read_only = rest == "READ"
        return ["COMPLETE -"]

    async def _commit(self, request: str, rest: str) -> list[str]:
        state, writes = self._state, self._writes
        self._state, self._writes = "I", {}
        if state == "E":
            return ["ERROR ABORTED -"]
        if writes and not self._leads:
            return [f"ERROR READONLY {self._database.name}"]
        if writes:
            entry = self._database.commit(request, writes)
            await self._database.service.confirmed(self._database, entry)
        return [self._signed(request)]

    async def _rollback(self, request: str, rest: str) -> list[str]:
        self._state, self._writes = "I", {}
        return ["COMPLETE -"]

    async def _set(self, request: str, rest: str) -> list[str]:
        return ["COMPLETE -"]

    async def _prepare(self, request: str, rest: str) -> list[str]:
        name, mode, shape = rest.split(" ", 2)
        self._prepared[name] = [mode, shape]
        return ["COMPLETE -"]

    async def _reset(self, request: str, rest: str) -> list[str]:
        self._prepared.clear()
        return ["COMPLETE -"]

    async def _status(self, request: str, rest: str) -> list[str]:
        database = self._database
        database.asked_at = asyncio.get_running_loop().time()
        role = "primary" if database.is_primary else "replica"
        fields = (role, database.term, _text(database.position), database.paused_term, 0, 0)
        row = " ".join(map(str, fields))
        return [f"ROW {row} {len(database.writers)}", "COMPLETE -"]

    async def _pause(self, request: str, rest: str) -> list[str]:
        database = self._database
        if not database.is_primary and int(rest) > max(database.term, database.paused_term):
            database.paused_term = int(rest)
        return await self._status(request, rest)

    async def _resume(self, request: str, rest: str) -> list[str]:
        self._database.paused_term = 0
        return await self._status(request, rest)

    async def _stepdown(self, request: str, rest: str) -> list[str]:
        if self._database.is_primary and int(rest) > self._database.term:
            self._database.is_primary = False
        return await self._status(request, rest)


def _text(position: tuple[int, int]) -> str:
    return f"{position[0]}.{position[1]}"


def _unix_ms() -> int:
    return int(time.time() * 1000)


async def call(
    address: str, method: str, path: str, body: object | None = None, redirects: int = 0
) -> tuple[int, bytes]:
    """Make one HTTP call on a connection of its own and return status and body."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        data = json.dumps(body).encode() if body is not None else b""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n"
        )
        writer.write(head.encode() + data)
        answer = await reader.read()
        head_bytes, _, content = answer.partition(b"\r\n\r\n")
        status = int(head_bytes.split(b" ", 2)[1])
        if status == 307 and redirects < MAX_REDIRECTS:
            location = next(
                line.split(b":", 1)[1].strip().decode()
                for line in head_bytes.split(b"\r\n")
                if line.lower().startswith(b"location:")
            )
            target = location.removeprefix("http://")
            return await call(
                target.partition("/")[0], method, f"/{target.partition('/')[2]}", body
            )
        return status, content
    except (IndexError, StopIteration) as error:
        raise ValueError("no HTTP answer") from error
    finally:
        writer.close()
