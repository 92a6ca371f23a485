"""The port on which callers of the platform open sessions."""

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

#: Seconds within which a new connection must send its first message.
STARTUP_SECONDS = 10.0

#: New connections that the kernel keeps until they are accepted.
BACKLOG = 512


class Frontend:
    """Accepts connections and hands their statements to the sessions.

    :param address: "ip:port".
    """

    def __init__(self, address: str, service: SessionService) -> None:
        self._host, self._port = parse_address(address)
        self._service = service
        self._server: asyncio.Server | None = None
        self._connections: set[_CallerConnection] = set()
        self._is_leaving = False

    @property
    def open_sessions(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    async def start(self) -> None:
        """Listen.

        :raises OSError: the address is in use.
        """
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port, limit=wire.LINE_BYTES, backlog=BACKLOG
        )

    def leave(self) -> None:
        """Close every session as soon as it is idle outside a transaction."""
        self._is_leaving = True
        for connection in list(self._connections):
            connection.leave()

    def close_idle(self) -> None:
        """Close the sessions that are idle outside a transaction, so that they go elsewhere."""
        for connection in list(self._connections):
            connection.close_if_idle()

    async def abort_transactions(self) -> None:
        """Roll back the open transactions and close their sessions."""
        await asyncio.gather(
            *(connection.abort("the instance stops") for connection in list(self._connections))
        )

    async def stop(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _CallerConnection(reader, writer, self._service)
        self._connections.add(connection)
        if self._is_leaving:
            connection.leave()
        try:
            await connection.run()
        except (OSError, ValueError, TimeoutError, wire.ProtocolError) as error:
            logger.debug("a caller's connection ended: %r", error)
        finally:
            self._connections.discard(connection)
            writer.close()


class _CallerConnection:
    """One caller: reads a statement, answers it, reads the next."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, service: SessionService
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._service = service
        self._session: Session | None = None
        self._is_busy = False
        self._is_leaving = False

    async def run(self) -> None:
        """Serve the connection until one side ends it."""
        async with asyncio.timeout(STARTUP_SECONDS):
            line = await self._reader.readline()
        if not line:
            return
        startup = wire.parse_startup(line)
        session = await self._service.open(startup.database)
        if isinstance(session, Failure):
            self._writer.write(wire.format_error(session, startup.database))
            await self._writer.drain()
            return
        self._session = session
        self._writer.write(wire.format_ready(SessionState.IDLE, None))
        try:
            await self._serve_statements()
        finally:
            await self._service.abort(self._session, "the caller left")
            await self._session.close()

    def leave(self) -> None:
        """Close the connection now if it is idle, else after the present work."""
        self._is_leaving = True
        self.close_if_idle()

    def close_if_idle(self) -> None:
        """Close the connection if no statement and no transaction is in progress."""
        if self._may_leave():
            self.close()

    async def abort(self, reason: str) -> None:
        """Roll back an open transaction and close the connection."""
        if self._session is not None and not self._is_busy:
            await self._service.abort(self._session, reason)
            self.close()

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def _serve_statements(self) -> None:
        while not (self._is_leaving and self._may_leave()):
            line = await self._next_line()
            if not line:
                return
            self._is_busy = True
            reply = await self._answer(line)
            if reply is None:
                return
            self._writer.write(wire.format_reply(reply))
            await self._writer.drain()
            self._is_busy = False

    async def _next_line(self) -> bytes:
        session = self._session
        if session.state is not SessionState.IN_TRANSACTION:
            return await self._reader.readline()
        try:
            async with asyncio.timeout(self._service.transaction_idle_seconds):
                return await self._reader.readline()
        except TimeoutError:
            await self._service.abort(session, "no statement within the idle limit")
            return await self._reader.readline()

    async def _answer(self, line: bytes) -> Reply | None:
        try:
            statement = wire.parse_statement(line)
        except wire.ProtocolError as error:
            return Reply.failed(Failure.MALFORMED, str(error), self._session.state)
        if statement is None:
            return None
        return await self._service.execute(self._session, statement)

    def _may_leave(self) -> bool:
        session = self._session
        return session is not None and session.state is SessionState.IDLE and not self._is_busy
