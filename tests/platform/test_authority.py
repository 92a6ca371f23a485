"""What an answer to a promotion request means."""

from __future__ import annotations

import asyncio

import pytest

from hibiscuspoint.core.ports import PromotionOutcome
from hibiscuspoint.ids import GroupId, TargetId
from hibiscuspoint.platform.authority import PlatformAuthority


async def _promote(answer: bytes) -> PromotionOutcome:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"}")
        writer.write(answer)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    authority = PlatformAuthority(f"{host}:{port}", "instance")
    try:
        return await authority.promote(GroupId("g"), TargetId("t"), 1, 1.0, lambda seconds: True)
    finally:
        server.close()


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", PromotionOutcome.ACCEPTED),
        (b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n", PromotionOutcome.REFUSED),
        (b"HTTP/1.1 307 Moved\r\nLocation: http://127.0.0.1/\r\n\r\n", PromotionOutcome.UNKNOWN),
        (b"HTTP/1.1 429 Too Many Requests\r\n\r\n", PromotionOutcome.UNKNOWN),
        (b"HTTP/1.1 200 OK\r\nContent-Le", PromotionOutcome.UNKNOWN),
        (b"ROW primary\r\nREADY I -\r\n", PromotionOutcome.UNKNOWN),
    ],
)
def test_only_a_whole_answer_that_says_so_accepts_a_promotion(answer, outcome):
    """Guards against a promotion that is waited for although nobody received the request."""
    assert asyncio.run(_promote(answer)) is outcome
