"""One HTTP request to another system."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import h11

from hibiscuspoint.util.address import parse_address
from hibiscuspoint.util.tcp import reset, set_unacknowledged_limit

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ["HttpClientError", "post"]

#: Bytes read from the socket at a time.
READ_BYTES = 65_536


class HttpClientError(Exception):
    """The answer is no HTTP response, or the connection ended before it."""


async def post(
    address: str,
    path: str,
    body: bytes,
    headers: Iterable[tuple[str, str]],
    timeout: float,
    *,
    may_send: Callable[[], bool] = lambda: True,
    delivery_seconds: float | None = None,
) -> int:
    """Send a POST request on a connection of its own and return the status of the response.

    Without a response the connection is reset, so that the request does not arrive later.

    :param address: "ip:port" of the server.
    :param timeout: time limit in seconds for the whole request.
    :param may_send: tells, once the connection is open, whether the request may still be sent.
    :param delivery_seconds: time after which the kernel gives the request up, even if this process
        is stopped meanwhile.
    :raises HttpClientError: the server did not answer with a response, or nothing was sent.
    :raises OSError: the connection could not be opened or was lost; includes ``TimeoutError``.
    """
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(*parse_address(address))
        is_answered = False
        try:
            protocol = h11.Connection(h11.CLIENT)
            request = h11.Request(
                method="POST",
                target=path,
                headers=[
                    ("Host", address),
                    ("Content-Length", str(len(body))),
                    ("Connection", "close"),
                    *headers,
                ],
            )
            parts = [request, h11.Data(data=body), h11.EndOfMessage()]
            message = b"".join(protocol.send(part) for part in parts)
            if delivery_seconds is not None:
                set_unacknowledged_limit(writer.transport, delivery_seconds)
            if not may_send():
                raise HttpClientError("the request may not be sent any more")
            writer.write(message)
            status = await _read_status(protocol, reader)
            is_answered = True
            return status
        except h11.ProtocolError as error:
            raise HttpClientError(str(error)) from error
        finally:
            if is_answered:
                writer.close()
            else:
                reset(writer.transport)


async def _read_status(protocol: h11.Connection, reader: asyncio.StreamReader) -> int:
    while True:
        event = protocol.next_event()
        if isinstance(event, h11.Response):
            return event.status_code
        if isinstance(event, h11.ConnectionClosed):
            raise HttpClientError("connection closed before the response")
        if event is h11.NEED_DATA:
            protocol.receive_data(await reader.read(READ_BYTES))
