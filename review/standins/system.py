"""Instances of the system as processes of their own, started as the deploy file states."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING

from standins.http import call, serve

if TYPE_CHECKING:
    from standins.databases import Service
    from standins.records import Record

__all__ = ["GRACE_SECONDS", "Operator", "Platform", "System", "free_network"]

ROOT = Path(__file__).resolve().parents[2]

#: Time from SIGTERM to SIGKILL, as the sheets state it.
GRACE_SECONDS = 6.0

#: Seconds between two readiness probes of one instance; two misses take it out.
PROBE_SECONDS = 1.0

#: Ports of an instance, counted from the base port of the network.
FRONTEND, READY, CONTROL, INTERNAL = 0, 1, 2, 10


class Network:
    """Loopback addresses and ports of one script.

    :param prefix: first three octets.
    :param base: first port; the same on all machines.
    """

    def __init__(self, prefix: str, base: int) -> None:
        self.prefix = prefix
        self.base = base

    def address(self, machine: int, port: int) -> str:
        """Return "ip:port" of a machine."""
        return f"{self.prefix}.{machine}:{self.base + port}"


def free_network(machines: int = 40) -> Network:
    """Return addresses whose ports are free on all machines."""
    for _ in range(200):
        prefix = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        network = Network(prefix, random.randint(10000, 30000))
        if all(_is_free(network, machine) for machine in range(1, machines)):
            return network
    raise OSError("no free ports")


def _is_free(network: Network, machine: int) -> bool:
    for port in (FRONTEND, READY, CONTROL, INTERNAL, INTERNAL + 1):
        host, _, number = network.address(machine, port).rpartition(":")
        with socket.socket() as probe:
            try:
                probe.bind((host, int(number)))
            except OSError:
                return False
    return True


class Platform:
    """The platform: it promotes databases and probes whether instances are ready.

    :param address: "ip:port" of its calls.
    """

    def __init__(self, address: str, record: Record) -> None:
        self.address = address
        self._record = record
        self._server: asyncio.Server | None = None
        self.services: list[Service] = []
        #: Promotions as they arrived: holder, token, service and database.
        self.promotions: list[tuple[str, int, str, str]] = []

    async def start(self) -> None:
        """Listen."""
        self._server = await serve(self.address, self._handle)

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _handle(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        if (method, path) != ("POST", "/promote"):
            return 404, b"{}"
        fields = json.loads(body)
        holder = headers["x-hibiscuspoint-lease-holder"]
        token = int(headers["x-hibiscuspoint-fencing-token"])
        self.promotions.append((holder, token, fields["service"], fields["id"]))
        self._record.note(f"promote {fields['id']} by {holder} with token {token}")
        for service in self.services:
            database = service.find(fields["id"])
            if service.name == fields["service"] and database is not None and database.is_running:
                service.promote(database)
                return 200, b"{}"
        return 409, b"{}"


class Operator:
    """The operator: it submits configurations.

    :param controls: addresses of the instances that serve control.
    """

    def __init__(self, controls: list[str], record: Record) -> None:
        self._controls = controls
        self._record = record
        self._version = 0

    async def submit(self, routes: list[dict], services: list[dict]) -> None:
        """Submit the next configuration until it is acknowledged."""
        self._version += 3
        fields = {
            "version": self._version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
                "txn_idle_ms": 3000,
            },
        }
        while True:
            for control in self._controls:
                try:
                    status, _ = await call(control, "POST", "/-/Config.Put", fields)
                except OSError:
                    continue
                if status == 200:
                    self._record.note(f"configuration {self._version} is acknowledged")
                    return
            await asyncio.sleep(0.2)


class System:
    """The instances; the first three have a disk.

    :param authority: address of the platform for each instance.
    """

    def __init__(self, network: Network, count: int, record: Record, authority: list[str]) -> None:
        self._network = network
        self._count = count
        self._record = record
        self._authority = authority
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._processes: dict[int, subprocess.Popen] = {}
        self._ready: dict[int, bool] = {}
        self._probes: list[asyncio.Task] = []
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        self._role = deploy["roles"]["instance"]
        #: Time of the SIGTERM of each instance that is stopping.
        self.stopped_at: dict[int, float] = {}

    @property
    def controls(self) -> list[str]:
        """Return the addresses that take heartbeats and configurations."""
        return [self._network.address(number, CONTROL) for number in self.numbers]

    @property
    def numbers(self) -> range:
        """Return the numbers of the instances."""
        return range(1, self._count + 1)

    @property
    def in_rotation(self) -> list[int]:
        """Return the instances that get new connections."""
        return [number for number in self.numbers if self._ready.get(number)]

    def frontend(self, number: int) -> str:
        """Return where clients reach an instance."""
        return self._network.address(number, FRONTEND)

    def start_all(self) -> None:
        """Start all instances for the first time, and the probes."""
        for number in self.numbers:
            self.start(number, bootstrap=True)
            self._probes.append(asyncio.create_task(self._probe_forever(number)))

    def start(self, number: int, *, bootstrap: bool = False) -> None:
        """Start the process of an instance."""
        self.stopped_at.pop(number, None)
        path = self._folder / f"settings-{number}.json"
        path.write_text(json.dumps(self._settings(number, bootstrap=bootstrap)), encoding="utf-8")
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= self._role.get("env", {})
        environment |= {
            "HIBISCUSPOINT_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with (self._folder / f"log-{number}").open("ab") as log:
            self._processes[number] = subprocess.Popen(
                self._role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int, which: signal.Signals) -> None:
        """Send a signal to the process of an instance."""
        self._record.note(f"{which.name} to instance-{number}")
        if which is signal.SIGTERM:
            self.stopped_at[number] = self._record.now
        self._processes[number].send_signal(which)

    async def restart(self, number: int) -> None:
        """Stop an instance with SIGTERM, as the platform does, and start it again."""
        self.signal(number, signal.SIGTERM)
        process = self._processes[number]
        try:
            async with asyncio.timeout(GRACE_SECONDS):
                while process.poll() is None:  # noqa: ASYNC110
                    await asyncio.sleep(0.02)
        except TimeoutError:
            process.kill()
        await asyncio.to_thread(process.wait)
        self._record.note(f"instance-{number} has ended")
        await asyncio.sleep(0.3)
        self.start(number)

    async def wait_until_ready(self, seconds: float = 30.0) -> None:
        """Wait until all instances are in rotation.

        :raises TimeoutError: some are not in time.
        """
        async with asyncio.timeout(seconds):
            while len(self.in_rotation) < self._count:  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    def events(self, number: int) -> list[dict]:
        """Return the log events of an instance."""
        lines = (self._folder / f"log-{number}").read_text(errors="replace").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{") and line.endswith("}")]

    def log_text(self, number: int) -> str:
        """Return the log of an instance."""
        return (self._folder / f"log-{number}").read_text(errors="replace")

    def leader(self) -> int | None:
        """Return the instance that gained the control leadership last, by the logs."""
        gained = [
            (event["time"], number)
            for number in self.numbers
            for event in self.events(number)
            if event.get("event") == "leadership-gained"
        ]
        return max(gained)[1] if gained else None

    async def stop(self) -> None:
        """End all processes and remove the folder."""
        for probe in self._probes:
            probe.cancel()
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self._folder, ignore_errors=True)
        else:
            print(f"logs are kept in {self._folder}")

    async def _probe_forever(self, number: int) -> None:
        misses = 0
        while True:
            try:
                address = self._network.address(number, READY)
                status, _ = await call(address, "GET", "/-/readyz")
            except OSError:
                status = 0
            misses = 0 if status == 200 else misses + 1
            if misses == 0:
                self._ready[number] = True
            elif misses >= 2:
                self._ready[number] = False
            await asyncio.sleep(PROBE_SECONDS)

    def _settings(self, number: int, *, bootstrap: bool) -> dict:
        has_disk = number <= 3
        zones = ("ba-petrzalka", "ba-ruzinov", "tt-centrum")
        return {
            "node_name": f"instance-{number}",
            "role": "instance",
            "machine_class": "frontend",
            "serves": ["frontend", "control"],
            "ip": self._network.address(number, 0).partition(":")[0],
            "zone": zones[(number - 1) % 3],
            "region": "sk-zapad",
            "zones": dict.fromkeys(zones, "sk-zapad"),
            "listen": {
                "frontend": self._network.address(number, FRONTEND),
                "ready": self._network.address(number, READY),
                "control_addr": self._network.address(number, CONTROL),
            },
            "internal_ports": [self._network.base + INTERNAL, self._network.base + INTERNAL + 15],
            "seeds": [self._network.address(seed, CONTROL) for seed in (1, 2, 3)],
            "bootstrap": bootstrap,
            "in_tolerance": has_disk,
            "limits": {
                "cpu_share": 0.968,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4200,
                "link_mbps": 1000.0,
                "disk_mb": 64,
            },
            "data_dir": str(self._folder / f"data-{number}") if has_disk else None,
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
                "grace_s": GRACE_SECONDS,
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
                "addr": self._authority[number - 1],
                "rate_per_s": 50.0,
                "duties": ["failover"],
                "duty_per_s": 50.0,
            },
        }
