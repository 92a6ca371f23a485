"""Interactive transactions of a caller."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol, Self

import grpc
import grpc.aio

from hibiscuspoint.errors import HibiscusError, NotReadyError, TransactionStateError
from hibiscuspoint.load.answers import Answer, verify
from hibiscuspoint.load.errors import EntryLostError
from hibiscuspoint.verdict import Verdict
from hibiscuspoint.wire import caller_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.load.entries import EntryConnection
    from hibiscuspoint.wire import common_pb2

__all__ = ["Transaction"]


class RoamingSession(Protocol):
    """What a transaction tells the session that it belongs to."""

    def keep(self, reply: caller_pb2.ExecuteReply) -> None:
        """Keep the token of a reply."""

    def move(self) -> None:
        """Move to the next entry."""

    def after_request(self, *, failed: bool = False) -> None:
        """Move at the end of a request when something asks for it."""

    def broken(
        self, connection: EntryConnection, error: grpc.aio.AioRpcError, *, rolled_back: bool = False
    ) -> EntryLostError:
        """Return the error of a call that broke."""


class Transaction:
    """One interactive transaction; leaving its context rolls it back unless it ended before.

    :param call: the open ``Transact`` stream.
    :param next_call_id: source of call ids.
    """

    def __init__(
        self,
        session: RoamingSession,
        call: grpc.aio.StreamStreamCall,
        connection: EntryConnection,
        next_call_id: Callable[[], int],
    ) -> None:
        self._session = session
        self._call = call
        self._connection = connection
        self._next_call_id = next_call_id
        self._commit_sent = False
        self._ended = False

    @property
    def entry(self) -> str:
        """Return ``ip:port`` of the entry that runs the transaction."""
        return self._connection.address

    async def begin(self, request: caller_pb2.ExecuteRequest) -> Answer:
        """Send the first message; its statements run as the first step."""
        step = caller_pb2.TransactRequest(begin=request)
        return await self._step(step, request.call_id, len(request.statements))

    async def run(self, *statements: common_pb2.Statement) -> Answer:
        """Run statements inside the transaction.

        :raises HibiscusError: the step failed; ``rolled_back`` tells that nothing takes effect.
        """
        call_id = self._next_call_id()
        step = caller_pb2.TransactStep(call_id=call_id, statements=statements)
        return await self._step(caller_pb2.TransactRequest(run=step), call_id, len(statements))

    async def commit(self) -> Answer:
        """Commit and end the transaction.

        :raises HibiscusError: the commit failed; its verdict tells whether it ran.
        """
        return await self._end(commit=True)

    async def rollback(self) -> Answer:
        """Roll back and end the transaction."""
        return await self._end(commit=False)

    def abandon(self) -> None:
        """Cancel the stream, which makes the entry roll back; no effect after the end."""
        self._finish(cancel=True)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_exc: object) -> None:
        if self._ended:
            return
        try:
            await self.rollback()
        except HibiscusError:
            self.abandon()

    async def _end(self, *, commit: bool) -> Answer:
        call_id = self._next_call_id()
        end = caller_pb2.TransactEnd(call_id=call_id, commit=commit)
        self._check_open()
        self._commit_sent = commit
        answer = await self._step(caller_pb2.TransactRequest(end=end), call_id, None)
        await self._call.done_writing()
        self._finish(cancel=False)
        return answer

    def _check_open(self) -> None:
        if self._ended:
            raise TransactionStateError(
                "the transaction has ended", verdict=Verdict.NOT_RUN, rolled_back=False
            )

    async def _step(
        self, step: caller_pb2.TransactRequest, call_id: int, statements: int | None
    ) -> Answer:
        self._check_open()
        reply = await self._exchange(step)
        self._session.keep(reply)
        try:
            answer = verify(reply, call_id, statements, self.entry)
        except HibiscusError as error:
            if error.verdict is not Verdict.DONE:
                self._finish(cancel=True, failed=isinstance(error, NotReadyError))
            raise
        return answer

    async def _exchange(self, step: caller_pb2.TransactRequest) -> caller_pb2.ExecuteReply:
        try:
            await self._call.write(step)
            reply = await self._call.read()
        except grpc.aio.AioRpcError as error:
            self._ended = True
            raise self._session.broken(
                self._connection, error, rolled_back=not self._commit_sent
            ) from error
        except asyncio.InvalidStateError:
            # gRPC reports in this way that the stream ended between two steps.
            raise self._stream_ended() from None
        if reply is grpc.aio.EOF:
            raise self._stream_ended()
        return reply

    def _stream_ended(self) -> EntryLostError:
        self._ended = True
        self._session.move()
        return EntryLostError(
            f"{self.entry} ended the stream of a transaction without an answer",
            rolled_back=not self._commit_sent,
        )

    def _finish(self, *, cancel: bool, failed: bool = False) -> None:
        """End the transaction; later steps are refused."""
        if self._ended:
            return
        self._ended = True
        if cancel:
            self._call.cancel()
        self._session.after_request(failed=failed)
