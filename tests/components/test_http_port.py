"""Tests of the HTTP port over real sockets."""

from __future__ import annotations

import asyncio
import logging
from contextlib import asynccontextmanager

import aiohttp
import pytest

from hibiscuspoint.components.http_client import HttpClientError, post
from hibiscuspoint.components.http_messages import HttpResponse, HttpRoute, json_response
from hibiscuspoint.components.http_port import HttpPort
from hibiscuspoint.load.ports import PortAllocator

BODY_BYTES = 1_000


@pytest.mark.parametrize(
    ("segment", "name"),
    [("a%20b%2Fc%0D", "a b/c\r"), ("%C3%A9", "é"), ("%FF", "\udcff"), ("%FE", "\udcfe")],
)
def test_names_in_paths_stay_different(segment, name):
    """Guards against a name with bytes that are no text that is taken for another name."""
    route = HttpRoute("POST", "/items/{item}", None)
    assert route.match(f"/items/{segment}") == {"item": name}


class Handlers:
    """Routes of the port under test."""

    def __init__(self) -> None:
        self.entered = asyncio.Event()
        self.release = asyncio.Event()
        self.routes = [
            HttpRoute("GET", "/text", self._text),
            HttpRoute("POST", "/items/{item}", self._item),
            HttpRoute("POST", "/slow", self._slow),
            HttpRoute("GET", "/broken", self._broken),
        ]

    async def _text(self, request):
        return HttpResponse(body=b"hello")

    async def _item(self, request):
        return json_response({"item": request.arguments["item"], "bytes": len(request.body)})

    async def _slow(self, request):
        self.entered.set()
        await self.release.wait()
        return HttpResponse(body=b"late")

    async def _broken(self, request):
        raise ValueError("broken handler")


@asynccontextmanager
async def serving():
    address = PortAllocator().address()
    handlers = Handlers()
    port = HttpPort(address, handlers.routes, BODY_BYTES)
    await port.start()
    try:
        yield address, handlers, port
    finally:
        await port.stop()


async def exchange(address: str, data: bytes) -> bytes:
    """Send bytes and return everything that the port answers until it closes."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    writer.write_eof()
    try:
        return await reader.read()
    finally:
        writer.close()


def test_requests_of_one_connection_are_answered_in_turn():
    async def run():
        async with serving() as (address, _, _), aiohttp.ClientSession() as session:
            async with session.get(f"http://{address}/text?x=1") as response:
                assert (response.status, await response.text()) == (200, "hello")
            async with session.post(f"http://{address}/items/a%20b", data=b"12345") as response:
                assert await response.json() == {"item": "a b", "bytes": 5}
            async with session.get(f"http://{address}/items/a") as response:
                assert response.status == 405
            async with session.get(f"http://{address}/other") as response:
                assert response.status == 404
            async with session.head(f"http://{address}/text") as response:
                assert (response.status, response.headers["Content-Length"]) == (200, "5")

    asyncio.run(run())


def test_chunked_body_after_expect_is_read():
    """Guards against operators whose client waits for 100 Continue before a large body."""

    async def chunks():
        yield b"123"
        yield b"4567"

    async def run():
        async with serving() as (address, _, _), aiohttp.ClientSession() as session:
            url = f"http://{address}/items/a"
            async with session.post(url, data=chunks(), expect100=True) as response:
                assert await response.json() == {"item": "a", "bytes": 7}

    asyncio.run(run())


@pytest.mark.parametrize("length", [BODY_BYTES, BODY_BYTES + 1])
def test_large_bodies_are_refused(length):
    async def run():
        async with serving() as (address, _, _), aiohttp.ClientSession() as session:
            url = f"http://{address}/items/a"
            async with session.post(url, data=bytes(length)) as response:
                return response.status

    assert asyncio.run(run()) == (200 if length == BODY_BYTES else 413)


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\xff\x00\xff\r\n\r\n",
        b"GET /text SPDY/3\r\n\r\n",
        b"GET /text HTTP/1.1\r\nno colon\r\n\r\n",
        b"POST /items/a HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n",
        b"POST /items/a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n12",
        b"GET /" + b"a" * 70_000,
        b"POST /items/a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ],
)
def test_malformed_requests_get_an_error_and_leave_the_port_up(data):
    """Guards against one malformed message that takes the port or the process down."""

    async def run():
        async with serving() as (address, _, _):
            answer = await exchange(address, data)
            good = await exchange(address, b"GET /text HTTP/1.1\r\nHost: a\r\n\r\n")
            return answer, good

    answer, good = asyncio.run(run())
    assert answer.startswith(b"HTTP/1.1 4")
    assert good.startswith(b"HTTP/1.1 200") and good.endswith(b"hello")


def test_error_of_a_handler_is_answered_and_logged(caplog):
    """Guards against an unexpected error that ends a connection without an answer."""

    async def run():
        async with serving() as (address, _, _), aiohttp.ClientSession() as session:
            async with session.get(f"http://{address}/broken") as response:
                assert response.status == 500
            async with session.get(f"http://{address}/text") as response:
                assert response.status == 200

    with caplog.at_level(logging.ERROR):
        asyncio.run(run())
    assert any("/broken failed" in record.getMessage() for record in caplog.records)


def test_request_in_progress_is_answered_when_the_port_stops():
    """Guards against a planned stop that cuts off a request that had been accepted."""

    async def run():
        async with serving() as (address, handlers, port), aiohttp.ClientSession() as session:
            async with session.get(f"http://{address}/text"):
                pass
            request = asyncio.ensure_future(session.post(f"http://{address}/slow"))
            await handlers.entered.wait()
            stop = asyncio.ensure_future(port.stop())
            await asyncio.sleep(0)
            handlers.release.set()
            response = await request
            assert (response.status, await response.text()) == (200, "late")
            assert response.headers["Connection"] == "close"
            await stop

    asyncio.run(run())


def test_request_that_arrived_just_before_the_stop_is_answered():
    """Guards against a request that is in the receive buffer when its connection is closed."""

    async def run():
        async with serving() as (address, _, port):
            host, number = address.split(":")
            reader, writer = await asyncio.open_connection(host, int(number))
            writer.write(b"GET /text HTTP/1.1\r\nHost: a\r\n\r\n")
            await reader.readuntil(b"hello")
            writer.write(b"GET /text HTTP/1.1\r\nHost: a\r\n\r\n")
            await asyncio.sleep(0)
            (connection,) = port._connections.values()
            while not connection._reader._buffer:  # noqa: ASYNC110
                await asyncio.sleep(0)
            await port.stop()
            answer = await reader.read()
            writer.close()
            return answer

    answer = asyncio.run(run())
    assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"hello")


def test_client_returns_the_status():
    async def run():
        async with serving() as (address, _, _):
            assert await post(address, "/items/a", b"x", [], timeout=5.0) == 200
            assert await post(address, "/other", b"x", [], timeout=5.0) == 404

    asyncio.run(run())


def test_client_reports_lost_answers():
    """Guards against a lost answer that is taken for a status."""

    async def run():
        async def close(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.close()

        async def keep_silent(reader, writer):
            await reader.read()
            writer.close()

        address = PortAllocator().address()
        host, number = address.split(":")
        server = await asyncio.start_server(close, host, int(number))
        with pytest.raises(HttpClientError):
            await post(address, "/promote", b"", [], timeout=5.0)
        server.close()
        await server.wait_closed()
        with pytest.raises(OSError):
            await post(address, "/promote", b"", [], timeout=5.0)
        server = await asyncio.start_server(keep_silent, host, int(number))
        with pytest.raises(TimeoutError):
            await post(address, "/promote", b"", [], timeout=0.05)
        server.close()

    asyncio.run(run())
