"""Failures of the control group under load, and its documents."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import grpc
import pytest

from hibiscuspoint.errors import (
    ConfigurationConflictError,
    HibiscusError,
    NotLeaderError,
    NotReadyError,
)
from hibiscuspoint.load.answers import statement
from hibiscuspoint.load.operator_client import Operator
from hibiscuspoint.verdict import Verdict
from tests.system.builders import caller, index_of, layout, submission
from tests.system.fault_proxy import Direction
from tests.system.trial import DEADLINE_S, Trial, first_status, trial

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from hibiscuspoint.load.topology import Topology
    from hibiscuspoint.wire import peer_pb2

#: Documents accepted before all processes restart.
CHANGES = 300
ROUNDS = 10
#: Times that the control leader loses its lease. It is 0.9 s, and no member stands for election
#: within 1 s of its last contact with the leader.
LOST_LEASES = 5
LOST_LEASE_SECONDS = 0.95
#: Entries of the control log after which a snapshot replaces them, below the default of 1,000.
COMPACTION_ENTRIES = 50
#: Snapshots that every control instance writes during the changes.
COMPACTIONS = 5


def test_old_leader_returns_after_long_isolation(launch, network):
    """A leader that still believes it leads would accept or spread an old document (G9)."""

    async def scenario() -> None:
        topology = launch(layout(), network)
        async with trial(topology) as load, _numbers_never_fall(topology):
            old = await topology.leader()
            network.isolate([old])
            await load.status(lambda status: status.leader != old, "a new leader")
            await load.ready(old, expected=False)
            await _accepts_nothing(topology, old)
            numbers = [await topology.submit() for _ in range(3)]
            await load.progress()
            network.heal()
            await load.ready(old)
            await _is_in_force(topology, load, numbers[-1])
            assert (await topology.status()).leader != ""
            await load.served_everywhere()

    asyncio.run(scenario())


@asynccontextmanager
async def _numbers_never_fall(topology: Topology) -> AsyncIterator[None]:
    """Check all the time that no instance reports a lower document than before."""
    highest: dict[str, int] = {}
    fallen: list[str] = []

    async def watch() -> None:
        while True:
            status = await first_status(topology)
            for instance in status.instances if status is not None else ():
                if instance.document_number < highest.get(instance.instance, 0):
                    fallen.append(instance.instance)
                highest[instance.instance] = instance.document_number
            await asyncio.sleep(0.1)

    task = asyncio.create_task(watch())
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    assert not fallen
    assert highest


async def _accepts_nothing(topology: Topology, instance: str) -> None:
    """Check that an isolated leader neither accepts a document nor reports a status."""
    operator = Operator(topology.instances[instance].address)
    text = submission(topology, topology.document_number + 1, holders=1)
    try:
        for call in (operator.submit(text), operator.status()):
            with pytest.raises((HibiscusError, grpc.aio.AioRpcError)):
                await call
    finally:
        await operator.close()


async def _is_in_force(topology: Topology, load: Trial, number: int) -> None:
    """Wait until all entries report a document."""
    count = len(topology.instances)
    await load.status(
        lambda status: (
            status.document_number == number
            and [i.document_number for i in status.instances] == [number] * count
        ),
        f"document {number} in force everywhere",
    )


@pytest.mark.parametrize("fault", ["kill", "freeze"])
def test_writes_go_on_without_the_control_leader(launch, fault):
    """Writes that need the control leader would stop with it."""

    async def scenario() -> None:
        topology = launch(layout())
        async with trial(topology) as load:
            primary, leader = await load.primary(), await topology.leader()
            process = topology.process(leader)
            process.kill() if fault == "kill" else process.suspend()
            await load.progress()
            await load.status(lambda status: status.leader != leader, "a new leader")
            await load.progress()
            assert await load.primary() == primary
            process.start() if fault == "kill" else process.resume()
            await load.ready(leader)
            await load.served_everywhere()

    asyncio.run(scenario())


def test_leader_that_loses_its_lease_for_a_moment(launch):
    """It leads on in the same term; its holders must take the shares that it grants anew."""

    async def scenario() -> None:
        topology = launch(layout())
        async with trial(topology) as load:
            status = await load.status(lambda status: status.leader, "a leader")
            others = [member.instance for member in status.control]
            others = [name for name in others if name != status.leader]
            for _ in range(LOST_LEASES):
                for name in others:
                    topology.process(name).suspend()
                await asyncio.sleep(LOST_LEASE_SECONDS)
                for name in others:
                    topology.process(name).resume()
                await load.served_everywhere()

    asyncio.run(scenario())


def test_operators_race_and_repeat(launch, link):
    """Two documents accepted with one number, or one accepted twice, would break G9."""

    async def scenario() -> None:
        topology = launch(layout())
        async with trial(topology) as load:
            addresses = topology.addresses
            number = topology.document_number
            for _ in range(ROUNDS):
                number += 1
                await _race(topology, number, addresses)
            number += 1
            await _lose_answer(topology, number, link(addresses[0]), addresses)
            await _is_in_force(topology, load, number)

    asyncio.run(scenario())


async def _race(topology: Topology, number: int, addresses: list[str]) -> None:
    """Submit documents of one number through all instances; exactly one must be accepted."""
    texts = [
        submission(topology, number, default_timeout_ms=5000 + n) for n in range(len(addresses))
    ]
    operators = [Operator(address) for address in addresses]
    calls = [_submit_until_answered(o, text) for o, text in zip(operators, texts, strict=True)]
    results = await asyncio.gather(*calls, return_exceptions=True)
    accepted = [result for result in results if not isinstance(result, BaseException)]
    refused = [result for result in results if isinstance(result, ConfigurationConflictError)]
    assert len(accepted) == 1
    assert len(refused) == len(addresses) - 1, results
    assert all(accepted[0].digest in f"{error.message} {error.hint}" for error in refused)
    winner = results.index(accepted[0])
    again = await _submit_until_answered(operators[winner - 1], texts[winner])
    assert again.digest == accepted[0].digest
    await asyncio.gather(*(operator.close() for operator in operators))


async def _lose_answer(topology: Topology, number: int, proxy, addresses: list[str]) -> None:
    """Lose the answer to a submission, and send the document again through another instance."""
    text = submission(topology, number)
    operator = Operator(proxy.address)
    await operator.status()
    proxy.cut(Direction.TO_CLIENT)
    with pytest.raises(grpc.aio.AioRpcError):
        await operator.submit(text)
    await operator.close()
    second = Operator(addresses[1])
    assert (await second.status()).document_number == number
    assert (await _submit_until_answered(second, text)).number == number
    await second.close()


def test_all_processes_restart_after_many_changes(launch):
    """A snapshot or log that loses the tail would return to an earlier document (G9)."""

    async def scenario() -> None:
        topology = launch(layout())
        async with trial(topology) as load:
            async for accepted in _changes(topology):
                last = accepted
            _restart_all(topology)
            await _is_in_force(topology, load, last.number)
            assert (await first_status(topology)).document_digest == last.digest
            await load.ready(*topology.instances)
            await load.served_everywhere()

    asyncio.run(scenario())


def test_all_processes_restart_from_snapshots_and_a_wiped_one_is_repaired(launch):
    """A snapshot that lacks state, or that an empty disk does not get, would lose it (G9, D12)."""

    async def scenario() -> None:
        options = {"control": {"compaction_entries": COMPACTION_ENTRIES}}
        topology = launch(layout(node_options=options))
        async with trial(topology) as load:
            control = [name for name, plan in topology.instances.items() if plan.is_control]
            seen: dict[str, set[str]] = {name: set() for name in control}
            async for accepted in _changes(topology):
                last = accepted
                for name in control:
                    seen[name].update(_snapshots(topology, name))
            assert min(map(len, seen.values())) >= COMPACTIONS, seen
            wiped, killed, kept = control
            _restart_all(topology, wiped)
            await _is_in_force(topology, load, last.number)
            await _repair(topology, wiped, topology.instances[kept].address)
            assert _snapshots(topology, wiped), "the log of the others no longer has the entries"
            topology.process(killed).kill()
            status = await load.status(lambda s: s.leader in (wiped, kept), "a leader remains")
            assert (status.document_number, status.document_digest) == (last.number, last.digest)
            await load.served_everywhere()

    asyncio.run(scenario())


async def _changes(topology: Topology) -> AsyncIterator[peer_pb2.SubmitReply]:
    """Submit many different documents, one after the other, and yield the answers."""
    operator = Operator(topology.addresses[0])
    first = topology.document_number + 1
    try:
        for number in range(first, first + CHANGES):
            text = submission(topology, number, default_timeout_ms=5000 + number)
            yield await _submit_until_answered(operator, text)
    finally:
        await operator.close()


async def _submit_until_answered(operator: Operator, text: str) -> peer_pb2.SubmitReply:
    """Submit a document, again as an operator would when control lost its leader meanwhile.

    A document of the same number and digest is the same submission.

    :raises HibiscusError: control refused the document.
    """
    async with asyncio.timeout(DEADLINE_S):
        while True:
            try:
                return await operator.submit(text)
            except (NotLeaderError, grpc.aio.AioRpcError):
                await asyncio.sleep(0.2)


def _restart_all(topology: Topology, *wiped: str) -> None:
    """Kill every process, remove the data of some instances, and start all again."""
    names = [*topology.instances, *topology.targets]
    for name in names:
        topology.process(name).kill()
    for name in wiped:
        topology.wipe(name)
    for name in names:
        topology.process(name).start()


def _snapshots(topology: Topology, instance: str) -> set[str]:
    """Return the names of the snapshots on the disk of a control instance."""
    return {p.name for p in topology.data_directory(instance).glob("consensus/snapshot-*")}


@pytest.mark.parametrize("second", ["leader", "other"])
def test_repair_and_loss_of_a_second_instance(launch, second):
    """A repair reported done too early would lose the log with the next instance (D12)."""

    async def scenario() -> None:
        topology = launch(layout())
        async with trial(topology) as load:
            leader = await topology.leader()
            control = [name for name, plan in topology.instances.items() if plan.is_control]
            wiped, other = (name for name in control if name != leader)
            topology.process(wiped).kill()
            topology.wipe(wiped)
            number = await topology.submit()
            topology.process(wiped).start()
            await _repair(topology, wiped, topology.instances[leader].address)
            topology.process(leader if second == "leader" else other).kill()
            assert await topology.submit() == number + 1
            await load.status(lambda s: s.document_number == number + 1, "the document is kept")
            await load.progress()

    asyncio.run(scenario())


async def _repair(topology: Topology, instance: str, address: str) -> None:
    """Repair an instance, repeating the call until it is reported done."""
    operator = Operator(address)
    try:
        while True:
            try:
                if (await operator.repair(instance)).finished:
                    return
            except (HibiscusError, grpc.aio.AioRpcError):
                await asyncio.sleep(0.2)
    finally:
        await operator.close()


def test_entries_without_control_stop_serving(launch, network):
    """An entry that serves without contact would act on outdated documents (D13, G5)."""

    async def scenario() -> None:
        topology = launch(layout(), network)
        async with trial(topology) as load, caller(topology) as program:
            control = [name for name, plan in topology.instances.items() if plan.is_control]
            network.cut(topology.instances, control)
            await load.ready(*topology.instances, expected=False)
            for instance in topology.instances:
                session = program.session(entry=index_of(topology, instance))
                with pytest.raises(NotReadyError) as caught:
                    await session.write(load.group, statement("DROP TABLE missing"))
                assert caught.value.verdict is Verdict.NOT_RUN
            network.heal()
            await load.ready(*topology.instances)
            await load.served_everywhere()

    asyncio.run(scenario())
