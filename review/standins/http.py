"""Small HTTP client and server for the calls between the system, databases and platform."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

__all__ = ["Handler", "call", "serve"]

Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[tuple[int, bytes]]]


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    first = (await reader.readline()).decode().strip()
    if not first:
        raise ConnectionError("the connection ended")
    headers: dict[str, str] = {}
    while line := (await reader.readline()).decode().strip():
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


async def call(
    address: str, method: str, path: str, fields: object = None, timeout: float = 1.0
) -> tuple[int, bytes]:
    """Make one call, following two redirects, and return the status and the body.

    :raises OSError: there is no answer in time.
    """
    for _ in range(3):
        async with asyncio.timeout(timeout):
            status, headers, body = await _call_once(address, method, path, fields)
        if status != 307:
            break
        address, _, path = headers["location"].removeprefix("http://").partition("/")
        path = "/" + path
    return status, body


async def _call_once(
    address: str, method: str, path: str, fields: object
) -> tuple[int, dict[str, str], bytes]:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
    body = b"" if fields is None else json.dumps(fields).encode()
    head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
    head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    try:
        writer.write(head.encode() + body)
        first, headers, answer = await _read_message(reader)
        return int(first.split()[1]), headers, answer
    except (asyncio.IncompleteReadError, IndexError, ValueError) as error:
        raise ConnectionError(str(error)) from error
    finally:
        writer.close()


async def serve(address: str, handle: Handler) -> asyncio.Server:
    """Serve calls; each connection may carry several."""

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers, body = await _read_message(reader)
                method, path, _ = first.split(" ", 2)
                status, answer = await handle(method, path, headers, body)
                head = f"HTTP/1.1 {status} -\r\nContent-Length: {len(answer)}\r\n\r\n"
                writer.write(head.encode() + answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    host, _, port = address.rpartition(":")
    return await asyncio.start_server(run, host, int(port))
