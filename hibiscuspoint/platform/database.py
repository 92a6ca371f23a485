"""Client side of the line protocol: connections to the databases of the platform."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from hibiscuspoint.core.failover import StatusAnswer, TargetStatus
from hibiscuspoint.core.sessions import Failure, Question, SessionState
from hibiscuspoint.drivers.errors import ConnectError, ConnectFailure, ConnectionLost
from hibiscuspoint.ids import NO_ORGANISATION, Term
from hibiscuspoint.platform import wire
from hibiscuspoint.platform.answer_stream import AnswerStream, ConnectionEnded, StartupRefused
from hibiscuspoint.util.address import parse_address
from hibiscuspoint.util.tcp import set_unacknowledged_limit
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND

if TYPE_CHECKING:
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.core.sessions import EndReason, Match, PreparedStatement, Reply, Statement
    from hibiscuspoint.drivers.answer_monitor import AnswerMonitor
    from hibiscuspoint.ids import GroupId, OrganisationId, TargetId

__all__ = ["DatabaseConnection", "DatabaseDriver"]

#: Seconds without a TCP acknowledgement of sent bytes after which the kernel closes a connection.
#: A database drops a connection to an unreachable peer after 3 s as well.
UNACKNOWLEDGED_SECONDS = 3.0

#: Client name that the proxy sends to a database for a connection of no organisation.
CALLER_NAME = "hibiscuspoint"

_CONNECT_FAILURES = {
    Failure.TOO_MANY_CONNECTIONS: ConnectFailure.LIMITED,
    Failure.OVERLOADED: ConnectFailure.LIMITED,
    Failure.WRONG_TARGET: ConnectFailure.WRONG_TARGET,
}


class DatabaseConnection:
    """An open connection to a database, which runs one statement at a time."""

    def __init__(self, stream: AnswerStream) -> None:
        self._stream = stream
        self.round_trip_seconds: float | None = None

    @property
    def is_open(self) -> bool:
        """Tell whether the connection is open; a failed or cancelled statement closes it."""
        return self._stream.is_open

    @property
    def exhausted_at(self) -> LogPosition | None:
        """Return the position of the log at which a refusal would be in doubt."""
        return self._stream.exhausted_at

    async def run(
        self,
        statement: Statement,
        *,
        timeout: float,
        name: str | None = None,
        after: LogPosition | None = None,
    ) -> Reply:
        """Run a statement of a caller and wait for the whole answer.

        :param timeout: longest time in seconds until the answer is complete.
        :param name: name of the executed prepared statement on this connection.
        :param after: log position that the database must have applied before it runs the statement.
        :raises ConnectionLost: the connection closed before the answer was complete.
        :raises AnswerTimeoutError: the answer did not arrive in time; the connection is closed.
        :raises AnswerDoubtful: a refusal equals an earlier one; ``settle`` must be the next call.
        :raises AnswerUnclear: an answer cannot be told from a repetition; the connection is closed.
        """
        question = Question.of(statement)
        return await self._stream.ask(question, wire.format_query(statement, name, after), timeout)

    async def settle(self, timeout: float) -> Reply:
        """Return the answer to a statement whose refusal equals an earlier one.

        The question behind the refusal takes no slot of the database.

        :param timeout: longest time in seconds until the answer is complete.
        :raises AnswerUnclear: it cannot be told from a repetition; the connection is closed.
        """
        in_transaction = self._stream.state is SessionState.IN_TRANSACTION
        question = Question.ROLLBACK if in_transaction else Question.CONTEXT
        message = wire.format_internal_query("ROLLBACK" if in_transaction else "RESET")
        return await self._stream.settle(question, message, timeout)

    async def reset(self, timeout: float) -> Reply:
        """Clear the session values and prepared statements of the connection."""
        return await self._ask_internal(Question.CONTEXT, "RESET", timeout)

    async def set_value(self, name: str, value: str | None, timeout: float) -> Reply:
        """Set a session value on the connection."""
        return await self._stream.ask(Question.CONTEXT, wire.format_set(name, value), timeout)

    async def prepare(
        self, name: str, prepared_statement: PreparedStatement, timeout: float
    ) -> Reply:
        """Create a prepared statement on the connection."""
        message = wire.format_prepare(name, prepared_statement)
        return await self._stream.ask(Question.CONTEXT, message, timeout)

    async def rollback(self, timeout: float) -> Reply:
        """Roll back the open transaction."""
        return await self._ask_internal(Question.ROLLBACK, "ROLLBACK", timeout)

    async def status(self, timeout: float) -> StatusAnswer:
        """Return the status of the database."""
        return await self._run_status_command("STATUS", timeout)

    async def pause(self, term: int, timeout: float) -> StatusAnswer:
        """Stop a replica from receiving the log."""
        return await self._run_status_command(f"PAUSE {term}", timeout)

    async def step_down(self, term: int, timeout: float) -> StatusAnswer:
        """Demote a primary of a lower term to replica."""
        return await self._run_status_command(f"STEPDOWN {term}", timeout)

    async def resume(self, timeout: float) -> StatusAnswer:
        """Let a paused replica receive the log again."""
        return await self._run_status_command("RESUME", timeout)

    def close(self) -> None:
        """Close the connection, on which the database rolls back an open transaction."""
        self._stream.close()

    async def _run_status_command(self, text: str, timeout: float) -> StatusAnswer:
        reply = await self._ask_internal(Question.STATUS, text, timeout)
        is_new = not self._stream.is_unproven
        if reply.error is not None or not reply.rows:
            return StatusAnswer(None, is_new)
        try:
            return StatusAnswer(_parse_status(reply.rows[0]), is_new)
        except (ValueError, wire.ProtocolError) as error:
            self.close()
            raise ConnectionLost(f"malformed status: {error}", sent=True) from error

    async def _ask_internal(self, question: Question, text: str, timeout: float) -> Reply:
        return await self._stream.ask(question, wire.format_internal_query(text), timeout)


class DatabaseDriver:
    """Opens connections to databases."""

    def __init__(self) -> None:
        self._monitor: AnswerMonitor | None = None

    def set_answer_monitor(self, monitor: AnswerMonitor) -> None:
        """Report answers that belong to no statement in progress."""
        self._monitor = monitor

    async def connect(
        self,
        group: GroupId,
        target: TargetId,
        address: str,
        timeout: float,
        organisation: OrganisationId = NO_ORGANISATION,
    ) -> DatabaseConnection:
        """Open a connection and complete the startup exchange.

        :param timeout: longest time in seconds for both.
        :raises ConnectError: the connection failed, the database accepts no more connections, or
            another database serves the address.
        """
        try:
            host, port = parse_address(address)
            message = wire.format_startup(group, organisation or CALLER_NAME, target)
        except (ValueError, wire.ProtocolError) as error:
            raise ConnectError(ConnectFailure.BROKEN, str(error)) from error
        try:
            async with asyncio.timeout(timeout):
                started = time.monotonic()
                stream = await self._open(target, host, port)
                round_trip_seconds = time.monotonic() - started
                await stream.start_up(message)
        except TimeoutError:
            raise ConnectError(ConnectFailure.TIMED_OUT, "no answer in time") from None
        except ConnectionRefusedError as error:
            raise ConnectError(ConnectFailure.REFUSED, str(error)) from error
        except OSError as error:
            raise ConnectError(ConnectFailure.BROKEN, str(error)) from error
        except ConnectionEnded as error:
            raise ConnectError(ConnectFailure.REFUSED, str(error)) from error
        except ConnectionLost as error:
            raise ConnectError(ConnectFailure.BROKEN, str(error)) from error
        except StartupRefused as error:
            failure = wire.parse_failure_code(error.code)
            connect_failure = _CONNECT_FAILURES.get(failure, ConnectFailure.BROKEN)
            raise ConnectError(connect_failure, str(error)) from error
        connection = DatabaseConnection(stream)
        connection.round_trip_seconds = round_trip_seconds
        return connection

    async def _open(self, target: TargetId, host: str, port: int) -> AnswerStream:
        def report(event: Match | EndReason, question: Question | None) -> None:
            if self._monitor is not None:
                self._monitor.record(target, event, question)

        loop = asyncio.get_running_loop()
        transport, stream = await loop.create_connection(lambda: AnswerStream(report), host, port)
        set_unacknowledged_limit(transport, UNACKNOWLEDGED_SECONDS)
        return stream


def _parse_status(row: str) -> TargetStatus:
    """Parse a status row: role, term, position, term of a pause, lag in ms, slots in use.

    :raises ProtocolError: the row has too few fields, or its position is malformed.
    :raises ValueError: a field is no number.
    """
    fields = row.split(" ")
    if len(fields) < 6:
        raise wire.ProtocolError("the state of a database is not complete")
    position = wire.parse_position(fields[2])
    if position is None:
        position = wire.parse_position("0.0")
    return TargetStatus(
        is_primary=fields[0] == "primary",
        term=Term(_read_count(fields[1])),
        received=position,
        paused_term=Term(_read_count(fields[3])),
        lag_seconds=_read_count(fields[4]) / MILLISECONDS_PER_SECOND,
        in_use=_read_count(fields[5]),
    )


def _read_count(text: str) -> int:
    number = int(text)
    if not (text.isascii() and text.isdecimal()) or number > wire.MAX_NUMBER:
        raise ValueError("a number is malformed or out of range")
    return number
