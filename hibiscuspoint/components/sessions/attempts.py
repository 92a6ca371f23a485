"""One attempt to run a statement at one target, and what is learned from it."""

from __future__ import annotations

import asyncio
import math
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from hibiscuspoint.components.sessions.borrowing import HeldRead
from hibiscuspoint.core.balancing import ReadReason
from hibiscuspoint.core.sessions import ConnectionDemand, Failure, SessionState
from hibiscuspoint.drivers.errors import AnswerUnclear, ConnectError, ConnectionLost
from hibiscuspoint.ids import NO_ORGANISATION, Term

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
    from hibiscuspoint.ids import GroupId, TargetId

__all__ = ["Admission", "Attempts", "Candidate", "RefusedError", "Trace"]

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


class Admission(Enum):
    """Decision about one operation of a caller."""

    ADMITTED = "admitted"
    UNAUTHORIZED = "unauthorized"
    OVER_LIMIT = "over limit"


@dataclass
class Trace:
    """What decided about one statement, for the log.

    :param admission: decision about the operation that the statement began, if it began one.
    :param required: position that the target had to have applied.
    :param holder: instance that kept the connection open; empty for this one.
    """

    group: str = ""
    organisation: str = ""
    admission: Admission | None = None
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
    :param reason: why a read may go there.
    :param may_skip: whether another target is tried first if the holder avoids this one.
    """

    member: RouteMember
    after: LogPosition | None
    term: Term | None
    connect_until: float
    answer_until: float
    reason: ReadReason = ReadReason.COST
    may_skip: bool = False

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
        #: Organisation of the operation in progress; its connections are used.
        self.organisation = NO_ORGANISATION

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
        demand = self._demand(route, candidate, is_transaction=is_transaction)
        connection = await self._access.borrow(route.group, candidate.member, demand)
        self.trace.holder = connection.holder
        return connection

    def _demand(
        self, route: DatabaseRoute, candidate: Candidate, *, is_transaction: bool = False
    ) -> ConnectionDemand:
        self._count_first(route.group)
        self._objective_at = self._operation_at + route.objective_seconds
        return ConnectionDemand(
            candidate.connect_until,
            route.priority,
            route.objective_seconds,
            self._context,
            organisation=self.organisation,
            objective_at=self._objective_at,
            expected_seconds=self._access.use_times.expected(
                route, candidate.target, is_transaction=is_transaction
            ),
            answer_until=candidate.answer_until,
            is_retry=self._is_retry,
            is_transaction=is_transaction,
        )

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
        target, started = candidate.target, self._clock.monotonic()
        if not is_write:
            reply = await self._read_at_holder(route, candidate, statement, prepared_statement)
            if reply is not None:
                self.record_answer(target, reply)
                return reply
        try:
            connection = await self.acquire(route, candidate)
        except ConnectError as error:
            self.record_failure(target, error)
            self._record_read_error(target, error, started, is_write)
            raise ConnectionLost(str(error), sent=False) from error
        taken_at, is_refused = self._clock.monotonic(), False
        if not is_write:
            self.begin_read(route.group, candidate, connection)
        try:
            with self.watch_commit(target, is_write):
                reply = await self.send(
                    connection,
                    statement,
                    candidate.answer_until,
                    prepared_statement=prepared_statement,
                    after=candidate.after,
                )
            is_refused = reply.error is not None and reply.error.failure.has_not_run
        except ConnectionLost as error:
            self.record_failure(target, error)
            self._record_read_error(target, error, started, is_write)
            raise
        finally:
            connection.give_back()
            if not is_refused:
                # A refusal comes at once and tells nothing about the time of a statement.
                self.record_use(route, target, taken_at, is_transaction=False)
        self.record_answer(target, reply)
        if not is_write:
            now = self._clock.monotonic()
            failure = reply.error.failure if reply.error is not None else None
            times = (now - started, self._last_elapsed)
            self._access.reads.record_answer(target, failure, times, connection.report, now)
        return reply

    async def _read_at_holder(
        self,
        route: DatabaseRoute,
        candidate: Candidate,
        statement: Statement,
        prepared_statement: PreparedStatement | None,
    ) -> Reply | None:
        """Return the answer to a read that a holder ran; ``None`` where none was asked.

        :raises ConnectionLost: there is no whole answer.
        """
        if not self._access.runs_reads_at_holders(route.group):
            return None
        demand = self._demand(route, candidate)
        read = HeldRead(
            statement, self._context, candidate.answer_until, prepared_statement, candidate.after
        )
        started = self._clock.monotonic()
        try:
            answer = await self._access.run_read(route.group, candidate.member, demand, read)
        except ConnectError as error:
            self.record_failure(candidate.target, error)
            self._record_read_error(candidate.target, error, started, is_write=False)
            raise ConnectionLost(str(error), sent=False) from error
        except ConnectionLost as error:
            self.record_failure(candidate.target, error)
            self._record_read_error(candidate.target, error, started, is_write=False)
            raise
        if answer is None:
            return None
        self.trace.holder = answer.holder
        self._access.use_times.record(
            route, candidate.target, answer.elapsed_seconds, is_transaction=False
        )
        self._last_started = started
        now = self._clock.monotonic()
        self._last_elapsed = now - started
        self._access.reads.count(candidate)
        failure = answer.reply.error.failure if answer.reply.error is not None else None
        times = (now - started, answer.elapsed_seconds)
        self._access.reads.record_answer(candidate.target, failure, times, answer.report, now)
        return answer.reply

    def begin_read(
        self, group: GroupId, candidate: Candidate, connection: BorrowedConnection
    ) -> None:
        """Count a read, unless the holder of the connection avoids the target.

        :raises ConnectionLost: the read goes to another target; it was not sent.
        """
        reads, now = self._access.reads, self._clock.monotonic()
        if reads.must_skip(group, candidate, connection.report, now):
            connection.give_back()
            self.trace.reason = f"{candidate.target} is avoided by {connection.holder}"
            raise ConnectionLost(self.trace.reason, sent=False)
        reads.count(candidate)

    def _record_read_error(
        self, target: TargetId, error: Exception, started: float, is_write: bool
    ) -> None:
        if not is_write:
            now = self._clock.monotonic()
            self._access.reads.record_error(target, error, now - started, now)

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
            self._record_position(self.trace.group, Term(self.trace.term), reply.position)

    def _record_position(self, group: GroupId, term: Term, position: LogPosition) -> None:
        """Take the position of the primary into account, unless its log ended later before."""
        if not self._access.is_current(group, term):
            return
        if self._access.primary_log(group).record(term, position):
            self._access.tip(group).add(self._last_started, position)

    def record_refusal(self, target: TargetId, reply: Reply) -> None:
        """Take an error of a target into account; it comes last for a moment."""
        is_full = reply.error is not None and reply.error.failure is Failure.OVERLOADED
        self._full_seconds = 0.0 if is_full else None
        self.trace.reason = f"{reply.error.failure.value} at {target}" if reply.error else ""
        self._access.load(target).record_failure(self._clock.monotonic())

    def record_failure(self, target: TargetId, error: Exception) -> None:
        """Take a missing answer into account; the target comes last for a moment.

        An unclear answer says nothing about its target.
        """
        self.trace.reason = str(error)
        seconds = error.retry_after_seconds if isinstance(error, ConnectError) else 0.0
        self._full_seconds = seconds or None
        if isinstance(error, AnswerUnclear):
            return
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
