"""The gRPC service that lends the connections of this instance to others."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import grpc

from hibiscuspoint.components.sessions.borrow_messages import (
    lost_message,
    refusal_message,
    reply_message,
    statement_from,
    values_from,
)
from hibiscuspoint.core.sessions import (
    ConnectionDemand,
    SessionContext,
    SessionState,
    SuspensionDetector,
)
from hibiscuspoint.drivers.errors import ConnectError, ConnectionLost
from hibiscuspoint.ids import GroupId, OrganisationId, TargetId
from hibiscuspoint.util.units import MICROSECONDS_PER_SECOND, MILLISECONDS_PER_SECOND
from hibiscuspoint.wire import peer_pb2, peer_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from hibiscuspoint.components.sessions.borrow_messages import BorrowedStatement
    from hibiscuspoint.components.sessions.connection import PooledConnection
    from hibiscuspoint.components.sessions.groups import GroupAccess
    from hibiscuspoint.core.ports import Clock
    from hibiscuspoint.core.sessions import Failure, Reply

__all__ = ["ConnectionLending"]


class ConnectionLending(peer_pb2_grpc.ConnectionsServicer):
    """Serves on every instance; the entries choose which ones they ask.

    :param access: pools of this instance.
    """

    def __init__(self, access: GroupAccess, clock: Clock) -> None:
        self._access = access
        self._clock = clock
        self._suspension = SuspensionDetector(clock.monotonic())

    def tick(self, now: float) -> None:
        """Record that this process runs; called every 0.05 s."""
        self._suspension.tick(now)

    async def Borrow(
        self,
        request_iterator: AsyncIterator[peer_pb2.BorrowRequest],
        context: grpc.aio.ServicerContext,
    ) -> None:
        """Lend one connection until the stream ends."""
        await context.send_initial_metadata(())
        request = await context.read()
        if request is grpc.aio.EOF:
            return
        try:
            pooled = await self._acquire(request.connection, self._seconds(request))
        except ConnectError as error:
            await context.write(refusal_message(error))
            return
        is_idle = True
        try:
            target = TargetId(request.connection.target)
            load = self._access.target_load(GroupId(request.connection.group), target)
            idle = SessionState.IDLE.value
            await context.write(peer_pb2.BorrowReply(state=idle, load=load, number=request.number))
            while (request := await context.read()) is not grpc.aio.EOF:
                is_idle = False
                reply = await self._answer(target, pooled, request)
                reply.number = request.number
                is_idle = reply.state == SessionState.IDLE.value
                is_lost = reply.HasField("lost")
                if is_lost:
                    # The caller is told that nothing is kept, so the transaction ends before that.
                    pooled.close()
                await context.write(reply)
                if is_lost:
                    return
        finally:
            if not is_idle:
                pooled.close()
            pooled.give_back()

    async def RunRead(
        self, request: peer_pb2.ReadRequest, context: grpc.aio.ServicerContext
    ) -> None:
        """Run one read of another instance."""
        await context.send_initial_metadata(())
        await context.write(await self._run_read(request))

    async def _run_read(self, request: peer_pb2.ReadRequest) -> peer_pb2.BorrowReply:
        wait = request.wait_ms / MILLISECONDS_PER_SECOND
        try:
            pooled = await self._acquire(request.connection, wait)
        except ConnectError as error:
            return refusal_message(error)
        is_idle = False
        try:
            started = self._clock.monotonic()
            target = TargetId(request.connection.target)
            seconds = request.remaining_ms / MILLISECONDS_PER_SECOND
            reply = await self._run(target, pooled, request.statement, seconds)
            load = self._access.target_load(GroupId(request.connection.group), target)
            reply.load.CopyFrom(load)
            reply.elapsed_us = int((self._clock.monotonic() - started) * MICROSECONDS_PER_SECOND)
            is_idle = reply.state == SessionState.IDLE.value
            return reply
        finally:
            if not is_idle:
                # Also when the caller gave up: the answer may still come.
                pooled.close()
            pooled.give_back()

    async def _acquire(
        self, wanted: peer_pb2.ConnectionRequest, seconds: float
    ) -> PooledConnection:
        objective_at = math.inf
        if wanted.objective_ms:
            objective_at = self._clock.monotonic() + wanted.objective_ms / MILLISECONDS_PER_SECOND
        demand = ConnectionDemand(
            self._clock.monotonic() + seconds,
            wanted.priority,
            wanted.patience_ms / MILLISECONDS_PER_SECOND,
            SessionContext(values=values_from(wanted)),
            OrganisationId(wanted.organisation),
            objective_at,
            wanted.expected_ms / MILLISECONDS_PER_SECOND,
            is_retry=wanted.retry,
            is_transaction=wanted.transaction,
        )
        return await self._access.acquire(GroupId(wanted.group), TargetId(wanted.target), demand)

    async def _answer(
        self, target: TargetId, pooled: PooledConnection, request: peer_pb2.BorrowRequest
    ) -> peer_pb2.BorrowReply:
        waited = self._suspension.longest_wait(self._clock.monotonic())
        if waited >= self._seconds(request):
            # The borrower may have given up and called the statement in doubt. Run now, a commit
            # would overwrite what its caller has written since.
            message = f"this instance was suspended for up to {waited:.1f} s"
            return lost_message(ConnectionLost(message, sent=False))
        try:
            if request.WhichOneof("step") == "rollback":
                return reply_message(await pooled.rollback(self._seconds(request)))
        except ConnectionLost as error:
            return lost_message(error)
        return await self._run(target, pooled, request.statement, self._seconds(request))

    async def _run(
        self,
        target: TargetId,
        pooled: PooledConnection,
        message: peer_pb2.StatementRequest,
        seconds: float,
    ) -> peer_pb2.BorrowReply:
        asked = statement_from(message)
        try:
            deadline = self._clock.monotonic() + seconds
            reply = await self._run_statement(target, pooled, asked, deadline)
        except ConnectionLost as error:
            return lost_message(error)
        return reply_message(reply)

    async def _run_statement(
        self, target: TargetId, pooled: PooledConnection, asked: BorrowedStatement, deadline: float
    ) -> Reply:
        """Run a statement of another instance; reads tell how the target works."""
        started = self._clock.monotonic()
        if asked.is_read:
            self._access.reads.begin_lent(target, started)
        outcome: Failure | Exception | None = None
        try:
            reply = await pooled.run(
                asked.statement,
                asked.session,
                deadline,
                prepared_statement=asked.prepared_statement,
                after=asked.after,
            )
            outcome = reply.error.failure if reply.error is not None else None
        except ConnectionLost as error:
            outcome = error
            raise
        finally:
            if asked.is_read:
                now = self._clock.monotonic()
                self._access.reads.record_lent(
                    target, outcome, now - started, now, concurrent=self._access.in_use(target)
                )
        return reply

    def _seconds(self, request: peer_pb2.BorrowRequest) -> float:
        return request.remaining_ms / MILLISECONDS_PER_SECOND
