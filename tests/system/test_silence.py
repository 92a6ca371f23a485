"""Established connections that go silent while new ones work."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from hibiscuspoint.load.answers import statement
from tests.system.builders import caller, index_of, layout
from tests.system.trial import Trial, trial

if TYPE_CHECKING:
    from hibiscuspoint.load.topology import Topology

#: Many times what D11 needs to notice the silence, in seconds.
READ_TIMEOUT_S = 15.0


@pytest.mark.parametrize("link", ["holder-target", "entry-holder", "entry-control", "all"])
def test_silent_connections_are_replaced(launch, network, link):
    """A silent connection that is kept would block its requests for ever (D11)."""

    async def scenario() -> None:
        topology = launch(layout(), network)
        async with trial(topology) as load:
            for _ in range(2):
                assert network.silence(*await _ends(topology, load, link))
                await load.served_everywhere()
                await load.ready(*topology.instances)
            number = await topology.submit()
            await load.status(
                lambda status: all(i.document_number == number for i in status.instances),
                "the document is in force everywhere",
            )
            # New targets of announcements and log shipping must have been found as well.
            await load.switch_over()

    asyncio.run(scenario())


async def _ends(topology: Topology, load: Trial, link: str) -> tuple[list[str], list[str]]:
    entries = list(topology.instances)
    holders = await load.holders()
    control = [name for name, plan in topology.instances.items() if plan.is_control]
    processes = [*entries, *topology.targets]
    return {
        "holder-target": (holders, list(topology.targets)),
        "entry-holder": (entries, holders),
        "entry-control": (entries, control),
        "all": (processes, processes),
    }[link]


def test_read_on_a_silent_forwarding_connection_is_repeated(launch, network):
    """A read that waits out its deadline on a silent connection was never repeated (D11)."""

    async def scenario() -> None:
        topology = launch(layout(), network)
        async with trial(topology) as load, caller(topology) as program:
            holders = await load.holders()
            for entry in (name for name in topology.instances if name not in holders):
                await load.served_everywhere()
                assert network.silence([entry], holders)
                session = program.session(entry=index_of(topology, entry))
                await session.read(load.group, statement("SELECT 1"), timeout=READ_TIMEOUT_S)

    asyncio.run(scenario())
