"""One session of a caller: its context, its transaction and the way of each statement."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.components.sessions.attempts import Attempts, RefusedError, Trace
from hibiscuspoint.components.sessions.candidates import Candidates
from hibiscuspoint.components.sessions.single import SingleStatements
from hibiscuspoint.components.sessions.transactions import Transaction, Transactions
from hibiscuspoint.core.sessions import (
    Failure,
    PreparedStatement,
    Reply,
    SessionContext,
    SessionState,
    Statement,
    StatementKind,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.components.sessions.groups import GroupAccess
    from hibiscuspoint.core.ports import Clock
    from hibiscuspoint.core.sessions import DatabaseRoute
    from hibiscuspoint.ids import AvailabilityZone, GroupId, Term

__all__ = ["Session"]

_END_KINDS = (StatementKind.COMMIT, StatementKind.ROLLBACK)


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

    @property
    def trace(self) -> Trace:
        """Return what decided about the last statement."""
        return self._attempts.trace

    async def execute(self, statement: Statement) -> Reply:
        """Serve a statement and return its whole answer."""
        # The pause of a caller before the first statement of its transaction is not its wait.
        is_bound = self._transaction is not None and self._transaction.connection is not None
        self._attempts.begin_statement(is_operation=not is_bound)
        reply = await self._execute(statement)
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
                return self._begin(statement)
            case StatementKind.COMMIT | StatementKind.ROLLBACK:
                if self._transaction is None:
                    return self._malformed("no transaction is open")
                return await self._transactions.end(self._transaction, statement)
            case _:
                return await self._run(statement)
        return Reply(state=self._state)

    def _begin(self, statement: Statement) -> Reply:
        if self._transaction is not None:
            return self._malformed("a transaction is open")
        route = self._find_route(self._database)
        if route is None:
            return self._without_route()
        self._transaction = Transaction(statement, route)
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
        route = self._find_route(self._database)
        if route is None:
            return self._without_route()
        self.trace.group = route.group
        run = self._single.write if writes else self._single.read
        try:
            return await run(route, statement, prepared_statement)
        except RefusedError as refusal:
            self.trace.reason = refusal.text
            return Reply.failed(refusal.failure, refusal.text, SessionState.IDLE)

    def _confirm_commit(self, group: GroupId, term: Term | None, reply: Reply) -> Reply:
        """Return the answer to a commit or a write, unless the primary was replaced meanwhile."""
        if not self._access.is_current(group, term):
            self.trace.reason = "the primary was replaced before its answer arrived"
            return Reply.failed(Failure.IN_DOUBT, self.trace.reason, SessionState.IDLE)
        if reply.position is not None:
            self._access.record_acknowledgement(group, reply.position)
            self._candidates.record_write(group, reply.position)
        return reply

    def _drop_transaction(self) -> None:
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            self._transactions.release(transaction)
        self._state = SessionState.IDLE

    def _without_route(self) -> Reply:
        text = "the database has no route any more"
        return Reply.failed(Failure.UNKNOWN_DATABASE, text, SessionState.IDLE)

    def _malformed(self, text: str) -> Reply:
        return Reply.failed(Failure.MALFORMED, text, self._state)
