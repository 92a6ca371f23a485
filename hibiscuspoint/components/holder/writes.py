"""Writes at the primary, acknowledged by a quorum of members."""

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
    from hibiscuspoint.components.holder.lane import PooledConnection, TargetPool
    from hibiscuspoint.components.holder.resources import GroupResources
    from hibiscuspoint.components.holder.turns import AdmittedRequest
    from hibiscuspoint.core.entry.routes import Route
    from hibiscuspoint.drivers.answer import RunResult
    from hibiscuspoint.ids import Term
    from hibiscuspoint.wire import common_pb2

__all__ = ["WriteRunner", "error_from_failure"]

#: Timeout in seconds of one purge of expired request ids.
PURGE_TIMEOUT_SECONDS = 10.0

#: Caller name of the statements that the proxy runs on its own behalf.
INTERNAL_CALLER = CallerId("hibiscuspoint")

#: Failures by which a target only states that another member is or will be the primary.
ROLE_FAILURES = (target_pb2.Failure.WRONG_TERM, target_pb2.Failure.NOT_PRIMARY)


class WriteRunner:
    """Runs the writes of one group.

    :param retention_hours: time for which the outcome of a request id is kept.
    """

    def __init__(self, holder: GroupResources, retention_hours: int) -> None:
        self._holder = holder
        self._is_table_created = False
        self.set_retention(retention_hours)

    def set_retention(self, hours: int) -> None:
        """Set the time in hours for which request ids are kept."""
        self._policy = IdempotencyPolicy(retention_seconds=hours * SECONDS_PER_HOUR)

    async def execute(self, request: GroupRequest) -> GroupResult:
        """Run a write and wait until a quorum of members acknowledges it.

        :raises HibiscusError: the write failed; the error carries its verdict.
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
                decision = self._decide_retry(request, error, attempt)
                if decision is RetryDecision.GIVE_UP:
                    raise
                if decision is RetryDecision.LOOK_UP:
                    return await self._look_up_outcome(request, error)

    def _decide_retry(
        self, request: GroupRequest, error: HibiscusError, attempt: int
    ) -> RetryDecision:
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
        async with holder.primary_admission.admit(request.caller, request.deadline) as admitted:
            with holder.track_primary_work():
                route = holder.require_route()
                result = await self._run(request, route, admitted)
        with holder.track_primary_work():
            await self._wait_for_quorum(result, route, request.deadline)
        return result

    async def _run(
        self, request: GroupRequest, route: Route, admitted: AdmittedRequest
    ) -> GroupResult:
        pool = self._holder.target_pools[route.primary]
        pooled = await pool.acquire(request.deadline)
        try:
            # The lease may have expired while the request waited for a connection.
            if self._holder.require_route().term != route.term:
                raise NoPrimaryError("the primary changed before the request was sent")
            started_at = self._holder.context.clock.monotonic()
            if request.request_id is None:
                outcome = await self._run_without_id(request, route, pool, pooled)
            else:
                outcome = await self._run_with_id(request, route, pool, pooled)
            admitted.service_seconds = self._holder.context.clock.monotonic() - started_at
            return outcome
        finally:
            pool.release(pooled)

    async def _run_without_id(
        self, request: GroupRequest, route: Route, pool: TargetPool, pooled: PooledConnection
    ) -> GroupResult:
        run = target_pb2.Run(
            term=route.term, begin=True, statements=request.statements, commit=True
        )
        run_result = await self._send(pool, pooled, run, request.deadline)
        return GroupResult(run_result.results, run_result.position, pool.target)

    async def _run_with_id(
        self, request: GroupRequest, route: Route, pool: TargetPool, pooled: PooledConnection
    ) -> GroupResult:
        digest = idempotency.request_digest(request.statements)
        claim = idempotency.claim_statement(request.request_id, request.issued_at_ms, digest)
        first = target_pb2.Run(term=route.term, begin=True, statements=[claim, *request.statements])
        try:
            run_result = await self._send(pool, pooled, first, request.deadline)
        except StatementError:
            recorded = await self._recorded_result(request, digest, route.term, pool, pooled)
            if recorded is None:
                raise
            return recorded
        results = run_result.results[1:]
        store = idempotency.store_outcome_statement(
            request.request_id, Outcome.from_results(results).encode()
        )
        second = target_pb2.Run(term=route.term, statements=[store], commit=True)
        committed = await self._send(pool, pooled, second, request.deadline)
        return GroupResult(results, committed.position, pool.target)

    async def _recorded_result(
        self,
        request: GroupRequest,
        digest: bytes,
        term: Term,
        pool: TargetPool,
        pooled: PooledConnection,
    ) -> GroupResult | None:
        """Return the recorded outcome of the request id, at the position that this lookup observed.

        :param digest: digest of the statements, which must equal the recorded one.
        :returns: ``None`` when no outcome is recorded.
        """
        query = target_pb2.Run(
            term=term, read_only=True, statements=[idempotency.lookup_statement(request.request_id)]
        )
        found = await self._send(pool, pooled, query, request.deadline)
        rows = found.results[0].rows
        if not rows:
            return None
        recorded_digest, outcome = rows[0].values
        idempotency.check_digest(recorded_digest.blob, digest)
        recorded = Outcome.decode(outcome.blob)
        return GroupResult(
            results=list(recorded.results),
            position=found.position,
            served_by=pool.target,
            replayed=True,
            without_rows=recorded.without_rows,
        )

    async def _look_up_outcome(self, request: GroupRequest, error: HibiscusError) -> GroupResult:
        """Look up the outcome of a request id at the current primary.

        :raises HibiscusError: ``error``, when the lookup fails or finds no recorded outcome.
        """
        holder = self._holder
        digest = idempotency.request_digest(request.statements)
        try:
            async with holder.primary_admission.admit(request.caller, request.deadline):
                with holder.track_primary_work():
                    route = holder.require_route()
                    pool = holder.target_pools[route.primary]
                    pooled = await pool.acquire(request.deadline)
                    try:
                        found = await self._recorded_result(
                            request, digest, route.term, pool, pooled
                        )
                    finally:
                        pool.release(pooled)
                    if found is not None:
                        await self._wait_for_quorum(found, route, request.deadline)
        except HibiscusError:
            raise error from None
        if found is None:
            raise error
        return found

    async def _wait_for_quorum(self, result: GroupResult, route: Route, deadline: float) -> None:
        holder = self._holder
        started_at = holder.context.clock.monotonic()
        confirmed = await holder.progress.wait_for_quorum(result.position, deadline)
        now = holder.context.clock.monotonic()
        holder.context.metrics.ack_wait.labels(holder.group).observe(now - started_at)
        if not confirmed:
            raise TargetLostError(
                "the quorum did not confirm the write before the deadline or a new term"
            )
        if not holder.context.routes.is_current(holder.group, route.term, now):
            raise TargetLostError("the primary was replaced before the write was acknowledged")

    async def purge(self) -> None:
        """Delete the request ids that are older than twice the retention time.

        :raises HibiscusError: the deletion failed, for example without a usable primary.
        """
        clock = self._holder.context.clock
        deadline = clock.monotonic() + PURGE_TIMEOUT_SECONDS
        await self._ensure_table(deadline)
        before = self._policy.purge_before_ms(clock.unix())
        await self._run_internal(idempotency.purge_statement(before), deadline)

    async def _ensure_table(self, deadline: float) -> None:
        """Create the table of request ids unless this runner has created it before.

        :raises NoPrimaryError: the creation failed; the request that needs the table was not sent.
        """
        if self._is_table_created:
            return
        try:
            await self._run_internal(idempotency.create_table_statement(), deadline)
        except HibiscusError as error:
            # Reported as not run: the request itself was not sent, and the creation is idempotent.
            raise NoPrimaryError("the table of request ids cannot be created") from error
        self._is_table_created = True

    async def _run_internal(self, statement: common_pb2.Statement, deadline: float) -> None:
        """Run a statement on behalf of the proxy itself; it must be idempotent."""
        holder = self._holder
        async with holder.primary_admission.admit(INTERNAL_CALLER, deadline):
            with holder.track_primary_work():
                route = holder.require_route()
                pool = holder.target_pools[route.primary]
                pooled = await pool.acquire(deadline)
                run = target_pb2.Run(
                    term=route.term, begin=True, statements=[statement], commit=True
                )
                try:
                    await self._send(pool, pooled, run, deadline)
                finally:
                    pool.release(pooled)

    async def _send(
        self, pool: TargetPool, pooled: PooledConnection, run: target_pb2.Run, deadline: float
    ) -> RunResult:
        now = self._holder.context.clock.monotonic()
        if now >= deadline:
            verdict = Verdict.MAY_HAVE_RUN if pooled.connection.in_transaction else Verdict.NOT_RUN
            raise DeadlineError("the deadline of the request passed", verdict=verdict)
        try:
            result = await pooled.connection.run(run, deadline - now)
        except ConnectionLost as lost:
            pool.record_connection_loss(lost)
            raise _connection_loss_error(lost, run) from None
        except TargetFailure as failure:
            raise error_from_failure(failure) from None
        elapsed = self._holder.context.clock.monotonic() - now
        pool.record_success(elapsed, self._holder.primary_admission.queue.running_count)
        self._holder.refresh_concurrency()
        return result


def _connection_loss_error(lost: ConnectionLost, run: target_pb2.Run) -> HibiscusError:
    if not lost.sent and run.begin:
        return NoPrimaryError(f"the connection to the primary failed: {lost}")
    return TargetLostError(
        f"the connection to the primary was lost: {lost}", rolled_back=not run.commit
    )


def error_from_failure(failure: TargetFailure) -> HibiscusError:
    """Return the error to report for a request that a target rejected."""
    if failure.kind in ROLE_FAILURES:
        if failure.not_run:
            return NoPrimaryError(failure.message)
        return TargetLostError(failure.message)
    if failure.not_run and failure.kind == target_pb2.Failure.LEAVING:
        return NoPrimaryError(failure.message)
    return StatementError(failure.message)
