"""One HTTP port."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from hibiscuspoint.components.http_connection import HttpConnection
from hibiscuspoint.util.address import parse_address

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hibiscuspoint.components.http_messages import HttpRoute

__all__ = ["HttpPort"]

logger = logging.getLogger(__name__)

#: Greatest size of a request body in bytes, unless the port states another one.
DEFAULT_BODY_BYTES = 1_048_576

#: Seconds that requests in progress may take when the port stops.
STOP_GRACE_SECONDS = 1.0


class HttpPort:
    """Serves routes on one address.

    :param address: "ip:port".
    :param body_bytes: greatest size of a request body.
    """

    def __init__(
        self, address: str, routes: Iterable[HttpRoute], body_bytes: int = DEFAULT_BODY_BYTES
    ) -> None:
        self._host, self._port = parse_address(address)
        self._routes = list(routes)
        self._body_bytes = body_bytes
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.Task, HttpConnection] = {}

    @property
    def port(self) -> int:
        """Return the port number."""
        return self._port

    async def start(self) -> None:
        """Listen.

        :raises OSError: the address is in use.
        """
        self._server = await asyncio.start_server(
            self._serve_connection, self._host, self._port, limit=self._body_bytes
        )

    async def stop(self) -> None:
        """Stop listening, answer the requests in progress and close all connections."""
        if self._server is None:
            return
        self._server.close()
        for connection in self._connections.values():
            connection.stop()
        tasks = list(self._connections)
        if tasks:
            _, late = await asyncio.wait(tasks, timeout=STOP_GRACE_SECONDS)
            for task in late:
                task.cancel()
            await asyncio.gather(*late, return_exceptions=True)

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        connection = HttpConnection(self._routes, self._body_bytes, reader, writer)
        self._connections[task] = connection
        try:
            await connection.run()
        except asyncio.CancelledError:
            # The stop of the port ends late requests; the server would log the cancellation.
            logger.warning("HTTP request cut off by the stop of port %d", self._port)
        finally:
            del self._connections[task]
