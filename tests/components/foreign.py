"""A gRPC server whose answers cannot be decoded."""

from __future__ import annotations

from collections import Counter
from contextlib import asynccontextmanager

import grpc

__all__ = ["ForeignService", "foreign_server"]

#: The tag of a field without its value.
MALFORMED = b"\x0a"


class ForeignService(grpc.GenericRpcHandler):
    """Answers each call with one malformed message and counts the calls by method."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()

    def service(self, details: grpc.HandlerCallDetails) -> grpc.RpcMethodHandler:
        """Return the handler of a method."""
        self.calls[details.method.rpartition("/")[2]] += 1
        return grpc.stream_stream_rpc_method_handler(self._answer)

    async def _answer(self, requests, context):
        async for _ in requests:
            yield MALFORMED
            return


@asynccontextmanager
async def foreign_server():
    """Yield the service and its address."""
    server = grpc.aio.server()
    service = ForeignService()
    server.add_generic_rpc_handlers([service])
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    try:
        yield service, f"127.0.0.1:{port}"
    finally:
        await server.stop(0)
