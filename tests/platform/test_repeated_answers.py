"""End-to-end tests with databases that answer twice, and with texts of any characters."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import pytest

from tests.platform.deployment import SERVICE, Deployment
from tests.platform.standin_connection import Stutter
from tests.soak.caller import Caller
from tests.soak.history import ODD_TEXTS, History

pytestmark = pytest.mark.xdist_group("platform")

#: Seconds of calls in a test.
CALL_SECONDS = 2.0

#: Time of a database for a statement, so that repeated answers also arrive while one runs.
WORK_SECONDS = 0.004

#: Share of the reads and writes that are refused, so that refusals are repeated as well.
BUSY_SHARE = 0.1

CALLERS = 6


async def _call(directory, network: str, connections: int, *, stutters: bool) -> History:
    """Call a deployment and compare what its callers and its databases saw."""
    deployment = Deployment(directory, network, connections=connections)
    databases = deployment.platform.databases
    history, stop = History(texts=ODD_TEXTS), asyncio.Event()
    try:
        await deployment.start()
        for number, database in enumerate(databases):
            database.executed.clear()
            database.work_seconds = WORK_SECONDS
            if stutters:
                database.busy_share = BUSY_SHARE
                database.stutter = Stutter(random.Random(number), cut_share=0.02)
        callers = [
            Caller(deployment, history, random.Random(number), SERVICE, f"item{2 * number}")
            for number in range(CALLERS)
        ]
        tasks = [asyncio.create_task(caller.run(stop)) for caller in callers]
        await asyncio.sleep(CALL_SECONDS)
        stop.set()
        await asyncio.gather(*tasks)
        for database in databases:
            history.check_runs(database)
        history.check_log(deployment.platform.primary)
    finally:
        await deployment.stop()
    return history


def _found(history: History) -> str:
    """Return the number of violations of each rule, with one of each; empty without any."""
    rules = [violation.split(" ")[0] for violation in history.violations]
    first = {rule: history.violations[rules.index(rule)] for rule in rules}
    counts = ", ".join(f"{rule} {count}" for rule, count in Counter(rules).items())
    return "\n".join([counts, *first.values()])


@pytest.mark.parametrize(("network", "connections"), [("77.40", 16), ("77.41", 4)])
def test_repeated_answers_are_told_from_those_of_later_statements(network, connections, tmp_path):
    """Guards against a caller who is told the answer of another statement.

    Each database sends each answer twice, the second time up to 30 ms later. What it refused as
    busy must not be kept. Callers must still be served: at least half of the reads and writes
    outside transactions succeed.
    """
    history = asyncio.run(_call(tmp_path, network, connections, stutters=True))
    assert _found(history) == ""
    assert history.singles["succeeded"] >= history.singles["sent"] / 2 >= 10, history.singles


def test_texts_reach_databases_and_callers_unchanged(tmp_path):
    """Guards against statements, values, shapes and rows that lose or gain characters.

    Two instances lend connections to the third one. Nothing fails here, so that each read and write
    must succeed.
    """
    history = asyncio.run(_call(tmp_path, "77.42", 4, stutters=False))
    assert _found(history) == ""
    assert history.singles["succeeded"] == history.singles["sent"] >= 20, history.singles
