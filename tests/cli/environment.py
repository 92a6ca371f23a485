"""An environment that answers the command line from memory."""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from typing import TYPE_CHECKING, Any

import grpc
import xxhash

from hibiscuspoint.document import Document
from hibiscuspoint.security import Transport
from hibiscuspoint.settings import TlsMode
from hibiscuspoint.wire import caller_pb2, caller_pb2_grpc, common_pb2, peer_pb2, peer_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Environment", "error", "row"]


def error(code: str, message: str = "It failed.") -> common_pb2.Error:
    """Return an error without a hint of its own."""
    return common_pb2.Error(code=code, message=message)


def row(*values: int) -> common_pb2.Row:
    """Return a row of integers."""
    return common_pb2.Row(values=[common_pb2.Value(integer=value) for value in values])


class Environment(peer_pb2_grpc.OperatorServicer, caller_pb2_grpc.CallerServicer):
    """One instance that accepts documents and records every call.

    ``answers`` replaces the reply of a method for one call: a message, or an exception that
    aborts the call after it was received.
    """

    def __init__(self, name: str, transport: Transport | None = None) -> None:
        self.name = name
        self._transport = transport or Transport(TlsMode.PLAIN_TEXT, None, 65_536)
        self.terms = [1]
        self.calls: list[tuple[str, Any]] = []
        self.answers: dict[str, list[Any]] = {}
        self.history: list[peer_pb2.HistoryEntry] = []
        #: Document numbers that the instances report, by instance, one status call after another.
        self.reported: dict[str, list[int]] = {}
        self.primaries = ["ledger-1"]
        self.token = b""
        self._loop = asyncio.new_event_loop()
        self._stop = asyncio.Event()
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._loop.run_until_complete, args=[self._serve()])
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = f"127.0.0.1:{probe.getsockname()[1]}"

    def __enter__(self) -> Environment:
        self._thread.start()
        assert self._started.wait(30)
        return self

    def __exit__(self, *exception: object) -> None:
        self._loop.call_soon_threadsafe(self._stop.set)
        self._thread.join()
        self._loop.close()

    def accept(self, text: str, age: float = 0.0) -> Document:
        """Put a document in force.

        :param age: seconds since it was accepted.
        """
        document = Document.from_text(text)
        entry = peer_pb2.HistoryEntry(
            number=document.number,
            digest=document.digest,
            accepted_at_ms=int((time.time() - age) * 1000),
            document=text,
        )
        self.history.insert(0, entry)
        return document

    def sent(self, method: str) -> list[Any]:
        """Return the requests of one method."""
        return [request for name, request in self.calls if name == method]

    async def _serve(self) -> None:
        server = grpc.aio.server()
        peer_pb2_grpc.add_OperatorServicer_to_server(self, server)
        caller_pb2_grpc.add_CallerServicer_to_server(self, server)
        self._transport.bind(server, self.address)
        await server.start()
        self._started.set()
        await self._stop.wait()
        await server.stop(0)

    async def _answer(
        self, method: str, request: Any, context: Any, default: Callable[[Any], Any]
    ) -> Any:
        self.calls.append((method, request))
        queue = self.answers.get(method)
        if not queue:
            return default(request)
        answer = queue.pop(0)
        if isinstance(answer, grpc.StatusCode):
            await context.abort(answer, "stopped")
        return answer

    async def Submit(self, request, context):
        return await self._answer("Submit", request, context, self._submit)

    async def Status(self, request, context):
        return await self._answer("Status", request, context, self._status)

    async def History(self, request, context):
        return await self._answer("History", request, context, self._history)

    async def Drain(self, request, context):
        return await self._answer("Drain", request, context, self._act)

    async def Switchover(self, request, context):
        return await self._answer("Switchover", request, context, self._act)

    async def Repair(self, request, context):
        return await self._answer("Repair", request, context, self._act)

    async def Execute(self, request, context):
        return await self._answer("Execute", request, context, self._execute)

    def _submit(self, request: peer_pb2.SubmitRequest) -> peer_pb2.SubmitReply:
        document = Document.from_text(request.document)
        current = self.history[0] if self.history else None
        reply = peer_pb2.SubmitReply(accepted=True, number=document.number, digest=document.digest)
        if current is not None and document.number == current.number:
            if document.digest == current.digest:
                return reply
            return peer_pb2.SubmitReply(error=error("HP1002"), verdict=common_pb2.NOT_RUN)
        self.accept(request.document)
        return reply

    def _status(self, _: peer_pb2.StatusRequest) -> peer_pb2.StatusReply:
        number = self.history[0].number if self.history else 0
        reported = self.reported or {"ba-1": [number]}
        primary = self.primaries.pop(0) if len(self.primaries) > 1 else self.primaries[0]
        return peer_pb2.StatusReply(
            environment=self.name,
            document_number=number,
            leader="ba-1",
            control_term=self.terms.pop(0) if len(self.terms) > 1 else self.terms[0],
            groups=[
                peer_pb2.GroupStatus(
                    group="ledger",
                    term=len(self.calls),
                    primary=primary,
                    phase="steady",
                    targets=[peer_pb2.TargetStatus(target="ledger-1", primary=True)],
                )
            ],
            instances=[
                peer_pb2.InstanceStatus(
                    instance=name,
                    document_number=numbers.pop(0) if len(numbers) > 1 else numbers[0],
                    silent_ms=60_000 if name.startswith("gone") else 0,
                )
                for name, numbers in reported.items()
            ],
        )

    def _history(self, request: peer_pb2.HistoryRequest) -> peer_pb2.HistoryReply:
        return peer_pb2.HistoryReply(entries=self.history[: request.limit or None])

    def _act(self, _: Any) -> peer_pb2.ActReply:
        return peer_pb2.ActReply(accepted=True, finished=True, progress="done")

    def _execute(self, request: caller_pb2.ExecuteRequest) -> caller_pb2.ExecuteReply:
        rows = [row(1, 2), row(3, 4)]
        digest = xxhash.xxh64(b"".join(item.SerializeToString() for item in rows)).intdigest()
        result = common_pb2.ResultSet(columns=["a", "b"], rows=rows, row_count=2, digest=digest)
        return caller_pb2.ExecuteReply(
            call_id=request.call_id,
            results=[result] * len(request.statements),
            token=self.token,
            verdict=common_pb2.DONE,
            served_by="ledger-2",
            from_replica=True,
        )
