"""Streams of interactive transactions, run at this holder or forwarded to another one."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from hibiscuspoint.components.forwarded import ForwardedTransaction
from hibiscuspoint.components.forwarding import error_reply, forward_reply, result_reply
from hibiscuspoint.errors import (
    HibiscusError,
    LimitError,
    NoHolderError,
    RequestError,
    TransactionStateError,
)
from hibiscuspoint.verdict import Verdict
from hibiscuspoint.wire import caller_pb2, common_pb2, peer_pb2

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from hibiscuspoint.components.entry import Entry
    from hibiscuspoint.components.holder import GroupRequest, GroupResult
    from hibiscuspoint.components.holders import LocalHolder
    from hibiscuspoint.components.router import Router
    from hibiscuspoint.core.entry.session import SessionMarks
    from hibiscuspoint.core.ports import Clock
    from hibiscuspoint.settings import LimitSettings
    from hibiscuspoint.telemetry.metrics import Metrics

__all__ = ["TransactionStreams"]


class RoutedTransaction(Protocol):
    """An interactive transaction at this holder or at another one."""

    @property
    def is_open(self) -> bool:
        """Whether the transaction accepts further steps."""

    async def run(self, statements: tuple[common_pb2.Statement, ...]) -> GroupResult:
        """Run the statements of one step."""

    async def commit(self) -> GroupResult:
        """Commit the transaction."""

    async def roll_back(self) -> GroupResult:
        """Roll back the transaction."""

    def close(self) -> None:
        """End the transaction and release its resources; an open one is rolled back."""


@dataclass
class _StreamState:
    """State of the stream of a caller.

    :param group: group of the first request; empty before its arrival.
    :param caller: name of the caller; empty before the first request.
    :param call_id: call id of the step in progress.
    :param final_reply: the reply that ended the transaction; ``None`` when the caller cancelled the
        stream.
    """

    group: str = ""
    caller: str = ""
    call_id: int = 0
    final_reply: caller_pb2.ExecuteReply | None = None

    def begin(self, first: caller_pb2.ExecuteRequest) -> None:
        """Record the first request of the stream."""
        self.group = first.group
        self.caller = first.caller
        self.call_id = first.call_id


class TransactionStreams:
    """Serves the transaction streams of callers and of other entries.

    :param limits: limits on requests from the settings.
    """

    def __init__(
        self,
        entry: Entry,
        local_holder: LocalHolder,
        router: Router,
        limits: LimitSettings,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._entry = entry
        self._local_holder = local_holder
        self._router = router
        self._limits = limits
        self._clock = clock
        self._metrics = metrics
        self._open_transactions: dict[str, int] = {}

    async def serve(
        self, steps: AsyncIterator[caller_pb2.TransactRequest]
    ) -> AsyncIterator[caller_pb2.ExecuteReply]:
        """Run the transaction of a caller; an error is the last reply of the stream."""
        started_at = self._clock.monotonic()
        stream = _StreamState()
        self._entry.drain.begin_transaction()
        try:
            first = await self._receive_first_request(steps)
            stream.begin(first)
            async with aclosing(self._run(first, steps, stream)) as replies:
                async for reply in replies:
                    yield reply
        except HibiscusError as error:
            yield self._refuse(stream, error)
        finally:
            self._entry.drain.end_transaction()
            if stream.final_reply is not None:
                seconds = self._clock.monotonic() - started_at
                self._entry.request_meter.record_request(
                    stream.group, "transaction", stream.final_reply, seconds
                )

    async def serve_forwarded(
        self, steps: AsyncIterator[peer_pb2.ForwardTransactRequest]
    ) -> AsyncIterator[peer_pb2.ForwardReply]:
        """Run a transaction that another entry forwarded."""
        self._entry.drain.begin_transaction()
        try:
            async with aclosing(self._run_forwarded(steps)) as replies:
                async for reply in replies:
                    yield reply
        except HibiscusError as error:
            yield peer_pb2.ForwardReply(reply=error_reply(error))
        finally:
            self._entry.drain.end_transaction()

    async def _receive_first_request(
        self, steps: AsyncIterator[caller_pb2.TransactRequest]
    ) -> caller_pb2.ExecuteRequest:
        try:
            async with asyncio.timeout(self._limits.first_request_seconds):
                step = await anext(steps, None)
        except TimeoutError:
            message = "the stream sent no first request before its time limit"
            raise LimitError(message, limit="first_request_seconds") from None
        if step is None or not step.HasField("begin"):
            raise RequestError("the first message of a transaction must begin it")
        return step.begin

    async def _run(
        self,
        first: caller_pb2.ExecuteRequest,
        steps: AsyncIterator[caller_pb2.TransactRequest],
        stream: _StreamState,
    ) -> AsyncIterator[caller_pb2.ExecuteReply]:
        request, marks = self._entry.admit(first, self._clock.monotonic())
        self._count_open(first)
        transaction = None
        try:
            transaction = await self._begin(request)
            result = await transaction.run(request.statements)
            yield self._reply(result, first.call_id, request, marks)
            async for step in steps:
                stream.call_id = _call_id(step)
                self._check_step(step)
                result = await self._run_step(transaction, step)
                reply = self._reply(result, stream.call_id, request, marks)
                if not transaction.is_open:
                    stream.final_reply = reply
                yield reply
                if not transaction.is_open:
                    return
        finally:
            if transaction is not None:
                transaction.close()
            self._count_closed(first)

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
        transaction = await self._local_holder.begin(request)
        try:
            yield forward_reply(await transaction.run(request.statements))
            async for step in steps:
                yield forward_reply(await self._run_step(transaction, step.step))
                if not transaction.is_open:
                    return
        finally:
            transaction.close()

    async def _run_step(
        self, transaction: RoutedTransaction, step: caller_pb2.TransactRequest
    ) -> GroupResult:
        """Run a step that follows the first request of a stream."""
        if step.HasField("run"):
            return await transaction.run(tuple(step.run.statements))
        if not step.HasField("end"):
            message = "the transaction has already begun"
            raise TransactionStateError(message, rolled_back=True)
        return await (transaction.commit() if step.end.commit else transaction.roll_back())

    def _check_step(self, step: caller_pb2.TransactRequest) -> None:
        """Check a step against the limits.

        :raises LimitError: the step exceeds a limit; the verdict is that of the transaction, whose
            earlier steps have run.
        """
        try:
            self._entry.check_size(step)
            self._entry.check_step(step.run.statements)
        except LimitError as error:
            error.verdict = Verdict.MAY_HAVE_RUN
            error.rolled_back = True
            raise

    def _refuse(self, stream: _StreamState, error: HibiscusError) -> caller_pb2.ExecuteReply:
        reply = self._entry.refuse(stream.group, error, stream.caller)
        reply.call_id = stream.call_id
        stream.final_reply = reply
        return reply

    async def _begin(self, request: GroupRequest) -> RoutedTransaction:
        while True:
            try:
                return await self._begin_at_first_holder(request)
            except NoHolderError as error:
                await self._router.wait_for_holder(request, error)

    async def _begin_at_first_holder(self, request: GroupRequest) -> RoutedTransaction:
        error: HibiscusError = NoHolderError(f"group {request.group} has no holder")
        for instance, address in self._router.candidates(request):
            try:
                if instance == self._local_holder.instance:
                    return await self._local_holder.begin(request)
                return await self._begin_forwarded(request, address)
            except NoHolderError as refused:
                error = refused
        raise error

    async def _begin_forwarded(self, request: GroupRequest, address: str) -> RoutedTransaction:
        remaining = request.deadline - self._clock.monotonic()
        stub = await self._router.connect(address, remaining)
        call = stub.ForwardTransact(timeout=remaining)
        return ForwardedTransaction(call, request, self._clock)

    def _reply(
        self, result: GroupResult, call_id: int, request: GroupRequest, marks: SessionMarks
    ) -> caller_pb2.ExecuteReply:
        reply = result_reply(result)
        reply.call_id = call_id
        reply.token = self._entry.new_token(marks, request.group, result.position)
        reply.go_elsewhere = not self._entry.drain.is_ready
        return reply

    def _count_open(self, first: caller_pb2.ExecuteRequest) -> None:
        caller = first.caller
        limit = self._limits.open_transactions_per_caller
        if self._open_transactions.get(caller, 0) >= limit:
            message = f"the caller has {limit} open transactions"
            raise LimitError(message, limit="open_transactions_per_caller")
        self._open_transactions[caller] = self._open_transactions.get(caller, 0) + 1
        self._metrics.open_transactions.labels(first.group).inc()

    def _count_closed(self, first: caller_pb2.ExecuteRequest) -> None:
        caller = first.caller
        self._metrics.open_transactions.labels(first.group).dec()
        self._open_transactions[caller] -= 1
        if not self._open_transactions[caller]:
            del self._open_transactions[caller]


def _call_id(step: caller_pb2.TransactRequest) -> int:
    return getattr(step, step.WhichOneof("step")).call_id if step.WhichOneof("step") else 0
