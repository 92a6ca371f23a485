"""One session of a caller: its context, its transaction and the way of each statement."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from hibiscuspoint.components.sessions.attempts import Admission, Attempts, RefusedError, Trace
from hibiscuspoint.components.sessions.candidates import Candidates
from hibiscuspoint.components.sessions.single import SingleStatements
from hibiscuspoint.components.sessions.transactions import Transaction, Transactions
from hibiscuspoint.core.sessions import (
    Failure,
    OperationGrant,
    OperationRefusal,
    PreparedStatement,
    Reply,
    SessionContext,
    SessionState,
    Statement,
    StatementKind,
    resolve_operation,
)
from hibiscuspoint.ids import NO_ORGANISATION
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.components.sessions.groups import GroupAccess
    from hibiscuspoint.core.ports import Clock
    from hibiscuspoint.core.quotas import OperationLimiter
    from hibiscuspoint.core.sessions import Caller, RoutingTable
    from hibiscuspoint.ids import AvailabilityZone, GroupId, Term

__all__ = ["Session"]

_END_KINDS = (StatementKind.COMMIT, StatementKind.ROLLBACK)


class Session:
    """Serves the statements of one caller one after the other.

    :param find_table: returns the configuration in force, if any.
    :param zone: availability zone of this instance.
    :param limiter: admits the operations of organisations; ``None`` admits all.
    """

    def __init__(
        self,
        caller: Caller,
        find_table: Callable[[], RoutingTable | None],
        access: GroupAccess,
        zone: AvailabilityZone,
        clock: Clock,
        limiter: OperationLimiter | None = None,
    ) -> None:
        self._caller = caller
        self._find_table = find_table
        self._access = access
        self._clock = clock
        self._limiter = limiter
        self._is_refused = False
        self._context = SessionContext()
        self._attempts = Attempts(access, self._context, clock)
        self._candidates = Candidates(access, zone, clock)
        parts = (self._attempts, self._candidates, access, clock, self._confirm_commit)
        self._single = SingleStatements(*parts)
        self._transactions = Transactions(*parts)
        self._transaction: Transaction | None = None
        self._state = SessionState.IDLE

    @property
    def database(self) -> str:
        """Return the database that the caller named."""
        return self._caller.database

    @property
    def state(self) -> SessionState:
        """Return the state between two statements."""
        return self._state

    @property
    def is_refused(self) -> bool:
        """Tell whether an operation was refused because of the key; the session must be closed."""
        return self._is_refused

    @property
    def is_revoked(self) -> bool:
        """Tell whether the configuration in force has organisations and excludes this session.

        It does if the caller may not begin an operation, or if the open transaction belongs to
        another organisation than the key does now.
        """
        table = self._find_table()
        if table is None or table.organisations is None:
            return False
        outcome = resolve_operation(table, self._caller)
        if isinstance(outcome, OperationRefusal):
            return True
        is_open = self._transaction is not None
        return is_open and outcome.organisation.name != self._attempts.organisation

    @property
    def target(self) -> str:
        """Return the target of the open transaction; empty without one."""
        transaction = self._transaction
        return transaction.member.target if transaction and transaction.member else ""

    @property
    def trace(self) -> Trace:
        """Return what decided about the last statement."""
        return self._attempts.trace

    async def execute(self, statement: Statement) -> Reply:
        """Serve a statement and return its whole answer."""
        # The pause of a caller before the first statement of its transaction is not its wait.
        is_bound = self._transaction is not None and self._transaction.connection is not None
        self._attempts.begin_statement(is_operation=not is_bound)
        try:
            reply = await self._execute(statement)
        except RefusedError as refusal:
            self.trace.reason = refusal.text
            reply = Reply.failed(refusal.failure, refusal.text, SessionState.IDLE)
        self.trace.organisation = self._attempts.organisation
        self._state = reply.state
        if reply.state is SessionState.IDLE:
            self._drop_transaction()
        return reply

    async def abort(self) -> None:
        """Roll back the open transaction, as the caller left or was idle for too long.

        The session stays in the failed state until the caller ends the transaction.
        """
        if self._transaction is not None:
            await self._transactions.roll_back(self._transaction)
            self._state = SessionState.FAILED

    async def close(self) -> None:
        """End the session."""
        await self.abort()
        self._drop_transaction()

    async def _execute(self, statement: Statement) -> Reply:
        kind = statement.kind
        if self._state is SessionState.FAILED and kind not in _END_KINDS:
            return self._malformed("the transaction failed")
        match kind:
            case StatementKind.SET:
                self._context.values[statement.name] = statement.operand
            case StatementKind.PREPARE:
                prepared_statement = PreparedStatement(statement.writes, statement.operand)
                self._context.prepared_statements[statement.name] = prepared_statement
            case StatementKind.DEALLOCATE:
                self._context.prepared_statements.pop(statement.name, None)
            case StatementKind.BEGIN | StatementKind.BEGIN_READ_ONLY:
                return await self._begin(statement)
            case StatementKind.COMMIT | StatementKind.ROLLBACK:
                if self._transaction is None:
                    return self._malformed("no transaction is open")
                return await self._transactions.end(self._transaction, statement)
            case _:
                return await self._run(statement)
        return Reply(state=self._state)

    async def _begin(self, statement: Statement) -> Reply:
        if self._transaction is not None:
            return self._malformed("a transaction is open")
        self._transaction = Transaction(statement, (await self._admit()).route)
        return Reply(state=SessionState.IN_TRANSACTION)

    async def _run(self, statement: Statement) -> Reply:
        prepared_statement = None
        if statement.kind is StatementKind.EXECUTE:
            prepared_statement = self._context.prepared_statements.get(statement.name)
            if prepared_statement is None:
                text = f"{statement.name} is not prepared"
                return Reply.failed(Failure.UNKNOWN_STATEMENT, text, self._state)
        writes = prepared_statement.writes if prepared_statement is not None else statement.writes
        if self._transaction is not None:
            return await self._transactions.run(
                self._transaction, statement, prepared_statement, writes=writes
            )
        route = (await self._admit()).route
        self.trace.group = route.group
        run = self._single.write if writes else self._single.read
        return await run(route, statement, prepared_statement)

    async def _admit(self) -> OperationGrant:
        """Begin an operation: look the key up in the configuration in force and count it.

        :raises RefusedError: the caller may not run the operation now.
        """
        self._attempts.organisation = NO_ORGANISATION
        outcome = resolve_operation(self._find_table(), self._caller)
        if isinstance(outcome, OperationRefusal):
            if outcome.failure is Failure.UNAUTHORIZED:
                self._is_refused = True
                self.trace.admission = Admission.UNAUTHORIZED
            raise RefusedError(outcome.failure, outcome.text)
        self._attempts.organisation = outcome.organisation.name
        await self._check_limit(outcome)
        self.trace.admission = Admission.ADMITTED
        return outcome

    async def _check_limit(self, grant: OperationGrant) -> None:
        """Count one operation of an organisation.

        :raises RefusedError: the organisation has used up its limit.
        """
        if self._limiter is None or not grant.organisation.name:
            return
        verdict = await self._limiter.admit_or_wait(grant.organisation)
        if verdict.is_admitted:
            return
        self.trace.admission = Admission.OVER_LIMIT
        milliseconds = math.ceil(verdict.retry_after_seconds * MILLISECONDS_PER_SECOND)
        text = f"the organisation has reached its limit, retry after {milliseconds} ms"
        raise RefusedError(Failure.OVERLOADED, text)

    def _confirm_commit(self, group: GroupId, term: Term | None, reply: Reply) -> Reply:
        """Return the answer to a commit or a write, unless the primary was replaced meanwhile."""
        if not self._access.is_current(group, term):
            self.trace.reason = "the primary was replaced before its answer arrived"
            return Reply.failed(Failure.IN_DOUBT, self.trace.reason, SessionState.IDLE)
        if reply.position is not None:
            self._access.record_acknowledgement(group, term, reply.position)
            self._candidates.record_write(group, reply.position)
        return reply

    def _drop_transaction(self) -> None:
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            self._transactions.release(transaction)
        self._state = SessionState.IDLE

    def _malformed(self, text: str) -> Reply:
        return Reply.failed(Failure.MALFORMED, text, self._state)
