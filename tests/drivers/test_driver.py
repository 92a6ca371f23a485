"""Tests of the stand-in driver."""

from __future__ import annotations

import asyncio

import grpc
import pytest

from hibiscuspoint.drivers import (
    AdminError,
    ConnectError,
    ConnectFailure,
    ConnectionLost,
    StandinDriver,
    target_drivers,
)
from hibiscuspoint.drivers.standin import StandinDriverConfig
from hibiscuspoint.standin.values import to_row, to_statement
from hibiscuspoint.wire import target_pb2, target_pb2_grpc
from hibiscuspoint.wire.digest import digest_rows
from tests.standin.harness import CREATE, insert, open_cluster, run, until

SERIES = (
    "WITH RECURSIVE s(n) AS (SELECT 1 UNION ALL SELECT n + 1 FROM s WHERE n < ?)"
    " SELECT n, printf('%0200d', n) FROM s"
)


class DamagedTarget(target_pb2_grpc.TargetServicer):
    """Answers every run with a reply that a test prepared."""

    def __init__(self, damage) -> None:
        self._damage = damage

    async def Open(self, requests, context):
        async for request in requests:
            reply = target_pb2.ConnectionReply(request_id=request.request_id)
            if request.HasField("hello"):
                self._incarnation = request.hello.connection_incarnation
                reply.welcome.target = "a"
            reply.connection_incarnation = self._incarnation
            if request.HasField("hello"):
                yield reply
                continue
            rows = [to_row([1]), to_row([2])]
            end = target_pb2.StatementEnd(row_count=2, digest=digest_rows(rows))
            replies = [target_pb2.ConnectionReply(), target_pb2.ConnectionReply()]
            for each in replies:
                each.CopyFrom(reply)
            replies[0].rows.rows.extend(rows)
            replies[1].end.statements.append(end)
            self._damage(replies)
            for each in replies:
                yield each


def lose_row(replies):
    del replies[0].rows.rows[1]


def change_value(replies):
    replies[0].rows.rows[0].values[0].integer = 7


def add_statement(replies):
    replies[1].end.statements.add()


def move_rows(replies):
    replies[0].rows.statement_index = 1


def change_request(replies):
    replies[1].request_id -= 1


def change_connection(replies):
    replies[1].connection_incarnation -= 1


DAMAGES = [lose_row, change_value, add_statement, move_rows, change_request, change_connection]


@pytest.mark.parametrize("damage", DAMAGES)
def test_answer_that_is_not_whole_closes_the_connection(damage):
    """A partial or foreign answer must not reach a caller (G4)."""

    async def scenario():
        server = grpc.aio.server()
        target_pb2_grpc.add_TargetServicer_to_server(DamagedTarget(damage), server)
        address = f"127.0.0.1:{server.add_insecure_port('127.0.0.1:0')}"
        await server.start()
        driver = StandinDriver.from_config(StandinDriverConfig(connect_timeout=30))
        ids = {"instance": "i", "instance_incarnation": 1}
        connection = await driver.connect("a", address, **ids)
        with pytest.raises(ConnectionLost) as lost:
            await run(connection, to_statement("SELECT 1"))
        assert lost.value.sent
        assert not connection.is_usable
        await server.stop(0)

    asyncio.run(scenario())


def test_large_answer_arrives_whole(tmp_path):
    """Answers beyond one part must be put together in order."""

    async def scenario():
        async with open_cluster(tmp_path, "a") as cluster:
            connection = await cluster.connect("a")
            series = to_statement(SERIES, 5000)
            result = await run(connection, to_statement("SELECT 1"), series, read_only=True)
            numbers = [row.values[0].integer for row in result.results[1].rows]
            assert numbers == list(range(1, 5001))
            assert result.results[0].row_count == 1

    asyncio.run(scenario())


def test_silent_connection_is_detected_while_a_new_one_works(tmp_path):
    """A connection that went silent would hold its request until the timeout (D11)."""

    async def scenario():
        async with open_cluster(tmp_path, "a") as cluster:
            lost_streams = []
            address = cluster.servers["a"].address
            progress = []
            watch = cluster.driver.watch(
                address, progress.append, on_lost=lambda: lost_streams.append(1)
            )
            await until(lambda: progress)
            silent = await cluster.connect("a")
            await cluster.set_fault("a", silence_connections=True)
            with pytest.raises(ConnectionLost, match="silent") as lost:
                await run(silent, to_statement("SELECT 1"), read_only=True)
            assert lost.value.sent
            fresh = await cluster.connect("a")
            await run(fresh, to_statement("SELECT 1"), read_only=True)
            await until(lambda: lost_streams)
            await until(lambda: watch.sample(8) or any(p.sample_id == 8 for p in progress))
            watch.close()

    asyncio.run(scenario())


def test_watch_reports_samples_that_a_failed_attempt_did_not_send(tmp_path):
    """A sample dropped with an attempt to connect would be waited for until it times out."""

    async def scenario():
        async with open_cluster(tmp_path, "a") as cluster:
            address = await cluster.stop("a")
            losses = []
            watch = cluster.driver.watch(address, print, on_lost=lambda: losses.append(1))
            for attempts in (1, 2):
                watch.sample(attempts)
                await until(lambda: len(losses) >= attempts)  # noqa: B023 - awaited at once
            watch.close()

    asyncio.run(scenario())


def test_pong_keeps_a_slow_answer_alive(tmp_path):
    """A slow statement must not be taken for a dead connection."""

    async def scenario():
        async with open_cluster(tmp_path, "a", service_time=2.5) as cluster:
            connection = await cluster.connect("a")
            result = await run(connection, to_statement("SELECT 1"), read_only=True)
            assert result.results[0].row_count == 1
            assert connection.is_usable

    asyncio.run(scenario())


def test_timeout_and_cancellation_close_the_connection(tmp_path):
    """A connection that owes an answer must never serve another request (D1)."""

    async def scenario():
        async with open_cluster(tmp_path, "a", service_time=60.0) as cluster:
            late, cancelled = await cluster.connect("a"), await cluster.connect("a")
            request = target_pb2.Run(statements=[to_statement("SELECT 1")], read_only=True)
            with pytest.raises(ConnectionLost, match="time") as lost:
                await late.run(request, 0.05)
            assert lost.value.sent
            task = asyncio.create_task(cancelled.run(request, 30))
            await asyncio.sleep(0.05)
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            for connection in (late, cancelled):
                assert not connection.is_usable
                with pytest.raises(ConnectionLost) as again:
                    await connection.run(request, 30)
                assert not again.value.sent

    asyncio.run(scenario())


def test_positions_of_writes_and_reads(tmp_path):
    """A wrong position would break read-your-writes (G1)."""

    async def scenario():
        async with open_cluster(tmp_path, "a") as cluster:
            await cluster.promote("a", 3)
            connection = await cluster.connect("a")
            written = await run(connection, CREATE, insert(1), term=3, begin=True, commit=True)
            assert (written.position.term, written.position.index) == (3, 2)
            seen = await run(connection, to_statement("SELECT 1"), term=3, read_only=True)
            assert seen.position == written.position
            await run(connection, insert(2), term=3, begin=True)
            assert connection.in_transaction
            await run(connection, rollback=True)
            assert not connection.in_transaction

    asyncio.run(scenario())


def test_refused_and_wrong_targets(tmp_path):
    """Control promotes at once on refused connections, so they must be told apart (D4)."""

    async def scenario():
        async with open_cluster(tmp_path, "a") as cluster:
            ids = {"instance": "i", "instance_incarnation": 1}
            with pytest.raises(ConnectError) as wrong:
                await cluster.driver.connect("b", cluster.servers["a"].address, **ids)
            assert wrong.value.failure is ConnectFailure.REFUSED
            address = await cluster.stop("a")
            with pytest.raises(ConnectError) as refused:
                await cluster.driver.connect("a", address, **ids)
            assert refused.value.failure is ConnectFailure.REFUSED
            with pytest.raises(AdminError) as unanswered:
                await cluster.driver.admin.seal(address, 1, timeout=30)
            assert unanswered.value.is_refused

    asyncio.run(scenario())


def test_target_that_accepts_late_is_not_refused():
    """A busy target taken for a dead one would be replaced on its first slow connection (D4)."""

    async def scenario():
        async def stay_silent(reader, writer):
            await reader.read()
            writer.close()

        server = await asyncio.start_server(stay_silent, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        driver = StandinDriver.from_config(StandinDriverConfig(connect_timeout=0.5))
        with pytest.raises(ConnectError) as late:
            await driver.connect("a", address, instance="i", instance_incarnation=1)
        assert late.value.failure is ConnectFailure.TIMED_OUT
        with pytest.raises(AdminError) as unanswered:
            await driver.admin.seal(address, 1, timeout=0.5)
        assert not unanswered.value.is_refused
        await driver.close()
        server.close()

    asyncio.run(scenario())


def test_driver_is_registered():
    """Documents name the driver."""
    assert target_drivers.get("standin") is StandinDriver
