"""Interactive transactions at the primary."""

from __future__ import annotations

from contextlib import ExitStack
from typing import TYPE_CHECKING

from hibiscuspoint.components.holder.context import GroupResult
from hibiscuspoint.components.holder.writes import failure_to_error
from hibiscuspoint.core.entry.transaction import TransactionFailure, TransactionState
from hibiscuspoint.drivers import ConnectionLost, TargetFailure
from hibiscuspoint.errors import (
    DeadlineError,
    HibiscusError,
    NoPrimaryError,
    TargetLostError,
    TransactionStateError,
)
from hibiscuspoint.wire import target_pb2

if TYPE_CHECKING:
    from hibiscuspoint.components.holder.context import GroupRequest
    from hibiscuspoint.components.holder.lane import LentConnection, TargetLane
    from hibiscuspoint.components.holder.resources import GroupResources
    from hibiscuspoint.core.entry.routes import Route
    from hibiscuspoint.drivers.answer import RunResult
    from hibiscuspoint.wire import common_pb2

__all__ = ["OpenTransaction", "TransactionRunner"]

#: Least time in seconds for a rollback, also after the deadline of the transaction.
ROLL_BACK_SECONDS = 0.1


class TransactionRunner:
    """Opens interactive transactions of one group."""

    def __init__(self, holder: GroupResources) -> None:
        self._holder = holder

    async def begin(self, request: GroupRequest) -> OpenTransaction:
        """Reserve a connection for a transaction; nothing is sent yet.

        :raises HibiscusError: with the verdict ``NOT_RUN``.
        """
        holder = self._holder
        async with holder.primary_turns.turn(request.caller, request.deadline):
            route = holder.require_route()
            with ExitStack() as stack:
                stack.enter_context(holder.primary_work())
                lane = holder.lanes[route.primary]
                lent = await lane.acquire(request.deadline)
                work = stack.pop_all()
        return OpenTransaction(holder, route, lane, lent, work, request.deadline)


class OpenTransaction:
    """One transaction that owns a connection until it ends.

    Its steps take no turn in the queue: a transaction that waited behind others would keep its
    locks and its connection meanwhile.
    """

    def __init__(
        self,
        holder: GroupResources,
        route: Route,
        lane: TargetLane,
        lent: LentConnection,
        work: ExitStack,
        deadline: float,
    ) -> None:
        self._holder = holder
        self._route = route
        self._lane = lane
        self._lent: LentConnection | None = lent
        self._work = work
        self._deadline = deadline
        self._state = TransactionState()
        self._is_begun = False

    @property
    def is_open(self) -> bool:
        """Tell whether the transaction takes further steps."""
        return self._lent is not None and self._state.is_open

    async def run(self, statements: tuple[common_pb2.Statement, ...]) -> GroupResult:
        """Run a step.

        :raises HibiscusError: the transaction is rolled back.
        """
        result = await self._step(target_pb2.Run(statements=statements))
        return GroupResult(result.results, result.position, self._route.primary)

    async def commit(self) -> GroupResult:
        """Commit and wait until the quorum holds the transaction.

        :raises HibiscusError: with the verdict of the transaction.
        """
        holder = self._holder
        try:
            result = await self._step(target_pb2.Run(commit=True))
            self._give_back()
            confirmed = await holder.progress.wait_confirmed(result.position, self._deadline)
            now = holder.context.clock.monotonic()
            current = holder.context.routes.is_current(holder.group, self._route.term, now)
            if not confirmed or not current:
                raise TargetLostError("the quorum did not confirm the commit in time")
            self._state.record_acknowledgement()
            return GroupResult(result.results, result.position, self._route.primary)
        finally:
            self._end_work()

    async def roll_back(self) -> GroupResult:
        """Roll back.

        :raises TransactionStateError: the commit was sent before.
        """
        self._state.roll_back()
        if self._is_begun and self._lent is not None:
            await self._roll_back_at_target()
        self.close()
        return GroupResult(served_by=self._route.primary)

    def close(self) -> None:
        """Give up the transaction; an open one is rolled back by closing its connection."""
        if self._lent is not None and self._is_begun and self._lent.connection.in_transaction:
            self._lent.connection.close()
        self._give_back()
        self._end_work()

    async def _step(self, run: target_pb2.Run) -> RunResult:
        if not self.is_open:
            raise TransactionStateError("the transaction has ended")
        self._check_term()
        run.term = self._route.term
        run.begin = not self._is_begun
        self._state.begin_step(commit=run.commit)
        remaining = self._deadline - self._holder.context.clock.monotonic()
        if remaining <= 0:
            raise self._fail(
                TransactionFailure.TIMEOUT, DeadlineError("the time of the transaction ended")
            )
        self._is_begun = True
        try:
            result = await self._lent.connection.run(run, remaining)
        except ConnectionLost as lost:
            self._lane.lost(lost)
            error = TargetLostError(f"the connection to the primary was lost: {lost}")
            raise self._fail(TransactionFailure.CONNECTION_LOST, error) from None
        except TargetFailure as failure:
            raise self._fail_by_answer(failure) from None
        self._state.handle_step_answer()
        self._lane.answered()
        return result

    def _check_term(self) -> None:
        holder = self._holder
        now = holder.context.clock.monotonic()
        if not holder.context.routes.is_current(holder.group, self._route.term, now):
            error = TargetLostError("the primary was replaced during the transaction")
            raise self._fail(TransactionFailure.TERM_LOST, error)

    def _fail(self, failure: TransactionFailure, error: HibiscusError) -> HibiscusError:
        end = self._state.handle_failure(failure)
        error.verdict = end.verdict
        error.rolled_back = end.rolled_back
        self.close()
        return error

    def _fail_by_answer(self, failure: TargetFailure) -> HibiscusError:
        """Return the error of a rejected step; the target has rolled the transaction back."""
        error = failure_to_error(failure)
        if failure.not_run and isinstance(error, NoPrimaryError):
            return self._fail(TransactionFailure.REJECTED, error)
        end = self._state.handle_failure(TransactionFailure.STATEMENT_FAILED)
        error.verdict = end.verdict
        error.rolled_back = True
        self.close()
        return error

    async def _roll_back_at_target(self) -> None:
        connection = self._lent.connection
        if not connection.in_transaction:
            return
        remaining = max(ROLL_BACK_SECONDS, self._deadline - self._holder.context.clock.monotonic())
        run = target_pb2.Run(term=self._route.term, rollback=True)
        try:
            await connection.run(run, remaining)
        except (ConnectionLost, TargetFailure):
            connection.close()

    def _give_back(self) -> None:
        if self._lent is not None:
            self._lane.release(self._lent)
            self._lent = None

    def _end_work(self) -> None:
        self._work.close()
