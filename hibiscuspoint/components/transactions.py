"""Streams of interactive transactions, here or through another holder."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from typing import TYPE_CHECKING, Protocol

import grpc

from hibiscuspoint.components.forwarding import (
    error_reply,
    forward_message,
    result_from_forward,
    result_reply,
)
from hibiscuspoint.errors import (
    DeadlineError,
    HibiscusError,
    HolderLostError,
    LimitError,
    NoHolderError,
    RequestError,
    TransactionStateError,
)
from hibiscuspoint.verdict import Verdict
from hibiscuspoint.wire import caller_pb2, common_pb2, peer_pb2, peer_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from hibiscuspoint.components.entry import Entry
    from hibiscuspoint.components.holder import GroupRequest, GroupResult
    from hibiscuspoint.components.holders import Holders
    from hibiscuspoint.components.peers import PeerChannels
    from hibiscuspoint.components.router import Router
    from hibiscuspoint.core.entry.session import SessionMarks
    from hibiscuspoint.core.ports import Clock
    from hibiscuspoint.settings import LimitSettings

__all__ = ["TransactionStreams"]

#: Longest time in seconds to connect to a holder before the next one is tried.
CONNECT_SECONDS = 0.5


class TransactionPath(Protocol):
    """A transaction at this holder or at another one."""

    @property
    def is_open(self) -> bool:
        """Tell whether the transaction takes further steps."""

    async def run(self, statements: tuple[common_pb2.Statement, ...]) -> GroupResult:
        """Run a step."""

    async def commit(self) -> GroupResult:
        """Commit."""

    async def roll_back(self) -> GroupResult:
        """Roll back."""

    def close(self) -> None:
        """Give the transaction up."""


class TransactionStreams:
    """Serves the streams of callers and of other entries."""

    def __init__(
        self,
        entry: Entry,
        holders: Holders,
        router: Router,
        channels: PeerChannels,
        limits: LimitSettings,
        clock: Clock,
    ) -> None:
        self._entry = entry
        self._holders = holders
        self._router = router
        self._channels = channels
        self._limits = limits
        self._clock = clock
        self._open: dict[str, int] = {}

    async def serve(
        self, steps: AsyncIterator[caller_pb2.TransactRequest]
    ) -> AsyncIterator[caller_pb2.ExecuteReply]:
        """Run the transaction of a caller; an error ends the stream."""
        group, call_id = "", 0
        self._entry.drain.begin_transaction()
        try:
            first = await self._first(steps)
            group, call_id = first.group, first.call_id
            async with aclosing(self._run(first, steps)) as replies:
                async for reply in replies:
                    yield reply
        except HibiscusError as error:
            reply = self._entry.refuse(group, error)
            reply.call_id = call_id
            yield reply
        finally:
            self._entry.drain.end_transaction()

    async def serve_forwarded(
        self, steps: AsyncIterator[peer_pb2.ForwardTransactRequest]
    ) -> AsyncIterator[peer_pb2.ForwardReply]:
        """Run the transaction of a caller of another entry."""
        self._entry.drain.begin_transaction()
        try:
            async with aclosing(self._run_forwarded(steps)) as replies:
                async for reply in replies:
                    yield reply
        except HibiscusError as error:
            yield peer_pb2.ForwardReply(reply=error_reply(error))
        finally:
            self._entry.drain.end_transaction()

    async def _first(
        self, steps: AsyncIterator[caller_pb2.TransactRequest]
    ) -> caller_pb2.ExecuteRequest:
        try:
            async with asyncio.timeout(self._limits.first_request_seconds):
                step = await anext(steps, None)
        except TimeoutError:
            raise LimitError("the stream sent no first request in time") from None
        if step is None or not step.HasField("begin"):
            raise RequestError("the first message of a transaction must begin it")
        return step.begin

    async def _run(
        self,
        first: caller_pb2.ExecuteRequest,
        steps: AsyncIterator[caller_pb2.TransactRequest],
    ) -> AsyncIterator[caller_pb2.ExecuteReply]:
        request, marks = self._entry.admit(first, self._clock.monotonic())
        self._count_in(first.caller)
        path = None
        try:
            path = await self._begin(request)
            result = await path.run(request.statements)
            yield self._reply(result, first.call_id, request, marks)
            async for step in steps:
                call_id, work = self._work(path, step)
                try:
                    result = await work
                except HibiscusError as error:
                    reply = self._entry.refuse(request.group, error)
                    reply.call_id = call_id
                    yield reply
                    return
                yield self._reply(result, call_id, request, marks)
                if not path.is_open:
                    return
        finally:
            if path is not None:
                path.close()
            self._count_out(first.caller)

    async def _run_forwarded(
        self, steps: AsyncIterator[peer_pb2.ForwardTransactRequest]
    ) -> AsyncIterator[peer_pb2.ForwardReply]:
        opening = await anext(steps, None)
        if opening is None:
            return
        request = self._entry.forwarded_request(
            peer_pb2.ForwardRequest(
                request=opening.step.begin, mark=opening.mark, remaining_ms=opening.remaining_ms
            )
        )
        path = await self._holders.begin(request)
        try:
            yield _forward_reply(await path.run(request.statements))
            async for step in steps:
                _, work = self._work(path, step.step)
                yield _forward_reply(await work)
                if not path.is_open:
                    return
        finally:
            path.close()

    def _work(self, path: TransactionPath, step: caller_pb2.TransactRequest) -> tuple:
        """Return the call id of a step and the coroutine that runs it."""
        if step.HasField("run"):
            self._entry.check_step(step.run.statements)
            return step.run.call_id, path.run(tuple(step.run.statements))
        if step.HasField("end"):
            work = path.commit() if step.end.commit else path.roll_back()
            return step.end.call_id, work
        raise TransactionStateError("the transaction has begun before")

    async def _begin(self, request: GroupRequest) -> TransactionPath:
        while True:
            try:
                return await self._try_holders(request)
            except NoHolderError as error:
                await self._router.wait_for_holder(request, error)

    async def _try_holders(self, request: GroupRequest) -> TransactionPath:
        error: HibiscusError = NoHolderError(f"group {request.group} has no holder")
        for instance, address in self._router.candidates(request):
            try:
                if instance == self._holders.instance:
                    return await self._holders.begin(request)
                return await self._begin_forwarded(request, address)
            except NoHolderError as refused:
                error = refused
        raise error

    async def _begin_forwarded(self, request: GroupRequest, address: str) -> TransactionPath:
        remaining = request.deadline - self._clock.monotonic()
        if remaining <= 0:
            raise DeadlineError("the time of the request ended", verdict=Verdict.NOT_RUN)
        if not await self._channels.is_ready(address, min(CONNECT_SECONDS, remaining)):
            raise NoHolderError(f"the holder at {address} cannot be reached")
        call = peer_pb2_grpc.PeerStub(self._channels.get(address)).ForwardTransact(
            timeout=remaining
        )
        return ForwardedTransaction(call, request, self._clock)

    def _reply(
        self, result: GroupResult, call_id: int, request: GroupRequest, marks: SessionMarks
    ) -> caller_pb2.ExecuteReply:
        reply = result_reply(result)
        reply.call_id = call_id
        reply.token = self._entry.new_token(marks, request.group, result.position)
        reply.go_elsewhere = not self._entry.drain.is_ready
        return reply

    def _count_in(self, caller: str) -> None:
        limit = self._limits.open_transactions_per_caller
        if self._open.get(caller, 0) >= limit:
            raise LimitError(f"the caller has {limit} open transactions")
        self._open[caller] = self._open.get(caller, 0) + 1

    def _count_out(self, caller: str) -> None:
        self._open[caller] -= 1
        if not self._open[caller]:
            del self._open[caller]


class ForwardedTransaction:
    """A transaction that runs at another holder."""

    def __init__(
        self, call: grpc.aio.StreamStreamCall, request: GroupRequest, clock: Clock
    ) -> None:
        self._call = call
        self._request = request
        self._clock = clock
        self._is_begun = False
        self._is_open = True

    @property
    def is_open(self) -> bool:
        """Tell whether the transaction takes further steps."""
        return self._is_open

    async def run(self, statements: tuple[common_pb2.Statement, ...]) -> GroupResult:
        """Run a step.

        :raises HibiscusError: the transaction is rolled back.
        """
        if self._is_begun:
            run = caller_pb2.TransactStep(statements=statements)
            return await self._exchange(caller_pb2.TransactRequest(run=run))
        self._is_begun = True
        message = forward_message(self._request, self._clock.monotonic())
        step = caller_pb2.TransactRequest(begin=message.request)
        return await self._exchange(step, message)

    async def commit(self) -> GroupResult:
        """Commit.

        :raises HibiscusError: with the verdict of the transaction.
        """
        end = caller_pb2.TransactEnd(commit=True)
        result = await self._exchange(caller_pb2.TransactRequest(end=end), commits=True)
        self._is_open = False
        return result

    async def roll_back(self) -> GroupResult:
        """Roll back."""
        result = await self._exchange(
            caller_pb2.TransactRequest(end=caller_pb2.TransactEnd(commit=False))
        )
        self._is_open = False
        return result

    def close(self) -> None:
        """Give the transaction up; the holder rolls it back."""
        self._is_open = False
        self._call.cancel()

    async def _exchange(
        self,
        step: caller_pb2.TransactRequest,
        opening: peer_pb2.ForwardRequest | None = None,
        commits: bool = False,
    ) -> GroupResult:
        message = peer_pb2.ForwardTransactRequest(step=step)
        if opening is not None:
            message.mark.CopyFrom(opening.mark)
            message.remaining_ms = opening.remaining_ms
        try:
            await self._call.write(message)
            reply = await self._call.read()
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
            reply = grpc.aio.EOF
        if reply is grpc.aio.EOF:
            self._is_open = False
            raise HolderLostError("the holder was lost", rolled_back=not commits)
        try:
            return result_from_forward(reply)
        except HibiscusError:
            self._is_open = False
            raise


def _forward_reply(result: GroupResult) -> peer_pb2.ForwardReply:
    position = common_pb2.Position(term=result.position.term, index=result.position.index)
    return peer_pb2.ForwardReply(reply=result_reply(result), position=position)
