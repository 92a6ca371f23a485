"""Options of TCP connections that bound how long sent bytes may be on their way."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND

if TYPE_CHECKING:
    import asyncio

__all__ = ["reset", "set_unacknowledged_limit"]

#: Value of SO_LINGER with which the kernel discards unsent bytes and resets the connection.
_LINGER_ZERO = struct.pack("ii", 1, 0)


def set_unacknowledged_limit(transport: asyncio.WriteTransport, seconds: float) -> None:
    """Let the kernel give up bytes that are not acknowledged in time, even if the process stops."""
    connection = transport.get_extra_info("socket")
    milliseconds = int(seconds * MILLISECONDS_PER_SECOND)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


def reset(transport: asyncio.WriteTransport) -> None:
    """Reset a connection, so that bytes that were not delivered yet never are."""
    if not transport.is_closing():
        connection = transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    transport.abort()
