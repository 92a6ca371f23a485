"""Writes at the primary, acknowledged by a quorum."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.components.holder.context import GroupResult
from hibiscuspoint.core.entry import idempotency
from hibiscuspoint.core.entry.idempotency import IdempotencyPolicy
from hibiscuspoint.core.entry.outcome import Outcome
from hibiscuspoint.core.entry.retry import RetryDecision
from hibiscuspoint.drivers import ConnectionLost, TargetFailure
from hibiscuspoint.errors import (
    DeadlineError,
    HibiscusError,
    NoPrimaryError,
    StatementError,
    TargetLostError,
)
from hibiscuspoint.ids import CallerId
from hibiscuspoint.util.units import SECONDS_PER_HOUR
from hibiscuspoint.verdict import Verdict
from hibiscuspoint.wire import target_pb2

if TYPE_CHECKING:
    from hibiscuspoint.components.holder.context import GroupRequest
    from hibiscuspoint.components.holder.lane import LentConnection, TargetLane
    from hibiscuspoint.components.holder.resources import GroupResources
    from hibiscuspoint.components.holder.turns import Turn
    from hibiscuspoint.core.entry.routes import Route
    from hibiscuspoint.drivers.answer import RunResult
    from hibiscuspoint.ids import Term
    from hibiscuspoint.wire import common_pb2

__all__ = ["WriteRunner", "failure_to_error"]

#: Longest time in seconds of one deletion of old request ids.
PURGE_SECONDS = 10.0

#: Caller of the statements that the proxy runs for itself.
INTERNAL_CALLER = CallerId("hibiscuspoint")

#: Failures of a target that say only that another member is or will be primary.
ROLE_FAILURES = (target_pb2.Failure.WRONG_TERM, target_pb2.Failure.NOT_PRIMARY)


class WriteRunner:
    """Runs writes of one group."""

    def __init__(self, holder: GroupResources, retention_hours: int) -> None:
        self._holder = holder
        self._table_known = False
        self.set_retention(retention_hours)

    def set_retention(self, hours: int) -> None:
        """Set for how long request ids are remembered."""
        self._policy = IdempotencyPolicy(retention_seconds=hours * SECONDS_PER_HOUR)

    async def execute(self, request: GroupRequest) -> GroupResult:
        """Run a write and wait until the quorum holds it.

        :raises HibiscusError: with the verdict of the request.
        """
        if request.request_id is not None:
            unix_now = self._holder.context.clock.unix()
            self._policy.check(request.request_id, request.issued_at_ms, unix_now)
        self._holder.retries.record_request()
        attempt = 0
        while True:
            attempt += 1
            try:
                return await self._attempt(request)
            except HibiscusError as error:
                decision = self._decide(request, error, attempt)
                if decision is RetryDecision.GIVE_UP:
                    raise
                if decision is RetryDecision.LOOK_UP:
                    return await self._look_up_after(request, error)

    def _decide(self, request: GroupRequest, error: HibiscusError, attempt: int) -> RetryDecision:
        if error.verdict is Verdict.NOT_RUN and not isinstance(error, NoPrimaryError):
            return RetryDecision.GIVE_UP
        holder = self._holder
        decision = holder.retries.decide(
            error.verdict,
            idempotent=False,
            has_id=request.request_id is not None,
            attempt=attempt,
            deadline=request.deadline,
            now=holder.context.clock.monotonic(),
        )
        if decision is RetryDecision.RETRY:
            holder.context.metrics.retries.labels(holder.group).inc()
        return decision

    async def _attempt(self, request: GroupRequest) -> GroupResult:
        if request.request_id is not None:
            await self._ensure_table(request.deadline)
        holder = self._holder
        async with holder.primary_turns.turn(request.caller, request.deadline) as turn:
            with holder.primary_work():
                route = holder.require_route()
                result = await self._run(request, route, turn)
        with holder.primary_work():
            await self._confirm(result, route, request.deadline)
        return result

    async def _run(self, request: GroupRequest, route: Route, turn: Turn) -> GroupResult:
        lane = self._holder.lanes[route.primary]
        lent = await lane.acquire(request.deadline)
        try:
            # The lease may have ended while the request waited for a connection.
            if self._holder.require_route().term != route.term:
                raise NoPrimaryError("the primary changed before the request was sent")
            started = self._holder.context.clock.monotonic()
            if request.request_id is None:
                outcome = await self._run_once(request, route, lane, lent)
            else:
                outcome = await self._run_with_id(request, route, lane, lent)
            turn.service_time = self._holder.context.clock.monotonic() - started
            return outcome
        finally:
            lane.release(lent)

    async def _run_once(
        self, request: GroupRequest, route: Route, lane: TargetLane, lent: LentConnection
    ) -> GroupResult:
        run = target_pb2.Run(
            term=route.term, begin=True, statements=request.statements, commit=True
        )
        ran = await self._send(lane, lent, run, request.deadline)
        return GroupResult(ran.results, ran.position, lane.target)

    async def _run_with_id(
        self, request: GroupRequest, route: Route, lane: TargetLane, lent: LentConnection
    ) -> GroupResult:
        digest = idempotency.request_digest(request.statements)
        claim = idempotency.claim_statement(request.request_id, request.issued_at_ms, digest)
        first = target_pb2.Run(term=route.term, begin=True, statements=[claim, *request.statements])
        try:
            ran = await self._send(lane, lent, first, request.deadline)
        except StatementError:
            recorded = await self._recorded(request, digest, route.term, lane, lent)
            if recorded is None:
                raise
            return recorded
        results = ran.results[1:]
        store = idempotency.store_outcome_statement(
            request.request_id, Outcome.from_results(results).encode()
        )
        second = target_pb2.Run(term=route.term, statements=[store], commit=True)
        committed = await self._send(lane, lent, second, request.deadline)
        return GroupResult(results, committed.position, lane.target)

    async def _recorded(
        self,
        request: GroupRequest,
        digest: bytes,
        term: Term,
        lane: TargetLane,
        lent: LentConnection,
    ) -> GroupResult | None:
        """Return the recorded answer of an id, at the position at which it was read."""
        query = target_pb2.Run(
            term=term, read_only=True, statements=[idempotency.lookup_statement(request.request_id)]
        )
        found = await self._send(lane, lent, query, request.deadline)
        rows = found.results[0].rows
        if not rows:
            return None
        recorded_digest, outcome = rows[0].values
        idempotency.check_digest(recorded_digest.blob, digest)
        recorded = Outcome.decode(outcome.blob)
        return GroupResult(
            results=list(recorded.results),
            position=found.position,
            served_by=lane.target,
            replayed=True,
            without_rows=recorded.without_rows,
        )

    async def _look_up_after(self, request: GroupRequest, error: HibiscusError) -> GroupResult:
        """Resolve an unknown outcome by its id at the current primary."""
        holder = self._holder
        digest = idempotency.request_digest(request.statements)
        try:
            async with holder.primary_turns.turn(request.caller, request.deadline):
                with holder.primary_work():
                    route = holder.require_route()
                    lane = holder.lanes[route.primary]
                    lent = await lane.acquire(request.deadline)
                    try:
                        found = await self._recorded(request, digest, route.term, lane, lent)
                    finally:
                        lane.release(lent)
                    if found is not None:
                        await self._confirm(found, route, request.deadline)
        except HibiscusError:
            raise error from None
        if found is None:
            raise error
        return found

    async def _confirm(self, result: GroupResult, route: Route, deadline: float) -> None:
        holder = self._holder
        started = holder.context.clock.monotonic()
        confirmed = await holder.progress.wait_confirmed(result.position, deadline)
        now = holder.context.clock.monotonic()
        holder.context.metrics.ack_wait.labels(holder.group).observe(now - started)
        if not confirmed:
            raise TargetLostError("the quorum did not confirm the write in time")
        if not holder.context.routes.is_current(holder.group, route.term, now):
            raise TargetLostError("the primary was replaced before the write was acknowledged")

    async def purge(self) -> None:
        """Delete the request ids that are older than twice the retention.

        :raises HibiscusError: the primary cannot be used now.
        """
        clock = self._holder.context.clock
        deadline = clock.monotonic() + PURGE_SECONDS
        await self._ensure_table(deadline)
        before = self._policy.purge_before_ms(clock.unix())
        await self._run_internal(idempotency.purge_statement(before), deadline)

    async def _ensure_table(self, deadline: float) -> None:
        """Create the table of request ids once for each process."""
        if self._table_known:
            return
        try:
            await self._run_internal(idempotency.create_table_statement(), deadline)
        except HibiscusError as error:
            # The request itself was not sent; creating the table is idempotent.
            raise NoPrimaryError("the table of request ids cannot be created") from error
        self._table_known = True

    async def _run_internal(self, statement: common_pb2.Statement, deadline: float) -> None:
        """Run an idempotent statement of the proxy itself."""
        holder = self._holder
        async with holder.primary_turns.turn(INTERNAL_CALLER, deadline):
            with holder.primary_work():
                route = holder.require_route()
                lane = holder.lanes[route.primary]
                lent = await lane.acquire(deadline)
                run = target_pb2.Run(
                    term=route.term, begin=True, statements=[statement], commit=True
                )
                try:
                    await self._send(lane, lent, run, deadline)
                finally:
                    lane.release(lent)

    async def _send(
        self, lane: TargetLane, lent: LentConnection, run: target_pb2.Run, deadline: float
    ) -> RunResult:
        now = self._holder.context.clock.monotonic()
        if now >= deadline:
            verdict = Verdict.MAY_HAVE_RUN if lent.connection.in_transaction else Verdict.NOT_RUN
            raise DeadlineError("the time of the request ended", verdict=verdict)
        try:
            result = await lent.connection.run(run, deadline - now)
        except ConnectionLost as lost:
            lane.lost(lost)
            raise _lost_to_error(lost, run) from None
        except TargetFailure as failure:
            raise failure_to_error(failure) from None
        elapsed = self._holder.context.clock.monotonic() - now
        lane.succeeded(elapsed, self._holder.primary_turns.queue.running_count)
        self._holder.refresh_concurrency()
        return result


def _lost_to_error(lost: ConnectionLost, run: target_pb2.Run) -> HibiscusError:
    if not lost.sent and run.begin:
        return NoPrimaryError(f"the connection to the primary failed: {lost}")
    return TargetLostError(
        f"the connection to the primary was lost: {lost}", rolled_back=not run.commit
    )


def failure_to_error(failure: TargetFailure) -> HibiscusError:
    """Return the error of a request that a target rejected."""
    if failure.kind in ROLE_FAILURES:
        if failure.not_run:
            return NoPrimaryError(failure.message)
        return TargetLostError(failure.message)
    if failure.not_run and failure.kind == target_pb2.Failure.LEAVING:
        return NoPrimaryError(failure.message)
    return StatementError(failure.message)
