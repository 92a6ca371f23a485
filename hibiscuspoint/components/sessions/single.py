"""Statements outside a transaction."""

from __future__ import annotations

import itertools
from dataclasses import replace
from typing import TYPE_CHECKING

from hibiscuspoint.core.sessions import Failure, Reply, SessionState
from hibiscuspoint.drivers.errors import AnswerTimeoutError, ConnectionLost

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.components.sessions.attempts import Attempts, Candidate
    from hibiscuspoint.components.sessions.candidates import Candidates
    from hibiscuspoint.components.sessions.groups import GroupAccess
    from hibiscuspoint.core.ports import Clock
    from hibiscuspoint.core.sessions import DatabaseRoute, PreparedStatement, Statement
    from hibiscuspoint.ids import GroupId, Term

    #: Returns the answer to a commit or write, given the group and the term of the primary.
    ConfirmCommit = Callable[[GroupId, Term | None, Reply], Reply]

__all__ = ["SingleStatements"]


class SingleStatements:
    """Runs reads and writes that are transactions of their own.

    :param confirm_commit: judges the answer to a write.
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

    async def write(
        self,
        route: DatabaseRoute,
        statement: Statement,
        prepared_statement: PreparedStatement | None,
    ) -> Reply:
        """Run a write at the primary; it is sent again only when it has not run.

        :raises RefusedError: it has not run and there is no time for another attempt.
        """
        deadline = self._clock.monotonic() + route.timeout_seconds
        for number in itertools.count(1):
            (candidate,) = await self._candidates.for_write(route, deadline)
            with self._attempts.use(route.group, candidate):
                reply = await self._write_once(route, candidate, statement, prepared_statement)
            if reply is not None:
                return reply
            await self._attempts.next_round(number, deadline)

    async def _write_once(
        self,
        route: DatabaseRoute,
        candidate: Candidate,
        statement: Statement,
        prepared_statement: PreparedStatement | None,
    ) -> Reply | None:
        """Return the answer; ``None`` when the statement did not run and may be sent again."""
        attempts, target = self._attempts, candidate.target
        try:
            reply = await attempts.run_once(
                route, candidate, statement, prepared_statement, is_write=True
            )
        except ConnectionLost as error:
            if not error.sent:
                return None
            text = "the answer to the write was lost"
            return Reply.failed(Failure.IN_DOUBT, text, SessionState.IDLE)
        if reply.error is None:
            self._access.counts(target).commits += 1
            return self._confirm_commit(route.group, candidate.term, reply)
        if reply.error.failure.has_not_run:
            attempts.record_refusal(target, reply)
            return None
        return replace(reply, state=SessionState.IDLE)

    async def read(
        self,
        route: DatabaseRoute,
        statement: Statement,
        prepared_statement: PreparedStatement | None,
    ) -> Reply:
        """Run a read at the best target, and at the next one when that has no answer.

        :raises RefusedError: it has not run and there is no time for another attempt.
        """
        deadline = self._clock.monotonic() + route.timeout_seconds
        runs = 0
        for number in itertools.count(1):
            for candidate in await self._candidates.for_read(route, deadline):
                with self._attempts.use(route.group, candidate):
                    reply = await self._read_once(route, candidate, statement, prepared_statement)
                if reply is None:
                    continue
                runs += 1
                is_out_of_time = self._clock.monotonic() >= deadline
                if reply.error is None or runs >= route.max_attempts or is_out_of_time:
                    return reply
            await self._attempts.next_round(number, deadline)

    async def _read_once(
        self,
        route: DatabaseRoute,
        candidate: Candidate,
        statement: Statement,
        prepared_statement: PreparedStatement | None,
    ) -> Reply | None:
        """Return the answer of one target; ``None`` when it did not run the statement."""
        attempts, target = self._attempts, candidate.target
        try:
            reply = await attempts.run_once(route, candidate, statement, prepared_statement)
        except AnswerTimeoutError:
            text = "no answer within the timeout of the route"
            return Reply.failed(Failure.TIMEOUT, text, SessionState.IDLE)
        except ConnectionLost:
            return None
        if reply.error is not None:
            attempts.record_refusal(target, reply)
            has_not_run = reply.error.failure.has_not_run
            return None if has_not_run else replace(reply, state=SessionState.IDLE)
        if candidate.term is not None and not self._access.is_current(route.group, candidate.term):
            attempts.trace.reason = "the primary was replaced before its answer arrived"
            return None
        return reply
