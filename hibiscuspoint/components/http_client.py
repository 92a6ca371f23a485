"""One HTTP request to another system."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import h11

from hibiscuspoint.util.address import parse_address

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["HttpClientError", "post"]

#: Bytes read from the socket at a time.
READ_BYTES = 65_536


class HttpClientError(Exception):
    """The answer is no HTTP response, or the connection ended before it."""


async def post(
    address: str, path: str, body: bytes, headers: Iterable[tuple[str, str]], timeout: float
) -> int:
    """Send a POST request on a connection of its own and return the status of the response.

    :param address: "ip:port" of the server.
    :param timeout: time limit in seconds for the whole request.
    :raises HttpClientError: the server did not answer with a response.
    :raises OSError: the connection could not be opened or was lost; includes ``TimeoutError``.
    """
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(*parse_address(address))
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
            writer.write(b"".join(protocol.send(part) for part in parts))
            return await _read_status(protocol, reader)
        except h11.ProtocolError as error:
            raise HttpClientError(str(error)) from error
        finally:
            writer.close()


async def _read_status(protocol: h11.Connection, reader: asyncio.StreamReader) -> int:
    while True:
        event = protocol.next_event()
        if isinstance(event, h11.Response):
            return event.status_code
        if isinstance(event, h11.ConnectionClosed):
            raise HttpClientError("connection closed before the response")
        if event is h11.NEED_DATA:
            protocol.receive_data(await reader.read(READ_BYTES))
