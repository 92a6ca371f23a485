"""A small Caller server that answers as a test tells it."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import grpc
import grpc.aio

from hibiscuspoint.load.answers import encode_value, rows_digest
from hibiscuspoint.wire import caller_pb2, caller_pb2_grpc, common_pb2

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = ["FakeEntry", "result_set", "serve"]


def result_set(*rows: tuple) -> common_pb2.ResultSet:
    """Return a whole result set."""
    encoded = [common_pb2.Row(values=[encode_value(value) for value in row]) for row in rows]
    return common_pb2.ResultSet(rows=encoded, row_count=len(rows), digest=rows_digest(encoded))


class FakeEntry(caller_pb2_grpc.CallerServicer):
    """Answers each call with one result a statement; a test changes the replies.

    :param change: called with each reply before it is sent.
    """

    def __init__(self) -> None:
        self.requests: list[caller_pb2.ExecuteRequest] = []
        self.steps: list[str] = []
        self.address = ""
        self.change = lambda reply: None
        self.abort = False
        self.hang = False
        self.break_at = ""
        self.break_after = ""
        #: Set when a stream has ended.
        self.ended = asyncio.Event()

    async def start(self) -> None:
        """Listen, after a stop on the same address again."""
        self._server = grpc.aio.server()
        caller_pb2_grpc.add_CallerServicer_to_server(self, self._server)
        port = self._server.add_insecure_port(self.address or "127.0.0.1:0")
        self.address = f"127.0.0.1:{port}"
        await self._server.start()

    async def stop(self) -> None:
        """Close all connections and stop listening."""
        await self._server.stop(0)

    async def Execute(self, request, context):
        self.requests.append(request)
        if self.hang:
            await asyncio.sleep(60)
        if self.abort:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "stopped")
        return self._reply(request.call_id, len(request.statements))

    async def Transact(self, requests, context):
        context.add_done_callback(lambda _: self.ended.set())
        async for request in requests:
            step = request.WhichOneof("step")
            self.steps.append(step)
            if step == self.break_at:
                await context.abort(grpc.StatusCode.UNAVAILABLE, "stopped")
            body = getattr(request, step)
            yield self._reply(body.call_id, 0 if step == "end" else len(body.statements))
            if step == self.break_after:
                await context.abort(grpc.StatusCode.UNAVAILABLE, "stopped")
            if step == "end":
                return

    def _reply(self, call_id: int, statements: int) -> caller_pb2.ExecuteReply:
        results = [result_set((1, "a"), (2, None)) for _ in range(statements)]
        reply = caller_pb2.ExecuteReply(
            call_id=call_id,
            results=results,
            token=f"{self.address}#{call_id}".encode(),
            verdict=common_pb2.DONE,
        )
        self.change(reply)
        return reply


@asynccontextmanager
async def serve(count: int = 1) -> AsyncIterator[list[FakeEntry]]:
    """Run fake entries on loopback."""
    entries = [FakeEntry() for _ in range(count)]
    for entry in entries:
        await entry.start()
    try:
        yield entries
    finally:
        await asyncio.gather(*(entry.stop() for entry in entries))
