"""Connections to targets that other instances keep open."""

from __future__ import annotations

import asyncio
import logging
import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, TypeVar

import grpc

from hibiscuspoint.components.sessions.balancing import HolderLost, holder_report
from hibiscuspoint.components.sessions.borrow_messages import (
    error_of,
    reply_from,
    statement_message,
    values_of,
)
from hibiscuspoint.components.sessions.wait_records import WaitRecords
from hibiscuspoint.core.balancing import RoundTripSource
from hibiscuspoint.core.scheduling import FullHolders
from hibiscuspoint.core.sessions import HolderRanking
from hibiscuspoint.drivers.errors import (
    AnswerTimeoutError,
    ConnectError,
    ConnectFailure,
    ConnectionLost,
)
from hibiscuspoint.ids import InstanceId
from hibiscuspoint.telemetry import catalogue, log_event
from hibiscuspoint.util.messages import decoded
from hibiscuspoint.util.tasks import spawn
from hibiscuspoint.util.units import MICROSECONDS_PER_SECOND, MILLISECONDS_PER_SECOND
from hibiscuspoint.wire import peer_pb2, peer_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from hibiscuspoint.components.peers import PeerChannels
    from hibiscuspoint.components.sessions.balancing import ReadBalancing
    from hibiscuspoint.components.sessions.connection import PooledConnection
    from hibiscuspoint.components.sessions.own_connections import OwnConnections
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
    from hibiscuspoint.ids import AvailabilityZone, GroupId, TargetId

__all__ = ["ConnectionBorrowing", "HeldRead", "HeldReply"]

logger = logging.getLogger(__name__)

#: Longest time in seconds until a holder takes a request. It does so at once; a machine whose share
#: of the processor is used up stands still for 0.1 s, and a lost packet is sent again after 0.2 s.
HOLDER_TIMEOUT_SECONDS = 0.25

#: Holders that are asked for one connection. If none of them answers, this instance opens one.
HOLDER_ATTEMPTS = 3

#: Longest time in seconds to wait for a connection at a holder while another one can be asked.
HOLDER_WAIT_SECONDS = 0.06

#: Twice the longest time in seconds to wait at a holder that expected a wait of at most
#: ``HOLDER_WAIT_SECONDS``, while another one can be asked.
FAIR_WAIT_SECONDS = 4 * HOLDER_WAIT_SECONDS

#: Longest expected wait in seconds that is passed on; no statement has so much time.
MAX_EXPECTED_WAIT_SECONDS = 60.0

#: Seconds beyond the timeout of a statement after which its holder is taken for lost; the holder
#: reports the timeout itself.
ANSWER_MARGIN_SECONDS = 0.1


#: Number of the request for a connection, the first one on its stream.
FIRST_NUMBER = 1


_T = TypeVar("_T")


@dataclass(frozen=True)
class HeldRead:
    """A read outside a transaction that a holder is asked to run.

    :param session: values that must be set at the connection.
    :param prepared_statement: prepared statement that the read executes, if any.
    :param after: position that the target must have applied.
    :param answer_until: monotonic time in seconds until which the answer is waited for.
    """

    statement: Statement
    session: SessionContext
    answer_until: float
    prepared_statement: PreparedStatement | None = None
    after: LogPosition | None = None

    @property
    def message(self) -> peer_pb2.StatementRequest:
        """Return the statement with the context that it needs at the connection."""
        return statement_message(self.statement, self.session, self.prepared_statement, self.after)

    async def run_at(self, pooled: PooledConnection, clock: Clock) -> HeldReply:
        """Run the read at a connection of this instance and give the connection back.

        :raises ConnectionLost: there is no whole answer.
        """
        started = clock.monotonic()
        try:
            reply = await pooled.run(
                self.statement,
                self.session,
                self.answer_until,
                prepared_statement=self.prepared_statement,
                after=self.after,
            )
        finally:
            pooled.give_back()
        elapsed = clock.monotonic() - started
        return HeldReply(InstanceId(pooled.holder), reply, elapsed, pooled.report)


@dataclass(frozen=True)
class HeldReply:
    """Reply of a target to a read that a holder ran.

    :param elapsed_seconds: time that the target took, as the holder saw it.
    :param report: what the holder tells about the target.
    """

    holder: InstanceId
    reply: Reply
    elapsed_seconds: float
    report: HolderReport


@dataclass(frozen=True)
class _Wanted:
    """What one holder is asked for.

    :param demand: the same for this instance, if it is the holder.
    :param wait_seconds: time for which the holder waits for a connection.
    """

    request: peer_pb2.ConnectionRequest
    demand: ConnectionDemand
    wait_seconds: float


class ConnectionBorrowing:
    """Borrows connections from the holders of a group.

    :param zone: availability zone of this instance.
    :param scheduling: registered name of the order in which waiting statements are served.
    :param reads: is told how long the way to each holder takes.
    """

    def __init__(
        self,
        zone: AvailabilityZone,
        channels: PeerChannels,
        clock: Clock,
        scheduling: str = "priority",
        records: WaitRecords | None = None,
        reads: ReadBalancing | None = None,
    ) -> None:
        self._is_fair = scheduling == "fair"
        self._records = records or WaitRecords()
        self._full = FullHolders()
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
        own: OwnConnections | None = None,
        *,
        target_zone: AvailabilityZone | None = None,
    ) -> HeldConnection | PooledConnection | None:
        """Return a connection; ``None`` when no holder answers.

        :param own: connections of this instance, which may be a holder; ``None`` where there are no
            organisations, and holders serve their own callers alone.
        :param target_zone: zone of the target, where holders there are as near as those of this
            zone.
        :raises ConnectError: a holder answers and has no connection in time.
        """

        async def ask(holder: InstanceId, wanted: _Wanted) -> HeldConnection | PooledConnection:
            if own is not None and holder == own.instance:
                return await own.acquire(wanted.demand)
            return await self._ask(holder, wanted, demand.deadline)

        self._zones = {place.instance: place.zone for place in holders}
        now = self._clock.monotonic()
        if own is None:
            ranked = self._ranking.rank(holders, target, now, target_zone)
        else:
            ranked = self._ranking.rank_for(demand.organisation, group, holders, target, now)
        return await self._ask_holders(ranked, group, target, demand, ask)

    async def run_read(
        self,
        holders: Iterable[EntryPlace],
        group: GroupId,
        target: TargetId,
        demand: ConnectionDemand,
        read: HeldRead,
        own: OwnConnections,
    ) -> HeldReply | None:
        """Have a holder run a read in one exchange; ``None`` when no holder answers.

        Borrowing a connection first takes a second exchange, during which the connection is idle.

        :param own: connections of this instance, which may be a holder.
        :raises ConnectError: a holder answers and has no connection in time.
        :raises ConnectionLost: there is no whole answer of the target.
        """

        async def ask(holder: InstanceId, wanted: _Wanted) -> HeldReply:
            if holder == own.instance:
                return await read.run_at(await own.acquire(wanted.demand), self._clock)
            use = (holder, target, demand.organisation)
            self._ranking.record_borrow(*use)
            try:
                return await self._run_read(holder, wanted, read)
            finally:
                self._ranking.record_return(*use)

        self._zones = {place.instance: place.zone for place in holders}
        now = self._clock.monotonic()
        ranked = self._ranking.rank_for(demand.organisation, group, holders, target, now)
        return await self._ask_holders(ranked, group, target, demand, ask)

    async def _ask_holders(
        self,
        ranked: list[InstanceId],
        group: GroupId,
        target: TargetId,
        demand: ConnectionDemand,
        ask: Callable[[InstanceId, _Wanted], Awaitable[_T]],
    ) -> _T | None:
        """Return what the first holder with a connection returns; ``None`` when none answers."""
        ranked = self._with_room(ranked[:HOLDER_ATTEMPTS], group, target, demand)
        refusal: ConnectError | None = None
        for number, holder in enumerate(ranked, 1):
            is_last = number == len(ranked)
            try:
                return await self._ask_for(holder, group, target, demand, ask, is_last=is_last)
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

    def _with_room(
        self, ranked: list[InstanceId], group: GroupId, target: TargetId, demand: ConnectionDemand
    ) -> list[InstanceId]:
        """Return the holders that may serve a demand in time, as far as is known.

        :raises ConnectError: none of them can.
        """
        now = self._clock.monotonic()
        usable, wait = self._full.with_room(ranked, target, demand, now)
        if usable or not ranked:
            return usable
        message = f"all holders of connections to {target} are full"
        self._records.record_refusal(group, demand.priority, "holders_full", message, now)
        raise ConnectError(ConnectFailure.LIMITED, message, wait)

    async def _ask_for(
        self,
        holder: InstanceId,
        group: GroupId,
        target: TargetId,
        demand: ConnectionDemand,
        ask: Callable[[InstanceId, _Wanted], Awaitable[_T]],
        *,
        is_last: bool,
    ) -> _T:
        """Ask one holder for a connection and record how long it took.

        The last holder gets all the time that is left; a statement does not wait at one holder
        while another one may have an idle connection.
        """
        started = self._clock.monotonic()
        wait = max(0.0, demand.deadline - started)
        patience = demand.max_expected_wait_seconds
        if not is_last:
            wait, patience = self._bound_wait(demand, wait, patience)
        organisation = demand.organisation
        wanted = peer_pb2.ConnectionRequest(
            group=group,
            target=target,
            priority=demand.priority,
            **values_of(demand.session),
            patience_ms=int(min(patience, MAX_EXPECTED_WAIT_SECONDS) * MILLISECONDS_PER_SECOND),
            organisation=organisation,
            objective_ms=_objective_ms(demand, started),
            expected_ms=math.ceil(demand.expected_seconds * MILLISECONDS_PER_SECOND),
            retry=demand.is_retry,
            transaction=demand.is_transaction,
        )
        try:
            limited = replace(demand, deadline=started + wait, max_expected_wait_seconds=patience)
            answer = await ask(holder, _Wanted(wanted, limited, wait))
        except ConnectError as error:
            now = self._clock.monotonic()
            asked = replace(demand, max_expected_wait_seconds=patience)
            self._full.record(holder, target, asked, error.retry_after_seconds, now)
            # A refusal comes at once, but a statement would have waited longer than it could.
            self._ranking.record_wait(holder, target, HOLDER_WAIT_SECONDS, started, organisation)
            raise
        now = self._clock.monotonic()
        run_seconds = answer.elapsed_seconds if isinstance(answer, HeldReply) else 0.0
        waited = max(0.0, now - started - run_seconds)
        self._ranking.record_wait(holder, target, waited, now, organisation)
        return answer

    def _bound_wait(
        self, demand: ConnectionDemand, wait: float, patience: float
    ) -> tuple[float, float]:
        """Return how long to wait at a holder while another one can be asked.

        A fair queue predicts its waits, so that a demand that it let in stays there longer: at the
        next holder it would start at the end of the queue.
        """
        patience = min(patience, HOLDER_WAIT_SECONDS)
        if not self._is_fair:
            return min(wait, HOLDER_WAIT_SECONDS), patience
        left = demand.objective_at - self._clock.monotonic()
        return min(wait, max(HOLDER_WAIT_SECONDS, min(left, FAIR_WAIT_SECONDS) / 2)), patience

    async def _run_read(self, holder: InstanceId, wanted: _Wanted, read: HeldRead) -> HeldReply:
        """Have one holder run a read."""
        remaining = max(0.0, read.answer_until - self._clock.monotonic())
        request = peer_pb2.ReadRequest(
            connection=wanted.request,
            wait_ms=int(wanted.wait_seconds * MILLISECONDS_PER_SECOND),
            statement=read.message,
            remaining_ms=int(remaining * MILLISECONDS_PER_SECOND),
        )
        call = peer_pb2_grpc.ConnectionsStub(self._channels.get(holder)).RunRead(request)
        try:
            started = self._clock.monotonic()
            async with asyncio.timeout(min(HOLDER_TIMEOUT_SECONDS, remaining)):
                await call.initial_metadata()
            self._record_round_trip(holder, started)
            reply = await self._await_read(call, wanted.wait_seconds + remaining)
        except BaseException:
            call.cancel()
            raise
        self._ranking.record_answer(holder)
        if reply.lost.connect_failure:
            raise _refusal_of(reply.lost)
        if reply.HasField("lost"):
            raise error_of(reply.lost)
        elapsed = reply.elapsed_us / MICROSECONDS_PER_SECOND
        try:
            return HeldReply(holder, reply_from(reply), elapsed, holder_report(reply.load))
        except ValueError as error:
            raise ConnectionLost(f"holder {holder}: {error}", sent=True) from error

    async def _await_read(
        self, call: grpc.aio.UnaryStreamCall, seconds: float
    ) -> peer_pb2.BorrowReply:
        """Return the reply to a read that a holder has taken.

        :raises AnswerTimeoutError: there is none in time; the target may have run the read.
        """
        try:
            async with asyncio.timeout(seconds + ANSWER_MARGIN_SECONDS):
                reply = decoded(await call.read())
        except TimeoutError:
            raise AnswerTimeoutError from None
        if reply is grpc.aio.EOF:
            raise await _failure_of(call)
        return reply

    async def _ask(self, holder: InstanceId, wanted: _Wanted, deadline: float) -> HeldConnection:
        """Ask a holder for a connection.

        :param deadline: monotonic time until which the holder may take the request.
        """
        wait = wanted.wait_seconds
        remaining = max(0.0, deadline - self._clock.monotonic())
        stub = peer_pb2_grpc.ConnectionsStub(self._channels.get(holder))
        call = stub.Borrow()
        try:
            request = peer_pb2.BorrowRequest(
                connection=wanted.request,
                remaining_ms=int(wait * MILLISECONDS_PER_SECOND),
                number=FIRST_NUMBER,
            )
            started = self._clock.monotonic()
            async with asyncio.timeout(min(HOLDER_TIMEOUT_SECONDS, remaining)):
                await call.write(request)
                await call.initial_metadata()
            self._record_round_trip(holder, started)
            async with asyncio.timeout(wait + ANSWER_MARGIN_SECONDS):
                reply = decoded(await call.read())
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
            raise _refusal_of(reply.lost)
        return HeldConnection(holder, call, self._ranking, self._clock, wanted.request, reply)

    def _record_round_trip(self, holder: InstanceId, started: float) -> None:
        """Record the way to a holder, which takes a request at once."""
        zone = self._zones.get(holder)
        if self._reads is not None and zone is not None:
            now = self._clock.monotonic()
            self._reads.record_round_trip(zone, RoundTripSource.HOLDER, now - started, now)


class HeldConnection:
    """A connection that a holder lends to one session; see ``BorrowedConnection``.

    :param lent: reply with which the holder lends it. A holder of an earlier version, which runs
        during an upgrade, does not number this one, nor any later one.
    """

    def __init__(
        self,
        holder: InstanceId,
        call: grpc.aio.StreamStreamCall,
        ranking: HolderRanking,
        clock: Clock,
        wanted: peer_pb2.ConnectionRequest,
        lent: peer_pb2.BorrowReply,
    ) -> None:
        self._call = call
        self._ranking = ranking
        self._clock = clock
        self._is_open = True
        self._is_numbered = lent.number == FIRST_NUMBER
        self._last_number = FIRST_NUMBER
        self.holder = holder
        self._use = (holder, wanted.target, wanted.organisation)
        ranking.record_borrow(*self._use)
        self.report = holder_report(lent.load)

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
        self._ranking.record_return(*self._use)
        if not self._is_open:
            self._call.cancel()
            return
        self._is_open = False
        spawn(_finish(self._call), f"end of a connection held by {self.holder}")

    async def _exchange(self, request: peer_pb2.BorrowRequest, timeout: float) -> Reply:
        """Send a request and return its answer; the stream stays open only with a whole one."""
        request.remaining_ms = int(timeout * MILLISECONDS_PER_SECOND)
        request.number = self._last_number = self._last_number + 1
        if not self._is_open:
            raise ConnectionLost("the lent connection is closed or in use", sent=False)
        # It is open again with the answer, as another request would get that of this one.
        self._is_open = False
        try:
            answer = self._read_answer(request.number, await self._send(request, timeout))
            self._is_open = True
        finally:
            if not self._is_open:
                self.close()
        return answer

    async def _send(self, request: peer_pb2.BorrowRequest, timeout: float) -> peer_pb2.BorrowReply:
        """Send a request and return the next reply."""
        if self._call.done():
            raise self._lose("the stream had ended", sent=False)
        try:
            async with asyncio.timeout(timeout + ANSWER_MARGIN_SECONDS):
                await self._call.write(request)
                reply = decoded(await self._call.read())
            if reply is grpc.aio.EOF:
                raise await _failure_of(self._call)
        except asyncio.CancelledError as error:
            if asyncio.current_task().cancelling():
                raise
            raise self._lose("the channel was closed", sent=True) from error
        except (TimeoutError, grpc.aio.AioRpcError, asyncio.InvalidStateError) as error:
            raise self._lose(_describe(error), sent=True) from error
        return reply

    def _read_answer(self, number: int, reply: peer_pb2.BorrowReply) -> Reply:
        """Return the answer of a target that a reply contains."""
        if reply.number != (number if self._is_numbered else 0):
            raise self._lose("the reply belongs to no request", sent=True)
        if reply.HasField("lost"):
            raise error_of(reply.lost)
        try:
            return reply_from(reply)
        except ValueError as error:
            raise self._lose(str(error), sent=True) from error

    def _lose(self, reason: str, *, sent: bool) -> HolderLost:
        """Record that the holder does not answer and return the error."""
        self._ranking.record_failure(self.holder, self._clock.monotonic())
        return HolderLost(f"holder {self.holder} did not answer: {reason}", sent=sent)


def _refusal_of(lost: peer_pb2.BorrowFailure) -> ConnectError:
    """Return the error of a holder that has no connection in time."""
    retry_after = lost.retry_after_ms / MILLISECONDS_PER_SECOND
    return ConnectError(ConnectFailure(lost.connect_failure), lost.text, retry_after)


def _objective_ms(demand: ConnectionDemand, now: float) -> int:
    """Return the time to the objective, at least 1 ms; 0 when there is none."""
    if demand.objective_at == math.inf:
        return 0
    return max(1, int((demand.objective_at - now) * MILLISECONDS_PER_SECOND))


async def _failure_of(call: grpc.aio.Call) -> grpc.aio.AioRpcError:
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
