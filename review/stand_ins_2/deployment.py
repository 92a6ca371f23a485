"""Instances as real processes, the platform's promotion call, and sessions of clients."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path
from typing import TYPE_CHECKING

from review.stand_ins_2.databases import MAX_CONNECTIONS, Service, call

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from types import TracebackType

__all__ = [
    "DATABASE",
    "SERVICE",
    "CannotRunError",
    "Client",
    "Deployment",
    "Record",
    "finish",
    "play",
]

SERVICE = "huvo11a"

#: Names of the databases on routes of each kind.
DATABASE = {"primary": "lepu270", "read_your_writes": "fiti832", "bounded_staleness": "xapu221"}

#: Signals that end a script.
_END_SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)

#: Longest time in seconds until all instances serve.
START_SECONDS = 40.0


class CannotRunError(Exception):
    """The case could not be set up."""


def _end(number: int, frame: object) -> None:
    """End the script and with it all processes that it started.

    ``timeout`` sends its signal twice; the second one must not interrupt the end of the processes.
    """
    for ignored in _END_SIGNALS:
        signal.signal(ignored, signal.SIG_IGN)
    sys.exit(2)


def play(case: Callable[[Path, bool], Awaitable[int]]) -> int:
    """Play a case in the folder of the first argument and return the exit status of its script.

    :param case: gets the folder and whether to bring the disruption about; returns 1 if the rule
        was broken and 0 if it held.
    """
    for number in _END_SIGNALS:
        signal.signal(number, _end)
    try:
        return asyncio.run(case(Path(sys.argv[1]), os.environ.get("TROUBLE") != "0"))
    except Exception as error:
        # Status 1 is only for a broken rule, not for an error of the script.
        traceback.print_exc()
        print(f"the case did not run: {error!r}")
        return 2


async def finish(tasks: list[asyncio.Task[None]]) -> None:
    """End the clients.

    :raises CannotRunError: one of them had ended with an error of the script.
    """
    for task in tasks:
        task.cancel()
    for result in await asyncio.gather(*tasks, return_exceptions=True):
        if not isinstance(result, asyncio.CancelledError):
            raise CannotRunError(f"a client ended by itself: {result!r}")


class Record:
    """The file ``record.txt`` of a case: what was sent, answered and run, with times."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._started:9.3f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Client:
    """One session of a client.

    :param name: name in the record.
    """

    _numbers = itertools.count(1)

    def __init__(self, record: Record, name: str) -> None:
        self._record = record
        self._name = name
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.request = ""
        self.sent_at = 0.0

    async def open(self, address: str, database: str) -> None:
        """Open the session; raises ``ConnectionError`` when it is refused."""
        host, _, port = address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))
        self._writer.write(f"STARTUP {database} {self._name}\r\n".encode())
        answer = await self._answer()
        if not answer[-1].startswith("READY"):
            raise ConnectionError(answer[-1])

    async def run(self, text: str) -> list[str]:
        """Run a statement and return the messages of its answer."""
        self.request = f"{self._name}-{next(self._numbers):x}"
        self.sent_at = asyncio.get_running_loop().time()
        self._record.note(f"{self._name} sends {self.request} {text}")
        self._writer.write(f"QUERY {self.request} {text}\r\n".encode())
        answer = await self._answer()
        self._record.note(f"{self._name} gets {self.request} {' | '.join(answer)}")
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()

    async def _answer(self) -> list[str]:
        messages: list[str] = []
        while not messages or not messages[-1].startswith("READY"):
            try:
                messages.append((await self._reader.readuntil(b"\r\n"))[:-2].decode())
            except asyncio.IncompleteReadError:
                raise ConnectionError(messages[-1] if messages else "closed") from None
        return messages


class Deployment:
    """Instances, of which the first three have a disk, and one service of three databases.

    :param instances: number of instances.
    :param bounds: values of the bounds in the settings.
    """

    def __init__(self, folder: Path, instances: int = 5, **options: object) -> None:
        self.record = Record(folder / "record.txt")
        self.note = self.record.note
        self.instances = instances
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._network = _free_network()
        self._processes: dict[int, subprocess.Popen] = {}
        self._platform: asyncio.Server | None = None
        self._version = 0
        self._txn_idle_ms = options.pop("txn_idle_ms", 3000)
        controls = [f"{self._ip(number)}:8782" for number in range(3)]
        self.controls = controls
        self.service = Service(SERVICE, controls, self.note, **options)
        for number in range(3):
            self.service.add(
                f"i-{number}",
                f"{self._ip(99)}:{9000 + number}",
                _zone(number),
                is_primary=not number,
            )

    async def __aenter__(self) -> Deployment:
        try:
            await self._start()
        except BaseException:
            await self._stop()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._stop()

    def front(self, number: int) -> str:
        """Return where clients reach an instance."""
        return f"{self._ip(number)}:8784"

    def start_instance(self, number: int, *, is_first: bool = False) -> None:
        """Start the process of an instance with the command of the deploy file."""
        ip = self._ip(number)
        path = self._folder / f"settings-{number}.json"
        path.write_text(json.dumps(self._settings(number, ip, is_first=is_first)))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= {
            "PYTHONPATH": os.pathsep.join(["target/deps", "."]),
            "HIBISCUSPOINT_BOOT": str(path),
            "SSL_CERT_FILE": "/dev/null",
            "SSL_CERT_DIR": "/dev/null",
        }
        with (self._folder / f"log-{number}").open("ab") as log:
            self._processes[number] = subprocess.Popen(
                [sys.executable, "-m", "hibiscuspoint.platform"],
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.note(f"instance {number} starts")

    def send_signal(self, number: int, which: signal.Signals) -> None:
        """Send a signal to the process of an instance."""
        self.note(f"instance {number} gets {which.name}")
        self._processes[number].send_signal(which)

    def kill(self, number: int) -> None:
        """Kill an instance and wait for its end."""
        self.send_signal(number, signal.SIGKILL)
        self._processes[number].wait()

    def events(self, number: int) -> list[dict[str, object]]:
        """Return the log events of an instance."""
        lines = (self._folder / f"log-{number}").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    @property
    def leader(self) -> int:
        """Return the instance that gained the lead of control last."""
        return max(
            (event["time"], number)
            for number in range(3)
            for event in self.events(number)
            if event.get("event") == "leadership-gained"
        )[1]

    def keep_logs(self, folder: Path) -> None:
        """Copy the logs of the instances into a folder."""
        for path in self._folder.glob("log-*"):
            shutil.copy(path, folder / f"{path.name}.txt")

    async def configure(self) -> None:
        """Submit the next configuration until it is acknowledged."""
        self._version += 1
        body = self._configuration()
        for number in itertools.count():
            try:
                async with asyncio.timeout(1.0):
                    control = self.controls[number % 3]
                    status, _ = await call(control, "POST", "/-/Config.Put", body)
                if status == 200:
                    self.note(f"configuration {self._version} is acknowledged")
                    return
            except (OSError, TimeoutError, ValueError):
                pass
            await asyncio.sleep(0.05)

    def _configuration(self) -> dict[str, object]:
        routes = [
            {
                "name": f"r-{kind}",
                "host": database,
                "path_prefix": "/",
                "kind": kind,
                "timeout_ms": 1000,
                "slo_ms": 200,
                "priority": 1,
                "service": SERVICE,
                "max_attempts": 2,
                "max_staleness_ms": 0 if kind == "primary" else 1500,
            }
            for kind, database in DATABASE.items()
        ]
        service = {
            "name": SERVICE,
            "health_path": "/healthz",
            "max_conns": MAX_CONNECTIONS,
            "protocol": "h1",
            "tls": False,
            "sync_replicas": 1,
        }
        limits = {"idle_timeout_ms": 15000, "txn_idle_ms": self._txn_idle_ms}
        return {
            "version": self._version,
            "routes": routes,
            "services": [service],
            "limits": limits,
        }

    def _settings(self, number: int, ip: str, *, is_first: bool) -> dict[str, object]:
        data = self._folder / f"data-{number}"
        return {
            "node_name": f"frontend-{number}",
            "role": "instance",
            "machine_class": "frontend",
            "serves": ["frontend", "control"],
            "ip": ip,
            "zone": _zone(number),
            "region": "r",
            "zones": {_zone(index): "r" for index in range(3)},
            "listen": {
                "frontend": f"{ip}:8784",
                "ready": f"{ip}:8785",
                "control_addr": f"{ip}:8782",
            },
            "internal_ports": [7440, 7455],
            "seeds": self.controls,
            "bootstrap": is_first,
            "in_tolerance": number < 3,
            "limits": {"cpu_share": 0.968, "cores": 2, "memory_mb": 300, "max_fds": 4200},
            "data_dir": str(data) if number < 3 else None,
            "discovery": "registry",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "sql"],
            "fault_budget": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {
                "seed_lag_s": 3,
                "reuse_after_s": 2,
                "stable_ms": 4000,
                "ack_ms": 5000,
                "catch_up_s": 4,
                "drain_ms": 7000,
                "grace_s": 6,
                "loss_slack_ms": 200,
                "config_apply_ms": 3000,
                "downgrade_ms": 250,
                "outer_ms": 12000,
                "recovery_s": 12,
                "fencing": False,
                "thaw_ms": 300,
            },
            "config_mode": "highest",
            "cloud_api": {
                "addr": f"{self._ip(99)}:8783",
                "rate_per_s": 50.0,
                "duties": ["failover"],
                "duty_per_s": 50.0,
            },
        }

    async def _start(self) -> None:
        host = self._ip(99)
        self._platform = await asyncio.start_server(self._serve_platform, host, 8783)
        await self.service.start()
        for number in range(self.instances):
            self.start_instance(number, is_first=True)
        try:
            async with asyncio.timeout(START_SECONDS):
                await self.configure()
                for number in range(self.instances):
                    await self.wait_until_serving(number)
        except TimeoutError:
            raise CannotRunError("the instances did not serve in time") from None

    async def wait_until_serving(self, number: int) -> None:
        """Wait until an instance serves a write."""
        while True:
            client = Client(self.record, f"probe{number}")
            try:
                await client.open(self.front(number), DATABASE["primary"])
                answer = await client.run("WRITE probe 1")
                if answer[0].startswith("COMPLETE"):
                    return
            except OSError:
                pass
            finally:
                client.close()
            await asyncio.sleep(0.1)

    async def _stop(self) -> None:
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        await self.service.stop()
        if self._platform is not None:
            self._platform.close()
        if os.environ.get("KEEP"):
            self.keep_logs(Path(os.environ["KEEP"]))
        shutil.rmtree(self._folder, ignore_errors=True)
        self.record.close()

    async def _serve_platform(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            headers = dict(
                line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line
            )
            body = json.loads(await reader.readexactly(int(headers["content-length"])))
            is_running = self.service.promote(body["id"])
            token = headers["x-hibiscuspoint-fencing-token"]
            status = "200 OK" if is_running else "409 Conflict"
            self.note(f"promote {body['id']} with token {token}: {status}")
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, KeyError):
            pass
        finally:
            writer.close()

    def _ip(self, number: int) -> str:
        return f"127.{self._network}.{number + 1}"


def _zone(number: int) -> str:
    return f"zone-{'abc'[number % 3]}"


def _free_network() -> str:
    """Return the second and third octet of loopback addresses that nobody listens on."""
    for octet in range(1, 250):
        network = f"{100 + os.getpid() % 100}.{octet}"
        with socket.socket() as probe:
            try:
                probe.bind((f"127.{network}.100", 8783))
                return network
            except OSError:
                continue
    raise CannotRunError("no free loopback addresses")
