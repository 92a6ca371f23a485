"""A small deployment with clients, and the frame in which a script runs."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from typing import TYPE_CHECKING

from standins.databases import Service
from standins.records import Record
from standins.system import Operator, Platform, System, free_network

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

__all__ = ["Deployment", "has_trouble", "main", "route"]

#: Time limit of a script.
LIMIT_SECONDS = 115.0


def has_trouble() -> bool:
    """Tell whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


def route(database: str, service: str, kind: str, timeout_ms: int = 1000) -> dict:
    """Return a route of a configuration."""
    fields = {
        "name": f"r-{database}",
        "host": database,
        "path_prefix": "/",
        "kind": kind,
        "timeout_ms": timeout_ms,
        "slo_ms": 200,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }
    if kind == "read_your_writes":
        fields["max_staleness_ms"] = 2500
    if kind == "bounded_staleness":
        fields["max_staleness_ms"] = 1500
    return fields


class Deployment:
    """Instances, services of three databases each, the platform and the operator.

    :param count: number of instances; the first three have a disk.
    :param services: number of services.
    :param authority: returns the address of the platform for an instance.
    """

    def __init__(
        self,
        record: Record,
        count: int = 3,
        services: int = 1,
        authority: Callable[[int, str], str] = lambda number, address: address,
        **service_fields: object,
    ) -> None:
        self.record = record
        self.network = free_network()
        self.platform = Platform(self.network.address(39, 0), record)
        addresses = [authority(number, self.platform.address) for number in range(1, count + 1)]
        self.system = System(self.network, count, record, addresses)
        self.services = [
            Service(f"kniha{number}", self.system.controls, record, **service_fields)
            for number in range(1, services + 1)
        ]
        self.platform.services = self.services
        self.operator = Operator(self.system.controls, record)
        self.tasks: list[asyncio.Task] = []

    def database_address(self, machine: int) -> str:
        """Return the address of a database, by its number in the deployment."""
        return self.network.address(10 + machine, 5)

    async def start(self, routes: list[dict]) -> None:
        """Start everything and wait until all instances are ready."""
        await self.platform.start()
        zones = ("ba-petrzalka", "ba-ruzinov", "tt-centrum")
        for number, service in enumerate(self.services):
            for copy, zone in enumerate(zones):
                address = self.database_address(3 * number + copy)
                name = f"i-{number + 1}{copy}"
                await service.add(name, address, zone, is_primary=copy == 0)
        self.system.start_all()
        limits = {"health_path": "/healthz", "protocol": "h1", "tls": False, "sync_replicas": 1}
        services = [{"name": s.name, "max_conns": s.connections, **limits} for s in self.services]
        async with asyncio.timeout(30):
            await self.operator.submit(routes, services)
        await self.system.wait_until_ready()
        self.record.note("all instances are ready")

    async def stop(self) -> None:
        """End everything."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.system.stop()
        for service in self.services:
            await service.stop()
        await self.platform.stop()


def main(folder: Path, scenario: Callable[[Record], Awaitable[None]]) -> None:
    """Run a scenario and exit with 1 if a rule was broken, 0 if not, 2 if it could not run."""
    record = Record(folder)
    # The end of the loop runs the clean-up of the scenario, which ends all processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        asyncio.run(_limit(scenario(record)))
    except Exception:  # whatever stopped the script, the case could not run
        traceback.print_exc()
        record.save()
        sys.exit(2)
    for text in record.breaks[:5]:
        print(f"broken: {text}")
    print(f"{len(record.breaks)} times broken")
    record.save()
    sys.exit(1 if record.breaks else 0)


async def _limit(work: Awaitable[None]) -> None:
    async with asyncio.timeout(LIMIT_SECONDS):
        await work
