"""Tests of the port of the callers when the instance stops or sends its callers elsewhere."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest

from hibiscuspoint.core.sessions import Reply, SessionState, StatementKind
from hibiscuspoint.load.ports import PortAllocator
from hibiscuspoint.platform import wire
from hibiscuspoint.platform.frontend import Frontend


class _Session:
    is_refused = False
    is_revoked = False

    def __init__(self) -> None:
        self.state = SessionState.IDLE

    async def close(self) -> None:
        """Free the session."""


class _Service:
    """Runs every statement at once, but for the one with the id ``slow``."""

    def __init__(self) -> None:
        self.transaction_idle_seconds = 3.0
        self.executed: list[str] = []
        self.texts: list[str] = []
        #: What happened, in its order.
        self.events: list[str] = []
        self.may_answer = asyncio.Event()
        self.may_roll_back = asyncio.Event()
        self.may_roll_back.set()

    def watch_revocations(self, close_revoked) -> None:
        """No configuration takes effect."""

    async def open(self, database: str, key: str) -> _Session:
        """Open a session."""
        return _Session()

    async def execute(self, session: _Session, statement) -> Reply:
        """Answer a statement."""
        self.executed.append(statement.request_id)
        self.texts.append(statement.text)
        self.events.append(statement.request_id)
        if statement.kind is StatementKind.BEGIN:
            session.state = SessionState.IN_TRANSACTION
        if statement.request_id == "slow":
            await self.may_answer.wait()
            self.events.append("answered")
        return Reply(("row",), "signature", state=session.state)

    async def abort(self, session: _Session, reason: str) -> None:
        """Roll back."""
        if session.state is not SessionState.IN_TRANSACTION:
            return
        self.events.append("rollback")
        await self.may_roll_back.wait()
        session.state = SessionState.FAILED
        self.events.append("rolled back")


@asynccontextmanager
async def serving():
    address = PortAllocator().address()
    service = _Service()
    port = Frontend(address, service)
    await port.start()
    host, number = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(number))
    writer.write(b"STARTUP lepu270 test\r\n")
    await reader.readline()
    try:
        yield port, service, reader, writer
    finally:
        writer.close()
        await port.stop()


async def _received(port: Frontend) -> None:
    """Wait until bytes of the caller are in the receive buffer of its connection."""
    (connection,) = port._connections
    while not connection._reader._buffer:  # noqa: ASYNC110
        await asyncio.sleep(0)


@pytest.mark.parametrize("act", [Frontend.close_when_idle, Frontend.close_idle])
def test_statement_that_has_just_arrived_is_answered(act):
    """Guards against a statement that is cut off without an answer by a planned stop.

    It was received, but the task of its connection had not read it yet.
    """

    async def scenario():
        async with serving() as (port, service, reader, writer):
            writer.write(b"QUERY q1 READ item\r\n")
            await _received(port)
            act(port)
            return await reader.read(), service.executed

    answer, executed = asyncio.run(scenario())
    assert executed == ["q1"]
    assert answer.splitlines()[-1].startswith(b"READY")


@pytest.mark.parametrize("act", [Frontend.close_when_idle, Frontend.close_idle])
def test_idle_connection_is_closed(act):
    async def scenario():
        async with serving() as (port, _, reader, _):
            act(port)
            async with asyncio.timeout(5.0):
                return await reader.read()

    assert asyncio.run(scenario()) == b""


def test_half_a_statement_is_neither_run_nor_answered():
    """Guards against a statement that runs with its text cut short."""

    async def scenario():
        async with serving() as (port, service, reader, writer):
            writer.write(b"QUERY q1 WRITE item da")
            await _received(port)
            port.close_when_idle()
            return await reader.read(), service.executed

    assert asyncio.run(scenario()) == (b"", [])


@pytest.mark.parametrize(
    "text", ["WRITE item x\r", "WRITE item x\r\r", "WRITE item x\ny", "READ \n"]
)
def test_text_ends_with_cr_lf_alone(text):
    """Guards against a statement that runs with its text cut short."""

    async def scenario():
        async with serving() as (_, service, reader, writer):
            writer.write(f"QUERY q1 {text}\r\nQUERY q2 {text}\r\nTERMINATE\r\n".encode())
            async with asyncio.timeout(5.0):
                await reader.read()
            return service.texts

    assert asyncio.run(scenario()) == [text, text]


@pytest.mark.parametrize(("excess", "runs"), [(0, 1), (1, 0)])
def test_message_is_at_most_a_mebibyte(excess, runs):
    """Guards against a message that is refused or cut though the protocol allows its length."""
    start, end = b"QUERY q1 WRITE item ", wire.MESSAGE_END
    message = start + b"x" * (wire.LINE_BYTES + excess - len(start + end)) + end

    async def scenario():
        async with serving() as (_, service, reader, writer):
            # Sent in parts, so that the end arrives alone.
            writer.write(message[:-1])
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.write(message[-1:] + b"TERMINATE" + end)
            async with asyncio.timeout(5.0):
                await _read_to_end(reader)
            return service.texts

    assert asyncio.run(scenario()) == [message[9:-2].decode()] * runs


async def _begin(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Open a transaction and read the whole answer."""
    writer.write(b"QUERY q1 BEGIN\r\n")
    while not (await reader.readline()).startswith(b"READY"):
        pass


async def _happened(service: _Service, event: str) -> None:
    while event not in service.events:  # noqa: ASYNC110
        await asyncio.sleep(0.001)


async def _read_to_end(reader: asyncio.StreamReader) -> bytes:
    try:
        return await reader.read()
    except ConnectionError:
        return b""


@pytest.mark.parametrize("idle_seconds", [3.0, 0.01])
def test_statement_during_the_rollback_of_a_stop_does_not_run(idle_seconds):
    """Guards against a statement that runs at a target behind the rollback of its transaction.

    The idle limit may have begun the rollback before the instance stops.
    """

    async def scenario():
        async with serving() as (port, service, reader, writer):
            service.transaction_idle_seconds = idle_seconds
            service.may_roll_back.clear()
            await _begin(reader, writer)
            if idle_seconds < 1.0:
                await _happened(service, "rollback")
            port.end_sessions()
            await _happened(service, "rollback")
            writer.write(b"QUERY q2 WRITE item data\r\n")
            await asyncio.sleep(0.05)
            service.may_roll_back.set()
            async with asyncio.timeout(5.0):
                await _read_to_end(reader)
            return service.events

    assert asyncio.run(scenario()) == ["q1", "rollback", "rolled back"]


def test_statement_received_before_the_rollback_is_refused_with_a_promise():
    """Guards against a commit that is cut off by a stop, so that its caller cannot repeat it."""

    async def scenario():
        async with serving() as (port, service, reader, writer):
            await _begin(reader, writer)
            writer.write(b"QUERY q2 COMMIT\r\n")
            connection = next(iter(port._connections))
            while not connection._reader._buffer:  # noqa: ASYNC110
                await asyncio.sleep(0)
            port.end_sessions()
            return await reader.read(), service.executed

    answer, executed = asyncio.run(scenario())
    assert executed == ["q1"]
    assert answer.splitlines()[0].startswith(b"ERROR ABORTED")


def test_transaction_with_a_statement_in_progress_ends_after_its_answer():
    """Guards against a transaction that a stop leaves open until the process ends."""

    async def scenario():
        async with serving() as (port, service, reader, writer):
            # The idle limit must not end the transaction in place of the stop.
            service.transaction_idle_seconds = 30.0
            await _begin(reader, writer)
            writer.write(b"QUERY slow READ item\r\n")
            await _happened(service, "slow")
            port.end_sessions()
            await asyncio.sleep(0.01)
            service.may_answer.set()
            async with asyncio.timeout(5.0):
                return await reader.read(), service.events

    answer, events = asyncio.run(scenario())
    assert answer.splitlines()[1].startswith(b"COMPLETE")
    assert events == ["q1", "slow", "answered", "rollback", "rolled back"]


def test_caller_does_not_wait_for_the_rollback_of_a_stop():
    """Guards against a statement that a caller sends into a session that has ended."""

    async def scenario():
        async with serving() as (port, service, reader, writer):
            service.may_roll_back.clear()
            await _begin(reader, writer)
            port.end_sessions()
            async with asyncio.timeout(5.0):
                rest = await reader.read()
            service.may_roll_back.set()
            return rest

    assert asyncio.run(scenario()) == b""
