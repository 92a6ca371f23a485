"""Tests of the writes on one connection."""

from __future__ import annotations

import asyncio

import grpc

from hibiscuspoint.drivers.connection import StandinConnection
from hibiscuspoint.drivers.errors import ConnectionLost
from hibiscuspoint.wire import target_pb2


class _Channel:
    async def close(self):
        pass


class _SlowCall:
    """A stream whose writes take a while; like gRPC, it fails one that overlaps another."""

    def __init__(self):
        self.written = []
        self._is_writing = False
        self._is_cancelled = asyncio.Event()

    def done(self):
        return False

    def cancel(self):
        self._is_cancelled.set()

    async def read(self):
        await self._is_cancelled.wait()
        return grpc.aio.EOF

    async def write(self, request):
        assert not self._is_writing, "a second write started before the first ended"
        self._is_writing = True
        await asyncio.sleep(0.05)
        self._is_writing = False
        self.written.append(request.WhichOneof("body"))


def test_request_waits_for_a_ping_that_is_being_written():
    """Guards against a request that is written during a ping, for which gRPC fails the call.

    It happened on a busy machine, where the write of a ping took long.
    """

    async def scenario():
        call = _SlowCall()
        connection = StandinConnection(
            _Channel(), call, 1, ping_delay_seconds=5.0, silence_timeout_seconds=5.0
        )
        connection._send_ping()
        await asyncio.sleep(0)
        try:
            await connection.run(target_pb2.Run(), 0.3)
        except ConnectionLost:
            pass
        return call.written

    assert asyncio.run(scenario()) == ["ping", "run"]
