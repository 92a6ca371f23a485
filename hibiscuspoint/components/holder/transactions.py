"""Interactive transactions at the primary."""

from __future__ import annotations

from contextlib import ExitStack
from typing import TYPE_CHECKING

from hibiscuspoint.components.holder.context import GroupResult
from hibiscuspoint.components.holder.writes import error_from_failure
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
    from hibiscuspoint.components.holder.lane import PooledConnection, TargetPool
    from hibiscuspoint.components.holder.resources import GroupResources
    from hibiscuspoint.core.entry.routes import Route
    from hibiscuspoint.drivers.answer import RunResult
    from hibiscuspoint.wire import common_pb2

__all__ = ["OpenTransaction", "TransactionRunner"]

#: Minimum timeout in seconds of a rollback, also after the deadline of the transaction.
MIN_ROLLBACK_SECONDS = 0.1


class TransactionRunner:
    """Opens the interactive transactions of one group."""

    def __init__(self, holder: GroupResources) -> None:
        self._holder = holder

    async def begin(self, request: GroupRequest) -> OpenTransaction:
        """Reserve a connection for a transaction; nothing is sent before its first step.

        :raises HibiscusError: no connection could be reserved; the verdict is ``NOT_RUN``.
        """
        holder = self._holder
        async with holder.primary_admission.admit(request.caller, request.deadline):
            route = holder.require_route()
            with ExitStack() as stack:
                stack.enter_context(holder.track_primary_work())
                pool = holder.target_pools[route.primary]
                pooled = await pool.acquire(request.deadline)
                primary_work = stack.pop_all()
        return OpenTransaction(holder, route, pool, pooled, primary_work, request.deadline)


class OpenTransaction:
    """An interactive transaction, which owns a connection until it ends.

    Only the start of a transaction passes the admission queue, not its steps: a step that waited
    behind other requests would keep the locks and the connection of its transaction meanwhile.

    :param primary_work: counts the transaction as work at the primary until it is closed.
    :param deadline: monotonic time in seconds.
    """

    def __init__(
        self,
        holder: GroupResources,
        route: Route,
        pool: TargetPool,
        pooled: PooledConnection,
        primary_work: ExitStack,
        deadline: float,
    ) -> None:
        self._holder = holder
        self._route = route
        self._pool = pool
        self._pooled: PooledConnection | None = pooled
        self._primary_work = primary_work
        self._deadline = deadline
        self._state = TransactionState()
        self._is_begun = False

    @property
    def is_open(self) -> bool:
        """Whether the transaction accepts further steps."""
        return self._pooled is not None and self._state.is_open

    async def run(self, statements: tuple[common_pb2.Statement, ...]) -> GroupResult:
        """Run the statements of one step.

        :raises HibiscusError: the step failed; the transaction is rolled back.
        """
        result = await self._run_step(target_pb2.Run(statements=statements))
        return GroupResult(result.results, result.position, self._route.primary)

    async def commit(self) -> GroupResult:
        """Commit and wait until a quorum of members acknowledges the transaction.

        :raises HibiscusError: the commit failed; the error carries the verdict of the transaction.
        """
        holder = self._holder
        try:
            result = await self._run_step(target_pb2.Run(commit=True))
            self._release_connection()
            confirmed = await holder.progress.wait_for_quorum(result.position, self._deadline)
            now = holder.context.clock.monotonic()
            current = holder.context.routes.is_current(holder.group, self._route.term, now)
            if not confirmed or not current:
                raise TargetLostError(
                    "the quorum did not confirm the commit before the deadline or a new term"
                )
            self._state.record_acknowledgement()
            return GroupResult(result.results, result.position, self._route.primary)
        finally:
            self._end_primary_work()

    async def roll_back(self) -> GroupResult:
        """Roll back the transaction.

        :raises TransactionStateError: the commit was already sent.
        """
        self._state.roll_back()
        if self._is_begun and self._pooled is not None:
            await self._roll_back_at_target()
        self.close()
        return GroupResult(served_by=self._route.primary)

    def close(self) -> None:
        """End the transaction; an open one is rolled back by closing its connection."""
        if self._pooled is not None and self._is_begun and self._pooled.connection.in_transaction:
            self._pooled.connection.close()
        self._release_connection()
        self._end_primary_work()

    async def _run_step(self, run: target_pb2.Run) -> RunResult:
        if not self.is_open:
            raise TransactionStateError("the transaction has ended")
        self._check_term()
        run.term = self._route.term
        run.begin = not self._is_begun
        self._state.begin_step(commit=run.commit)
        remaining = self._deadline - self._holder.context.clock.monotonic()
        if remaining <= 0:
            raise self._fail(
                TransactionFailure.TIMEOUT, DeadlineError("the deadline of the transaction passed")
            )
        self._is_begun = True
        try:
            result = await self._pooled.connection.run(run, remaining)
        except ConnectionLost as lost:
            self._pool.record_connection_loss(lost)
            error = TargetLostError(f"the connection to the primary was lost: {lost}")
            raise self._fail(TransactionFailure.CONNECTION_LOST, error) from None
        except TargetFailure as failure:
            raise self._fail_rejected_step(failure) from None
        self._state.handle_step_answer()
        self._pool.record_answer()
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

    def _fail_rejected_step(self, failure: TargetFailure) -> HibiscusError:
        """Return the error of a step that the target rejected, rolling the transaction back."""
        error = error_from_failure(failure)
        if failure.not_run and isinstance(error, NoPrimaryError):
            return self._fail(TransactionFailure.REJECTED, error)
        end = self._state.handle_failure(TransactionFailure.STATEMENT_FAILED)
        error.verdict = end.verdict
        error.rolled_back = True
        self.close()
        return error

    async def _roll_back_at_target(self) -> None:
        connection = self._pooled.connection
        if not connection.in_transaction:
            return
        remaining = max(
            MIN_ROLLBACK_SECONDS, self._deadline - self._holder.context.clock.monotonic()
        )
        run = target_pb2.Run(term=self._route.term, rollback=True)
        try:
            await connection.run(run, remaining)
        except (ConnectionLost, TargetFailure):
            connection.close()

    def _release_connection(self) -> None:
        if self._pooled is not None:
            self._pool.release(self._pooled)
            self._pooled = None

    def _end_primary_work(self) -> None:
        self._primary_work.close()
