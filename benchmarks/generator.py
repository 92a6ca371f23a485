"""Load generators in processes of their own, so that they do not limit a measured throughput."""

from __future__ import annotations

import asyncio
import multiprocessing
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from hibiscuspoint.errors import HibiscusError
from hibiscuspoint.ids import CallerId, GroupId
from hibiscuspoint.load.answers import statement
from hibiscuspoint.load.caller import Caller

__all__ = ["ReadLoad", "drive"]


@dataclass(frozen=True, slots=True)
class ReadLoad:
    """A closed loop of reads.

    :param sessions: sessions of each generator.
    :param max_age_ms: stated maximum age; 0 accepts no stale data.
    """

    addresses: tuple[str, ...]
    groups: tuple[GroupId, ...]
    sql: str
    sessions: int
    seconds: float
    max_age_ms: int


async def drive(load: ReadLoad, generators: int) -> tuple[float, int]:
    """Run a load in several processes; return successful reads a second and failures."""
    loop = asyncio.get_running_loop()
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(generators, mp_context=context) as executor:
        counts = await asyncio.gather(
            *(loop.run_in_executor(executor, _generate, load, n) for n in range(generators))
        )
    return sum(rate for rate, _ in counts), sum(failures for _, failures in counts)


def _generate(load: ReadLoad, number: int) -> tuple[float, int]:
    return asyncio.run(_run(load, number))


async def _run(load: ReadLoad, number: int) -> tuple[float, int]:
    async with Caller(load.addresses, CallerId(f"generator-{number}")) as caller:
        started = time.monotonic()
        counts = await asyncio.gather(
            *(_read(caller, load, session) for session in range(load.sessions))
        )
        seconds = time.monotonic() - started
    return sum(done for done, _ in counts) / seconds, sum(failed for _, failed in counts)


async def _read(caller: Caller, load: ReadLoad, number: int) -> tuple[int, int]:
    session = caller.session()
    group = load.groups[number % len(load.groups)]
    read = statement(load.sql)
    end = time.monotonic() + load.seconds
    done = failed = 0
    while time.monotonic() < end:
        try:
            await session.read(group, read, max_age_ms=load.max_age_ms)
        except HibiscusError:
            failed += 1
            await asyncio.sleep(0.01)
        else:
            done += 1
    return done, failed
