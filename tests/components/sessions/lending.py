"""Holders whose replies do not arrive as they were sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.components.sessions import ConnectionLending

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hibiscuspoint.wire import peer_pb2

__all__ = ["EarlierLending", "RepeatingLending"]


class _AlteredContext:
    """A gRPC context whose replies are altered."""

    def __init__(self, context, alter) -> None:
        self._context = context
        self._alter = alter

    def __getattr__(self, name):
        return getattr(self._context, name)

    async def write(self, reply: peer_pb2.BorrowReply) -> None:
        """Send what becomes of a reply."""
        for altered in self._alter(reply):
            await self._context.write(altered)


class EarlierLending(ConnectionLending):
    """Lends as an earlier version did, which knew no numbers."""

    async def Borrow(self, request_iterator, context) -> None:
        """Lend a connection."""
        await super().Borrow(request_iterator, _AlteredContext(context, self._alter))

    def _alter(self, reply: peer_pb2.BorrowReply) -> Iterator[peer_pb2.BorrowReply]:
        reply.ClearField("number")
        yield reply


class RepeatingLending(ConnectionLending):
    """Sends the reply to one request twice.

    :cvar repeated: number of the request.
    """

    repeated = 0

    async def Borrow(self, request_iterator, context) -> None:
        """Lend a connection."""
        await super().Borrow(request_iterator, _AlteredContext(context, self._repeat()))

    def _repeat(self):
        seen = 0

        def alter(reply: peer_pb2.BorrowReply) -> Iterator[peer_pb2.BorrowReply]:
            nonlocal seen
            seen += 1
            yield reply
            if seen == self.repeated:
                yield reply

        return alter
