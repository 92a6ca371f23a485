"""Planned changes under load: leaving targets, switchover and stops of entries."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from hibiscuspoint.errors import NotReadyError
from hibiscuspoint.load.answers import statement
from hibiscuspoint.load.history import Outcome
from hibiscuspoint.load.operator_client import Operator
from hibiscuspoint.load.topology import wait_until
from tests.system.builders import caller, index_of, layout
from tests.system.trial import DEADLINE_S, eventually, trial

if TYPE_CHECKING:
    from hibiscuspoint.ids import GroupId
    from hibiscuspoint.load.topology import Topology
    from hibiscuspoint.wire import peer_pb2

CREATE = "CREATE TABLE IF NOT EXISTS planned (name TEXT NOT NULL)"
INSERT = "INSERT INTO planned (name) VALUES (?)"
SELECT = "SELECT name FROM planned"
#: Writes acknowledged after the leave that show that the grace of 2 s is over at this rate.
AFTER_GRACE = 400
#: Time for which a transaction stays open in a stopping entry, in seconds. Longer than handing
#: back (0.6 s) and the end of the server (1 s) take, so that a stop that does not wait cuts it off.
HOLD_S = 3.0
#: Time of the operations of a load, in seconds, which wait for the lock of that transaction.
PATIENCE_S = 20.0


@pytest.mark.parametrize("is_primary", [False, True])
def test_target_leaves(launch, is_primary):
    """New work at a leaving target after 2 s, or a request refused with time left (G7)."""

    async def scenario() -> None:
        topology = launch(layout())
        async with trial(topology) as load:
            primary = await load.primary()
            others = (name for name in topology.targets if name != primary)
            leaving = primary if is_primary else next(others)
            await topology.set_fault(leaving, leaving=True)
            if is_primary:
                await load.replaced(primary)
            await load.progress(AFTER_GRACE)
        assert load.failures() == []
        assert "run refused" not in (topology.directory / f"{leaving}.out").read_text()

    asyncio.run(scenario())


def test_drain_of_a_target_outlives_the_control_leader(launch):
    """An election would return a target to service that an operator took out of it (G7)."""

    async def scenario() -> None:
        topology = launch(layout())
        async with trial(topology) as load:
            primary, leader = await load.primary(), await topology.leader()
            target = next(name for name in topology.targets if name != primary)
            address = next(a for n, a in _addresses(topology).items() if n != leader)
            assert await _drained(address, target)
            topology.process(leader).kill()
            await load.status(
                lambda status: status.leader != leader and _leaving(status) == {target},
                "the drain goes on under a new leader",
            )
            assert await _drained(address, target)
            await load.progress()
            topology.process(target).kill()
            topology.process(target).start()
            await load.status(lambda status: not _leaving(status), "the restarted target is used")
            topology.process(leader).start()
            await load.ready(leader)

    asyncio.run(scenario())


def _addresses(topology: Topology) -> dict[str, str]:
    return {name: plan.address for name, plan in topology.instances.items()}


def _leaving(status: peer_pb2.StatusReply) -> set[str]:
    return {target.target for target in status.groups[0].targets if target.leaving}


async def _drained(address: str, target: str) -> bool:
    """Drain a target, repeating the command until it is reported finished."""
    operator = Operator(address)
    try:
        async with asyncio.timeout(DEADLINE_S):
            while not (await operator.drain(target)).finished:
                continue
        return True
    finally:
        await operator.close()


def test_switchover(launch):
    """A planned change of the primary that refuses a request with time left (measure 1)."""

    async def scenario() -> None:
        topology = launch(layout())
        async with trial(topology) as load:
            for _ in range(3):
                await load.switch_over()
                await load.progress()
        assert load.failures() == []

    asyncio.run(scenario())


@pytest.mark.parametrize("is_holder", [True, False])
def test_entry_stops(launch, is_holder):
    """A planned stop that cuts a request or a transaction off (G8)."""

    async def scenario() -> None:
        topology = launch(layout())
        async with trial(topology, transaction_share=0.4, timeout_s=PATIENCE_S) as load:
            holders = await load.holders()
            others = [name for name in topology.instances if name not in holders]
            stopping = holders[0] if is_holder else others[0]
            await _stop_inside_transaction(topology, load.group, stopping)
            await load.progress()
            topology.process(stopping).start()
            await load.ready(stopping)
            await load.served_everywhere()
        # A request that reaches a stopping entry may be sent back; none may be interrupted.
        assert load.failures(Outcome.NOT_RUN) == []

    asyncio.run(scenario())


async def _stop_inside_transaction(topology: Topology, group: GroupId, instance: str) -> None:
    """Stop an entry with SIGTERM while a transaction is open in it, which must still commit."""
    async with caller(topology) as program:
        await program.session().write(group, statement(CREATE))
        session = program.session(entry=index_of(topology, instance))
        transaction = await session.transact(group, statement(INSERT, "first"), timeout=30.0)
        process = topology.process(instance)
        process.terminate()
        await _refuses_new_work(topology, group, instance)
        await asyncio.sleep(HOLD_S)
        await transaction.run(statement(INSERT, "second"))
        await transaction.commit()
        await eventually(lambda: process.exit_status() is not None, "the entry has stopped")
        assert process.exit_status() == 0
        answer = await session.read(group, statement(SELECT))
        assert answer.rows == (("first",), ("second",))


async def _refuses_new_work(topology: Topology, group: GroupId, instance: str) -> None:
    """Wait until the notice of a stopping entry is over; only work in progress is left then."""

    async def is_refused() -> bool:
        async with caller(topology) as program:
            session = program.session(entry=index_of(topology, instance))
            try:
                await session.read(group, statement("SELECT 1"), max_age_ms=1000)
            except NotReadyError:
                return True
            return False

    await wait_until(is_refused, f"{instance} refuses new work", DEADLINE_S)
