"""One session of a caller: its context, its transaction and the way of each statement."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from hibiscuspoint.core.position import ZERO
from hibiscuspoint.core.sessions import (
    Failure,
    ReadMode,
    Reply,
    SessionContext,
    SessionState,
    Shape,
    Statement,
    StatementKind,
    rank_targets,
)
from hibiscuspoint.drivers.errors import AnswerTimeoutError, ConnectError, ConnectionLost

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from hibiscuspoint.components.sessions.groups import GroupAccess
    from hibiscuspoint.components.sessions.pool import PooledConnection
    from hibiscuspoint.core.entry.routes import Route, RouteMember
    from hibiscuspoint.core.ports import Clock, SessionConnection
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.core.sessions import DatabaseRoute
    from hibiscuspoint.ids import AvailabilityZone, GroupId, TargetId, Term

__all__ = ["Session", "Trace"]

#: Bounds of an attempt to read where another target could be asked: the shortest time in seconds,
#: above the longest usual statement, and the multiple of the target's average time.
READ_ATTEMPT_SECONDS = 0.25
READ_ATTEMPT_FACTOR = 6.0

#: Longest time in seconds that a read waits for a connection where another target could be asked;
#: a handshake takes some ten milliseconds.
READ_CONNECT_SECONDS = 0.1

#: Seconds between two attempts at a target that had no room for a statement.
BUSY_RETRY_SECONDS = 0.01

#: Longest time in seconds of a step that only sets the context of a connection.
CONTEXT_SECONDS = 1.0

#: Longest time in seconds to wait for the answer to a rollback before the connection is closed.
ROLLBACK_SECONDS = 0.5

#: Seconds without an answer after which a commit or a single write is reported to control. It waits
#: for the receipt at a replica only, which takes some milliseconds.
STALL_SECONDS = 0.6

#: Attempts of a statement that did not run at any target so far.
ATTEMPT_LIMIT = 6


class _RefusedError(Exception):
    """A statement cannot be served; it has not run."""

    def __init__(self, failure: Failure, text: str) -> None:
        super().__init__(text)
        self.failure = failure
        self.text = text


@dataclass
class Trace:
    """What decided about one statement, for the log.

    :param required: position that the target had to have applied.
    """

    group: str = ""
    target: str = ""
    term: int = 0
    required: LogPosition | None = None
    attempts: int = 0
    reason: str = ""


@dataclass(frozen=True)
class _AttemptLimits:
    """Monotonic times until which one attempt waits for a connection and for the answer."""

    connect: float
    answer: float


@dataclass
class _Transaction:
    """An open transaction; without a connection until its first statement is sent."""

    begin: Statement
    route: DatabaseRoute
    pooled: PooledConnection | None = None
    member: RouteMember | None = None
    term: Term | None = None
    is_at_primary: bool = False
    wrote: bool = False
    is_lost: bool = False

    @property
    def is_read_only(self) -> bool:
        """Tell whether the transaction may run at a replica."""
        return self.begin.kind is StatementKind.BEGIN_READ_ONLY


class Session:
    """Serves the statements of one caller one after the other.

    :param database: database that the caller named.
    :param find_route: returns the route that is in force for a database, if any.
    :param zone: availability zone of this instance.
    """

    def __init__(
        self,
        database: str,
        find_route: Callable[[str], DatabaseRoute | None],
        access: GroupAccess,
        zone: AvailabilityZone,
        clock: Clock,
    ) -> None:
        self._database = database
        self._find_route = find_route
        self._access = access
        self._zone = zone
        self._clock = clock
        self._context = SessionContext()
        self._transaction: _Transaction | None = None
        self._state = SessionState.IDLE
        self._written: dict[GroupId, LogPosition] = {}
        self._last_started = float("-inf")
        self._last_elapsed = 0.0
        self.trace = Trace()

    @property
    def database(self) -> str:
        """Return the database that the caller named."""
        return self._database

    @property
    def state(self) -> SessionState:
        """Return the state between two statements."""
        return self._state

    @property
    def target(self) -> str:
        """Return the target of the open transaction; empty without one."""
        transaction = self._transaction
        return transaction.member.target if transaction and transaction.member else ""

    async def execute(self, statement: Statement) -> Reply:
        """Serve a statement and return its whole answer."""
        self.trace = Trace()
        reply = await self._execute(statement)
        self._state = reply.state
        if reply.state is SessionState.IDLE:
            self._drop_transaction()
        return reply

    async def abort(self) -> None:
        """Roll back the open transaction, as the caller left or was idle for too long.

        The session stays in the failed state until the caller ends the transaction.
        """
        transaction = self._transaction
        if transaction is None:
            return
        transaction.is_lost = True
        pooled, transaction.pooled = transaction.pooled, None
        if pooled is not None:
            await self._roll_back(transaction, pooled)
        self._state = SessionState.FAILED

    async def close(self) -> None:
        """End the session."""
        await self.abort()
        self._drop_transaction()

    async def _execute(self, statement: Statement) -> Reply:
        kind = statement.kind
        if self._state is SessionState.FAILED and kind not in (
            StatementKind.COMMIT,
            StatementKind.ROLLBACK,
        ):
            return self._malformed("the transaction failed")
        match kind:
            case StatementKind.SET:
                self._context.values[statement.name] = statement.operand
            case StatementKind.PREPARE:
                shape = Shape(statement.writes, statement.operand)
                self._context.prepared[statement.name] = shape
            case StatementKind.DEALLOCATE:
                self._context.prepared.pop(statement.name, None)
            case StatementKind.BEGIN | StatementKind.BEGIN_READ_ONLY:
                return self._begin(statement)
            case StatementKind.COMMIT | StatementKind.ROLLBACK:
                return await self._end(statement)
            case _:
                return await self._run(statement)
        return Reply(state=self._state)

    def _begin(self, statement: Statement) -> Reply:
        if self._transaction is not None:
            return self._malformed("a transaction is open")
        route = self._find_route(self._database)
        if route is None:
            text = "the database has no route any more"
            return Reply.failed(Failure.UNKNOWN_DATABASE, text, SessionState.IDLE)
        self._transaction = _Transaction(statement, route)
        return Reply(state=SessionState.IN_TRANSACTION)

    async def _end(self, statement: Statement) -> Reply:
        transaction = self._transaction
        if transaction is None:
            return self._malformed("no transaction is open")
        is_commit = statement.kind is StatementKind.COMMIT
        self._describe(transaction)
        if transaction.is_lost:
            if is_commit:
                return self._aborted(SessionState.IDLE)
            return Reply(state=SessionState.IDLE)
        if transaction.pooled is None:
            if not is_commit:
                return Reply(state=SessionState.IDLE)
            refusal = await self._bind(transaction)
            if refusal is not None:
                return replace(refusal, state=SessionState.IDLE)
        try:
            deadline = self._clock.monotonic() + transaction.route.timeout
            with self._stall_watch(transaction.member.target, is_commit and transaction.wrote):
                reply = await self._send(transaction.pooled, statement, None, None, deadline)
        except ConnectionLost as error:
            return self._end_lost(transaction, is_commit, error)
        self._count(transaction.member.target, reply)
        if not is_commit or reply.error is not None or not transaction.wrote:
            return reply
        self._access.counts(transaction.member.target).commits += 1
        return self._committed(transaction.route.group, transaction.term, reply)

    def _end_lost(self, transaction: _Transaction, is_commit: bool, error: ConnectionLost) -> Reply:
        self.trace.reason = str(error)
        self._note_loss(transaction.member.target, error)
        if not is_commit:
            return Reply(state=SessionState.IDLE)
        if not transaction.wrote:
            return self._aborted(SessionState.IDLE)
        text = "the answer to the commit was lost"
        return Reply.failed(Failure.IN_DOUBT, text, SessionState.IDLE)

    def _committed(self, group: GroupId, term: Term | None, reply: Reply) -> Reply:
        """Return the answer to a commit or a write, unless the primary was replaced meanwhile."""
        if not self._access.is_current(group, term):
            text = "the primary was replaced before its answer arrived"
            return Reply.failed(Failure.IN_DOUBT, text, SessionState.IDLE)
        if reply.position is not None:
            self._access.acknowledged(group, reply.position)
            self._written[group] = max(self._written.get(group, ZERO), reply.position)
        return reply

    async def _run(self, statement: Statement) -> Reply:
        shape = None
        if statement.kind is StatementKind.EXECUTE:
            shape = self._context.prepared.get(statement.name)
            if shape is None:
                text = f"{statement.name} is not prepared"
                return Reply.failed(Failure.UNKNOWN_STATEMENT, text, self._state)
        writes = shape.writes if shape is not None else statement.writes
        if self._transaction is not None:
            return await self._run_in_transaction(self._transaction, statement, shape, writes)
        route = self._find_route(self._database)
        if route is None:
            text = "the database has no route any more"
            return Reply.failed(Failure.UNKNOWN_DATABASE, text, SessionState.IDLE)
        self.trace.group = route.group
        try:
            if writes:
                return await self._write(route, statement, shape)
            return await self._read(route, statement, shape)
        except _RefusedError as refusal:
            self.trace.reason = refusal.text
            return Reply.failed(refusal.failure, refusal.text, SessionState.IDLE)

    async def _run_in_transaction(
        self,
        transaction: _Transaction,
        statement: Statement,
        shape: Shape | None,
        writes: bool,
    ) -> Reply:
        if transaction.pooled is None:
            refusal = await self._bind(transaction)
            if refusal is not None:
                return refusal
        self._describe(transaction)
        deadline = self._clock.monotonic() + transaction.route.timeout
        transaction.wrote = transaction.wrote or writes
        try:
            while True:
                reply = await self._send(transaction.pooled, statement, shape, None, deadline)
                self._count(transaction.member.target, reply)
                is_busy = reply.error is not None and reply.error.failure is Failure.OVERLOADED
                in_transaction = reply.state is SessionState.IN_TRANSACTION
                remaining = deadline - self._clock.monotonic()
                if not is_busy or not in_transaction or remaining <= BUSY_RETRY_SECONDS:
                    return reply
                await asyncio.sleep(BUSY_RETRY_SECONDS)
        except (ConnectionLost, ConnectError) as error:
            self.trace.reason = str(error)
            self._note_loss(transaction.member.target, error)
            transaction.is_lost = True
            self._release(transaction)
            if isinstance(error, AnswerTimeoutError):
                text = "no answer within the timeout of the route"
                return Reply.failed(Failure.TIMEOUT, text, SessionState.FAILED)
            return self._aborted(SessionState.FAILED)

    async def _bind(self, transaction: _Transaction) -> Reply | None:
        """Open the transaction at a target; returns the refusal when that is not possible."""
        self.trace.group = transaction.route.group
        try:
            if transaction.is_read_only:
                await self._bind_reader(transaction)
            else:
                await self._bind_writer(transaction)
        except _RefusedError as refusal:
            self.trace.reason = refusal.text
            transaction.is_lost = True
            return Reply.failed(refusal.failure, refusal.text, SessionState.FAILED)
        return None

    async def _bind_writer(self, transaction: _Transaction) -> None:
        route = transaction.route
        now = self._clock.monotonic()
        deadline = now + route.timeout
        for _ in range(ATTEMPT_LIMIT):
            primary = await self._wait_for_primary(route, deadline)
            member = self._primary_member(primary)
            self._access.begin_use(route.group)
            is_bound = False
            try:
                limits = _AttemptLimits(deadline, deadline)
                is_bound = await self._try_begin(transaction, member, primary.term, None, limits)
            finally:
                if not is_bound:
                    self._access.end_use(route.group)
            if is_bound and self._access.is_current(route.group, primary.term):
                transaction.is_at_primary = True
                return
            if is_bound:
                transaction.is_at_primary = True
                self._release(transaction, is_clean=False)
            await self._pause(deadline)
        raise _RefusedError(Failure.OVERLOADED, self.trace.reason or "no room at the primary")

    async def _bind_reader(self, transaction: _Transaction) -> None:
        route = transaction.route
        deadline = self._clock.monotonic() + route.timeout
        for _ in range(ATTEMPT_LIMIT):
            candidates = await self._read_candidates(route, deadline)
            for number, (member, after, term) in enumerate(candidates, 1):
                is_primary = term is not None
                limits = self._attempt_limit(member, deadline, is_last=number == len(candidates))
                if is_primary:
                    self._access.begin_use(route.group)
                is_bound = False
                try:
                    is_bound = await self._try_begin(transaction, member, term, after, limits)
                finally:
                    if is_primary and not is_bound:
                        self._access.end_use(route.group)
                transaction.is_at_primary = is_bound and is_primary
                if is_bound and (not is_primary or self._access.is_current(route.group, term)):
                    return
                if is_bound:
                    self._release(transaction, is_clean=False)
            await self._pause(deadline)
        raise _RefusedError(Failure.OVERLOADED, self.trace.reason or "no room at any target")

    async def _try_begin(
        self,
        transaction: _Transaction,
        member: RouteMember,
        term: Term | None,
        after: LogPosition | None,
        limits: _AttemptLimits,
    ) -> bool:
        route = transaction.route
        self._note_attempt(member, term, after)
        load = self._access.load(member.target)
        try:
            pooled = await self._acquire(route, member, limits.connect)
        except ConnectError as error:
            self._note_loss(member.target, error)
            return False
        load.in_progress += 1
        try:
            reply = await self._send(pooled, transaction.begin, None, after, limits.answer)
        except ConnectionLost as error:
            self._note_loss(member.target, error)
            self._give_back(route.group, member, pooled)
            return False
        except BaseException:
            pooled.connection.close()
            self._give_back(route.group, member, pooled)
            raise
        finally:
            load.in_progress -= 1
        self._count(member.target, reply)
        if reply.error is not None or reply.state is not SessionState.IN_TRANSACTION:
            self._note_refusal(member.target, reply)
            self._give_back(route.group, member, pooled)
            return False
        transaction.pooled, transaction.member, transaction.term = pooled, member, term
        return True

    async def _write(
        self, route: DatabaseRoute, statement: Statement, shape: Shape | None
    ) -> Reply:
        deadline = self._clock.monotonic() + route.timeout
        reply: Reply | None = None
        for _ in range(ATTEMPT_LIMIT):
            primary = await self._wait_for_primary(route, deadline)
            member = self._primary_member(primary)
            self._note_attempt(member, primary.term, None)
            self._access.begin_use(route.group)
            try:
                reply = await self._write_once(
                    route, member, primary.term, statement, shape, deadline
                )
            finally:
                self._access.end_use(route.group)
            if reply is not None:
                return reply
            await self._pause(deadline)
        raise _RefusedError(Failure.OVERLOADED, self.trace.reason or "no room at the primary")

    async def _write_once(
        self,
        route: DatabaseRoute,
        member: RouteMember,
        term: Term,
        statement: Statement,
        shape: Shape | None,
        deadline: float,
    ) -> Reply | None:
        """Return the answer; ``None`` when the statement did not run and may be sent again."""
        try:
            pooled = await self._acquire(route, member, deadline)
        except ConnectError as error:
            self._note_loss(member.target, error)
            return None
        try:
            await self._prepare(pooled, shape, deadline)
        except BaseException as error:
            self._give_back(route.group, member, pooled)
            if not isinstance(error, ConnectionLost):
                raise
            self._note_loss(member.target, error)
            return None
        load = self._access.load(member.target)
        load.in_progress += 1
        try:
            with self._stall_watch(member.target, is_commit=True):
                reply = await self._send(pooled, statement, shape, None, deadline)
        except ConnectionLost as error:
            self.trace.reason = str(error)
            self._note_loss(member.target, error)
            text = "the answer to the write was lost"
            return Reply.failed(Failure.IN_DOUBT, text, SessionState.IDLE)
        finally:
            load.in_progress -= 1
            self._give_back(route.group, member, pooled)
        self._count(member.target, reply)
        if reply.error is None:
            self._access.counts(member.target).commits += 1
            return self._committed(route.group, term, reply)
        if reply.error.failure.has_not_run:
            self._note_refusal(member.target, reply)
            if reply.error.failure is Failure.UNKNOWN_STATEMENT:
                pooled.context.forget_prepared()
            return None
        return replace(reply, state=SessionState.IDLE)

    async def _read(self, route: DatabaseRoute, statement: Statement, shape: Shape | None) -> Reply:
        deadline = self._clock.monotonic() + route.timeout
        runs = 0
        last: Reply | None = None
        for _ in range(ATTEMPT_LIMIT):
            candidates = await self._read_candidates(route, deadline)
            for number, (member, after, term) in enumerate(candidates, 1):
                self._note_attempt(member, term, after)
                limit = self._attempt_limit(member, deadline, is_last=number == len(candidates))
                reply = await self._read_once(route, member, term, after, statement, shape, limit)
                if reply is not None and reply.error is None:
                    return reply
                if reply is not None:
                    last = reply
                    runs += 1
                if runs >= route.max_attempts or self._clock.monotonic() >= deadline:
                    break
            if last is not None and (
                runs >= route.max_attempts or self._clock.monotonic() >= deadline
            ):
                return last
            await self._pause(deadline)
        raise _RefusedError(Failure.OVERLOADED, self.trace.reason or "no room at any target")

    async def _read_once(
        self,
        route: DatabaseRoute,
        member: RouteMember,
        term: Term | None,
        after: LogPosition | None,
        statement: Statement,
        shape: Shape | None,
        limits: _AttemptLimits,
    ) -> Reply | None:
        """Return the answer of one target; ``None`` when it did not run the statement.

        :param term: term of the primary; ``None`` at a replica.
        """
        is_primary = term is not None
        if is_primary:
            self._access.begin_use(route.group)
        load = self._access.load(member.target)
        load.in_progress += 1
        pooled: PooledConnection | None = None
        try:
            pooled = await self._acquire(route, member, limits.connect)
            reply = await self._send(pooled, statement, shape, after, limits.answer)
        except AnswerTimeoutError as error:
            self._note_loss(member.target, error)
            text = "no answer within the timeout of the route"
            return Reply.failed(Failure.TIMEOUT, text, SessionState.IDLE)
        except (ConnectError, ConnectionLost) as error:
            self._note_loss(member.target, error)
            return None
        finally:
            load.in_progress -= 1
            if pooled is not None:
                self._give_back(route.group, member, pooled)
            if is_primary:
                self._access.end_use(route.group)
        self._count(member.target, reply)
        if reply.error is not None:
            self._note_refusal(member.target, reply)
            if reply.error.failure is Failure.UNKNOWN_STATEMENT:
                pooled.context.forget_prepared()
            if reply.error.failure.has_not_run:
                return None
            return replace(reply, state=SessionState.IDLE)
        if is_primary and not self._access.is_current(route.group, term):
            self.trace.reason = "the primary was replaced before its answer arrived"
            return None
        return reply

    def _attempt_limit(
        self, member: RouteMember, deadline: float, *, is_last: bool
    ) -> _AttemptLimits:
        """Return how long to wait for one target; the last one gets all the time that is left."""
        if is_last:
            return _AttemptLimits(deadline, deadline)
        now = self._clock.monotonic()
        average = self._access.load(member.target).average
        answer = now + max(READ_ATTEMPT_SECONDS, READ_ATTEMPT_FACTOR * average)
        return _AttemptLimits(min(deadline, now + READ_CONNECT_SECONDS), min(deadline, answer))

    async def _read_candidates(
        self, route: DatabaseRoute, deadline: float
    ) -> list[tuple[RouteMember, LogPosition | None, Term | None]]:
        """Return the targets that may serve a read now, best first.

        Each comes with the position that it must have applied, and, for the primary, with its term.
        """
        known = self._access.route(route.group)
        now = self._clock.monotonic()
        required = None
        if known is not None and route.mode is not ReadMode.PRIMARY:
            required = self._access.tip(route.group).required(route.max_age, now)
        if required is None:
            primary = await self._wait_for_primary(route, deadline)
            return [(self._primary_member(primary), None, primary.term)]
        if route.mode is ReadMode.READ_YOUR_WRITES:
            required = max(required, self._written.get(route.group, ZERO))
        primary = self._access.primary(route.group)
        leader = primary.primary if primary is not None else None
        usable = [
            member
            for member in known.members
            if member.target == leader or (member.target != known.primary and not member.leaving)
        ]
        ranked = rank_targets(usable, self._access.loads, leader, self._zone, now)
        return [
            (member, None, primary.term) if member.target == leader else (member, required, None)
            for member in ranked
        ]

    async def _wait_for_primary(self, route: DatabaseRoute, deadline: float) -> Route:
        """Return the route of a usable primary.

        A statement waits while a promotion may end within its time. Repeating it would cost the
        caller one of few retries each time.

        :raises _RefusedError: there is none in time, or none will come.
        """
        if not self._access.may_have_primary(route.group):
            raise _RefusedError(Failure.OVERLOADED, "this instance is cut off from control")
        primary = await self._access.wait_for_primary(route.group, deadline)
        if primary is None:
            raise _RefusedError(Failure.OVERLOADED, "the group has no primary at present")
        return primary

    def _primary_member(self, primary: Route) -> RouteMember:
        for member in primary.members:
            if member.target == primary.primary:
                return member
        raise _RefusedError(Failure.OVERLOADED, "the address of the primary is not known")

    async def _acquire(
        self, route: DatabaseRoute, member: RouteMember, deadline: float
    ) -> PooledConnection:
        pool = self._access.pool(route.group, member)
        return await pool.acquire(self._context, route.priority, deadline)

    async def _prepare(
        self, pooled: PooledConnection, shape: Shape | None, deadline: float
    ) -> None:
        """Bring a connection to the context of this session.

        :raises ConnectionLost: the connection is closed, as its context is not known.
        """
        context, connection = pooled.context, pooled.connection
        plan = context.preparation(self._context, shape)
        if plan.is_empty:
            return
        timeout = max(0.0, min(CONTEXT_SECONDS, deadline - self._clock.monotonic()))
        if plan.needs_reset:
            _require(connection, await connection.reset(timeout))
            context.was_reset()
        for name, value in plan.values:
            _require(connection, await connection.set_value(name, value, timeout))
            context.value_set(name, value)
        if plan.shape is not None:
            _require(connection, await connection.prepare(plan.name, plan.shape, timeout))
            context.was_prepared(plan.shape, plan.name)

    async def _send(
        self,
        pooled: PooledConnection,
        statement: Statement,
        shape: Shape | None,
        after: LogPosition | None,
        deadline: float,
    ) -> Reply:
        await self._prepare(pooled, shape, deadline)
        name = pooled.context.name_of(shape) if shape is not None else None
        timeout = max(0.0, deadline - self._clock.monotonic())
        started = self._clock.monotonic()
        reply = await pooled.connection.run(statement, timeout=timeout, name=name, after=after)
        self._last_elapsed = self._clock.monotonic() - started
        self._last_started = started
        return reply

    def _count(self, target: TargetId, reply: Reply) -> None:
        self._access.counts(target).successes += 1
        if reply.error is None:
            self._access.load(target).succeeded(self._last_elapsed)
        # Inside a transaction the position may be that of its snapshot.
        is_idle = reply.state is SessionState.IDLE
        if self.trace.term and is_idle and reply.position is not None:
            group = self.trace.group
            if self._access.is_current(group, self.trace.term):
                self._access.tip(group).add(self._last_started, reply.position)

    def _note_attempt(
        self, member: RouteMember, term: Term | None, after: LogPosition | None
    ) -> None:
        self.trace.attempts += 1
        self.trace.target = member.target
        self.trace.term = term or 0
        self.trace.required = after

    def _describe(self, transaction: _Transaction) -> None:
        self.trace.group = transaction.route.group
        if transaction.member is not None:
            self.trace.target = transaction.member.target
            self.trace.term = transaction.term or 0

    def _note_refusal(self, target: TargetId, reply: Reply) -> None:
        self.trace.reason = f"{reply.error.failure.value} at {target}" if reply.error else ""
        self._access.load(target).failed(self._clock.monotonic())

    @contextmanager
    def _stall_watch(self, target: TargetId, is_commit: bool) -> Iterator[None]:
        """Report a commit that has no answer for long, before its timeout."""

        def report() -> None:
            self._access.counts(target).commit_timeouts += 1

        timer = asyncio.get_running_loop().call_later(STALL_SECONDS, report) if is_commit else None
        try:
            yield
        finally:
            if timer is not None:
                timer.cancel()

    def _note_loss(self, target: TargetId, error: Exception) -> None:
        self.trace.reason = str(error)
        if isinstance(error, AnswerTimeoutError):
            self._access.counts(target).timeouts += 1
        self._access.load(target).failed(self._clock.monotonic())

    async def _pause(self, deadline: float) -> None:
        """Wait a moment before the next attempt.

        :raises _RefusedError: there is no time for one.
        """
        if self._clock.monotonic() + BUSY_RETRY_SECONDS >= deadline:
            raise _RefusedError(Failure.OVERLOADED, self.trace.reason or "no room in time")
        await asyncio.sleep(BUSY_RETRY_SECONDS)

    def _give_back(self, group: GroupId, member: RouteMember, pooled: PooledConnection) -> None:
        self._access.pool(group, member).release(pooled)

    async def _roll_back(self, transaction: _Transaction, pooled: PooledConnection) -> None:
        try:
            reply = await pooled.connection.rollback(ROLLBACK_SECONDS)
            if reply.error is not None or reply.state is not SessionState.IDLE:
                pooled.connection.close()
        except ConnectionLost as error:
            self.trace.reason = str(error)
        transaction.pooled = pooled
        self._release(transaction)

    def _release(self, transaction: _Transaction, *, is_clean: bool = True) -> None:
        """Give the connection of a transaction back."""
        pooled, transaction.pooled = transaction.pooled, None
        if pooled is None:
            return
        if not is_clean:
            pooled.connection.close()
        group = transaction.route.group
        self._give_back(group, transaction.member, pooled)
        if transaction.is_at_primary:
            transaction.is_at_primary = False
            self._access.end_use(group)

    def _drop_transaction(self) -> None:
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            self._release(transaction)
        self._state = SessionState.IDLE

    def _malformed(self, text: str) -> Reply:
        return Reply.failed(Failure.MALFORMED, text, self._state)

    def _aborted(self, state: SessionState) -> Reply:
        return Reply.failed(Failure.ABORTED, "the transaction was rolled back", state)


def _require(connection: SessionConnection, reply: Reply) -> None:
    """Close a connection whose context could not be set."""
    if reply.error is not None:
        connection.close()
        raise ConnectionLost(f"context not set: {reply.error.failure.value}", sent=False)
