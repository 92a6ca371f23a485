"""A stand-in of the platform: databases that announce themselves, and the promotion call.

``PAUSE`` with a term that is not above the newest one of a database is answered and ignored. A read
is answered with the value of its item and, as a second row, with its id.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from tests.platform.standin_connection import StandinConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.platform.standin_connection import Run, Stutter

__all__ = ["StandinDatabase", "StandinPlatform"]

#: Maximum length of a message in bytes.
MESSAGE_BYTES = 1_048_576

#: Seconds between two heartbeats of a database.
HEARTBEAT_SECONDS = 0.3

#: Seconds that a promotion takes.
PROMOTION_SECONDS = 0.2

#: Seconds until a database that starts without a log has that of the primary.
COPY_SECONDS = 0.5

#: Seconds after a promotion until a former primary that runs notices it.
NOTICE_SECONDS = 1.0


@dataclass(eq=False)
class StandinDatabase:
    """One database; commits reach at once the replicas that run and follow it.

    :param announced: address that heartbeats state; ``address`` by default.
    :param service: name of its service.
    :param born: start of its process, as heartbeats state it.
    :param is_deaf: whether it receives no commits.
    :param is_copying: whether it has started without a log and does not have it yet.
    :param is_isolated: whether it is cut off from the databases that are not.
    :param writes: ids of the writes that took effect, in order.
    :param runs: callers that the startup messages named, with each statement of their connections.
    :param executed: statements of callers that ran here.
    :param work_seconds: time until a message is answered.
    :param busy_share: share of the reads and writes outside transactions that are refused.
    :param stutter: which answers are sent a second time; none by default.
    """

    platform: StandinPlatform
    name: str
    address: str
    is_primary: bool = False
    is_running: bool = True
    paused_term: int = 0
    service: str = ""
    born: int = 1
    is_deaf: bool = False
    is_copying: bool = False
    is_isolated: bool = False
    announced: str = ""
    state: str = "ready"
    term: int = 1
    index: int = 0
    items: dict[str, str] = field(default_factory=dict)
    writes: list[str] = field(default_factory=list)
    statements: list[str] = field(default_factory=list)
    runs: list[tuple[str, str]] = field(default_factory=list)
    executed: list[Run] = field(default_factory=list)
    work_seconds: float = 0.0
    busy_share: float = 0.0
    stutter: Stutter | None = None
    source: random.Random = field(default_factory=lambda: random.Random(1))
    server: asyncio.Server | None = None
    connections: set[asyncio.StreamWriter] = field(default_factory=set)

    @property
    def is_busy(self) -> bool:
        """Draw whether a read or write outside a transaction is refused."""
        return self.source.random() < self.busy_share

    @property
    def members(self) -> list[StandinDatabase]:
        """Return the databases of the same service."""
        return [other for other in self.platform.databases if other.service == self.service]

    @property
    def replicas(self) -> list[StandinDatabase]:
        """Return the other databases that receive commits."""
        return [
            other
            for other in self.members
            if other is not self
            and other.is_running
            and not other.paused_term
            and not other.is_deaf
            and not other.is_copying
            and other.is_isolated is self.is_isolated
            and other.term == self.term
        ]

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port), limit=MESSAGE_BYTES)
        self.is_running = True

    async def restart(self) -> None:
        """Start again with the log that it had; as a replica if another one was promoted."""
        newest = max(self.members, key=lambda database: database.term)
        if newest.term > self.term:
            self.follow(newest)
        self.paused_term = 0
        self.born += 1
        await self.start()

    async def restart_empty(self) -> None:
        """Start again with nothing of before, and copy the log of the primary after a while."""
        self.is_primary, self.term, self.index, self.paused_term = False, 0, 0, 0
        self.items, self.writes = {}, []
        self.born += 1
        self.is_copying = True
        await self.start()
        while self.is_copying:
            await asyncio.sleep(COPY_SECONDS)
            primaries = [d for d in self.members if d.is_primary and d.is_running]
            primary = max(primaries, key=lambda d: d.term, default=None)
            may_copy = self.is_running and not self.paused_term and not self.is_deaf
            if primary is not None and may_copy and primary.is_isolated is self.is_isolated:
                self.follow(primary)
                self.is_copying = False

    def follow(self, primary: StandinDatabase) -> None:
        """Become a replica of a primary, with its log."""
        self.is_primary = False
        self.term, self.index = primary.term, primary.index
        self.items, self.writes = dict(primary.items), list(primary.writes)

    async def crash(self) -> None:
        """Stop at once."""
        self.is_running = False
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def commit(self, items: dict[str, str], ids: list[str]) -> bool:
        """Apply writes here and at the replicas; false when no replica receives them."""
        replicas = self.replicas
        if not replicas:
            return False
        self.index += 1
        self.items.update(items)
        self.writes.extend(ids)
        for replica in replicas:
            replica.follow(self)
        return True

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        connection = StandinConnection(self)
        repetitions: set[asyncio.Task] = set()
        try:
            while True:
                message = await reader.readuntil(b"\r\n")
                await asyncio.sleep(self.work_seconds)
                answer = connection.answer(message[:-2].decode())
                if answer is None:
                    continue
                writer.write(answer.encode())
                if self.stutter is not None:
                    task = asyncio.create_task(self.stutter.repeat(answer.encode(), writer))
                    repetitions.add(task)
                    task.add_done_callback(repetitions.discard)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            for task in repetitions:
                task.cancel()
            self.connections.discard(writer)
            writer.close()


class StandinPlatform:
    """Databases of services, their heartbeats, and the promotion call.

    :param address: "ip:port" of the promotion call.
    :param service: name of the service.
    :param controls: addresses that take heartbeats.
    :param others: names of further services.
    """

    def __init__(
        self, address: str, service: str, controls: list[str], others: tuple[str, ...] = ()
    ) -> None:
        self._address = address
        self._services = (service, *others)
        self._controls = controls
        self._runner: web.AppRunner | None = None
        self._task: asyncio.Task | None = None
        self._sequence = itertools.count(1)
        self.databases: list[StandinDatabase] = []
        self.promotions: list[tuple[str, int]] = []
        #: Called with the service, the holder and the token of each request as it arrives, and
        #: with each database as its promotion takes effect.
        self.on_request: Callable[[str, str, int], None] = lambda service, holder, token: None
        self.on_lead: Callable[[StandinDatabase], None] = lambda database: None
        #: Keys of callers, and the messages to databases that contained one.
        self.keys: set[str] = set()
        self.leaks: list[str] = []

    @property
    def primary(self) -> StandinDatabase:
        """Return the running primary of the highest term of the first service."""
        return self.primary_of(self._services[0])

    @property
    def services(self) -> tuple[str, ...]:
        """Return the names of the services."""
        return self._services

    def primary_of(self, service: str) -> StandinDatabase:
        """Return the running primary of the highest term of a service."""
        running = [d for d in self.databases if d.service == service and d.is_running]
        return max((d for d in running if d.is_primary), key=lambda database: database.term)

    def check_for_keys(self, line: str) -> None:
        """Record a message to a database that contains the key of a caller."""
        if any(key in line for key in self.keys):
            self.leaks.append(line)

    async def start(
        self, addresses: list[str], announce: Callable[[str], str] = lambda address: address
    ) -> None:
        """Start one database for each address; the first one of each service is the primary.

        :param announce: returns the address that heartbeats state.
        """
        size = len(addresses) // len(self._services)
        for number, address in enumerate(addresses):
            database = StandinDatabase(
                self,
                f"i-{number}",
                address,
                is_primary=number % size == 0,
                service=self._services[number // size],
            )
            database.announced = announce(address)
            self.databases.append(database)
            await database.start()
        app = web.Application()
        app.router.add_post("/promote", self._promote)
        self._runner = web.AppRunner(app)
        await self._runner.setup()
        host, _, port = self._address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()
        self._task = asyncio.create_task(self._beat_forever())

    async def stop(self) -> None:
        """Stop everything."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for database in self.databases:
            if database.is_running and database.server is not None:
                await database.crash()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _promote(self, request: web.Request) -> web.Response:
        body = await request.json()
        token = int(request.headers["X-Hibiscuspoint-Fencing-Token"])
        self.promotions.append((body["id"], token))
        self.on_request(body["service"], request.headers["X-Hibiscuspoint-Lease-Holder"], token)
        database = next((d for d in self.databases if d.name == body["id"]), None)
        if database is None or not database.is_running:
            return web.Response(status=409)
        if not database.is_primary:
            asyncio.get_running_loop().call_later(PROMOTION_SECONDS, self._lead, database)
        return web.Response()

    def _lead(self, database: StandinDatabase) -> None:
        if not database.is_running:
            return
        self.on_lead(database)
        term = max(other.term for other in database.members) + 1
        database.is_primary, database.paused_term, database.term = True, 0, term
        loop = asyncio.get_running_loop()
        for other in database.members:
            if other is database or not other.is_running:
                continue
            if other.is_primary:
                loop.call_later(NOTICE_SECONDS, self._notice, other)
            elif not other.is_deaf and other.is_isolated is database.is_isolated:
                other.paused_term = 0
                other.follow(database)

    def _notice(self, former: StandinDatabase) -> None:
        newest = max(former.members, key=lambda database: database.term)
        if former.is_isolated is not newest.is_isolated:
            asyncio.get_running_loop().call_later(NOTICE_SECONDS, self._notice, former)
        elif former.is_running and newest.term > former.term:
            former.follow(newest)

    async def _beat_forever(self) -> None:
        limit = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=limit) as session:
            while True:
                for database in self.databases:
                    if database.is_running:
                        await self._beat(session, database)
                await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _beat(self, session: aiohttp.ClientSession, database: StandinDatabase) -> None:
        body = {
            "service": database.service,
            "addr": database.announced or database.address,
            "zone": "zone-a",
            "slots": 2,
            "state": database.state,
            "db_role": "primary" if database.is_primary else "replica",
            "seq_no": next(self._sequence),
            "born": database.born,
        }
        for control in self._controls:
            url = f"http://{control}/-/Instances.Heartbeat/{database.name}"
            try:
                async with session.post(url, json=body) as response:
                    if response.ok:
                        return
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue
