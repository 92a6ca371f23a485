"""Reads while the replicas are far behind."""

from __future__ import annotations

import asyncio

from hibiscuspoint.load.answers import statement
from tests.system.builders import caller, layout
from tests.system.trial import trial

LAG_MS = 10_000


def test_replicas_far_behind(launch):
    """A replica used beyond the stated age, or for a strict read, would return old data (G10)."""

    async def scenario() -> None:
        topology = launch(layout())
        async with trial(topology, read_share=0.7, aged_share=0.6) as load:
            for target in topology.targets:
                await topology.set_fault(target, apply_delay_ms=LAG_MS)
            await _is_behind(load)
            await load.progress(300)
            await _served_by_replica_within_age(topology, load)
            primary = await load.primary()
            topology.process(primary).kill()
            await load.replaced(primary)
            await load.progress()
        reads = [op for op in load.history.operations if op.kind.is_read]
        assert any(op.max_age_ms for op in reads)
        assert any(not op.max_age_ms for op in reads)

    asyncio.run(scenario())


async def _is_behind(load) -> None:
    """Wait until both replicas hold records that they have not applied."""
    await load.status(
        lambda status: all(
            target.primary or target.received.index - target.applied > 100
            for target in status.groups[0].targets
        ),
        "both replicas are behind",
    )


async def _served_by_replica_within_age(topology, load) -> None:
    """Read with an age that the lag satisfies, so that replicas are known to be in use."""
    async with caller(topology) as program:
        session = program.session()
        served: list[bool] = []

        async def read() -> None:
            answer = await session.read(load.group, statement("SELECT 1"), max_age_ms=60_000)
            served.append(answer.from_replica)

        while not any(served):
            await read()
            await asyncio.sleep(0.2)
