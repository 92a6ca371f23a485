"""Transactions of sessions; each has one connection from its first statement to its end."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from hibiscuspoint.components.sessions.attempts import RefusedError
from hibiscuspoint.core.sessions import Failure, Reply, SessionState, StatementKind
from hibiscuspoint.drivers.errors import (
    AnswerTimeoutError,
    AnswerUnclear,
    ConnectError,
    ConnectionLost,
)

if TYPE_CHECKING:
    from hibiscuspoint.components.sessions.attempts import Attempts, Candidate
    from hibiscuspoint.components.sessions.candidates import Candidates
    from hibiscuspoint.components.sessions.connection import BorrowedConnection
    from hibiscuspoint.components.sessions.groups import GroupAccess
    from hibiscuspoint.components.sessions.single import ConfirmCommit
    from hibiscuspoint.core.entry.routes import RouteMember
    from hibiscuspoint.core.ports import Clock
    from hibiscuspoint.core.sessions import DatabaseRoute, PreparedStatement, Statement
    from hibiscuspoint.ids import Term

__all__ = ["Transaction", "Transactions", "aborted_reply"]

#: Longest time in seconds to wait for the answer to a rollback before the connection is closed.
ROLLBACK_SECONDS = 0.5

#: Connections over which a transaction is begun in one round while the answers are unclear. It is
#: about the number that one instance keeps to a target.
UNCLEAR_ATTEMPTS = 8


@dataclass
class Transaction:
    """An open transaction; without a connection until its first statement is sent.

    :param is_at_primary: whether it counts as work at the primary.
    :param is_lost: whether the target has rolled it back, or will.
    :param taken_at: monotonic time in seconds at which it got its connection.
    """

    begin: Statement
    route: DatabaseRoute
    connection: BorrowedConnection | None = None
    member: RouteMember | None = None
    term: Term | None = None
    is_at_primary: bool = False
    wrote: bool = False
    is_lost: bool = False
    taken_at: float = 0.0

    @property
    def is_read_only(self) -> bool:
        """Tell whether the transaction may run at a replica."""
        return self.begin.kind is StatementKind.BEGIN_READ_ONLY


def aborted_reply(state: SessionState) -> Reply:
    """Return the promise that nothing of a transaction is kept."""
    return Reply.failed(Failure.ABORTED, "the transaction was rolled back", state)


class Transactions:
    """Opens, runs and ends the transactions of one session.

    :param confirm_commit: judges the answer to a commit that wrote.
    """

    def __init__(
        self,
        attempts: Attempts,
        candidates: Candidates,
        access: GroupAccess,
        clock: Clock,
        confirm_commit: ConfirmCommit,
    ) -> None:
        self._attempts = attempts
        self._candidates = candidates
        self._access = access
        self._clock = clock
        self._confirm_commit = confirm_commit

    async def run(
        self,
        transaction: Transaction,
        statement: Statement,
        prepared_statement: PreparedStatement | None,
        *,
        writes: bool,
    ) -> Reply:
        """Run a statement; the first one opens the transaction at a target."""
        if transaction.connection is None:
            refusal = await self._bind(transaction, starts_without_effect=not writes)
            if refusal is not None:
                return refusal
        self._describe(transaction)
        transaction.wrote = transaction.wrote or writes
        try:
            deadline = self._clock.monotonic() + transaction.route.timeout_seconds
            reply = await self._send(transaction, statement, prepared_statement, deadline)
        except ConnectionLost as error:
            self._attempts.record_failure(transaction.member.target, error)
            transaction.is_lost = True
            self.release(transaction)
            if isinstance(error, AnswerTimeoutError):
                text = "no answer within the timeout of the route"
                return Reply.failed(Failure.TIMEOUT, text, SessionState.FAILED)
            return aborted_reply(SessionState.FAILED)
        if reply.error is not None and reply.error.failure is Failure.ABORTED:
            transaction.is_lost = True
            self.release(transaction)
            return aborted_reply(SessionState.FAILED)
        return reply

    async def end(self, transaction: Transaction, statement: Statement) -> Reply:
        """Commit or roll back."""
        is_commit = statement.kind is StatementKind.COMMIT
        self._describe(transaction)
        if transaction.is_lost:
            return aborted_reply(SessionState.IDLE) if is_commit else Reply()
        if transaction.connection is None:
            if not is_commit:
                return Reply()
            refusal = await self._bind(transaction, starts_without_effect=True)
            if refusal is not None:
                return replace(refusal, state=SessionState.IDLE)
        target = transaction.member.target
        is_write = is_commit and transaction.wrote
        deadline = self._clock.monotonic() + transaction.route.timeout_seconds
        try:
            with self._attempts.watch_commit(target, is_write):
                reply = await self._send(transaction, statement, None, deadline)
        except ConnectionLost as error:
            return self._end_lost(transaction, error, is_commit=is_commit)
        if not is_write or reply.error is not None:
            return reply
        self._access.counts(target).commits += 1
        return self._confirm_commit(transaction.route.group, transaction.term, reply)

    async def roll_back(self, transaction: Transaction) -> None:
        """Roll back without the caller; the connection is closed when that fails."""
        transaction.is_lost = True
        connection = transaction.connection
        if connection is None:
            return
        try:
            reply = await connection.rollback(ROLLBACK_SECONDS)
            if reply.error is not None or reply.state is not SessionState.IDLE:
                connection.close()
        except ConnectionLost as error:
            self._attempts.record_failure(transaction.member.target, error)
        self.release(transaction)

    def release(self, transaction: Transaction, *, is_clean: bool = True) -> None:
        """Give the connection of a transaction back.

        :param is_clean: whether the connection is outside a transaction, or closed.
        """
        connection, transaction.connection = transaction.connection, None
        if connection is None:
            return
        if not is_clean:
            connection.close()
        connection.give_back()
        target, taken_at = transaction.member.target, transaction.taken_at
        self._attempts.record_use(transaction.route, target, taken_at, is_transaction=True)
        if transaction.is_at_primary:
            transaction.is_at_primary = False
            self._access.end_use(transaction.route.group)

    async def _send(
        self,
        transaction: Transaction,
        statement: Statement,
        prepared_statement: PreparedStatement | None,
        deadline: float,
    ) -> Reply:
        """Run a statement at the connection, again while the target has no room for it.

        What the transaction did so far would be lost with a refusal.
        """
        for number in itertools.count(1):
            reply = await self._attempts.send(
                transaction.connection, statement, deadline, prepared_statement=prepared_statement
            )
            self._attempts.record_answer(transaction.member.target, reply)
            is_busy = reply.error is not None and reply.error.failure is Failure.OVERLOADED
            may_repeat = is_busy and reply.state is SessionState.IN_TRANSACTION
            if not may_repeat or not await self._attempts.pause(number, deadline):
                break
        return reply

    def _end_lost(
        self, transaction: Transaction, error: ConnectionLost, *, is_commit: bool
    ) -> Reply:
        self._attempts.record_failure(transaction.member.target, error)
        if not is_commit:
            return Reply()
        if not transaction.wrote or not error.sent:
            return aborted_reply(SessionState.IDLE)
        text = "the answer to the commit was lost"
        return Reply.failed(Failure.IN_DOUBT, text, SessionState.IDLE)

    async def _bind(self, transaction: Transaction, *, starts_without_effect: bool) -> Reply | None:
        """Open the transaction at a target; returns the refusal when that is not possible.

        :param starts_without_effect: whether the first statement has no effect.
        """
        route = transaction.route
        transaction.begin = replace(transaction.begin, starts_without_effect=starts_without_effect)
        self._attempts.trace.group = route.group
        deadline = self._clock.monotonic() + route.timeout_seconds
        choose = (
            self._candidates.for_read if transaction.is_read_only else self._candidates.for_write
        )
        try:
            for number in itertools.count(1):
                for candidate in await choose(route, deadline, is_transaction=True):
                    if await self._begin(transaction, candidate):
                        return None
                await self._attempts.next_round(number, deadline)
        except RefusedError as refusal:
            self._attempts.trace.reason = refusal.text
            transaction.is_lost = True
            return Reply.failed(refusal.failure, refusal.text, SessionState.FAILED)

    async def _begin(self, transaction: Transaction, candidate: Candidate) -> bool:
        """Open the transaction at one target; returns whether it is open."""
        group = transaction.route.group
        with self._attempts.use(group, candidate):
            if not await self._begin_certainly(transaction, candidate):
                return False
            if candidate.term is None:
                return True
            # The transaction goes on as work at the primary after this attempt.
            self._access.begin_use(group)
            transaction.is_at_primary = True
        if self._access.is_current(group, candidate.term):
            return True
        self._attempts.trace.reason = "the primary was replaced before its answer arrived"
        self.release(transaction, is_clean=False)
        return False

    async def _begin_certainly(self, transaction: Transaction, candidate: Candidate) -> bool:
        """Open the transaction at one target, at once over the next connection if it is unclear.

        In a group without commits, the answer looks like that to an earlier ``BEGIN`` of the same
        connection. Each attempt ends such a connection, so that a new one comes at last.
        """
        for _ in range(UNCLEAR_ATTEMPTS):
            try:
                return await self._begin_once(transaction, candidate)
            except AnswerUnclear as error:
                self._attempts.record_failure(candidate.target, error)
        return False

    async def _begin_once(self, transaction: Transaction, candidate: Candidate) -> bool:
        """Open the transaction at one target; returns whether it is open.

        :raises AnswerUnclear: the answer may be that to an earlier one.
        """
        attempts, route, target = self._attempts, transaction.route, candidate.target
        try:
            connection = await attempts.acquire(route, candidate, is_transaction=True)
        except ConnectError as error:
            attempts.record_failure(target, error)
            return False
        taken_at = self._clock.monotonic()
        if transaction.is_read_only:
            try:
                attempts.begin_read(route.group, candidate, connection)
            except ConnectionLost:
                return False
        is_open = False
        try:
            reply = await attempts.send(
                connection, transaction.begin, candidate.answer_until, after=candidate.after
            )
            is_open = reply.error is None and reply.state is SessionState.IN_TRANSACTION
        except AnswerUnclear:
            raise
        except ConnectionLost as error:
            attempts.record_failure(target, error)
            return False
        finally:
            if not is_open:
                connection.give_back()
        attempts.record_answer(target, reply)
        if not is_open:
            attempts.record_refusal(target, reply)
            return False
        transaction.connection, transaction.member = connection, candidate.member
        transaction.term, transaction.taken_at = candidate.term, taken_at
        return True

    def _describe(self, transaction: Transaction) -> None:
        trace = self._attempts.trace
        trace.group = transaction.route.group
        if transaction.member is not None:
            trace.target = transaction.member.target
            trace.term = transaction.term or 0
        if transaction.connection is not None:
            trace.holder = transaction.connection.holder
