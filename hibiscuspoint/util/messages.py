"""Messages as gRPC delivers them."""

from __future__ import annotations

from typing import TypeVar

import grpc

__all__ = ["decoded"]

T = TypeVar("T")


def decoded(message: T | None) -> T:
    """Return a message; gRPC gives ``None`` for one that it cannot decode.

    :raises grpc.aio.AioRpcError: the message cannot be decoded; a call that failed raises the same.
    """
    if message is not None:
        return message
    metadata = grpc.aio.Metadata()
    raise grpc.aio.AioRpcError(
        grpc.StatusCode.INTERNAL, metadata, metadata, details="a message cannot be decoded"
    )
