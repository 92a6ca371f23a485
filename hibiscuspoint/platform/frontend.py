"""Server side of the line protocol: the port on which callers open sessions."""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import TYPE_CHECKING

from hibiscuspoint.core.sessions import Failure, Reply, SessionState
from hibiscuspoint.platform import wire
from hibiscuspoint.util.address import parse_address

if TYPE_CHECKING:
    from hibiscuspoint.components.sessions import Session, SessionService

__all__ = ["Frontend"]

logger = logging.getLogger(__name__)

#: Time limit in seconds for the startup message of a new connection.
STARTUP_TIMEOUT_SECONDS = 10.0

#: Length of the kernel queue of connections that are not yet accepted.
LISTEN_BACKLOG = 512

#: Seconds that an open transaction has to end when its key is revoked. The platform allows 4 s from
#: the acknowledgement of a configuration; it takes up to 1 s until the configuration is in force
#: here, and a statement that runs at the end of this time is answered first.
REVOCATION_GRACE_SECONDS = 2.0


class Frontend:
    """Accepts caller connections and runs their statements through the session service.

    :param address: "ip:port" to listen on.
    """

    def __init__(self, address: str, service: SessionService) -> None:
        self._host, self._port = parse_address(address)
        self._service = service
        self._server: asyncio.Server | None = None
        self._connections: set[_CallerConnection] = set()
        self._is_leaving = False
        service.watch_revocations(self.close_revoked)

    @property
    def open_sessions(self) -> int:
        """Number of open caller connections, including those still in the startup exchange."""
        return len(self._connections)

    async def start(self) -> None:
        """Start listening.

        :raises OSError: the address is in use.
        """
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port, limit=wire.TEXT_BYTES, backlog=LISTEN_BACKLOG
        )

    def close_when_idle(self) -> None:
        """Close every session as soon as it is idle outside a transaction."""
        self._is_leaving = True
        for connection in list(self._connections):
            connection.close_when_idle()

    def close_idle(self) -> None:
        """Close the sessions that are idle outside a transaction; callers reconnect elsewhere."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def close_revoked(self) -> int:
        """End the sessions that the configuration in force excludes; return their number.

        Idle ones are closed now, open transactions have ``REVOCATION_GRACE_SECONDS`` to end.
        """
        revoked = [connection for connection in self._connections if connection.is_revoked]
        for connection in revoked:
            connection.close_when_idle()
        if revoked:
            loop = asyncio.get_running_loop()
            loop.call_later(REVOCATION_GRACE_SECONDS, self._end_revoked, revoked)
        return len(revoked)

    def _end_revoked(self, connections: list[_CallerConnection]) -> None:
        for connection in connections:
            if connection in self._connections and connection.is_revoked:
                connection.end("the key of the session was revoked")

    def end_sessions(self) -> None:
        """Close every session after its statement in progress, and roll back its transaction."""
        for connection in list(self._connections):
            connection.end("the instance stops")

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _CallerConnection(reader, writer, self._service)
        self._connections.add(connection)
        if self._is_leaving:
            connection.close_when_idle()
        try:
            await connection.run()
        except (
            OSError,
            ValueError,
            TimeoutError,
            asyncio.LimitOverrunError,
            wire.ProtocolError,
        ) as error:
            logger.debug("closing a caller connection after an error: %r", error)
        finally:
            self._connections.discard(connection)
            writer.close()


class _CallerConnection:
    """Connection of a caller, whose statements are served one after the other.

    Only the task in ``run`` executes statements and rolls back, so that no statement reaches a
    target between the rollback of its transaction and the end of the session. The other methods
    tell that task what to do.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, service: SessionService
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._service = service
        self._session: Session | None = None
        self._is_busy = False
        self._is_leaving = False
        self._end_reason = ""
        self._wait_limit: asyncio.Timeout | None = None

    @property
    def is_revoked(self) -> bool:
        """Tell whether the configuration in force excludes the session."""
        return self._session is not None and self._session.is_revoked

    async def run(self) -> None:
        """Serve the connection until either side closes it."""
        self._session = await self._open()
        if self._session is None:
            return
        self._writer.write(wire.format_ready(SessionState.IDLE, None))
        try:
            await self._serve_statements()
        finally:
            # No statement is accepted that would wait for the rollback in vain.
            self.close()
            await self._service.abort(self._session, self._end_reason or "the caller left")
            await self._session.close()

    async def _open(self) -> Session | None:
        """Open the session; the key does not outlive this call."""
        async with asyncio.timeout(STARTUP_TIMEOUT_SECONDS):
            line = await self._read_message()
        if not line:
            return None
        startup = wire.parse_startup(line)
        session = await self._service.open(startup.database, startup.key)
        if not isinstance(session, Failure):
            return session
        is_key = session is Failure.UNAUTHORIZED
        text = "the key is not known" if is_key else startup.database
        self._writer.write(wire.format_error(session, text))
        await self._writer.drain()
        return None

    def close_when_idle(self) -> None:
        """Close the connection as soon as it is idle outside a transaction."""
        self._is_leaving = True
        self.close_if_idle()

    def close_if_idle(self) -> None:
        """Close the connection if neither a statement nor a transaction is in progress.

        A statement that was received before is read first, so that it is not cut off.
        """
        asyncio.get_running_loop().call_soon(self._close_if_still_idle)

    def _close_if_still_idle(self) -> None:
        if self._is_idle():
            self.close()

    def end(self, reason: str) -> None:
        """Close the connection after the statement in progress, and roll back its transaction."""
        if self._end_reason:
            return
        self._end_reason = reason
        if self._wait_limit is None:
            self.close_when_idle()
        elif not self._wait_limit.expired():
            self._wait_limit.reschedule(asyncio.get_running_loop().time())

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def _serve_statements(self) -> None:
        while not self._is_finished():
            line = await self._read_statement()
            if not line:
                return
            self._is_busy = True
            reply = await self._execute_line(line)
            if reply is None:
                return
            self._writer.write(wire.format_reply(reply))
            await self._writer.drain()
            self._is_busy = False

    def _is_finished(self) -> bool:
        if self._end_reason or self._session.is_refused:
            return True
        return self._is_leaving and self._is_idle()

    async def _read_message(self) -> bytes:
        """Return the next message; empty at the end of the connection, also in mid-message.

        :raises asyncio.LimitOverrunError: the message is too long.
        """
        try:
            return await self._reader.readuntil(wire.MESSAGE_END)
        except asyncio.IncompleteReadError:
            return b""

    async def _read_statement(self) -> bytes:
        """Return the next message; empty at the end of the connection or of the session."""
        state = self._session.state
        if state is SessionState.IDLE:
            return await self._read_message()
        is_open = state is SessionState.IN_TRANSACTION
        line = await self._read_line_within(
            self._service.transaction_idle_seconds if is_open else None
        )
        if line is not None or self._end_reason:
            return line or b""
        self._is_busy = True
        await self._service.abort(self._session, "no statement within the idle limit")
        self._is_busy = False
        return b"" if self._end_reason else await self._read_line_within(None) or b""

    async def _read_line_within(self, seconds: float | None) -> bytes | None:
        """Return the next line, or ``None`` when the limit passes or the session ends before."""
        try:
            async with asyncio.timeout(seconds) as self._wait_limit:
                return await self._read_message()
        except TimeoutError:
            pass
        finally:
            self._wait_limit = None
        return await self._read_received_line()

    async def _read_received_line(self) -> bytes | None:
        """Return a line that has already arrived, if any."""
        try:
            async with asyncio.timeout(0):
                return await self._read_message()
        except TimeoutError:
            return None

    async def _execute_line(self, line: bytes) -> Reply | None:
        try:
            statement = wire.parse_statement(line)
        except wire.ProtocolError as error:
            return Reply.failed(Failure.MALFORMED, str(error), self._session.state)
        if statement is None:
            return None
        if self._end_reason:
            # No commit of the transaction is sent any more, so that nothing of it is kept.
            return Reply.failed(Failure.ABORTED, self._end_reason, SessionState.IDLE)
        return await self._service.execute(self._session, statement)

    def _is_idle(self) -> bool:
        session = self._session
        return session is not None and session.state is SessionState.IDLE and not self._is_busy
