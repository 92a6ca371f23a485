"""Connections to targets that other instances keep open."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import grpc

from hibiscuspoint.components.sessions.balancing import HolderLost, holder_report
from hibiscuspoint.components.sessions.borrow_messages import (
    error_of,
    reply_from,
    statement_message,
)
from hibiscuspoint.core.balancing import RoundTripSource
from hibiscuspoint.core.sessions import HolderRanking
from hibiscuspoint.drivers.errors import ConnectError, ConnectFailure, ConnectionLost
from hibiscuspoint.telemetry import catalogue, log_event
from hibiscuspoint.util.tasks import spawn
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND
from hibiscuspoint.wire import peer_pb2, peer_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hibiscuspoint.components.peers import PeerChannels
    from hibiscuspoint.components.sessions.balancing import ReadBalancing
    from hibiscuspoint.core.balancing import HolderReport
    from hibiscuspoint.core.ports import Clock
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.core.sessions import (
        ConnectionDemand,
        EntryPlace,
        PreparedStatement,
        Reply,
        SessionContext,
        Statement,
    )
    from hibiscuspoint.ids import AvailabilityZone, GroupId, InstanceId, TargetId

__all__ = ["ConnectionBorrowing"]

logger = logging.getLogger(__name__)

#: Longest time in seconds until a holder takes a request. It does so at once; a machine whose share
#: of the processor is used up stands still for 0.1 s, and a lost packet is sent again after 0.2 s.
HOLDER_TIMEOUT_SECONDS = 0.25

#: Holders that are asked for one connection. If none of them answers, this instance opens one.
HOLDER_ATTEMPTS = 3

#: Longest time in seconds to wait for a connection at a holder while another one can be asked.
HOLDER_WAIT_SECONDS = 0.06

#: Longest expected wait in seconds that is passed on; no statement has so much time.
MAX_EXPECTED_WAIT_SECONDS = 60.0

#: Seconds beyond the timeout of a statement after which its holder is taken for lost; the holder
#: reports the timeout itself.
ANSWER_MARGIN_SECONDS = 0.1


class ConnectionBorrowing:
    """Borrows connections from the holders of a group.

    :param zone: availability zone of this instance.
    :param reads: is told how long the way to each holder takes.
    """

    def __init__(
        self,
        zone: AvailabilityZone,
        channels: PeerChannels,
        clock: Clock,
        reads: ReadBalancing | None = None,
    ) -> None:
        self._channels = channels
        self._clock = clock
        self._reads = reads
        self._zones: dict[InstanceId, AvailabilityZone] = {}
        self._ranking = HolderRanking(zone)

    async def acquire(
        self,
        holders: Iterable[EntryPlace],
        group: GroupId,
        target: TargetId,
        demand: ConnectionDemand,
        *,
        target_zone: AvailabilityZone | None = None,
    ) -> HeldConnection | None:
        """Return a connection; ``None`` when no holder answers.

        :param target_zone: zone of the target, where holders there are as near as those of this
            zone.
        :raises ConnectError: a holder answers and has no connection in time.
        """
        self._zones = {place.instance: place.zone for place in holders}
        now = self._clock.monotonic()
        ranked = self._ranking.rank(holders, target, now, target_zone)[:HOLDER_ATTEMPTS]
        refusal: ConnectError | None = None
        for number, holder in enumerate(ranked, 1):
            is_last = number == len(ranked)
            try:
                return await self._ask_for(holder, group, target, demand, is_last=is_last)
            except ConnectError as error:
                if is_last or error.failure is not ConnectFailure.LIMITED:
                    raise
                refusal = error
            except (TimeoutError, grpc.aio.AioRpcError) as error:
                now = self._clock.monotonic()
                if isinstance(error, TimeoutError) and now >= demand.deadline:
                    # This says nothing about the holder, which may have had no time to answer.
                    message = f"no connection to {target} in time"
                    raise ConnectError(ConnectFailure.LIMITED, message) from None
                if not self._ranking.record_failure(holder, now):
                    continue
                log_event(
                    logger,
                    catalogue.HOLDER_UNREACHABLE,
                    subject=holder,
                    group=group,
                    reason=_describe(error),
                )
        if refusal is not None:
            raise refusal
        return None

    async def _ask_for(
        self,
        holder: InstanceId,
        group: GroupId,
        target: TargetId,
        demand: ConnectionDemand,
        *,
        is_last: bool,
    ) -> HeldConnection:
        """Ask one holder for a connection and record how long it took.

        The last holder gets all the time that is left; a statement does not wait at one holder
        while another one may have an idle connection.
        """
        started = self._clock.monotonic()
        wait = max(0.0, demand.deadline - started)
        patience = demand.max_expected_wait_seconds
        if not is_last:
            wait, patience = min(wait, HOLDER_WAIT_SECONDS), min(patience, HOLDER_WAIT_SECONDS)
        wanted = peer_pb2.ConnectionRequest(
            group=group,
            target=target,
            priority=demand.priority,
            values=demand.session.values,
            patience_ms=int(min(patience, MAX_EXPECTED_WAIT_SECONDS) * MILLISECONDS_PER_SECOND),
        )
        try:
            connection = await self._ask(holder, wanted, demand.deadline, wait)
        except ConnectError:
            # A refusal comes at once, but a statement would have waited longer than it could.
            self._ranking.record_wait(holder, target, HOLDER_WAIT_SECONDS, started)
            raise
        now = self._clock.monotonic()
        self._ranking.record_wait(holder, target, now - started, now)
        return connection

    async def _ask(
        self, holder: InstanceId, wanted: peer_pb2.ConnectionRequest, deadline: float, wait: float
    ) -> HeldConnection:
        """Ask a holder for a connection.

        :param deadline: monotonic time until which the holder may take the request.
        :param wait: seconds for which the holder waits for a connection.
        """
        remaining = max(0.0, deadline - self._clock.monotonic())
        stub = peer_pb2_grpc.ConnectionsStub(self._channels.get(holder))
        call = stub.Borrow()
        try:
            request = peer_pb2.BorrowRequest(
                connection=wanted, remaining_ms=int(wait * MILLISECONDS_PER_SECOND)
            )
            started = self._clock.monotonic()
            async with asyncio.timeout(min(HOLDER_TIMEOUT_SECONDS, remaining)):
                await call.write(request)
                await call.initial_metadata()
            self._record_round_trip(holder, started)
            async with asyncio.timeout(wait + ANSWER_MARGIN_SECONDS):
                reply = await call.read()
        except asyncio.InvalidStateError:
            # The call ended before the request was written.
            raise await _failure_of(call) from None
        except BaseException:
            call.cancel()
            raise
        if reply is grpc.aio.EOF:
            raise await _failure_of(call)
        self._ranking.record_answer(holder)
        if reply.HasField("lost"):
            call.cancel()
            raise ConnectError(ConnectFailure(reply.lost.connect_failure), reply.lost.text)
        report = holder_report(reply.load)
        return HeldConnection(holder, call, self._ranking, self._clock, report)

    def _record_round_trip(self, holder: InstanceId, started: float) -> None:
        """Record the way to a holder, which takes a request at once."""
        zone = self._zones.get(holder)
        if self._reads is not None and zone is not None:
            now = self._clock.monotonic()
            self._reads.record_round_trip(zone, RoundTripSource.HOLDER, now - started, now)


class HeldConnection:
    """A connection that a holder lends to one session; see ``BorrowedConnection``."""

    def __init__(
        self,
        holder: InstanceId,
        call: grpc.aio.StreamStreamCall,
        ranking: HolderRanking,
        clock: Clock,
        report: HolderReport,
    ) -> None:
        self._call = call
        self._ranking = ranking
        self._clock = clock
        self._is_open = True
        self.holder = holder
        self.report = report
        ranking.record_borrow(holder)

    async def run(
        self,
        statement: Statement,
        session: SessionContext,
        deadline: float,
        *,
        prepared_statement: PreparedStatement | None = None,
        after: LogPosition | None = None,
    ) -> Reply:
        """Have the holder run a statement.

        :raises ConnectionLost: see ``BorrowedConnection``.
        """
        timeout = max(0.0, deadline - self._clock.monotonic())
        request = peer_pb2.BorrowRequest(
            statement=statement_message(statement, session, prepared_statement, after)
        )
        return await self._exchange(request, timeout)

    async def rollback(self, timeout: float) -> Reply:
        """Have the holder roll the open transaction back."""
        return await self._exchange(peer_pb2.BorrowRequest(rollback=True), timeout)

    def close(self) -> None:
        """End the stream; the holder closes the connection if it is inside a transaction."""
        self._is_open = False
        self._call.cancel()

    def give_back(self) -> None:
        """End the use of the connection."""
        self._ranking.record_return(self.holder)
        if self._is_open:
            self._is_open = False
            spawn(_finish(self._call), f"end of a connection held by {self.holder}")

    async def _exchange(self, request: peer_pb2.BorrowRequest, timeout: float) -> Reply:
        request.remaining_ms = int(timeout * MILLISECONDS_PER_SECOND)
        try:
            async with asyncio.timeout(timeout + ANSWER_MARGIN_SECONDS):
                await self._call.write(request)
                reply = await self._call.read()
            if reply is grpc.aio.EOF:
                raise await _failure_of(self._call)
            if not reply.HasField("lost"):
                return reply_from(reply)
        except asyncio.CancelledError:
            self.close()
            raise
        except (TimeoutError, grpc.aio.AioRpcError, asyncio.InvalidStateError) as error:
            self.close()
            self._ranking.record_failure(self.holder, self._clock.monotonic())
            message = f"holder {self.holder} did not answer: {_describe(error)}"
            raise HolderLost(message, sent=True) from error
        except ValueError as error:
            self.close()
            raise ConnectionLost(f"holder {self.holder}: {error}", sent=True) from error
        self.close()
        raise error_of(reply.lost)


async def _failure_of(call: grpc.aio.StreamStreamCall) -> grpc.aio.AioRpcError:
    """Return the error with which a call ended before its holder answered."""
    return grpc.aio.AioRpcError(
        await call.code(),
        await call.initial_metadata(),
        await call.trailing_metadata(),
        details=await call.details() or "the call ended",
    )


def _describe(error: Exception) -> str:
    """Return the reason of a failed call in one line."""
    if isinstance(error, grpc.aio.AioRpcError):
        return " ".join(f"{error.code().name} {error.details()}".split())
    return "no answer in time" if isinstance(error, TimeoutError) else "the call has ended"


async def _finish(call: grpc.aio.StreamStreamCall) -> None:
    """Tell the holder that the use ends, and wait until it has ended its side."""
    try:
        async with asyncio.timeout(HOLDER_TIMEOUT_SECONDS):
            await call.done_writing()
            await call.code()
    except (TimeoutError, grpc.aio.AioRpcError, asyncio.InvalidStateError):
        # The connection is back with the end of the call, however it comes.
        call.cancel()
