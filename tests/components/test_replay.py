"""Tests of replayed results whose rows were too large to be recorded (design D8)."""

from __future__ import annotations

import asyncio
import time

import pytest

from hibiscuspoint.components.forwarding import forward_reply, result_from_forward
from hibiscuspoint.components.holder import GroupResult
from hibiscuspoint.core.entry import MAX_OUTCOME_BYTES
from hibiscuspoint.ids import RequestId, TargetId
from hibiscuspoint.standin.values import to_statement
from hibiscuspoint.wire import caller_pb2, common_pb2
from tests.builders import position
from tests.builders_entry import result_set
from tests.components.entry_harness import GROUP, EntryHarness
from tests.components.holder_harness import group_request, open_holder

INSERT = "INSERT INTO t VALUES (1, ?) RETURNING v"


@pytest.mark.parametrize("size", [10, MAX_OUTCOME_BYTES])
def test_holder_tells_which_replays_have_no_rows(tmp_path, size):
    """Guards against a replay without rows that looks like a complete answer (G4)."""
    text = "x" * size

    async def scenario():
        async with open_holder(tmp_path, "a") as (holder, _):
            create = to_statement("CREATE TABLE t (id INTEGER PRIMARY KEY, v TEXT)")
            await holder.execute(group_request(create))
            issued = {"request_id": RequestId("one"), "issued_at_ms": int(time.time() * 1000)}
            request = group_request(to_statement(INSERT, text), **issued)
            return [await holder.execute(request) for _ in range(2)]

    first, second = asyncio.run(scenario())
    assert (first.replayed, first.without_rows) == (False, False)
    assert first.results[0].rows[0].values[0].text == text
    assert (second.replayed, second.without_rows) == (True, size >= MAX_OUTCOME_BYTES)
    assert second.results[0].row_count == 1
    assert second.served_by == "a"
    if not second.without_rows:
        assert second.results == first.results


@pytest.mark.parametrize("without_rows", [False, True])
def test_forwarding_keeps_every_field_of_a_result(without_rows):
    """Guards against a forwarding entry that drops ``without_rows`` from the result of a holder."""
    result = GroupResult([result_set("x")], position(1, 2), TargetId("a"), True, True, without_rows)
    assert result_from_forward(forward_reply(result)) == result


def test_entry_tells_its_caller_that_rows_were_not_recorded():
    """Guards against a reply in which the caller takes missing rows for an empty result (G4)."""
    harness = EntryHarness()
    harness.holders.result = GroupResult(replayed=True, without_rows=True)
    request = caller_pb2.ExecuteRequest(
        group=GROUP, statements=[common_pb2.Statement(sql="x")], timeout_ms=60_000
    )

    async def scenario():
        async with harness.serve() as stub:
            return await stub.Execute(request)

    reply = asyncio.run(scenario())
    assert reply.verdict == common_pb2.DONE
    assert reply.replayed and reply.without_rows
