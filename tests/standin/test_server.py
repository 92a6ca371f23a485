"""Tests of stand-in servers over gRPC."""

from __future__ import annotations

import asyncio
import signal

import pytest

from hibiscuspoint.drivers import ConnectError, ConnectFailure, ConnectionLost, TargetFailure
from hibiscuspoint.standin.values import to_statement
from hibiscuspoint.wire import target_pb2
from tests.standin.harness import CREATE, Cluster, insert, open_cluster, run, spawn, texts, until

Failure = target_pb2.Failure


async def failure(awaitable) -> TargetFailure:
    with pytest.raises(TargetFailure) as caught:
        await awaitable
    return caught.value


def test_seal_rejects_lower_terms(tmp_path):
    """A replaced primary that still commits would acknowledge writes that are lost (G2)."""

    async def scenario():
        async with open_cluster(tmp_path, "a") as cluster:
            await cluster.promote("a", 1)
            idle, open_ = await cluster.connect("a"), await cluster.connect("a")
            await run(idle, CREATE, term=1)
            await run(open_, insert(1), term=1, begin=True)
            reply = await cluster.seal("a", 2)
            assert (reply.sealed, reply.last.index) == (True, 2)
            late = await failure(run(open_, term=1, commit=True))
            assert (late.kind, late.not_run) == (Failure.WRONG_TERM, False)
            new = await failure(run(idle, insert(2), term=1))
            assert (new.kind, new.not_run) == (Failure.WRONG_TERM, True)
            assert (await failure(run(idle, insert(3)))).kind == Failure.NOT_PRIMARY
            assert not (await cluster.seal("a", 1)).sealed
            assert not await cluster.promote("a", 1)
            assert await texts(idle) == []

    asyncio.run(scenario())


def test_running_statement_fails_when_sealed(tmp_path):
    """A statement that outlives the seal would commit in a term that has ended."""

    async def scenario():
        async with open_cluster(tmp_path, "a", slots=1) as cluster:
            await cluster.promote("a", 1)
            connection = await cluster.connect("a")
            await run(connection, CREATE, term=1)
            workplace = cluster.servers["a"]._workplace
            async with workplace.slots:
                running = asyncio.create_task(failure(run(connection, insert(1), term=1)))
                await until(workplace.write_lock.locked)
                await cluster.seal("a", 2)
            assert (await running).kind == Failure.WRONG_TERM
            assert not workplace.write_lock.locked()
            assert await texts(connection) == []

    asyncio.run(scenario())


def test_diverged_tail_is_truncated_on_rejoin(tmp_path):
    """A returning primary that kept its tail would show writes that were never acknowledged."""

    async def scenario():
        async with open_cluster(tmp_path, "a", "b", "c") as cluster:
            await cluster.promote("a", 1)
            old = await cluster.connect("a")
            await run(old, CREATE, term=1)
            await run(old, insert(1, "common"), term=1)
            await until(lambda: all(s.engine.applied == 3 for s in cluster.servers.values()))
            for target in "bc":
                await cluster.seal(target, 2)
            await run(old, insert(2, "diverged"), term=1)
            address = await cluster.stop("a")
            await cluster.promote("b", 2)
            new = await cluster.connect("b")
            await run(new, insert(3, "new"), term=2)
            await cluster.start("a", address)
            assert not cluster.servers["a"].engine.is_primary
            await cluster.promote("b", 2)
            await until(lambda: cluster.servers["a"].engine.applied == 5)
            rejoined = await cluster.connect("a")
            assert await texts(rejoined, term=2) == ["common", "new"]
            behind = await failure(run(rejoined, term=3, read_only=True))
            assert (behind.kind, behind.not_run) == (Failure.WRONG_TERM, True)

    asyncio.run(scenario())


def test_killed_process_keeps_seal_and_log(tmp_path):
    """A target that forgets its seal on a crash would accept a replaced primary again."""

    async def scenario():
        cluster = Cluster(tmp_path)
        process, address = await spawn("a", tmp_path)
        restarted = None
        try:
            await cluster.driver.admin.promote(address, 1, [], timeout=30)
            ids = {"instance": "i", "instance_incarnation": 1}
            connection = await cluster.driver.connect("a", address, **ids)
            await run(connection, CREATE, insert(1, "kept"), term=1)
            await cluster.driver.admin.seal(address, 4, timeout=30)
            process.kill()
            await process.wait()
            with pytest.raises(ConnectError) as refused:
                await cluster.driver.connect("a", address, **ids)
            assert refused.value.failure is ConnectFailure.REFUSED
            restarted, address = await spawn("a", tmp_path)
            connection = await cluster.driver.connect("a", address, **ids)
            assert await texts(connection) == ["kept"]
            reply = await cluster.driver.admin.seal(address, 3, timeout=30)
            assert (reply.sealed, reply.sealed_term, reply.last.index) == (False, 4, 2)
            connection.close()
            restarted.send_signal(signal.SIGTERM)
            assert await restarted.wait() == 0
        finally:
            for child in (process, restarted):
                if child is not None and child.returncode is None:
                    child.kill()
                    await child.wait()
            await cluster.close()

    asyncio.run(scenario())


def test_ship_delay_is_pipelined(tmp_path):
    """Delays that add up would turn a replication lag of 100 ms into seconds under load."""

    async def scenario():
        async with open_cluster(tmp_path, "a", "b", ship_delay=0.3) as cluster:
            await cluster.promote("a", 1)
            connection = await cluster.connect("a")
            await run(connection, CREATE, term=1)
            started = asyncio.get_running_loop().time()
            for key in range(200):
                await run(connection, insert(key), term=1)
            await until(lambda: cluster.servers["b"].engine.applied == 202)
            # One after the other, 200 delays would take 60 s.
            assert 0.3 <= asyncio.get_running_loop().time() - started < 30

    asyncio.run(scenario())


def test_delays_hold_back_records(tmp_path):
    """Without real lag the rules for reads from replicas would not be tested (D6)."""

    async def scenario():
        async with open_cluster(tmp_path, "a", "b") as cluster:
            follower = cluster.servers["b"].engine
            await cluster.promote("a", 1)
            await until(lambda: follower.applied == 1)
            connection = await cluster.connect("a")
            await cluster.set_fault("b", apply_delay_ms=3_600_000)
            await run(connection, CREATE)
            await until(lambda: follower.received.index == 2)
            await cluster.set_fault("a", ship_delay_ms=3_600_000)
            await run(connection, insert(1))
            await asyncio.sleep(0.3)
            assert (follower.received.index, follower.applied) == (2, 1)
            await cluster.set_fault("a", ship_delay_ms=0)
            await until(lambda: follower.received.index == 3)
            await cluster.set_fault("b", apply_delay_ms=0)
            await until(lambda: follower.applied == 3)

    asyncio.run(scenario())


def test_slots_bound_running_statements(tmp_path):
    """More statements at once than slots would hide overload from the benchmarks."""

    async def scenario():
        async with open_cluster(tmp_path, "a", slots=2, service_time=0.05) as cluster:
            connections = [await cluster.connect("a") for _ in range(6)]
            started = asyncio.get_running_loop().time()
            select = to_statement("SELECT 1")
            await asyncio.gather(*(run(c, select, read_only=True) for c in connections))
            assert asyncio.get_running_loop().time() - started >= 0.15

    asyncio.run(scenario())


def test_connection_limit(tmp_path):
    """A target that takes any number of connections would hide a wrong sum of shares (D9)."""

    async def scenario():
        async with open_cluster(tmp_path, "a", connections=2) as cluster:
            first, _ = await cluster.connect("a"), await cluster.connect("a")
            with pytest.raises(ConnectError) as limited:
                await cluster.connect("a")
            assert limited.value.failure is ConnectFailure.LIMITED
            first.close()
            await until(lambda: len(cluster.servers["a"]._connections) == 1)
            await cluster.connect("a")

    asyncio.run(scenario())


def test_terminate_closes_lower_incarnations(tmp_path):
    """Connections of a frozen holder must end before its share goes to another holder (D9)."""

    async def scenario():
        async with open_cluster(tmp_path, "a") as cluster:
            await cluster.promote("a", 1)
            old, new = await cluster.connect("a", "i", 1), await cluster.connect("a", "i", 2)
            other = await cluster.connect("a", "j", 1)
            await run(old, CREATE, begin=True)
            address = cluster.servers["a"].address
            assert await cluster.driver.admin.terminate(address, "i", 1, timeout=30) == 1
            await until(lambda: not old.is_usable)
            with pytest.raises(ConnectionLost) as lost:
                await run(old, commit=True)
            assert not lost.value.sent
            await run(new, CREATE)
            assert other.is_usable

    asyncio.run(scenario())


def test_transactions_are_never_mixed(tmp_path):
    """Statements of two transactions in one record would break atomicity (G3)."""

    async def scenario():
        async with open_cluster(tmp_path, "a", slots=4) as cluster:
            await cluster.promote("a", 1)
            connections = [await cluster.connect("a") for _ in range(4)]
            await run(connections[0], CREATE, term=1)

            async def transact(number, connection):
                for turn in range(5):
                    key = 100 * number + 10 * turn
                    await run(connection, insert(key, str(number)), term=1, begin=True)
                    await asyncio.sleep(0)
                    await run(connection, insert(key + 1, str(number)), term=1, commit=turn != 2)
                    if turn == 2:
                        await run(connection, rollback=True)

            await asyncio.gather(*(transact(n, c) for n, c in enumerate(connections)))
            log = cluster.servers["a"].engine.log
            written = [r.statements for r in log.read(2, 1000)]
            assert len(written) == 16
            for statements in written:
                assert len({s.parameters[1].text for s in statements}) == 1
                assert len(statements) == 2

    asyncio.run(scenario())


def test_lost_connection_rolls_back(tmp_path):
    """A transaction that survives its connection would hold the write lock for good (D2)."""

    async def scenario():
        async with open_cluster(tmp_path, "a") as cluster:
            await cluster.promote("a", 1)
            lost, other = await cluster.connect("a"), await cluster.connect("a")
            await run(lost, CREATE)
            await run(lost, insert(1), begin=True)
            waiting = asyncio.create_task(run(other, insert(2, "other")))
            await asyncio.sleep(0.05)
            assert not waiting.done()
            lost.close()
            await waiting
            assert await texts(other) == ["other"]

    asyncio.run(scenario())


def test_sql_errors_roll_back_and_are_classified(tmp_path):
    """The duplicate id of D8 must be told apart from other errors."""

    async def scenario():
        async with open_cluster(tmp_path, "a") as cluster:
            await cluster.promote("a", 1)
            connection = await cluster.connect("a")
            await run(connection, CREATE, insert(1, "first"))
            twice = await failure(run(connection, insert(2), insert(1), begin=True))
            assert (twice.kind, twice.not_run) == (Failure.UNIQUE, False)
            assert not connection.in_transaction
            broken = await failure(run(connection, to_statement("SELEC 1")))
            assert broken.kind == Failure.SQL
            hidden = await failure(run(connection, insert(3), read_only=True))
            assert (hidden.kind, hidden.not_run) == (Failure.SQL, True)
            assert (await failure(run(connection, commit=True))).not_run
            assert await texts(connection) == ["first"]

    asyncio.run(scenario())


def test_frozen_target_answers_after_thaw(tmp_path):
    """A frozen target must keep its requests, as a stopped process does."""

    async def scenario():
        async with open_cluster(tmp_path, "a") as cluster:
            connection = await cluster.connect("a")
            await cluster.set_fault("a", freeze=True)
            select = target_pb2.Run(statements=[to_statement("SELECT 1")], read_only=True)
            task = asyncio.create_task(connection.run(select, 30, expected=30))
            sealing = asyncio.create_task(cluster.seal("a", 1))
            await asyncio.sleep(0.05)
            assert not task.done() and not sealing.done()
            await cluster.set_fault("a", freeze=False)
            assert (await task).results[0].row_count == 1
            assert (await sealing).sealed

    asyncio.run(scenario())


def test_leaving_target_refuses_new_work_after_grace(tmp_path, monkeypatch):
    """Work sent to a leaving target would be cut off when it stops (G7)."""
    monkeypatch.setattr("hibiscuspoint.standin.faults.LEAVING_GRACE_S", 0.0)

    async def scenario():
        async with open_cluster(tmp_path, "a") as cluster:
            await cluster.promote("a", 1)
            busy, idle = await cluster.connect("a"), await cluster.connect("a")
            await run(busy, CREATE, begin=True)
            await cluster.set_fault("a", leaving=True)
            refused = await failure(run(idle, to_statement("SELECT 1"), read_only=True))
            assert (refused.kind, refused.not_run) == (Failure.LEAVING, True)
            with pytest.raises(ConnectError) as caught:
                await cluster.connect("a")
            assert caught.value.failure is ConnectFailure.LEAVING
            await run(busy, insert(1), commit=True)

    asyncio.run(scenario())
