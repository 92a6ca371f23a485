"""Tests of the answers on one connection to a database that repeats some of them."""

from __future__ import annotations

import asyncio
import random
import time

import pytest

from hibiscuspoint.components.runtime import SystemClock
from hibiscuspoint.components.sessions.connection import PooledConnection
from hibiscuspoint.core.sessions import Failure, SessionContext, SessionState
from hibiscuspoint.drivers.answer_monitor import AnswerMonitor
from hibiscuspoint.drivers.errors import AnswerDoubtful, AnswerUnclear, ConnectionLost
from hibiscuspoint.ids import GroupId, TargetId
from hibiscuspoint.platform import wire
from hibiscuspoint.platform.database import DatabaseConnection, DatabaseDriver
from hibiscuspoint.telemetry import Metrics
from tests.platform.scripted_database import ScriptedDatabase, signed, unsigned

TIMEOUT_SECONDS = 2.0

#: Longest time in seconds until the database of a test repeats an answer.
LATE_SECONDS = 0.03


async def _connect(database: ScriptedDatabase) -> DatabaseConnection:
    driver = DatabaseDriver()
    return await driver.connect(GroupId("g"), TargetId("i-0"), database.address, TIMEOUT_SECONDS)


async def _run(connection: DatabaseConnection, number: int, text: str):
    statement = wire.parse_statement(f"QUERY r{number} {text}\r\n".encode())
    return await connection.run(statement, timeout=TIMEOUT_SECONDS)


@pytest.mark.parametrize("pause", [0.0, 0.01, 0.05])
def test_no_statement_gets_the_repeated_answer_of_another(pause):
    """Guards against the answer of an earlier statement, which came again 0 to 30 ms later."""
    source = random.Random(7)

    def script(request: str, text: str):
        return signed(request), [source.uniform(0.0, LATE_SECONDS)]

    async def scenario():
        async with ScriptedDatabase(script, work_seconds=0.004).serve() as database:
            connection = await _connect(database)
            for number in range(12):
                if not connection.is_open:
                    connection = await _connect(database)
                reply = await _run(connection, number, "READ a")
                assert (reply.rows, reply.signature) == ((f"row-r{number}",), f"sig-r{number}")
                await asyncio.sleep(pause)
            connection.close()
            return database

    database = asyncio.run(scenario())
    assert database.connections > 1


def test_transaction_outlives_repetitions_of_its_answers():
    """Guards against a transaction that is lost although its answers can be told apart."""

    def script(request: str, text: str):
        if text == "BEGIN":
            return unsigned("T"), [0.005]
        return signed(request, "I" if text == "COMMIT" else "T"), [0.0, 0.01]

    async def scenario():
        async with ScriptedDatabase(script, [0.002]).serve() as database:
            connection = await _connect(database)
            await _run(connection, 0, "BEGIN")
            for number, text in enumerate(["WRITE a 1", "READ a", "WRITE b 2", "COMMIT"], 1):
                reply = await _run(connection, number, text)
                assert reply.signature == f"sig-r{number}"
                await asyncio.sleep(0.004)
            assert not connection.is_open
            return database.texts

    assert asyncio.run(scenario()) == ["BEGIN", "WRITE a 1", "READ a", "WRITE b 2", "COMMIT"]


@pytest.mark.parametrize("is_answered", [False, True], ids=["lost", "late"])
@pytest.mark.parametrize("is_open", [False, True])
def test_refusal_like_an_earlier_one_is_not_relied_on(is_open, is_answered):
    """Guards against "not run" for a write that runs, as the refusal answers an earlier one.

    The second write is answered late or never; the refusal of the first one comes again before.
    """
    state = "T" if is_open else "I"
    refused = f"ERROR BUSY i-0\r\nREADY {state} 1.1\r\n", [0.02]
    written = (signed("r2", state), []) if is_answered else ("", [])
    answers = {"BEGIN": (unsigned("T", "1.0"), []), "WRITE a 1": refused, "WRITE a 2": written}

    async def scenario():
        script = lambda request, text: answers.get(text, ("", []))  # noqa: E731
        async with ScriptedDatabase(script, work_seconds=0.03).serve() as database:
            connection = PooledConnection(await _connect(database), SystemClock(), lambda _: None)

            async def run(number: int, text: str):
                statement = wire.parse_statement(f"QUERY r{number} {text}\r\n".encode())
                return await connection.run(statement, SessionContext(), time.monotonic() + 0.3)

            if is_open:
                await run(0, "BEGIN")
            assert (await run(1, "WRITE a 1")).error.failure is Failure.OVERLOADED
            if is_answered and not is_open:
                assert (await run(2, "WRITE a 2")).signature == "sig-r2"
            else:
                with pytest.raises(AnswerUnclear):
                    await run(2, "WRITE a 2")
            assert not connection.is_open

    asyncio.run(scenario())


@pytest.mark.parametrize("behind", [unsigned("I", "1.2"), signed("r2")], ids=["step", "own"])
def test_answer_in_front_of_the_question_behind_a_refusal_settles_nothing(behind):
    """Guards against an answer that came with a refusal, as that to the question behind it."""
    refused = "ERROR BUSY i-0\r\nREADY I 1.1\r\n"
    answers = {"WRITE a 1": refused, "WRITE a 2": refused + behind, "RESET": unsigned("I", "1.3")}

    async def scenario():
        async with ScriptedDatabase(lambda request, text: (answers[text], [])).serve() as database:
            connection = await _connect(database)
            await _run(connection, 1, "WRITE a 1")
            with pytest.raises(AnswerDoubtful):
                await _run(connection, 2, "WRITE a 2")
            with pytest.raises(AnswerUnclear):
                await connection.settle(TIMEOUT_SECONDS)
            assert not connection.is_open

    asyncio.run(scenario())


def test_begin_is_not_taken_for_an_earlier_one():
    """Guards against writes that take effect by themselves after a ``BEGIN`` that was refused."""
    begun = iter([(unsigned("T"), [0.02]), ("", [])])

    def script(request: str, text: str):
        return next(begun) if text == "BEGIN" else (signed(request), [])

    async def scenario():
        async with ScriptedDatabase(script).serve() as database:
            connection = await _connect(database)
            await _run(connection, 0, "BEGIN")
            await _run(connection, 1, "COMMIT")
            with pytest.raises(AnswerUnclear):
                await _run(connection, 2, "BEGIN")

    asyncio.run(scenario())


@pytest.mark.parametrize("part", ["ROW x\r\n", "ROW"])
def test_statement_is_not_sent_behind_part_of_an_answer(part):
    """Guards against rows of a repetition that was cut off in the answer of another statement."""

    def script(request: str, text: str):
        return signed(request) + part, []

    async def scenario():
        async with ScriptedDatabase(script).serve() as database:
            connection = await _connect(database)
            await _run(connection, 1, "READ a")
            await asyncio.sleep(0.01)
            with pytest.raises(ConnectionLost) as error:
                await _run(connection, 2, "READ b")
            assert not error.value.sent
            assert not connection.is_open
            return database.texts

    assert asyncio.run(scenario()) == ["READ a"]


def test_repeated_status_is_told_from_a_new_one():
    """Guards against a position that is taken for newer than the answer that states it."""
    row = "ROW primary 1 1.1 0 0 0 1\r\nCOMPLETE -\r\nREADY I 1.1\r\n"
    rows = iter([row, row, row.replace("1.1 0", "1.2 0")])

    async def scenario():
        async with ScriptedDatabase(lambda request, text: (next(rows), [])).serve() as database:
            connection = await _connect(database)
            return [await connection.status(TIMEOUT_SECONDS) for _ in range(3)]

    first, second, third = asyncio.run(scenario())
    # The third one may be the answer to the second poll, after a repetition of the first.
    assert [answer.is_new for answer in (first, second, third)] == [True, False, False]
    assert second.status.states_same_facts(first.status)
    assert not third.status.states_same_facts(first.status)


def test_long_and_split_messages_are_read_whole():
    """Guards against a message that is cut where its bytes arrive in parts."""
    row = "x" * (wire.LINE_BYTES - len("ROW \r\n"))

    def script(request: str, text: str):
        if text == "READ long":
            return f"ROW {row}\r\nCOMPLETE s-{request}\r\nREADY I 1.1\r\n", []
        return f"ROW {row}y\r\nCOMPLETE s-{request}\r\nREADY I 1.1\r\n", []

    async def scenario():
        async with ScriptedDatabase(script).serve() as database:
            connection = await _connect(database)
            reply = await _run(connection, 1, "READ long")
            assert reply.rows == (row,)
            assert reply.state is SessionState.IDLE
            with pytest.raises(ConnectionLost):
                await _run(connection, 2, "READ longer")

    asyncio.run(scenario())


@pytest.mark.parametrize("is_cancelled", [False, True])
def test_connection_is_not_used_again_while_an_answer_is_due(is_cancelled):
    """Guards against the answer of a statement that was given up, as that of the next one."""

    async def scenario():
        async with ScriptedDatabase(lambda request, text: ("", [])).serve() as database:
            connection = await _connect(database)
            statement = wire.parse_statement(b"QUERY r1 READ a\r\n")
            task = asyncio.create_task(connection.run(statement, timeout=0.02))
            if is_cancelled:
                await asyncio.sleep(0)
                task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            assert not connection.is_open
            with pytest.raises(ConnectionLost) as error:
                await _run(connection, 2, "READ b")
            assert not error.value.sent

    asyncio.run(scenario())


def test_answers_that_are_not_taken_are_counted_and_logged(caplog):
    """Guards against repetitions that no operator sees, and against a line for each of them."""
    metrics = Metrics()

    async def scenario():
        driver = DatabaseDriver()
        driver.set_answer_monitor(AnswerMonitor(SystemClock(), metrics))
        script, repeats = lambda request, text: (signed(request, "T"), [0.0, 0.0, 0.0]), ()
        async with ScriptedDatabase(script, repeats).serve() as database:
            connection = await driver.connect(
                GroupId("g"), TargetId("i-0"), database.address, TIMEOUT_SECONDS
            )
            await _run(connection, 1, "READ a")
            await asyncio.sleep(0.02)

    with caplog.at_level("INFO"):
        asyncio.run(scenario())
    value = metrics.answers_rejected.labels("repeated")._value.get()
    assert value == 3
    assert [r.target for r in caplog.records if getattr(r, "number", 0) == 417] == ["i-0"]
