"""Connections to targets as sessions use them, whoever keeps them open."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Protocol

from hibiscuspoint.core.balancing import HolderReport
from hibiscuspoint.core.sessions import (
    ConnectionContext,
    Failure,
    Reply,
    SessionState,
    StatementKind,
)
from hibiscuspoint.drivers.errors import AnswerDoubtful, ConnectionLost
from hibiscuspoint.ids import NO_ORGANISATION

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.core.ports import Clock, SessionConnection
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.core.sessions import PreparedStatement, SessionContext, Statement
    from hibiscuspoint.ids import OrganisationId

__all__ = ["BorrowedConnection", "PooledConnection"]

#: Failures with which a target has no room; ``ABORTED`` ends a transaction that it refused twice.
_NO_ROOM = (Failure.OVERLOADED, Failure.ABORTED)

#: Longest time in seconds of a step that only sets the context of a connection.
CONTEXT_SECONDS = 1.0


class BorrowedConnection(Protocol):
    """A connection that one session uses until it gives it back."""

    #: Instance that keeps the connection open; empty for this one.
    holder: str
    #: What the holder told about the target.
    report: HolderReport

    async def run(
        self,
        statement: Statement,
        session: SessionContext,
        deadline: float,
        *,
        prepared_statement: PreparedStatement | None = None,
        after: LogPosition | None = None,
    ) -> Reply:
        """Bring the connection to the context of the session and run a statement.

        :param deadline: monotonic time in seconds.
        :param prepared_statement: prepared statement that the statement executes, if any.
        :param after: position that the target must have applied.
        :raises ConnectionLost: there is no whole answer; the connection is closed. The statement
            has not run if the error says that it was not sent.
        """

    async def rollback(self, timeout: float) -> Reply:
        """Roll back the open transaction."""

    def close(self) -> None:
        """Close the connection; the target rolls back an open transaction."""

    def give_back(self) -> None:
        """End the use; a connection that is not usable any more is dropped."""


@dataclass(eq=False)
class PooledConnection:
    """A connection of this instance with the context that is in force at it.

    :param release: takes the connection back.
    :param organisation: the only organisation whose statements may run at it.
    """

    connection: SessionConnection
    clock: Clock
    release: Callable[[PooledConnection], None]
    organisation: OrganisationId = NO_ORGANISATION
    context: ConnectionContext = field(default_factory=ConnectionContext)
    idle_since: float = 0.0
    taken_at: float = 0.0
    holder: str = ""
    report: HolderReport = field(default_factory=HolderReport)
    #: Whether the target had no room for the last statement.
    was_refused: bool = False

    @property
    def is_open(self) -> bool:
        """Tell whether the connection is open and owes no answer."""
        return self.connection.is_open

    async def run(
        self,
        statement: Statement,
        session: SessionContext,
        deadline: float,
        *,
        prepared_statement: PreparedStatement | None = None,
        after: LogPosition | None = None,
    ) -> Reply:
        """Bring the connection to the context of the session and run a statement.

        :raises ConnectionLost: see ``BorrowedConnection``.
        """
        self._require_open()
        self.was_refused = False
        writes = prepared_statement.writes if prepared_statement is not None else statement.writes
        try:
            if self._is_exhausted and (writes or self._is_behind(after)):
                await self._reset(deadline)
                if self._is_behind(after):
                    text = "the log of the target has not moved"
                    return Reply.failed(Failure.LAGGING, text, SessionState.IDLE)
            await self._prepare(session, prepared_statement, deadline)
            if writes and self._is_exhausted:
                self.was_refused = True
                raise ConnectionLost("a refusal would be in doubt", sent=False)
        except ConnectionLost as error:
            message = f"context not set: {error}"
            raise ConnectionLost(message, sent=False, is_silent=error.is_silent) from error
        name = self.context.name_of(prepared_statement) if prepared_statement is not None else None
        timeout = max(0.0, deadline - self.clock.monotonic())
        if writes and not statement.writes:
            # The executed statement writes, which its answer is judged by.
            statement = replace(statement, writes=True)
        try:
            reply = await self.connection.run(statement, timeout=timeout, name=name, after=after)
        except AnswerDoubtful as doubt:
            reply = await self._settle(statement, deadline, in_transaction=doubt.in_transaction)
        self.was_refused = reply.error is not None and reply.error.failure in _NO_ROOM
        if reply.error is not None and reply.error.failure is Failure.UNKNOWN_STATEMENT:
            self.context.forget_prepared_statements()
        return reply

    async def _settle(
        self, statement: Statement, deadline: float, *, in_transaction: bool
    ) -> Reply:
        """Return the answer to a statement whose refusal equals an earlier one.

        :raises AnswerUnclear: it cannot be told; the connection is closed.
        """
        timeout = max(0.0, min(CONTEXT_SECONDS, deadline - self.clock.monotonic()))
        reply = await self.connection.settle(timeout)
        if not in_transaction:
            self.context.record_reset()
        elif statement.kind is not StatementKind.COMMIT:
            text = "the transaction was rolled back, as a refusal came twice"
            return Reply.failed(Failure.ABORTED, text, SessionState.IDLE)
        return reply

    async def has_log_moved(self) -> bool:
        """Tell whether a refusal would not be in doubt any more, as the log has moved."""
        try:
            await self._reset(self.clock.monotonic() + CONTEXT_SECONDS)
        except ConnectionLost:
            return False
        return not self._is_exhausted

    async def rollback(self, timeout: float) -> Reply:
        """Roll back the open transaction."""
        self._require_open()
        return await self.connection.rollback(timeout)

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()

    def take_round_trip(self) -> float | None:
        """Return the seconds that the target took to accept the connection, only once."""
        seconds, self.connection.round_trip_seconds = self.connection.round_trip_seconds, None
        return seconds

    def give_back(self) -> None:
        """Return the connection to its pool."""
        self.release(self)

    @property
    def _is_exhausted(self) -> bool:
        """Tell whether the next refusal outside a transaction would be in doubt."""
        return self.connection.exhausted_at is not None

    def _is_behind(self, after: LogPosition | None) -> bool:
        """Tell whether the target is known to refuse a statement, as its log lacks a position."""
        exhausted_at = self.connection.exhausted_at
        return after is not None and exhausted_at is not None and exhausted_at < after

    def _require_open(self) -> None:
        """Refuse a statement whose connection ended while it was idle, also inside a transaction.

        :raises ConnectionLost: the statement was not sent.
        """
        if not self.is_open:
            raise ConnectionLost("the connection had ended", sent=False)

    async def _prepare(
        self, session: SessionContext, prepared_statement: PreparedStatement | None, deadline: float
    ) -> None:
        plan = self.context.preparation(session, prepared_statement)
        if plan.is_empty:
            return
        if plan.needs_reset:
            await self._reset(deadline)
        timeout = max(0.0, min(CONTEXT_SECONDS, deadline - self.clock.monotonic()))
        for name, value in plan.values:
            self._require(await self.connection.set_value(name, value, timeout))
            self.context.record_value(name, value)
        if plan.prepared_statement is not None:
            self._require(
                await self.connection.prepare(plan.name, plan.prepared_statement, timeout)
            )
            self.context.record_prepared_statement(plan.prepared_statement, plan.name)

    async def _reset(self, deadline: float) -> None:
        """Clear the context; the answer shows whether the log has moved."""
        timeout = max(0.0, min(CONTEXT_SECONDS, deadline - self.clock.monotonic()))
        self._require(await self.connection.reset(timeout))
        self.context.record_reset()

    def _require(self, reply: Reply) -> None:
        """Close a connection whose context could not be set."""
        if reply.error is not None:
            self.connection.close()
            raise ConnectionLost(reply.error.failure.value, sent=False)
