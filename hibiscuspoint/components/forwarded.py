"""Interactive transactions that are forwarded to another holder."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import grpc

from hibiscuspoint.components.forwarding import forward_message, result_from_forward
from hibiscuspoint.errors import HibiscusError, HolderLostError
from hibiscuspoint.util.messages import decoded
from hibiscuspoint.wire import caller_pb2, peer_pb2

if TYPE_CHECKING:
    from hibiscuspoint.components.holder import GroupRequest, GroupResult
    from hibiscuspoint.core.ports import Clock
    from hibiscuspoint.wire import common_pb2

__all__ = ["ForwardedTransaction"]


class ForwardedTransaction:
    """An interactive transaction that runs at another holder.

    :param call: stream to the holder; its end rolls back an open transaction.
    """

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
        """Whether the transaction accepts further steps."""
        return self._is_open

    async def run(self, statements: tuple[common_pb2.Statement, ...]) -> GroupResult:
        """Run the statements of one step.

        :raises HibiscusError: the step failed; the transaction is rolled back.
        """
        if self._is_begun:
            run = caller_pb2.TransactStep(statements=statements)
            return await self._exchange(caller_pb2.TransactRequest(run=run))
        self._is_begun = True
        message = forward_message(self._request, self._clock.monotonic())
        step = caller_pb2.TransactRequest(begin=message.request)
        return await self._exchange(step, message)

    async def commit(self) -> GroupResult:
        """Commit the transaction.

        :raises HibiscusError: the commit failed; the error carries the verdict of the transaction.
        """
        end = caller_pb2.TransactEnd(commit=True)
        result = await self._exchange(caller_pb2.TransactRequest(end=end), commits=True)
        self._is_open = False
        return result

    async def roll_back(self) -> GroupResult:
        """Roll back the transaction."""
        result = await self._exchange(
            caller_pb2.TransactRequest(end=caller_pb2.TransactEnd(commit=False))
        )
        self._is_open = False
        return result

    def close(self) -> None:
        """Cancel the stream; the holder rolls back an open transaction."""
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
            reply = decoded(await self._call.read())
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
            reply = grpc.aio.EOF
        if reply is grpc.aio.EOF:
            self._is_open = False
            raise HolderLostError(
                "the stream to the holder of the transaction ended without a reply",
                rolled_back=not commits,
            )
        try:
            return result_from_forward(reply)
        except HibiscusError:
            self._is_open = False
            raise
