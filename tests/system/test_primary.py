"""Loss of a primary under load."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from tests.system.builders import LOSS_SHIP_DELAY_MS, layout
from tests.system.trial import Trial, trial

if TYPE_CHECKING:
    from hibiscuspoint.ids import InstanceId, TargetId
    from hibiscuspoint.load.topology import Topology
    from tests.system.network import Network


def test_primary_killed_and_its_successor_too(launch):
    """A promotion that misses the latest quorum would lose acknowledged writes (G2)."""

    async def scenario() -> None:
        topology = launch(layout(ship_delay_ms=LOSS_SHIP_DELAY_MS))
        async with trial(topology) as load:
            first = await load.primary()
            topology.process(first).kill()
            second = await load.replaced(first)
            topology.process(first).start()
            topology.process(second).kill()
            await load.replaced(second)
            await load.progress()
            topology.process(second).start()
            await _all_follow(load)

    asyncio.run(scenario())


def test_frozen_primary_wakes_after_the_promotion(launch):
    """A woken primary that still acknowledges writes would lose them (G2)."""

    async def scenario() -> None:
        topology = launch(layout(ship_delay_ms=LOSS_SHIP_DELAY_MS))
        async with trial(topology) as load:
            first = await load.primary()
            topology.process(first).suspend()
            await load.replaced(first)
            await load.progress()
            topology.process(first).resume()
            await _all_follow(load)

    asyncio.run(scenario())


@pytest.mark.parametrize("is_holder", [True, False])
def test_primary_cut_off_together_with_an_entry(launch, network, is_holder):
    """An entry on the primary's side that goes on serving would split the group (G1, G2)."""

    async def scenario() -> None:
        topology = launch(layout(ship_delay_ms=LOSS_SHIP_DELAY_MS), network)
        async with trial(topology) as load:
            primary = await load.primary()
            entry = await _entry_beside(topology, load, is_holder)
            await _isolate(load, network, (primary, entry))

    asyncio.run(scenario())


def test_primary_cut_off_together_with_the_control_leader(launch, network):
    """A leader that keeps its primary on the smaller side would stop all writes (G1, G2)."""

    async def scenario() -> None:
        topology = launch(layout(ship_delay_ms=LOSS_SHIP_DELAY_MS), network)
        async with trial(topology) as load:
            primary, leader = await load.primary(), await topology.leader()
            await _isolate(load, network, (primary, leader))

    asyncio.run(scenario())


async def _isolate(load: Trial, network: Network, side: tuple[TargetId, InstanceId]) -> None:
    """Cut the primary and an entry off until the group works without them, and heal the cut."""
    primary, entry = side
    network.isolate(side)
    await load.replaced(primary)
    await load.progress()
    await load.ready(entry, expected=False)
    network.heal()
    await load.ready(entry)
    await load.served_everywhere()
    await _all_follow(load)


async def _entry_beside(topology: Topology, load: Trial, is_holder: bool) -> InstanceId:
    """Return an entry; the control group keeps its majority without it."""
    holders = await load.holders()
    if is_holder:
        return holders[0]
    return next(name for name in reversed(topology.instances) if name not in holders)


async def _all_follow(load: Trial) -> None:
    """Wait until all members are in the term of the group, one of them as primary."""
    await load.status(
        lambda status: (
            len(status.groups[0].targets) == 3
            and all(target.term == status.groups[0].term for target in status.groups[0].targets)
            and sum(target.primary for target in status.groups[0].targets) == 1
        ),
        "all members follow one primary",
    )
