"""Tests of control calls to targets."""

from __future__ import annotations

import asyncio

import grpc
import pytest

from hibiscuspoint.drivers import AdminError
from hibiscuspoint.drivers.admin import AdminClient
from hibiscuspoint.wire import target_pb2, target_pb2_grpc

TIMEOUT_S = 30.0


class BreakingTarget(target_pb2_grpc.TargetServicer):
    """Ends the given number of calls as a broken connection does, and seals after that."""

    def __init__(self, broken_calls: int) -> None:
        self._broken_calls = broken_calls

    async def Seal(self, request, context):
        if self._broken_calls:
            self._broken_calls -= 1
            await context.abort(grpc.StatusCode.UNAVAILABLE, "Socket closed")
        return target_pb2.SealReply(sealed=True, sealed_term=request.term)


def seal(target: BreakingTarget) -> target_pb2.SealReply:
    """Seal a target over the network."""

    async def scenario():
        server = grpc.aio.server()
        target_pb2_grpc.add_TargetServicer_to_server(target, server)
        address = f"127.0.0.1:{server.add_insecure_port('127.0.0.1:0')}"
        await server.start()
        admin = AdminClient()
        try:
            return await admin.seal(address, 7, timeout=TIMEOUT_S)
        finally:
            await admin.close()
            await server.stop(0)

    return asyncio.run(scenario())


def test_broken_connection_is_not_a_refused_address():
    """One broken connection taken for a dead process replaces a healthy primary (D4)."""
    assert seal(BreakingTarget(broken_calls=1)).sealed_term == 7


def test_address_that_breaks_new_connections_is_refused():
    """A dead primary must be found without waiting for its silence (D4)."""
    with pytest.raises(AdminError) as refused:
        seal(BreakingTarget(broken_calls=2))
    assert refused.value.is_refused
