"""One connection of an HTTP port."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import h11

from hibiscuspoint.components.http_messages import (
    HttpRequest,
    HttpResponse,
    MethodNotAllowedError,
    RouteNotFoundError,
    find_route,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hibiscuspoint.components.http_messages import HttpRoute

__all__ = ["HttpConnection"]

logger = logging.getLogger(__name__)

#: Greatest size of the request line and the headers in bytes.
MAX_HEAD_BYTES = 16_384

#: Bytes read from the socket at a time.
READ_BYTES = 65_536

#: Time limit in seconds from one response to the end of the next request.
REQUEST_TIMEOUT_SECONDS = 75.0


class BodyTooLargeError(Exception):
    """The body of a request is larger than the port allows."""


class HttpConnection:
    """Answers the requests of one connection, one after the other.

    :param body_bytes: greatest size of a request body.
    """

    def __init__(
        self,
        routes: Sequence[HttpRoute],
        body_bytes: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._routes = routes
        self._body_bytes = body_bytes
        self._reader = reader
        self._writer = writer
        self._protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._is_stopping = False

    @property
    def is_idle(self) -> bool:
        """Return whether no part of a request has arrived that was not answered."""
        return self._protocol.their_state is h11.IDLE and not self._protocol.trailing_data[0]

    def stop(self) -> None:
        """Close the connection after the request in progress, or at once when there is none.

        A request that was received before is read first, so that it is not cut off.
        """
        self._is_stopping = True
        asyncio.get_running_loop().call_soon(self._close_if_idle)

    def _close_if_idle(self) -> None:
        if self.is_idle:
            self._writer.close()

    async def run(self) -> None:
        """Serve until either side closes the connection."""
        try:
            while await self._serve_request():
                self._protocol.start_next_cycle()
        except (TimeoutError, OSError, h11.LocalProtocolError):
            # The client has gone, or sent nothing for the time limit.
            logger.debug("HTTP connection ended without a request", exc_info=True)
        finally:
            self._writer.close()

    async def _serve_request(self) -> bool:
        """Answer one request and return whether another one may follow."""
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_SECONDS):
                request = await self._receive()
        except h11.RemoteProtocolError as error:
            logger.warning("malformed HTTP request: %s", error)
            await self._send(HttpResponse(error.error_status_hint), close=True)
            return False
        except BodyTooLargeError:
            await self._send(HttpResponse(413), close=True)
            return False
        if request is None:
            return False
        head, body = request
        response = await self._answer(head, body)
        await self._send(response, close=self._is_stopping, is_head=head.method == b"HEAD")
        return self._protocol.our_state is h11.DONE and self._protocol.their_state is h11.DONE

    async def _receive(self) -> tuple[h11.Request, bytes] | None:
        """Return the next request and its body; ``None`` when the client closed the connection.

        :raises h11.RemoteProtocolError: the bytes are no request.
        :raises BodyTooLargeError: the body is too large.
        """
        head, body = None, bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._body_bytes:
                    raise BodyTooLargeError
            elif isinstance(event, h11.EndOfMessage):
                return head, bytes(body)
            else:
                return None

    async def _next_event(self) -> h11.Event | type[h11.Sentinel]:
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._protocol.they_are_waiting_for_100_continue:
                self._writer.write(
                    self._protocol.send(h11.InformationalResponse(status_code=100, headers=[]))
                )
            self._protocol.receive_data(await self._reader.read(READ_BYTES))

    async def _answer(self, head: h11.Request, body: bytes) -> HttpResponse:
        method, target = head.method.decode("ascii"), head.target.decode("latin-1")
        try:
            route, arguments = find_route(self._routes, method, target)
        except RouteNotFoundError:
            return HttpResponse(404)
        except MethodNotAllowedError:
            return HttpResponse(405)
        try:
            return await route.handler(HttpRequest(method, target, arguments, body))
        except Exception:
            # An error in one request must not end the connection without an answer.
            logger.exception("handler of %s %s failed", method, route.pattern)
            return HttpResponse(500)

    async def _send(self, response: HttpResponse, *, close: bool, is_head: bool = False) -> None:
        if self._protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *response.headers,
        ]
        if close:
            headers.append(("Connection", "close"))
        parts = [
            h11.Response(status_code=response.status, headers=headers, reason=response.reason),
            h11.Data(data=b"" if is_head else response.body),
            h11.EndOfMessage(),
        ]
        self._writer.write(b"".join(self._protocol.send(part) or b"" for part in parts))
        await self._writer.drain()
