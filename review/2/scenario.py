"""A heartbeat from another writer states the address of a replica; later the primary crashes."""

from __future__ import annotations

import asyncio
import os
import random
import time
from pathlib import Path
from typing import TYPE_CHECKING

from standins.clients import Client, Sent
from standins.http import call
from standins.scenario import Deployment, has_trouble, main, route

if TYPE_CHECKING:
    from standins.databases import Database
    from standins.records import Record

CLIENTS = 24

#: Time for which a replica receives nothing, and after which the primary crashes meanwhile.
DEAF_SECONDS = 6.0
CRASH_AFTER_SECONDS = 3.0


def next_operation() -> tuple[list[str], float]:
    """Return a single statement or a short transaction."""
    item = f"{random.randrange(2000):x}"
    if random.random() < 0.6:
        return [f"READ {item}" if random.random() < 0.65 else f"WRITE {item} x"], 0.4
    return ["BEGIN", f"READ {item}", f"WRITE {item} y", "COMMIT"], 0.05


async def send_foreign_heartbeat(record: Record, address: str, control: str) -> None:
    """Send the heartbeat of another writer: it names a service that no configuration has."""
    fields = {
        "service": "unlisted",
        "addr": address,
        "zone": "tt-centrum",
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "cold_left_ms": 0,
        "db_role": "replica",
        "seq_no": 1,
        "born": int(time.time() * 1000),
    }
    status, _ = await call(control, "POST", "/-/Instances.Heartbeat/i-77", fields)
    record.note(f"a heartbeat for i-77 of service 'unlisted' is answered with {status}")


async def scenario(record: Record) -> None:
    """Let the primary crash while one replica receives nothing, and compare the logs."""
    sent: dict[str, Sent] = {}
    acknowledged: dict[str, float] = {}

    def compare(database: Database) -> None:
        kept = {request for commit in database.log for request in commit.ids}
        for request, at in acknowledged.items():
            if request not in kept:
                record.broken(
                    f"LOST: write {request}, acknowledged at {at:.3f} s, is not in the log of"
                    f" {database.name}, which is promoted"
                )

    deployment = Deployment(record, on_lead=compare)
    service = deployment.services[0]
    try:
        await deployment.start([route("sklad", service.name, "primary")])
        clients = [
            Client(
                deployment.system, record, "sklad", next_operation, sent, acknowledged=acknowledged
            )
            for _ in range(CLIENTS)
        ]
        deployment.tasks += [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(6.0)
        primary, behind, current = service.databases
        if has_trouble() and os.environ.get("HEARTBEAT") != "0":
            await send_foreign_heartbeat(record, current.address, deployment.system.controls[0])
        await asyncio.sleep(4.0)
        if has_trouble():
            behind.is_receiving = False
            record.note(f"{behind.name} receives nothing")
            await asyncio.sleep(CRASH_AFTER_SECONDS)
            record.note(f"{primary.name}, the primary, crashes at {primary.position}")
            await primary.stop()
            await asyncio.sleep(DEAF_SECONDS - CRASH_AFTER_SECONDS)
            behind.is_receiving = True
        await asyncio.sleep(10.0)
        record.note(f"{sum(client.served for client in clients)} operations were served")
        record.note(f"{len(acknowledged)} writes were acknowledged")
    finally:
        await deployment.stop()


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, scenario)
