"""Instances are stopped and started in turn while clients run transactions with pauses."""

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

INSTANCES = 3
SERVICES = 3

#: Sessions; about 152 stand open in the deployment of the sheet.
CLIENTS = 152

#: Longest pause between two statements of a transaction.
PAUSE_SECONDS = 0.35

#: Pause between the end of one stop and the next, ``gap_s`` of the site.
GAP_SECONDS = 1.3

#: Time for which instances are stopped and started in turn.
ROLL_SECONDS = 88.0


def next_operation() -> tuple[list[str], float]:
    """Return a transaction of 12 statements that writes."""
    texts = ["BEGIN"]
    for number in range(10):
        verb = "WRITE" if number % 3 == 2 else "READ"
        texts.append(f"{verb} {random.randrange(2000):x}{' v' if verb == 'WRITE' else ''}")
    return [*texts, "COMMIT"], PAUSE_SECONDS


async def scenario(record: Record) -> None:
    """Stop instances in turn and look where the statements of transactions run."""
    sent: dict[str, Sent] = {}

    def look(arrival: Arrival) -> None:
        operation = sent[arrival.request].operation
        if arrival.text == "ROLLBACK" or operation == arrival.request:
            return
        if arrival.begun_by != operation:
            place = f"inside {arrival.begun_by}" if arrival.begun_by else "outside a transaction"
            record.broken(
                f"PINNED: {arrival.request} ({arrival.text}) of transaction {operation} runs at"
                f" {arrival.database.name} {place}"
            )

    deployment = Deployment(record, count=INSTANCES, services=SERVICES, on_arrival=look)
    try:
        names = [f"sklad{number}" for number in range(SERVICES)]
        services = deployment.services
        await deployment.start(
            [
                route(name, service.name, "primary")
                for name, service in zip(names, services, strict=True)
            ]
        )
        clients = [
            Client(deployment.system, record, names[number % SERVICES], next_operation, sent)
            for number in range(CLIENTS)
        ]
        deployment.tasks += [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(4.0)
        deadline = record.now + ROLL_SECONDS
        number = 0
        while record.now < deadline:
            number = number % INSTANCES + 1
            if has_trouble():
                await deployment.system.restart(number)
            await asyncio.sleep(GAP_SECONDS)
        record.note(f"{sum(client.served for client in clients)} transactions were served")
    finally:
        await deployment.stop()


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, scenario)
