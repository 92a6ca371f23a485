"""Tests of the limits on the requests of a caller, over real gRPC calls."""

from __future__ import annotations

import asyncio
import logging

import pytest

from hibiscuspoint.wire import caller_pb2, common_pb2
from tests.components.entry_harness import GROUP, EntryHarness

SMALL = {"message_bytes": 65_536, "statement_bytes": 1_024, "open_transactions_per_caller": 1}


def _request(sql: str = "SELECT 1", blob: bytes = b"") -> caller_pb2.ExecuteRequest:
    statement = common_pb2.Statement(sql=sql, parameters=[common_pb2.Value(blob=blob)])
    return caller_pb2.ExecuteRequest(
        call_id=7, caller="mill", group=GROUP, statements=[statement], timeout_ms=60_000
    )


def _begin(**parts) -> caller_pb2.TransactRequest:
    return caller_pb2.TransactRequest(begin=_request(**parts))


def _expect_refusal(reply, caplog, limit: str, caller: str = "mill", times: int = 1) -> None:
    assert (reply.verdict, reply.error.code) == (common_pb2.NOT_RUN, "HP2012")
    _expect_event(caplog, limit, caller, times)


def _expect_event(caplog, limit: str, caller: str = "mill", times: int = 1) -> None:
    # gRPC may log errors about the closed event loop of an earlier test to the asyncio logger.
    own = [record for record in caplog.records if record.name.startswith("hibiscuspoint.")]
    events = [record for record in own if record.event == "limit-reached"]
    assert [(event.number, event.limit, event.caller) for event in events] == [
        (503, limit, caller)
    ] * times


@pytest.mark.parametrize(
    ("request_parts", "limit"),
    [
        ({"blob": bytes(65_536)}, "message_bytes"),
        ({"sql": "x" * 1_025}, "statement_bytes"),
        # The limit is in bytes, not in characters.
        ({"sql": "é" * 513}, "statement_bytes"),
    ],
)
def test_large_requests_are_refused(caplog, request_parts, limit):
    """Guards against a caller whose large requests exhaust the memory of entries and targets."""
    harness = EntryHarness(**SMALL)

    async def run():
        async with harness.serve() as stub:
            await stub.Execute(_request(sql="é" * 512))
            reply = await stub.Execute(_request(**request_parts))
            first = await stub.Transact(iter([_begin(**request_parts)])).read()
            assert first.error == reply.error
            return reply

    reply = asyncio.run(run())
    assert (reply.call_id, harness.holders.call_count) == (7, 1)
    _expect_refusal(reply, caplog, limit, times=2)


def test_large_step_ends_the_transaction(caplog):
    """Guards against a step that is refused with NOT_RUN although earlier steps were sent (D1)."""
    harness = EntryHarness(**SMALL)
    run = caller_pb2.TransactStep(call_id=8, statements=[common_pb2.Statement(sql="x" * 1_025)])

    async def exchange():
        async with harness.serve() as stub:
            call = stub.Transact(iter([_begin(), caller_pb2.TransactRequest(run=run)]))
            return [reply async for reply in call]

    reply = asyncio.run(exchange())[-1]
    assert (reply.call_id, reply.error.code) == (8, "HP2012")
    assert (reply.verdict, reply.error.rolled_back) == (common_pb2.MAY_HAVE_RUN, True)
    assert harness.holders.call_count == 1
    _expect_event(caplog, "statement_bytes")


def test_open_transactions_of_a_caller_are_limited(caplog):
    """Guards against a caller that occupies all connections with open transactions."""
    harness = EntryHarness(**SMALL)

    async def run():
        async with harness.serve() as stub:
            first = stub.Transact()
            await first.write(_begin())
            await first.read()
            refused = await stub.Transact(iter([_begin()])).read()
            other = _begin()
            other.begin.caller = "shop"
            assert not (await stub.Transact(iter([other])).read()).error.code
            await first.write(caller_pb2.TransactRequest(end=caller_pb2.TransactEnd(commit=True)))
            await first.read()
            assert await first.read() is not None
            # The end of a transaction permits the caller to open another one.
            assert not (await stub.Transact(iter([_begin()])).read()).error.code
            return refused

    _expect_refusal(asyncio.run(run()), caplog, "open_transactions_per_caller")


def test_stream_without_first_request_ends(caplog):
    """Guards against idle streams that delay the drain before a planned stop."""
    harness = EntryHarness(**SMALL, first_request_seconds=0.1)

    async def run():
        async with harness.serve() as stub:
            return await stub.Transact(timeout=60).read()

    _expect_refusal(asyncio.run(run()), caplog, "first_request_seconds", caller="")


@pytest.fixture(autouse=True)
def _warnings(caplog):
    caplog.set_level(logging.WARNING, logger="hibiscuspoint.components.entry")
