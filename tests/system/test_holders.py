"""Loss of holders under load: transactions, request ids and connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from hibiscuspoint.errors import HibiscusError
from hibiscuspoint.ids import RequestId
from hibiscuspoint.load.answers import statement
from hibiscuspoint.load.caller import Idempotency
from hibiscuspoint.load.checker import check
from hibiscuspoint.load.history import Outcome, Recorder
from hibiscuspoint.load.tables import Tables
from hibiscuspoint.load.workload import NamedSession, Workload
from tests.system.builders import LOSS_SHIP_DELAY_MS, caller, index_of, layout, scarce_layout
from tests.system.trial import Trial, trial

if TYPE_CHECKING:
    from hibiscuspoint.load.caller import Caller
    from hibiscuspoint.load.history import Operation
    from hibiscuspoint.load.topology import Topology

CREATE = "CREATE TABLE IF NOT EXISTS open_steps (name TEXT NOT NULL)"
INSERT = "INSERT INTO open_steps (name) VALUES (?)"
SELECT = "SELECT name FROM open_steps"
#: Shares of a load in which every moment has transactions and ledger entries in progress.
MANY_STEPS = {"transaction_share": 0.3, "ledger_share": 0.5}
#: Requests that are sent through two entries at once.
PAIRS = 20


def test_holder_killed_inside_transactions(launch):
    """A half of a transaction that survives its holder would mix with others (G3, G5)."""

    async def scenario() -> None:
        topology = launch(layout(ship_delay_ms=LOSS_SHIP_DELAY_MS))
        async with (
            trial(topology, sessions=48, rate=250, read_share=0.2, **MANY_STEPS) as load,
            caller(topology) as program,
        ):
            await program.session().write(load.group, statement(CREATE))
            for holder in await load.holders():
                await _kill_inside_transactions(topology, load, program, holder)
                await load.progress()
                topology.process(holder).start()
                await load.ready(holder)
            await load.served_everywhere()
            answer = await program.session().read(load.group, statement(SELECT))
            assert answer.rows == ()

    asyncio.run(scenario())


async def _kill_inside_transactions(
    topology: Topology, load: Trial, program: Caller, holder: str
) -> None:
    """Kill a holder while a transaction through it is open, besides those of the load."""
    session = program.session(entry=index_of(topology, holder))
    transaction = await session.transact(load.group, statement(INSERT, holder))
    topology.process(holder).kill()
    with pytest.raises(HibiscusError) as caught:
        await transaction.run(statement(INSERT, "second"))
    assert caught.value.rolled_back


def test_request_id_through_two_entries_and_after_a_failover(launch):
    """A request that runs twice through two entries or after a failover would break G6."""

    async def scenario() -> None:
        topology = launch(layout())
        async with trial(topology) as load, caller(topology) as program:
            recorder = Recorder()
            workload = Workload(recorder, load.group, Tables("twice"))
            await workload.prepare(program.session())
            requests = [Idempotency.issue(RequestId(f"twice-{n}")) for n in range(3 * PAIRS)]
            pairs = _Pairs(workload, program, len(topology.instances))
            first = await pairs.send(requests[:PAIRS])
            assert {op.replayed for op in first} == {True, False}
            primary = await load.primary()
            during = asyncio.create_task(pairs.send(requests[PAIRS:]))
            topology.process(primary).kill()
            await during
            await load.replaced(primary)
            again = await pairs.send(requests)
            assert all(op.replayed for op in again)
            history = recorder.history()
            history.readouts.append(await workload.readout(program.session()))
            assert check(history) == []
            assert sorted(history.readouts[0].ledger.values()) == [1] * len(requests)

    asyncio.run(scenario())


class _Pairs:
    """Sends each request through two entries at once, until both entries report success."""

    def __init__(self, workload: Workload, program: Caller, entries: int) -> None:
        self._workload = workload
        self._program = program
        self._entries = entries

    async def send(self, requests: list[Idempotency]) -> list[Operation]:
        """Return the successful operations."""
        sends = [
            self._until_success(request, number + offset)
            for number, request in enumerate(requests)
            for offset in (0, 1)
        ]
        return await asyncio.gather(*sends)

    async def _until_success(self, request: Idempotency, entry: int) -> Operation:
        session = self._program.session(entry=entry % self._entries)
        while True:
            # The name is part of the body, which must be equal whenever an id is sent.
            actor = NamedSession("twice", session)
            operation = await self._workload.ledger_add(actor, request.request_id, request)
            if operation.outcome is Outcome.OK:
                return operation
            assert operation.outcome is not Outcome.FAILED
            await asyncio.sleep(0.1)


@pytest.mark.parametrize("fault", ["kill", "freeze", "cut"])
def test_connections_stay_below_the_limit(launch, network, fault):
    """A share given away before its connections are closed would exceed the limit (D9)."""

    async def scenario() -> None:
        topology = launch(scarce_layout(connections=4), network if fault == "cut" else None)
        async with trial(topology, rate=0, sessions=40, read_share=0.2) as load:
            holder = (await load.holders())[0]
            if fault == "kill":
                topology.process(holder).kill()
            elif fault == "freeze":
                topology.process(holder).suspend()
            else:
                network.cut([holder], _control(topology))
                network.cut(topology.instances, [holder])
            await _is_replaced(load, holder)
            await load.progress()
            if fault == "kill":
                topology.process(holder).start()
            elif fault == "freeze":
                topology.process(holder).resume()
            else:
                network.heal()
            await load.ready(holder)
            await load.served_everywhere()
        for target in topology.targets:
            output = (topology.directory / f"{target}.out").read_text()
            assert "connection refused" not in output

    asyncio.run(scenario())


def _control(topology: Topology) -> list[str]:
    return [name for name, plan in topology.instances.items() if plan.is_control]


async def _is_replaced(load: Trial, holder: str) -> None:
    """Wait until others hold the connections of a lost holder."""

    def others_have_all(status: object) -> bool:
        shares = [
            {share.instance: share.granted for share in target.shares}
            for target in status.groups[0].targets
        ]
        return all(
            holder not in share and sum(share.values()) == 4 and min(share.values()) > 0
            for share in shares
        )

    await load.status(others_have_all, f"the share of {holder} is given to others")
