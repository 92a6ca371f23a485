"""Demonstration: a session keeps its writes across entries and the loss of a primary."""

from __future__ import annotations

import argparse
import asyncio
import logging
import sys
import time
from typing import TYPE_CHECKING

from hibiscuspoint.errors import HibiscusError
from hibiscuspoint.ids import CallerId, RequestId
from hibiscuspoint.load.answers import statement
from hibiscuspoint.load.caller import Caller, Idempotency, Roaming
from hibiscuspoint.load.layout import Layout
from hibiscuspoint.load.process import ProcessExitedError
from hibiscuspoint.load.topology import Topology

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hibiscuspoint.load.answers import Answer

__all__ = ["main"]

#: Time for a write or read to succeed after a failure, in seconds.
RECOVERY_TIMEOUT_S = 20.0
RETRY_INTERVAL_S = 0.05
CREATE = "CREATE TABLE IF NOT EXISTS deposit (account TEXT PRIMARY KEY, amount INTEGER NOT NULL)"
INSERT = "INSERT INTO deposit (account, amount) VALUES (?, ?)"
MOVE = "UPDATE deposit SET amount = amount + ? WHERE account = ?"
SELECT = "SELECT account, amount FROM deposit ORDER BY account"
#: Contents after the transfer: 100 and 50, of which 30 move.
EXPECTED_AFTER_TRANSFER = (("first", 70), ("second", 80))
EXPECTED_AFTER_KILL = (*EXPECTED_AFTER_TRANSFER, ("third", 25))


class DemonstrationError(RuntimeError):
    """A step did not show what it should."""


class Narrator:
    """Prints each step with the time since the start."""

    def __init__(self) -> None:
        self._started = time.monotonic()

    def say(self, sentence: str) -> None:
        """Print one sentence."""
        print(f"{time.monotonic() - self._started:7.3f} s  {sentence}", flush=True)


class Demonstration:
    """The steps of the demonstration on a started topology."""

    def __init__(self, topology: Topology, caller: Caller, narrator: Narrator) -> None:
        self._topology = topology
        self._group = topology.layout.group_ids[0]
        self._session = caller.session(Roaming.EACH_REQUEST)
        self._say = narrator.say

    async def run(self) -> None:
        """Run all steps.

        :raises DemonstrationError: a step did not show what it should.
        """
        await self._prepare()
        await self._transfer()
        primary = await self._topology.primary(self._group)
        await self._write_and_kill(primary)
        await self._read_elsewhere()
        await self._write_again(primary)

    async def _prepare(self) -> None:
        await self._write("create the table", CREATE)
        await self._write("deposit 100 in the first account", INSERT, "first", 100)
        await self._write("deposit 50 in the second account", INSERT, "second", 50)

    async def _write(self, purpose: str, sql: str, *parameters: str | int) -> float:
        """Run one write that takes effect once, and return the time it took in seconds."""
        idempotency = Idempotency.issue(RequestId(f"demo-{time.time_ns()}"))
        started = time.monotonic()
        answer = await _until_success(
            lambda: self._session.write(
                self._group, statement(sql, *parameters), idempotency=idempotency
            )
        )
        seconds = time.monotonic() - started
        self._say(f"Entry {answer.entry} acknowledged the write to {purpose}.")
        return seconds

    async def _transfer(self) -> None:
        transaction = await self._session.transact(self._group, statement(MOVE, -30, "first"))
        async with transaction:
            await transaction.run(statement(MOVE, 30, "second"))
            await transaction.commit()
        self._say(f"An interactive transaction through entry {transaction.entry} moved 30.")
        for _ in range(3):
            await self._expect(EXPECTED_AFTER_TRANSFER, max_age_ms=1000)

    async def _write_and_kill(self, primary: str) -> None:
        await self._write("deposit 25 in the third account", INSERT, "third", 25)
        self._topology.process(primary).kill()
        self._say(f"Target {primary}, the primary, was killed right after the acknowledgement.")

    async def _read_elsewhere(self) -> None:
        await self._expect(EXPECTED_AFTER_KILL, max_age_ms=0)

    async def _write_again(self, killed: str) -> None:
        seconds = await self._write("add 1 to the first account", MOVE, 1, "first")
        primary = await self._topology.primary(self._group)
        if primary == killed:
            raise DemonstrationError(f"target {killed} is still named as the primary")
        self._say(f"The new primary is {primary}; the write took {seconds:.3f} s.")

    async def _expect(self, expected: tuple[tuple[str, int], ...], max_age_ms: int) -> None:
        answer = await _until_success(
            lambda: self._session.read(self._group, statement(SELECT), max_age_ms=max_age_ms)
        )
        if answer.rows != expected:
            raise DemonstrationError(f"a read returned {answer.rows} instead of {expected}")
        source = "replica" if answer.from_replica else "primary"
        self._say(
            f"Entry {answer.entry} returned all {len(answer.rows)} accounts as written, "
            f"from {source} {answer.served_by}."
        )


async def _until_success(call: Callable[[], Awaitable[Answer]]) -> Answer:
    """Repeat a call that may be repeated until it succeeds."""
    deadline = time.monotonic() + RECOVERY_TIMEOUT_S
    while True:
        try:
            return await call()
        except HibiscusError as error:
            if time.monotonic() >= deadline:
                raise DemonstrationError(f"no success in time; last error: {error}") from error
        await asyncio.sleep(RETRY_INTERVAL_S)


async def _demonstrate(layout: Layout) -> None:
    narrator = Narrator()
    narrator.say(
        f"Starting {layout.entries} entry instances, {layout.control} of them with control, and "
        f"{layout.targets_per_group} targets of one group."
    )
    async with Topology(layout) as topology:
        narrator.say("The first document is accepted and all instances are ready.")
        async with Caller(topology.addresses, CallerId("demo")) as caller:
            await Demonstration(topology, caller, narrator).run()
    narrator.say("No acknowledged write was lost; all processes have ended.")


def main(arguments: list[str] | None = None) -> int:
    """Run the demonstration and return its exit status."""
    parser = argparse.ArgumentParser(prog="hibiscuspoint.load.demo", description=__doc__)
    parser.add_argument("--entries", type=int, default=9, help="number of entry instances")
    options = parser.parse_args(arguments)
    logging.basicConfig(level=logging.WARNING)
    try:
        asyncio.run(_demonstrate(Layout(entries=options.entries)))
    except (DemonstrationError, HibiscusError, ProcessExitedError, TimeoutError) as error:
        print(f"The demonstration failed: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
