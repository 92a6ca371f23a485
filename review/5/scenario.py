"""A primary leaves while clients run transactions with pauses."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import TYPE_CHECKING

from standins.clients import Client, Sent
from standins.scenario import Deployment, has_trouble, main, route

if TYPE_CHECKING:
    from standins.databases import Arrival
    from standins.records import Record

#: ``drain_ms`` of the sheet, in seconds.
DRAIN_SECONDS = 7.0

#: Time for which the database serves on after ``drain_ms``: "at times many seconds".
LONGER_SECONDS = 8.0

#: Clients, and the longest pause between two statements of a transaction; the platform allows a
#: transaction to be idle for ``txn_idle_ms``, which is 3 s.
CLIENTS = 24
PAUSE_SECONDS = 0.6


def next_operation() -> tuple[list[str], float]:
    """Return a single statement or a transaction of up to 12 statements."""
    item = f"{random.randrange(2000):x}"
    if random.random() < 0.6:
        return [f"READ {item}" if random.random() < 0.65 else f"WRITE {item} x"], 0.3
    texts = ["BEGIN", *(f"READ {random.randrange(2000):x}" for _ in range(9))]
    return [*texts, f"WRITE {item} y", "COMMIT"], PAUSE_SECONDS


async def scenario(record: Record) -> None:
    """Let the primary leave and look what reaches it later than ``drain_ms``."""
    sent: dict[str, Sent] = {}

    def look(arrival: Arrival) -> None:
        acknowledged_at = arrival.database.drain_acknowledged_at
        if acknowledged_at is None or arrival.begun_by or arrival.text == "BEGIN":
            # Counted are single statements; the first one of a transaction follows its BEGIN.
            return
        late = arrival.at - acknowledged_at - DRAIN_SECONDS
        if late > 0:
            age = arrival.at - sent[arrival.request].at
            record.broken(
                f"DRAIN: {arrival.request} ({arrival.text}) reaches {arrival.database.name}"
                f" {late:.2f} s too late; its client sent it {age:.3f} s before"
            )

    deployment = Deployment(record, on_arrival=look)
    service = deployment.services[0]
    try:
        await deployment.start([route("sklad", service.name, "primary")])
        clients = [
            Client(deployment.system, record, "sklad", next_operation, sent) for _ in range(CLIENTS)
        ]
        deployment.tasks += [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(8.0)
        primary = service.primary
        if has_trouble():
            await service.add("i-19", deployment.database_address(20), "ba-petrzalka")
            await asyncio.sleep(2.0)
            await primary.leave(DRAIN_SECONDS, LONGER_SECONDS)
        else:
            await asyncio.sleep(2.0 + DRAIN_SECONDS + LONGER_SECONDS)
        await asyncio.sleep(5.0)
        record.note(f"{sum(client.served for client in clients)} operations were served")
    finally:
        await deployment.stop()


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, scenario)
