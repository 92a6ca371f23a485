"""Client side of the line protocol: connections to the databases of the platform."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import TYPE_CHECKING

from hibiscuspoint.core.failover import TargetStatus
from hibiscuspoint.core.sessions import Failure
from hibiscuspoint.drivers.errors import (
    AnswerTimeoutError,
    ConnectError,
    ConnectFailure,
    ConnectionLost,
)
from hibiscuspoint.ids import NO_ORGANISATION, Term
from hibiscuspoint.platform import wire
from hibiscuspoint.util.address import parse_address
from hibiscuspoint.util.tcp import reset, set_unacknowledged_limit
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND

if TYPE_CHECKING:
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.core.sessions import PreparedStatement, Reply, Statement
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

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._is_open = True
        self.round_trip_seconds: float | None = None

    @property
    def is_open(self) -> bool:
        """Tell whether the connection is open; a failed or cancelled statement closes it."""
        return self._is_open and not self._reader.at_eof() and not self._writer.is_closing()

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
        """
        return await self._exchange(wire.format_query(statement, name, after), timeout)

    async def reset(self, timeout: float) -> Reply:
        """Clear the session values and prepared statements of the connection."""
        return await self._exchange(wire.format_internal_query("RESET"), timeout)

    async def set_value(self, name: str, value: str, timeout: float) -> Reply:
        """Set a session value on the connection."""
        return await self._exchange(wire.format_set(name, value), timeout)

    async def prepare(
        self, name: str, prepared_statement: PreparedStatement, timeout: float
    ) -> Reply:
        """Create a prepared statement on the connection."""
        return await self._exchange(wire.format_prepare(name, prepared_statement), timeout)

    async def rollback(self, timeout: float) -> Reply:
        """Roll back the open transaction."""
        return await self._exchange(wire.format_internal_query("ROLLBACK"), timeout)

    async def status(self, timeout: float) -> tuple[TargetStatus | None, LogPosition | None]:
        """Return the status of the database and its log position.

        The status is ``None`` when the database has no free slot to report it.
        """
        return await self._run_status_command("STATUS", timeout)

    async def pause(self, term: int, timeout: float) -> TargetStatus | None:
        """Stop a replica from receiving the log; ``None`` when the database refuses."""
        return (await self._run_status_command(f"PAUSE {term}", timeout))[0]

    async def step_down(self, term: int, timeout: float) -> TargetStatus | None:
        """Demote a primary of a lower term to replica; ``None`` when the database refuses."""
        return (await self._run_status_command(f"STEPDOWN {term}", timeout))[0]

    async def resume(self, timeout: float) -> TargetStatus | None:
        """Let a paused replica receive the log again; ``None`` when the database refuses."""
        return (await self._run_status_command("RESUME", timeout))[0]

    def close(self) -> None:
        """Close the connection, on which the database rolls back an open transaction."""
        self._is_open = False
        self._writer.close()

    def _reset(self) -> None:
        """Close the connection so that a statement that is still on its way never arrives."""
        self._is_open = False
        reset(self._writer)

    async def _run_status_command(
        self, text: str, timeout: float
    ) -> tuple[TargetStatus | None, LogPosition | None]:
        reply = await self._exchange(wire.format_internal_query(text), timeout)
        if reply.error is not None or not reply.rows:
            return None, reply.position
        try:
            return _parse_status(reply.rows[0]), reply.position
        except (ValueError, wire.ProtocolError) as error:
            self.close()
            raise ConnectionLost(f"malformed status: {error}", sent=True) from error

    async def _exchange(self, message: bytes, timeout: float) -> Reply:
        builder = wire.ReplyBuilder()
        try:
            async with asyncio.timeout(timeout):
                self._writer.write(message)
                while True:
                    line = await self._reader.readline()
                    if not line:
                        raise ConnectionLost("the connection ended", sent=True)
                    reply = builder.add(line)
                    if reply is not None:
                        return reply
        except TimeoutError:
            self._reset()
            raise AnswerTimeoutError from None
        except (OSError, ValueError, wire.ProtocolError) as error:
            self._reset()
            raise ConnectionLost(str(error), sent=True) from error
        except (ConnectionLost, asyncio.CancelledError):
            self._reset()
            raise


class DatabaseDriver:
    """Opens connections to databases."""

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
        except ValueError as error:
            raise ConnectError(ConnectFailure.BROKEN, str(error)) from error
        try:
            async with asyncio.timeout(timeout):
                started = time.monotonic()
                reader, writer = await asyncio.open_connection(host, port, limit=wire.LINE_BYTES)
                round_trip_seconds = time.monotonic() - started
                _set_socket_options(writer)
                connection = await _start_up(
                    reader, writer, group, target, organisation or CALLER_NAME
                )
                connection.round_trip_seconds = round_trip_seconds
                return connection
        except TimeoutError:
            raise ConnectError(ConnectFailure.TIMED_OUT, "no answer in time") from None
        except ConnectionRefusedError as error:
            raise ConnectError(ConnectFailure.REFUSED, str(error)) from error
        except OSError as error:
            raise ConnectError(ConnectFailure.BROKEN, str(error)) from error


async def _start_up(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    group: GroupId,
    target: TargetId,
    caller: str,
) -> DatabaseConnection:
    try:
        writer.write(f"STARTUP {group} {caller} {target}\r\n".encode())
        builder = wire.ReplyBuilder()
        while True:
            line = await reader.readline()
            if not line:
                raise ConnectError(ConnectFailure.REFUSED, "the connection ended")
            word, _, rest = line.decode(errors="replace").strip().partition(" ")
            if word == "ERROR":
                failure = wire.parse_failure_code(rest.partition(" ")[0])
                raise ConnectError(_CONNECT_FAILURES.get(failure, ConnectFailure.BROKEN), rest)
            if builder.add(line) is not None:
                return DatabaseConnection(reader, writer)
    except (ValueError, wire.ProtocolError) as error:
        writer.close()
        raise ConnectError(ConnectFailure.BROKEN, str(error)) from error
    except BaseException:
        writer.close()
        raise


def _set_socket_options(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    set_unacknowledged_limit(writer, UNACKNOWLEDGED_SECONDS)


def _parse_status(row: str) -> TargetStatus:
    """Parse a status row: role, term, position, term of a pause, lag in ms, slots in use.

    :raises ProtocolError: the row has too few fields, or its position is malformed.
    :raises ValueError: a field is no number.
    """
    fields = row.split()
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
    if not 0 <= number <= wire.MAX_NUMBER:
        raise ValueError("a number is out of range")
    return number
