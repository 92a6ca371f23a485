"""In-process and subprocess stand-ins for tests."""

from __future__ import annotations

import asyncio
import sys
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from hibiscuspoint.drivers import StandinDriver
from hibiscuspoint.drivers.standin import StandinDriverConfig
from hibiscuspoint.standin.config import StandinConfig
from hibiscuspoint.standin.faults import Faults
from hibiscuspoint.standin.server import StandinServer
from hibiscuspoint.standin.values import to_statement
from hibiscuspoint.wire import target_pb2

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable
    from pathlib import Path

    from hibiscuspoint.drivers.answer import RunResult
    from hibiscuspoint.drivers.connection import StandinConnection
    from hibiscuspoint.security import TlsFiles

__all__ = ["CREATE", "Cluster", "insert", "open_cluster", "run", "spawn", "texts", "until"]

#: Generous deadline in seconds; no test passes or fails by speed.
DEADLINE_S = 30.0
CREATE = to_statement("CREATE TABLE t (id INTEGER PRIMARY KEY, v TEXT)")
SELECT = to_statement("SELECT v FROM t ORDER BY id")


class Cluster:
    """Stand-ins by target id and a driver for them.

    :param tls: certificate files of the driver; ``None`` for plain text.
    """

    def __init__(self, directory: Path, tls: TlsFiles | None = None) -> None:
        self._directory = directory
        self.servers: dict[str, StandinServer] = {}
        # The longer silence keeps a busy machine from being taken for a dead connection.
        self.driver = StandinDriver.from_config(
            StandinDriverConfig(
                connect_timeout=DEADLINE_S,
                ping_delay_seconds=0.1,
                silence_timeout_seconds=2.0,
                tls=tls,
            )
        )
        self.connections: list[StandinConnection] = []

    async def start(self, target: str, listen: str = "127.0.0.1:0", **config: object) -> None:
        """Start a stand-in in this process."""
        settings = StandinConfig(
            target, "g", "z", listen, self._directory / target, connect_delay=0.0, **config
        )
        faults = Faults(ship_delay=settings.ship_delay, service_time=settings.service_time)
        self.servers[target] = StandinServer(settings, faults)
        await self.servers[target].start()

    async def stop(self, target: str) -> str:
        """Stop a stand-in; return its address."""
        server = self.servers.pop(target)
        await server.stop()
        return server.address

    async def promote(self, target: str, term: int) -> bool:
        """Make a stand-in primary of all."""
        members = [target_pb2.Member(target=t, address=s.address) for t, s in self.servers.items()]
        address = self.servers[target].address
        reply = await self.driver.admin.promote(address, term, members, timeout=DEADLINE_S)
        return reply.accepted

    async def seal(self, target: str, term: int) -> target_pb2.SealReply:
        """Seal a stand-in."""
        address = self.servers[target].address
        return await self.driver.admin.seal(address, term, timeout=DEADLINE_S)

    async def connect(self, target: str, instance: str = "i", incarnation: int = 1):
        """Open a connection that is closed with the cluster."""
        connection = await self.driver.connect(
            target,
            self.servers[target].address,
            instance=instance,
            instance_incarnation=incarnation,
        )
        self.connections.append(connection)
        return connection

    async def set_fault(self, target: str, **settings: object) -> None:
        """Set switches of a stand-in."""
        await self.servers[target].SetFault(target_pb2.FaultSettings(**settings), None)

    async def close(self) -> None:
        """Stop everything."""
        for connection in self.connections:
            connection.close()
        await self.driver.close()
        for target in list(self.servers):
            await self.stop(target)


@asynccontextmanager
async def open_cluster(
    directory: Path, *targets: str, driver_tls: TlsFiles | None = None, **config: object
) -> AsyncIterator[Cluster]:
    """Start stand-ins and stop them afterwards."""
    cluster = Cluster(directory, driver_tls)
    try:
        for target in targets:
            await cluster.start(target, **config)
        yield cluster
    finally:
        await cluster.close()


async def spawn(target: str, directory: Path) -> tuple[asyncio.subprocess.Process, str]:
    """Start a stand-in process; return it and its address."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "hibiscuspoint.standin", "--target", target, "--group", "g"),
        *("--zone", "z", "--listen", "127.0.0.1:0", "--data-directory", str(directory)),
        stdout=asyncio.subprocess.PIPE,
    )
    line = await asyncio.wait_for(process.stdout.readline(), DEADLINE_S)
    return process, line.decode().split()[-1]


def insert(key: int, text: str = "x") -> object:
    """Return an insert statement."""
    return to_statement("INSERT INTO t VALUES (?, ?)", key, text)


async def run(connection: StandinConnection, *statements: object, **flags: object) -> RunResult:
    """Run statements with a generous timeout."""
    return await connection.run(
        target_pb2.Run(statements=statements, **flags), DEADLINE_S, expected=0.0
    )


async def texts(connection: StandinConnection, term: int = 0) -> list[str]:
    """Return the texts of the test table."""
    result = await run(connection, SELECT, read_only=True, term=term)
    return [row.values[0].text for row in result.results[0].rows]


async def until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(DEADLINE_S):
        while not condition():  # noqa: ASYNC110 - conditions have no event
            await asyncio.sleep(0.005)
