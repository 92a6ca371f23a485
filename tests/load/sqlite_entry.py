"""A fake entry over a database, so that workload and checker run without a daemon."""

from __future__ import annotations

import sqlite3
from typing import TYPE_CHECKING

from hibiscuspoint.load.answers import decode_value
from hibiscuspoint.wire import caller_pb2, caller_pb2_grpc, common_pb2
from tests.load.fake_entry import result_set

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["SqliteEntry"]


class SqliteEntry(caller_pb2_grpc.CallerServicer):
    """Runs all statements on one connection; a test makes it lose or repeat writes."""

    def __init__(self) -> None:
        self._db = sqlite3.connect(":memory:", isolation_level=None)
        #: Number of executions of the write with this ordinal, when it is not one.
        self.repeats: dict[int, int] = {}
        self._writes = 0

    async def Execute(self, request, context):
        if request.HasField("read"):
            return self._reply(request.call_id, self._run(request.statements))
        self._writes += 1
        self._db.execute("BEGIN")
        results = []
        for _ in range(self.repeats.get(self._writes, 1)):
            results = self._run(request.statements)
        self._db.execute("COMMIT")
        return self._reply(request.call_id, results or [result_set() for _ in request.statements])

    async def Transact(self, requests, context):
        # The single connection cannot interleave transactions, so statements run at the end.
        waiting = []
        async for request in requests:
            body = getattr(request, request.WhichOneof("step"))
            if request.HasField("end"):
                if body.commit:
                    self._run(waiting)
                yield self._reply(body.call_id, [])
                return
            waiting.extend(body.statements)
            yield self._reply(body.call_id, [result_set() for _ in body.statements])

    def _run(self, statements: Iterable[common_pb2.Statement]) -> list[common_pb2.ResultSet]:
        results = []
        for item in statements:
            parameters = [decode_value(value) for value in item.parameters]
            results.append(result_set(*self._db.execute(item.sql, parameters).fetchall()))
        return results

    def _reply(self, call_id: int, results: list) -> caller_pb2.ExecuteReply:
        return caller_pb2.ExecuteReply(
            call_id=call_id, results=results, verdict=common_pb2.DONE, token=b"t"
        )
