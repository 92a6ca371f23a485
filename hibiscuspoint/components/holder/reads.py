"""Reads at replicas and at the primary."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hibiscuspoint.components.holder.context import GroupResult
from hibiscuspoint.components.holder.writes import failure_to_error
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
    from hibiscuspoint.components.holder.lane import TargetLane
    from hibiscuspoint.components.holder.resources import GroupResources
    from hibiscuspoint.components.holder.turns import Turn
    from hibiscuspoint.core.entry.routes import Route
    from hibiscuspoint.drivers.answer import RunResult
    from hibiscuspoint.ids import Term

__all__ = ["ReadRunner"]

#: Seconds before a read that a member refused because of its term or role is planned again.
ROUTE_POLL_SECONDS = 0.01


class ReadRunner:
    """Runs reads of one group where the planner decides."""

    def __init__(self, holder: GroupResources) -> None:
        self._holder = holder
        self._planner = ReadPlanner()

    async def execute(self, request: GroupRequest) -> GroupResult:
        """Run a read.

        :raises HibiscusError: with the verdict of the request.
        """
        holder = self._holder
        arrived_at = holder.context.clock.monotonic()
        max_age = request.max_age or None
        read = Read(arrived_at, request.deadline, request.mark, max_age)
        holder.retries.record_request()
        if max_age is not None:
            holder.progress.want_samples()
        async with holder.read_turns.turn(request.caller, request.deadline) as turn:
            result = await self._run_planned(request, read, turn)
        self._count(result, max_age)
        return result

    async def _run_planned(self, request: GroupRequest, read: Read, turn: Turn) -> GroupResult:
        attempt = 0
        while True:
            plan = self._plan(read)
            match plan:
                case RejectRead(error):
                    raise error
                case WaitForReplica(until):
                    await self._wait(read, until)
                    continue
                case ServeFromReplica(target):
                    step = self._at_replica(request, read, self._holder.lanes[target], turn)
                case ServeFromPrimary():
                    step = self._at_primary(request, turn)
            try:
                result = await step
            except NoPrimaryError:
                # Nothing ran, and a switchover ends within the time of the read. The pause bounds
                # the attempts, so they take nothing from the budget of retries.
                await asyncio.sleep(ROUTE_POLL_SECONDS)
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
            expected_wait_seconds=holder.primary_turns.queue.expected_wait_seconds,
        )
        return self._planner.plan(
            read,
            term=route.term,
            history=route.history,
            replicas=self._replicas(route),
            samples=holder.progress.samples,
            primary=primary,
            now=now,
        )

    def _replicas(self, route: Route) -> list[ReplicaState]:
        holder = self._holder
        replicas = []
        for member in route.members:
            lane = holder.lanes.get(member.target)
            if member.target == route.primary or lane is None:
                continue
            progress = holder.progress.member(member.target)
            replicas.append(
                ReplicaState(
                    target=member.target,
                    applied_index=progress.applied,
                    log_term=progress.log_term,
                    is_usable=not member.leaving and lane.pool.share > 0,
                    in_flight=lane.in_flight,
                    max_in_flight=lane.limit.value,
                    apply_rate=progress.apply_rate,
                    service_seconds=lane.service_time,
                )
            )
        return replicas

    async def _wait(self, read: Read, until: float) -> None:
        progress = self._holder.progress
        if read.max_age is None:
            progress.request_sample(read.arrived_at)
        await progress.wait_change(until)

    async def _at_replica(
        self, request: GroupRequest, read: Read, lane: TargetLane, turn: Turn
    ) -> GroupResult | None:
        """Run at a replica; ``None`` when its answer turned out to be too old."""
        holder = self._holder
        route = holder.context.routes.route(holder.group)
        result = await self._run(request, lane, route.term, turn)
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
        return GroupResult(result.results, result.position, lane.target, from_replica=True)

    async def _at_primary(self, request: GroupRequest, turn: Turn) -> GroupResult:
        holder = self._holder
        async with holder.primary_turns.turn(request.caller, request.deadline) as at_primary:
            with holder.primary_work():
                route = holder.require_route()
                lane = holder.lanes[route.primary]
                result = await self._run(request, lane, route.term, at_primary)
        turn.service_time = at_primary.service_time
        # What the read saw must survive a promotion before it is released.
        confirmed = await holder.progress.wait_confirmed(result.position, request.deadline)
        now = holder.context.clock.monotonic()
        if not confirmed:
            raise TargetLostError("the quorum did not confirm what the read saw in time")
        if not holder.context.routes.is_current(holder.group, route.term, now):
            raise TargetLostError("the primary was replaced before the read was answered")
        return GroupResult(result.results, result.position, route.primary)

    async def _run(
        self, request: GroupRequest, lane: TargetLane, term: Term, turn: Turn | None = None
    ) -> RunResult:
        run = target_pb2.Run(term=term, read_only=True, statements=request.statements)
        clock = self._holder.context.clock
        with lane.running() as in_flight:
            lent = await lane.acquire(request.deadline)
            try:
                started = clock.monotonic()
                if started >= request.deadline:
                    raise DeadlineError("the time of the read ended", verdict=Verdict.NOT_RUN)
                result = await lent.connection.run(run, request.deadline - started)
                elapsed = clock.monotonic() - started
                lane.succeeded(elapsed, in_flight)
                self._holder.refresh_concurrency()
                if turn is not None:
                    turn.service_time = elapsed
                return result
            except ConnectionLost as lost:
                lane.lost(lost)
                raise TargetLostError(f"the connection to the target was lost: {lost}") from None
            except TargetFailure as failure:
                raise failure_to_error(failure) from None
            finally:
                lane.release(lent)

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

    def _count(self, result: GroupResult, max_age: float | None) -> None:
        holder = self._holder
        served_by = "replica" if result.from_replica else "primary"
        stated = "true" if max_age is not None else "false"
        holder.context.metrics.reads.labels(holder.group, served_by, stated).inc()


def _no_route() -> HibiscusError:
    return NoPrimaryError("the group has no route yet")
