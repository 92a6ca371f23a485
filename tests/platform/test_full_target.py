"""Tests of the connections that an instance opens to a target that has no room for statements."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter

import pytest

from hibiscuspoint.core.sessions import Failure
from hibiscuspoint.platform import wire
from tests.platform.busy_database import BusyDatabase
from tests.platform.one_database import entry_at

#: Statements per second that a target serves well, and those of a burst; it serves 400.
USUAL_RATE, BURST_RATE = 240, 1200

#: Instances that share the target; only one of them has load.
INSTANCES = 3

#: Connections that the instance may have to the target at the same time.
CONNECTIONS = 12

START_SECONDS = 0.6
BURST_SECONDS = 1.0
RECOVERY_SECONDS = 0.6
RECOVERED_SECONDS = 1.0

#: Share of the statements that are served again after the burst.
USUAL_SHARE = 0.97


class _Load:
    """Sends statements at a rate, whatever becomes of the earlier ones."""

    def __init__(self, database: BusyDatabase, text: str) -> None:
        self._entry = entry_at(database.address)
        self._text = text
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task] = set()

    async def run(self, rate: float, seconds: float) -> Counter:
        """Return how many statements had each outcome; ``None`` is success."""
        loop, tasks = asyncio.get_running_loop(), []
        started = loop.time()
        for number in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, started + number / rate - loop.time()))
            tasks.append(asyncio.create_task(self._call()))
        return Counter(await asyncio.gather(*tasks))

    async def _call(self):
        session = self._entry.session()
        message = f"QUERY r{next(self._numbers)} {self._text}\r\n".encode()
        reply = await session.execute(wire.parse_statement(message))
        await session.close()
        return reply.error.failure if reply.error is not None else None


@pytest.mark.parametrize("commit_seconds", [0.02, 0.0], ids=["log-moves", "log-stands"])
@pytest.mark.parametrize("text", ["READ a", "WRITE a 1"], ids=["read", "write"])
def test_refusals_of_a_full_target_cost_no_connection(text, commit_seconds):
    """Guards against an overload that lasts when its cause is gone, as refusals cost handshakes.

    Found on pluma-viva-grown: 28,431 connections were opened on a quiet day, 1,455 before.
    """

    async def scenario():
        async with BusyDatabase(commit_seconds=commit_seconds).serve() as database:
            load = _Load(database, text)
            await load.run(USUAL_RATE, START_SECONDS)
            burst = await load.run(BURST_RATE, BURST_SECONDS)
            opened, refused = database.handshakes, database.refused
            await load.run(USUAL_RATE, RECOVERY_SECONDS)
            return burst, opened, refused, await load.run(USUAL_RATE, RECOVERED_SECONDS)

    burst, opened, refused, after = asyncio.run(scenario())
    seen = f"{burst}, {opened} opened, {refused} refused, after it {after}"
    assert refused >= CONNECTIONS, seen
    # A statement that times out leaves an answer due on its connection.
    timed_out = burst[Failure.TIMEOUT] + burst[Failure.IN_DOUBT]
    assert timed_out <= burst.total() / 50, seen
    assert opened <= CONNECTIONS + timed_out, seen
    assert burst[None] >= USUAL_RATE * BURST_SECONDS, seen
    assert after[None] >= USUAL_SHARE * after.total(), seen


def test_openings_at_a_target_are_bounded_whatever_the_cause():
    """Guards against handshakes that take the slots of a target where connections end all the time.

    They may take a quarter of the slots that the three instances share, after a first connection
    for each place.
    """

    async def scenario():
        async with BusyDatabase(ends_connections=True).serve() as database:
            started = asyncio.get_running_loop().time()
            await _Load(database, "READ a").run(USUAL_RATE, BURST_SECONDS)
            elapsed = asyncio.get_running_loop().time() - started
            part = elapsed * database.slots / database.handshake_seconds / 4 / INSTANCES
            assert CONNECTIONS < database.handshakes <= CONNECTIONS + part + 1

    asyncio.run(scenario())
