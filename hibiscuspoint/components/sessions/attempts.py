"""One attempt to run a statement at one target, and what is learned from it."""

from __future__ import annotations

import asyncio
import math
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.core.sessions import ConnectionDemand, Failure, SessionState
from hibiscuspoint.drivers.errors import ConnectError, ConnectionLost

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hibiscuspoint.components.sessions.connection import BorrowedConnection
    from hibiscuspoint.components.sessions.groups import GroupAccess
    from hibiscuspoint.core.entry.retry import RetryBudget
    from hibiscuspoint.core.entry.routes import RouteMember
    from hibiscuspoint.core.ports import Clock
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.core.sessions import (
        DatabaseRoute,
        PreparedStatement,
        Reply,
        SessionContext,
        Statement,
    )
    from hibiscuspoint.ids import GroupId, TargetId, Term

__all__ = ["Attempts", "Candidate", "RefusedError", "Trace"]

#: Bounds of the seconds between two attempts at targets that had no room for a statement. The time
#: doubles, as each attempt of thousands of waiting statements keeps a full target busy.
BUSY_RETRY_MIN_SECONDS = 0.01
BUSY_RETRY_MAX_SECONDS = 0.16

#: Rounds over the candidates for a statement that has not run so far.
ATTEMPT_ROUNDS = 6

#: Seconds without an answer after which a commit or a single write is reported to control. It waits
#: for the receipt at a replica only, which takes some milliseconds.
STALL_SECONDS = 0.6


class RefusedError(Exception):
    """A statement cannot be served; it has not run."""

    def __init__(self, failure: Failure, text: str) -> None:
        super().__init__(text)
        self.failure = failure
        self.text = text


@dataclass
class Trace:
    """What decided about one statement, for the log.

    :param required: position that the target had to have applied.
    :param holder: instance that kept the connection open; empty for this one.
    """

    group: str = ""
    target: str = ""
    term: int = 0
    holder: str = ""
    required: LogPosition | None = None
    attempts: int = 0
    reason: str = ""


@dataclass(frozen=True)
class Candidate:
    """A target that may run a statement.

    :param after: position that it must have applied.
    :param term: term of the primary; ``None`` at a replica.
    :param connect_until: monotonic time until which a connection is waited for.
    :param answer_until: monotonic time until which the answer is waited for.
    """

    member: RouteMember
    after: LogPosition | None
    term: Term | None
    connect_until: float
    answer_until: float

    @property
    def target(self) -> TargetId:
        """Return the id of the target."""
        return self.member.target


class Attempts:
    """Brings connections to the context of one session and runs its statements there.

    :param context: context of the session.
    """

    def __init__(self, access: GroupAccess, context: SessionContext, clock: Clock) -> None:
        self._access = access
        self._context = context
        self._clock = clock
        self._last_started = float("-inf")
        self._last_elapsed = 0.0
        self._operation_at = 0.0
        self._objective_at = math.inf
        self._is_retry = False
        self._is_counted = False
        #: Seconds until a full target expects room, 0 when they are not known; ``None`` after
        #: another failure.
        self._full_seconds: float | None = None
        self.trace = Trace()

    def begin_statement(self, *, is_operation: bool) -> None:
        """Forget what is known about the last statement.

        :param is_operation: whether an operation starts with this statement.
        """
        self.trace = Trace()
        self._is_retry = False
        self._full_seconds = None
        self._is_counted = False
        if is_operation:
            self._operation_at = self._clock.monotonic()

    @contextmanager
    def use(self, group: GroupId, candidate: Candidate) -> Iterator[None]:
        """Count an attempt as work at the primary, if it is one, and as load of the target."""
        self.trace.attempts += 1
        self.trace.target = candidate.target
        self.trace.term = candidate.term or 0
        self.trace.required = candidate.after
        load = self._access.load(candidate.target)
        load.in_progress += 1
        if candidate.term is not None:
            self._access.begin_use(group)
        try:
            yield
        finally:
            load.in_progress -= 1
            if candidate.term is not None:
                self._access.end_use(group)

    async def acquire(
        self, route: DatabaseRoute, candidate: Candidate, *, is_transaction: bool = False
    ) -> BorrowedConnection:
        """Return a connection to a target.

        :param is_transaction: whether it is used until the end of a transaction.
        :raises ConnectError: there is none in time.
        """
        target = candidate.target
        self._count_first(route.group)
        self._objective_at = self._operation_at + route.objective_seconds
        demand = ConnectionDemand(
            candidate.connect_until,
            route.priority,
            route.objective_seconds,
            self._context,
            objective_at=self._objective_at,
            expected_seconds=self._access.use_times.expected(
                route, target, is_transaction=is_transaction
            ),
            is_retry=self._is_retry,
            is_transaction=is_transaction,
        )
        connection = await self._access.borrow(route.group, candidate.member, demand)
        self.trace.holder = connection.holder
        return connection

    def _count_first(self, group: GroupId) -> None:
        """Count the first attempt of a statement for the budget of repeated ones."""
        budget = self._access.retries(group)
        if budget is not None and not self._is_counted:
            self._is_counted = True
            budget.record_request()

    def record_use(
        self, route: DatabaseRoute, target: TargetId, taken_at: float, *, is_transaction: bool
    ) -> None:
        """Record the use of a connection that ends now.

        :param taken_at: monotonic time in seconds at which it began.
        """
        seconds = self._clock.monotonic() - taken_at
        self._access.use_times.record(route, target, seconds, is_transaction=is_transaction)

    async def send(
        self,
        connection: BorrowedConnection,
        statement: Statement,
        deadline: float,
        *,
        prepared_statement: PreparedStatement | None = None,
        after: LogPosition | None = None,
    ) -> Reply:
        """Run a statement of the caller at a connection.

        :raises ConnectionLost: there is no whole answer; the connection is closed.
        """
        started = self._clock.monotonic()
        reply = await connection.run(
            statement, self._context, deadline, prepared_statement=prepared_statement, after=after
        )
        self._last_started = started
        self._last_elapsed = self._clock.monotonic() - started
        return reply

    async def run_once(
        self,
        route: DatabaseRoute,
        candidate: Candidate,
        statement: Statement,
        prepared_statement: PreparedStatement | None,
        *,
        is_write: bool = False,
    ) -> Reply:
        """Run a statement that is a transaction of its own at one target.

        :raises ConnectionLost: there is no whole answer. The statement has not run if the error
            says that it was not sent.
        """
        target = candidate.target
        try:
            connection = await self.acquire(route, candidate)
        except ConnectError as error:
            self.record_failure(target, error)
            raise ConnectionLost(str(error), sent=False) from error
        taken_at = self._clock.monotonic()
        try:
            with self.watch_commit(target, is_write):
                reply = await self.send(
                    connection,
                    statement,
                    candidate.answer_until,
                    prepared_statement=prepared_statement,
                    after=candidate.after,
                )
        except ConnectionLost as error:
            self.record_failure(target, error)
            raise
        finally:
            connection.give_back()
            self.record_use(route, target, taken_at, is_transaction=False)
        self.record_answer(target, reply)
        return reply

    @contextmanager
    def watch_commit(self, target: TargetId, is_commit: bool) -> Iterator[None]:
        """Report a commit that has no answer for long, before its timeout."""

        def report() -> None:
            self._access.counts(target).commit_timeouts += 1

        timer = asyncio.get_running_loop().call_later(STALL_SECONDS, report) if is_commit else None
        try:
            yield
        finally:
            if timer is not None:
                timer.cancel()

    def record_answer(self, target: TargetId, reply: Reply) -> None:
        """Take an answer into account for loads, tips and the report to control."""
        self._access.counts(target).successes += 1
        if reply.error is None:
            self._access.load(target).record_success(self._last_elapsed)
        # Inside a transaction the position may be that of its snapshot.
        is_idle = reply.state is SessionState.IDLE
        if self.trace.term and is_idle and reply.position is not None:
            group = self.trace.group
            if self._access.is_current(group, self.trace.term):
                self._access.tip(group).add(self._last_started, reply.position)

    def record_refusal(self, target: TargetId, reply: Reply) -> None:
        """Take an error of a target into account; it comes last for a moment."""
        is_full = reply.error is not None and reply.error.failure is Failure.OVERLOADED
        self._full_seconds = 0.0 if is_full else None
        self.trace.reason = f"{reply.error.failure.value} at {target}" if reply.error else ""
        self._access.load(target).record_failure(self._clock.monotonic())

    def record_failure(self, target: TargetId, error: Exception) -> None:
        """Take a missing answer into account; the target comes last for a moment."""
        self.trace.reason = str(error)
        seconds = error.retry_after_seconds if isinstance(error, ConnectError) else 0.0
        self._full_seconds = seconds or None
        if isinstance(error, ConnectionLost) and error.is_silent:
            self._access.counts(target).timeouts += 1
        self._access.load(target).record_failure(self._clock.monotonic())

    async def pause(self, failed: int, deadline: float) -> bool:
        """Wait before the next attempt; returns false at once when there is no time for one.

        :param failed: attempts or rounds of attempts that found no room so far.
        :param deadline: monotonic time in seconds.
        """
        seconds = _busy_pause(failed)
        if self._clock.monotonic() + seconds >= deadline:
            return False
        await asyncio.sleep(seconds)
        return True

    async def next_round(self, number: int, deadline: float) -> None:
        """Wait before the next round over the candidates.

        :param number: rounds so far.
        :param deadline: monotonic time in seconds.
        :raises RefusedError: there is no time for another round, or there were enough.
        """
        budget = self._access.retries(self.trace.group)
        if budget is not None and self._full_seconds is not None:
            await self._pause_full(budget, self._full_seconds, number, deadline)
        elif not await self.pause(number, deadline) or number >= ATTEMPT_ROUNDS:
            raise self._give_up()
        self._is_retry = True

    async def _pause_full(
        self, budget: RetryBudget, full_seconds: float, number: int, deadline: float
    ) -> None:
        """Wait before another round over targets that reported that they are full.

        A statement pauses for at most half of the time to its objective, and repeated rounds are a
        small part of first ones: more of them keep full targets from serving any in time.

        :raises RefusedError: a repeated round would be too late, or too many were repeated.
        """
        now = self._clock.monotonic()
        left = (min(self._objective_at, deadline) - now) / 2
        seconds = max(BUSY_RETRY_MIN_SECONDS, full_seconds or _busy_pause(number))
        if number >= ATTEMPT_ROUNDS or seconds > left or not budget.take():
            raise self._give_up()
        await asyncio.sleep(seconds)

    def _give_up(self) -> RefusedError:
        return RefusedError(Failure.OVERLOADED, self.trace.reason or "no room in time")


def _busy_pause(failed: int) -> float:
    """Return the seconds before the next attempt after some that found no room."""
    return min(BUSY_RETRY_MAX_SECONDS, BUSY_RETRY_MIN_SECONDS * 2 ** (failed - 1))
