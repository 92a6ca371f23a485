"""Promotions while replicas lose their logs, with real processes."""

from __future__ import annotations

import asyncio

import pytest

from tests.platform.deployment import SERVICE, Client, deployment
from tests.soak.history import History

#: Seconds in which one replica receives nothing while commits go on.
DEAF_SECONDS = 2.0

#: Seconds until the crashed primary is back with its log.
RETURN_SECONDS = 4.0


@pytest.mark.xdist_group("platform")
def test_replica_that_received_nothing_is_not_promoted(tmp_path):
    """Guards against a promotion that counts a replica which started again empty (sixth fault).

    The other one received nothing for a while, so that only the crashed primary has the last
    commits.
    """

    async def scenario():
        history = History()
        async with deployment(tmp_path, "77.31") as running:
            running.platform.on_lead = history.check_promoted
            primary = running.platform.primary
            deaf, other = (d for d in running.platform.databases if d is not primary)
            deaf.is_deaf = True
            client = await Client.open(running.callers_address(0))
            deadline = asyncio.get_running_loop().time() + DEAF_SECONDS
            while asyncio.get_running_loop().time() < deadline:
                answer = await client.run("WRITE item value")
                if answer[-2].startswith("COMPLETE"):
                    history.wrote(SERVICE, "item", 0, [client.last_id])
            await asyncio.gather(primary.crash(), other.crash())
            deaf.is_deaf = False
            copy = asyncio.create_task(other.restart_empty())
            await asyncio.sleep(RETURN_SECONDS)
            await primary.restart()
            await running.serve(1)
            await copy
            history.check_log(running.platform.primary)
        return history

    history = asyncio.run(scenario())
    assert history.kept[SERVICE]
    assert not history.violations
