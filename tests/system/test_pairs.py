"""Two failures at once."""

from __future__ import annotations

import asyncio

from tests.system.builders import LOSS_SHIP_DELAY_MS, layout
from tests.system.trial import trial


def test_primary_and_control_leader_killed_at_once(launch):
    """A new control leader that forgets the promotion would leave the group without primary."""

    async def scenario() -> None:
        topology = launch(layout(ship_delay_ms=LOSS_SHIP_DELAY_MS))
        async with trial(topology) as load:
            primary, leader = await load.primary(), await topology.leader()
            topology.process(primary).kill()
            topology.process(leader).kill()
            await load.replaced(primary)
            await load.progress()
            topology.process(primary).start()
            topology.process(leader).start()
            await load.ready(leader)
            await load.served_everywhere()

    asyncio.run(scenario())


def test_primary_killed_while_a_holder_is_frozen(launch):
    """A promotion must wait for the lease of a frozen holder, which cannot hand it back (D7)."""

    async def scenario() -> None:
        topology = launch(layout(ship_delay_ms=LOSS_SHIP_DELAY_MS))
        async with trial(topology) as load:
            primary, holder = await load.primary(), (await load.holders())[0]
            topology.process(holder).suspend()
            topology.process(primary).kill()
            await load.replaced(primary)
            await load.progress()
            topology.process(holder).resume()
            topology.process(primary).start()
            await load.ready(holder)
            await load.served_everywhere()

    asyncio.run(scenario())
