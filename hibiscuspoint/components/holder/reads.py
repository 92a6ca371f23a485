"""Reads at replicas and at the primary."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hibiscuspoint.components.holder.context import GroupResult
from hibiscuspoint.components.holder.writes import error_from_failure
from hibiscuspoint.core.entry.reads import (
    PrimaryState,
    Read,
    ReadPlanner,
    RejectRead,
    ReplicaState,
    ServeFromPrimary,
    ServeFromReplica,
    WaitForReplica,
)
from hibiscuspoint.core.entry.retry import RetryDecision
from hibiscuspoint.drivers import ConnectionLost, TargetFailure
from hibiscuspoint.errors import (
    DeadlineError,
    HibiscusError,
    NoPrimaryError,
    TargetLostError,
)
from hibiscuspoint.verdict import Verdict
from hibiscuspoint.wire import target_pb2

if TYPE_CHECKING:
    from hibiscuspoint.components.holder.context import GroupRequest
    from hibiscuspoint.components.holder.lane import TargetPool
    from hibiscuspoint.components.holder.resources import GroupResources
    from hibiscuspoint.components.holder.turns import AdmittedRequest
    from hibiscuspoint.core.entry.routes import Route
    from hibiscuspoint.drivers.answer import RunResult
    from hibiscuspoint.ids import Term

__all__ = ["ReadRunner"]

#: Delay in seconds before a read that a member rejected (wrong term or role) is planned again.
REPLAN_DELAY_SECONDS = 0.01


class ReadRunner:
    """Runs the reads of one group at the replica or primary that the planner chooses."""

    def __init__(self, holder: GroupResources) -> None:
        self._holder = holder
        self._planner = ReadPlanner()

    async def execute(self, request: GroupRequest) -> GroupResult:
        """Run a read and return its result.

        :raises HibiscusError: the read failed; the error carries its verdict.
        """
        holder = self._holder
        arrived_at = holder.context.clock.monotonic()
        max_age_seconds = request.max_age_seconds or None
        read = Read(arrived_at, request.deadline, request.mark, max_age_seconds)
        holder.retries.record_request()
        if max_age_seconds is not None:
            holder.progress.enable_periodic_samples()
        async with holder.read_admission.admit(request.caller, request.deadline) as admitted:
            result = await self._run_planned(request, read, admitted)
        self._count_read(result, max_age_seconds)
        return result

    async def _run_planned(
        self, request: GroupRequest, read: Read, admitted: AdmittedRequest
    ) -> GroupResult:
        attempt = 0
        while True:
            plan = self._plan(read)
            match plan:
                case RejectRead(error):
                    raise error
                case WaitForReplica(until):
                    await self._wait_for_replica(read, until)
                    continue
                case ServeFromReplica(target):
                    step = self._read_at_replica(
                        request, read, self._holder.target_pools[target], admitted
                    )
                case ServeFromPrimary():
                    step = self._read_at_primary(request, admitted)
            try:
                result = await step
            except NoPrimaryError:
                # Nothing ran, and a switchover usually completes before the deadline of the read.
                # The delay bounds the number of attempts, so they are not charged to the retry
                # budget.
                await asyncio.sleep(REPLAN_DELAY_SECONDS)
                continue
            except HibiscusError as error:
                attempt += 1
                if not self._may_retry(request, error, attempt):
                    raise
                continue
            if result is not None:
                return result

    def _plan(self, read: Read) -> object:
        holder = self._holder
        now = holder.context.clock.monotonic()
        route = holder.context.routes.route(holder.group)
        if route is None:
            return WaitForReplica(read.deadline) if now < read.deadline else RejectRead(_no_route())
        primary = PrimaryState(
            is_usable=holder.context.routes.leased_route(holder.group, now) is not None,
            expected_wait_seconds=holder.primary_admission.queue.expected_wait_seconds,
        )
        return self._planner.plan(
            read,
            term=route.term,
            history=route.history,
            replicas=self._replica_states(route),
            samples=holder.progress.samples,
            primary=primary,
            now=now,
        )

    def _replica_states(self, route: Route) -> list[ReplicaState]:
        holder = self._holder
        replicas = []
        for member in route.members:
            pool = holder.target_pools.get(member.target)
            if member.target == route.primary or pool is None:
                continue
            progress = holder.progress.member(member.target)
            replicas.append(
                ReplicaState(
                    target=member.target,
                    applied_index=progress.applied,
                    log_term=progress.log_term,
                    is_usable=not member.leaving and pool.pool_state.share > 0,
                    in_flight=pool.in_flight,
                    max_in_flight=pool.limit.value,
                    apply_rate=progress.apply_rate,
                    service_seconds=pool.mean_service_seconds,
                )
            )
        return replicas

    async def _wait_for_replica(self, read: Read, until: float) -> None:
        progress = self._holder.progress
        if read.max_age is None:
            progress.request_sample(read.arrived_at)
        await progress.wait_for_change(until)

    async def _read_at_replica(
        self, request: GroupRequest, read: Read, pool: TargetPool, admitted: AdmittedRequest
    ) -> GroupResult | None:
        """Run a read at a replica; return ``None`` when its answer is too old to be released."""
        holder = self._holder
        route = holder.context.routes.route(holder.group)
        result = await self._run(request, pool, route.term, admitted)
        now = holder.context.clock.monotonic()
        current = holder.context.routes.route(holder.group)
        accepted = current.term == route.term and self._planner.may_release_answer(
            read,
            result.position,
            term=route.term,
            history=route.history,
            samples=holder.progress.samples,
            now=now,
        )
        if not accepted:
            return None
        return GroupResult(result.results, result.position, pool.target, from_replica=True)

    async def _read_at_primary(
        self, request: GroupRequest, admitted: AdmittedRequest
    ) -> GroupResult:
        holder = self._holder
        async with holder.primary_admission.admit(
            request.caller, request.deadline
        ) as admitted_at_primary:
            with holder.track_primary_work():
                route = holder.require_route()
                pool = holder.target_pools[route.primary]
                result = await self._run(request, pool, route.term, admitted_at_primary)
        admitted.service_seconds = admitted_at_primary.service_seconds
        # The data that the read observed must survive a promotion before it is released.
        confirmed = await holder.progress.wait_for_quorum(result.position, request.deadline)
        now = holder.context.clock.monotonic()
        if not confirmed:
            raise TargetLostError(
                "the quorum did not confirm the read position before the deadline or a new term"
            )
        if not holder.context.routes.is_current(holder.group, route.term, now):
            raise TargetLostError("the primary was replaced before the read was answered")
        return GroupResult(result.results, result.position, route.primary)

    async def _run(
        self,
        request: GroupRequest,
        pool: TargetPool,
        term: Term,
        admitted: AdmittedRequest | None = None,
    ) -> RunResult:
        run = target_pb2.Run(term=term, read_only=True, statements=request.statements)
        clock = self._holder.context.clock
        with pool.track_statement() as in_flight:
            pooled = await pool.acquire(request.deadline)
            try:
                started_at = clock.monotonic()
                if started_at >= request.deadline:
                    raise DeadlineError(
                        "the deadline of the read passed before it was sent",
                        verdict=Verdict.NOT_RUN,
                    )
                result = await pooled.connection.run(run, request.deadline - started_at)
                elapsed = clock.monotonic() - started_at
                pool.record_success(elapsed, in_flight)
                self._holder.refresh_concurrency()
                if admitted is not None:
                    admitted.service_seconds = elapsed
                return result
            except ConnectionLost as lost:
                pool.record_connection_loss(lost)
                raise TargetLostError(f"the connection to the target was lost: {lost}") from None
            except TargetFailure as failure:
                raise error_from_failure(failure) from None
            finally:
                pool.release(pooled)

    def _may_retry(self, request: GroupRequest, error: HibiscusError, attempt: int) -> bool:
        if not isinstance(error, TargetLostError):
            return False
        holder = self._holder
        decision = holder.retries.decide(
            error.verdict,
            idempotent=True,
            has_id=False,
            attempt=attempt,
            deadline=request.deadline,
            now=holder.context.clock.monotonic(),
        )
        if decision is not RetryDecision.RETRY:
            return False
        holder.context.metrics.retries.labels(holder.group).inc()
        return True

    def _count_read(self, result: GroupResult, max_age_seconds: float | None) -> None:
        holder = self._holder
        served_by = "replica" if result.from_replica else "primary"
        states_age = "true" if max_age_seconds is not None else "false"
        holder.context.metrics.reads.labels(holder.group, served_by, states_age).inc()


def _no_route() -> HibiscusError:
    return NoPrimaryError("the group has no route yet")
