"""Tests of the port of the callers where callers have keys, over scripted databases."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest

from hibiscuspoint.load.ports import PortAllocator
from hibiscuspoint.platform import frontend
from hibiscuspoint.platform.frontend import Frontend
from tests.builders_failover import PRIMARY
from tests.components.sessions.harness import DATABASE
from tests.components.sessions.identity import IdentityHarness

#: Grace time in seconds that the tests wait for.
GRACE_SECONDS = 0.2


@asynccontextmanager
async def serving():
    """Run the port of an entry at which ``k1`` is a key."""
    harness = IdentityHarness(lumen=["k1"])
    address = PortAllocator().address()
    port = Frontend(address, harness.service)
    await port.start()
    host, number = address.split(":")
    writers = []

    async def send(*messages: bytes):
        reader, writer = await asyncio.open_connection(host, int(number))
        writers.append(writer)
        writer.write(b"".join(messages))
        return reader, writer

    try:
        yield harness, port, send
    finally:
        for writer in writers:
            writer.close()
        await port.stop()


def _run(scenario, seconds: float = 5.0):
    async def limited():
        async with asyncio.timeout(seconds):
            return await scenario()

    return asyncio.run(limited())


async def _session(send, *statements: str, key: str = "k1"):
    """Open a session and run statements."""
    reader, writer = await send(f"STARTUP {DATABASE} {key}\r\n".encode())
    assert (await reader.readline()).startswith(b"READY")
    for number, text in enumerate(statements):
        writer.write(f"QUERY q{number} {text}\r\n".encode())
        while not (await reader.readline()).startswith(b"READY"):
            pass
    return reader, writer


@pytest.mark.parametrize("key", ["", " ", "k", "k12", "k1 k1", "k1 ", "x" * 1_000_000])
def test_unknown_key_is_refused_and_the_connection_closed(key):
    """Guards against a session without a known key, and against an answer that shows the key."""

    async def scenario():
        async with serving() as (_, _, send):
            reader, _ = await send(f"STARTUP {DATABASE} {key}\r\n".encode())
            return await reader.read()

    assert _run(scenario) == b"ERROR NOAUTH the key is not known\r\n"


@pytest.mark.parametrize(
    "message",
    [b"STARTUP\r\n", b"STARTUP  k1\r\n", b"STARTUP deposits k1", b"STARTUP deposits \xff\r\n",
     b"\x16\x03\x01\r\n", b"STARTUP deposits " + b"k" * 2_000_000 + b"\r\n"],
)  # fmt: skip
def test_malformed_startup_opens_nothing(message):
    """Guards against a session, or a failure of the port, after bytes that are no startup."""

    async def scenario():
        async with serving() as (_, port, send):
            reader, writer = await send(message)
            writer.write_eof()
            try:
                answer = await reader.read()
            except ConnectionError:
                answer = b""
            await _session(send)
            return answer, port.open_sessions

    assert _run(scenario) == (b"", 1)


def test_repeated_startup_changes_nothing():
    """Guards against a session that takes over another key."""

    async def scenario():
        async with serving() as (harness, _, send):
            reader, writer = await _session(send)
            writer.write(f"STARTUP {DATABASE} k2\r\nQUERY q1 READ a\r\n".encode())
            answer = [await reader.readline() for _ in range(5)]
            return answer, harness.organisations

    answer, organisations = _run(scenario)
    assert answer[0].startswith(b"ERROR MALFORMED")
    assert b"k2" not in b"".join(answer)
    assert (answer[2], organisations) == (b"ROW row\r\n", ["lumen"])


def test_idle_session_of_a_revoked_key_is_closed_at_once():
    """Guards against a session that lives as long as its caller is silent."""

    async def scenario():
        async with serving() as (harness, port, send):
            revoked, _ = await _session(send, "READ a")
            harness.configure(3, lumen=["k1", "k2"])
            other, _ = await _session(send, key="k2")
            harness.configure(4, lumen=["k2"])
            assert await revoked.read() == b""
            assert not other.at_eof()
            return port.open_sessions

    assert _run(scenario, 1.0) == 1


def test_statement_that_meets_a_revocation_is_refused_with_an_answer():
    """Guards against a statement that runs with a revoked key, or is cut off without an answer."""

    async def scenario():
        async with serving() as (harness, port, send):
            reader, writer = await _session(send)
            writer.write(b"QUERY q1 READ a\r\n")
            (connection,) = port._connections
            while not connection._reader._buffer:  # noqa: ASYNC110
                await asyncio.sleep(0)
            harness.configure(3, lumen=["k2"])
            return await reader.read(), harness.organisations

    answer, organisations = _run(scenario)
    assert answer.splitlines()[0].startswith(b"ERROR NOAUTH")
    assert organisations == []


def test_refused_key_ends_the_session():
    """Guards against a caller that goes on asking with a refused key on one connection."""

    async def scenario():
        async with serving() as (harness, _, send):
            reader, writer = await _session(send)
            harness.service.watch_revocations(lambda: 0)
            harness.configure(3, lumen=["k2"])
            writer.write(b"QUERY q1 BEGIN\r\n")
            return await reader.read()

    assert _run(scenario) == b"ERROR NOAUTH the key is not known\r\nREADY I -\r\n"


def test_open_transaction_may_end_in_the_grace_time():
    """Guards against a transaction that a change of keys interrupts."""

    async def scenario():
        async with serving() as (harness, _, send):
            reader, writer = await _session(send, "BEGIN", "WRITE a x")
            harness.configure(3, lumen=["k2"])
            writer.write(b"QUERY q COMMIT\r\n")
            return await reader.read(), harness.targets[PRIMARY].log[-1][0]

    answer, last = _run(scenario, 1.5)
    assert b"ERROR" not in answer
    assert last == "COMMIT"


@pytest.mark.parametrize("delay", [0.0, 2 * GRACE_SECONDS])
def test_open_transaction_ends_with_the_grace_time(delay, monkeypatch):
    """Guards against a transaction that goes on with a revoked key while its caller is active.

    A statement that runs when the time is over is answered first.
    """
    monkeypatch.setattr(frontend, "REVOCATION_GRACE_SECONDS", GRACE_SECONDS)

    async def scenario():
        async with serving() as (harness, port, send):
            reader, writer = await _session(send, "BEGIN", "WRITE a x")
            harness.targets[PRIMARY].delay = delay
            harness.configure(3, lumen=["k2"])
            if delay:
                writer.write(b"QUERY q READ a\r\n")
            answer = await reader.read()
            while port.open_sessions:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            return answer, [text for text, _ in harness.targets[PRIMARY].log]

    answer, log = _run(scenario)
    assert log == ["BEGIN", "WRITE a x", *(["READ a"] if delay else []), "ROLLBACK"]
    assert answer.startswith(b"ROW" if delay else b"")


def test_transaction_goes_on_when_its_key_returns(monkeypatch):
    """Guards against a rollback for a key that the configuration in force contains."""
    monkeypatch.setattr(frontend, "REVOCATION_GRACE_SECONDS", GRACE_SECONDS)

    async def scenario():
        async with serving() as (harness, _, send):
            reader, writer = await _session(send, "BEGIN", "WRITE a x")
            harness.configure(3, lumen=["k2"])
            harness.configure(4, lumen=["k1", "k2"])
            await asyncio.sleep(2 * GRACE_SECONDS)
            writer.write(b"QUERY q COMMIT\r\n")
            return await reader.readline()

    assert _run(scenario) == b"ROW row\r\n"
