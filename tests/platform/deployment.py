"""Instances of the platform as real processes on loopback addresses."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
import uuid
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp

from tests.platform.builders import configuration_fields, route_fields, settings_fields
from tests.platform.standin import StandinDatabase, StandinPlatform

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

__all__ = [
    "DATABASE",
    "OTHER_DATABASE",
    "OTHER_SERVICE",
    "SERVICE",
    "Client",
    "Deployment",
    "deployment",
    "native_modules",
]

SERVICE = "huvo11a"
DATABASE = "lepu270"

#: A second service and its database.
OTHER_SERVICE = "kafi81c"
OTHER_DATABASE = "fiti832"

#: Number of the address of the platform and its databases; those of instances are lower.
PLATFORM_NUMBER = 250

#: Longest time in seconds to wait for a state that must come.
PATIENCE_SECONDS = 40.0

#: Seconds between two looks.
LOOK_SECONDS = 0.05


class Client:
    """One session of a caller."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._name = uuid.uuid4().hex[:12]
        self._count = 0
        self.last_id = ""

    @classmethod
    async def open(cls, address: str, database: str = DATABASE, key: str = "test") -> Client:
        """Open a session; raises ``ConnectionError`` when it is refused."""
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        client = cls(reader, writer)
        writer.write(f"STARTUP {database} {key}\r\n".encode())
        answer = await client._answer()
        if not answer[-1].startswith("READY"):
            raise ConnectionError(answer[-1])
        return client

    async def run(self, text: str) -> list[str]:
        """Run a statement and return the messages of its answer."""
        self._count += 1
        self.last_id = f"{self._name}{self._count:x}"
        self._writer.write(f"QUERY {self.last_id} {text}\r\n".encode())
        return await self._answer()

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def wait_for_end(self) -> bytes:
        """Return what the instance sends until it closes the connection."""
        async with asyncio.timeout(PATIENCE_SECONDS):
            return await self._reader.read()

    async def _answer(self) -> list[str]:
        messages: list[str] = []
        async with asyncio.timeout(PATIENCE_SECONDS):
            while not messages or not messages[-1].startswith("READY"):
                try:
                    message = await self._reader.readuntil(b"\r\n")
                except asyncio.IncompleteReadError:
                    raise ConnectionError(messages[-1] if messages else "closed") from None
                messages.append(message[:-2].decode())
        return messages


def native_modules(pid: int | str) -> set[str]:
    """Return the names of the shared objects of Python that a process has mapped."""
    paths = {line.split()[-1] for line in Path(f"/proc/{pid}/maps").read_text().splitlines()}
    return {Path(path).name for path in paths if ".so" in path and "python" in path}


class Deployment:
    """Instances, of which at most the first three have a disk, and services of three databases.

    :param network: second and third octet of the loopback addresses, unique to the test.
    :param connections: connections that a database accepts, as the configuration states it; with
        four, two of the instances hold them and lend them to the third one.
    :param has_other: whether there is a second service.
    :param instances: number of instances, at least three.
    """

    def __init__(
        self,
        directory: Path,
        network: str,
        disks: int = 3,
        connections: int = 16,
        *,
        has_other: bool = False,
        instances: int = 3,
    ) -> None:
        self._directory = directory
        self._network = network
        self._disks = disks
        self._connections = connections
        self.instances = instances
        self._processes: dict[int, subprocess.Popen] = {}
        self._version = 7
        controls = [f"{self._ip(number)}:8782" for number in range(3)]
        others = (OTHER_SERVICE,) if has_other else ()
        self.platform = StandinPlatform(
            f"{self._ip(PLATFORM_NUMBER)}:8783", SERVICE, controls, others
        )
        #: Where instances reach the platform, if not at its own address.
        self.platform_addresses: dict[int, str] = {}

    @property
    def platform_address(self) -> str:
        """Return "ip:port" of the promotion call."""
        return f"{self._ip(PLATFORM_NUMBER)}:8783"

    @property
    def leader(self) -> int | None:
        """Return the instance that gained the lead of control last."""
        gained = [
            (event["time"], number)
            for number in range(self.instances)
            for event in self.events(number)
            if event.get("event") == "leadership-gained"
        ]
        return max(gained)[1] if gained else None

    async def start(self, announce: Callable[[str], str] = lambda address: address) -> None:
        """Start databases and instances and wait until all instances are ready.

        :param announce: returns the address that the heartbeats of a database state.
        """
        count = 3 * len(self.platform.services)
        addresses = [f"{self._ip(PLATFORM_NUMBER)}:{9000 + number}" for number in range(count)]
        await self.platform.start(addresses, announce)
        for number in range(self.instances):
            self.start_instance(number, bootstrap=True, seeds=tuple(range(self._disks)))
        await self.configure()
        await self.wait_until_ready()

    async def stop(self) -> None:
        """Stop everything that this deployment started."""
        for process in self._processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        await self.platform.stop()

    def start_instance(
        self, number: int, *, bootstrap: bool = False, seeds: tuple[int, ...] = (0, 1, 2)
    ) -> None:
        """Start the process of an instance."""
        self.write_settings(number, bootstrap=bootstrap, seeds=seeds)
        output = (self._directory / f"log-{number}").open("ab")
        self._processes[number] = subprocess.Popen(
            [sys.executable, "-m", "hibiscuspoint.platform"],
            env={**os.environ, "HIBISCUSPOINT_BOOT": str(self._settings_path(number))},
            stdout=output,
            stderr=output,
        )
        output.close()

    def write_settings(
        self, number: int, *, bootstrap: bool = False, seeds: tuple[int, ...] = (0, 1, 2)
    ) -> None:
        """Write the settings file of an instance."""
        ip = self._ip(number)
        data = self._directory / f"data-{number}"
        fields = settings_fields(
            node_name=f"instance-{number}",
            ip=ip,
            listen={"frontend": f"{ip}:8784", "ready": f"{ip}:8785", "control_addr": f"{ip}:8782"},
            seeds=[f"{self._ip(seed)}:8782" for seed in seeds],
            bootstrap=bootstrap,
            data_dir=str(data) if number < self._disks else None,
            fault_budget={"machines": 1 if self._disks == 3 else 0},
            cloud_api={"addr": self.platform_addresses.get(number, self.platform_address)},
        )
        self._settings_path(number).write_text(json.dumps(fields))

    def send_signal(self, number: int, which: signal.Signals) -> None:
        """Send a signal to an instance."""
        self._processes[number].send_signal(which)

    def wait(self, number: int) -> int:
        """Wait for the end of an instance and return its status."""
        return self._processes[number].wait(timeout=PATIENCE_SECONDS)

    def libraries(self, number: int) -> set[str]:
        """Return the names of the native modules that an instance has loaded."""
        return native_modules(self._processes[number].pid)

    def callers_address(self, number: int) -> str:
        """Return where callers reach an instance."""
        return f"{self._ip(number)}:8784"

    def events(self, number: int) -> list[dict[str, object]]:
        """Return the log events of an instance."""
        lines = (self._directory / f"log-{number}").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def log_text(self, number: int) -> str:
        """Return the whole log of an instance."""
        return (self._directory / f"log-{number}").read_text()

    async def wait_until_refused(self, numbers: tuple[int, ...], key: str) -> None:
        """Wait until instances refuse a key."""

        async def is_refused(session: aiohttp.ClientSession, number: int) -> bool:
            try:
                (await Client.open(self.callers_address(number), key=key)).close()
            except ConnectionError as error:
                return "NOAUTH" in str(error)
            return False

        for number in numbers:
            await self._until(lambda session, number=number: is_refused(session, number))

    async def configure(self, **changes: object) -> None:
        """Submit the next configuration until it is accepted."""
        fields = {**self._next_configuration(), **changes}
        await self._until(lambda session: self._submit(session, fields))

    async def read_configuration(self) -> dict[str, object]:
        """Return the configuration in force, from any instance."""
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=2.0)) as session:
            for number in range(3):
                url = f"http://{self._ip(number)}:8782/-/Config.Get"
                with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                    async with session.get(url) as response:
                        if response.ok:
                            return await response.json()
        raise ConnectionError("no instance returned the configuration")

    async def wait_until_ready(self) -> None:
        """Wait until all instances are ready and serve a write."""
        for number in range(self.instances):
            await self._until(lambda session, number=number: self._is_ready(session, number))
            await self.serve(number)

    async def serve(
        self, number: int, text: str = "WRITE probe 1", database: str = DATABASE
    ) -> list[str]:
        """Run a statement through an instance until it succeeds, and return the answer."""
        deadline = asyncio.get_running_loop().time() + PATIENCE_SECONDS
        while True:
            try:
                client = await Client.open(self.callers_address(number), database)
                answer = await client.run(text)
                client.close()
                if not answer[-2].startswith("ERROR"):
                    return answer
            except (ConnectionError, OSError):
                answer = ["no connection"]
            if asyncio.get_running_loop().time() > deadline:
                raise AssertionError(f"not served: {answer}")
            await asyncio.sleep(LOOK_SECONDS)

    async def wait_for_another_primary(self, old: StandinDatabase) -> None:
        """Wait until another database than ``old`` leads."""

        async def has_changed(session: aiohttp.ClientSession) -> bool:
            return self.platform.primary is not old

        await self._until(has_changed)

    async def submit(self) -> int | None:
        """Submit the next configuration once; return its version if it was acknowledged."""
        fields = self._next_configuration()
        version = self._version
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=2.0)) as session:
            return version if await self._submit(session, fields) else None

    def _next_configuration(self) -> dict[str, object]:
        self._version += 1
        services = [
            {"name": name, "max_conns": self._connections, "sync_replicas": 1}
            for name in self.platform.services
        ]
        routes = [route_fields(), route_fields(name="r-2", host="strict", kind="primary")]
        if OTHER_SERVICE in self.platform.services:
            other = {"host": OTHER_DATABASE, "service": OTHER_SERVICE, "kind": "primary"}
            routes.append(route_fields(name="r-3", **other))
        return configuration_fields(version=self._version, routes=routes, services=services)

    async def _until(self, attempt) -> None:
        deadline = asyncio.get_running_loop().time() + PATIENCE_SECONDS
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=2.0)) as session:
            while asyncio.get_running_loop().time() < deadline:
                with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                    if await attempt(session):
                        return
                await asyncio.sleep(LOOK_SECONDS)
        raise AssertionError("the state did not come in time")

    async def _submit(self, session: aiohttp.ClientSession, fields: dict[str, object]) -> bool:
        for number in range(3):
            url = f"http://{self._ip(number)}:8782/-/Config.Put"
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                async with session.post(url, json=fields) as response:
                    if response.ok:
                        return True
        return False

    async def _is_ready(self, session: aiohttp.ClientSession, number: int) -> bool:
        async with session.get(f"http://{self._ip(number)}:8785/-/readyz") as response:
            return response.ok

    def _ip(self, number: int) -> str:
        return f"127.{self._network}.{number + 1}"

    def _settings_path(self, number: int) -> Path:
        return self._directory / f"settings-{number}.json"


@contextlib.asynccontextmanager
async def deployment(directory: Path, network: str, disks: int = 3) -> AsyncIterator[Deployment]:
    """Run a deployment for a test."""
    running = Deployment(directory, network, disks)
    try:
        await running.start()
        yield running
    finally:
        await running.stop()
