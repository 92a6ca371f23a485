"""Tests of the port of the callers when the instance stops or sends its callers elsewhere."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest

from hibiscuspoint.core.sessions import Reply, SessionState
from hibiscuspoint.load.ports import PortAllocator
from hibiscuspoint.platform.frontend import Frontend


class _Session:
    state = SessionState.IDLE
    is_refused = False
    is_revoked = False

    async def close(self) -> None:
        """Free the session."""


class _Service:
    """Runs every statement at once."""

    transaction_idle_seconds = 3.0

    def __init__(self) -> None:
        self.executed: list[str] = []

    def watch_revocations(self, close_revoked) -> None:
        """No configuration takes effect."""

    async def open(self, database: str, key: str) -> _Session:
        """Open a session."""
        return _Session()

    async def execute(self, session: _Session, statement) -> Reply:
        """Answer a statement."""
        self.executed.append(statement.request_id)
        return Reply(("row",), "signature")

    async def abort(self, session: _Session, reason: str) -> None:
        """Roll back."""


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
