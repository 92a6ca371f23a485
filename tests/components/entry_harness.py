"""An entry behind a real gRPC server, with a fake holder and router."""

from __future__ import annotations

import socket
import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import grpc
import tomli_w

from hibiscuspoint.components.caller_service import CallerService
from hibiscuspoint.components.entry import Entry
from hibiscuspoint.components.entry_state import EntryState
from hibiscuspoint.components.holder import GroupResult
from hibiscuspoint.components.runtime import Runtime
from hibiscuspoint.components.transactions import TransactionStreams
from hibiscuspoint.core.entry.drain import DrainState
from hibiscuspoint.core.entry.session import TokenCodec
from hibiscuspoint.ids import InstanceId, TargetId
from hibiscuspoint.security import Transport
from hibiscuspoint.settings import LimitSettings, TlsMode
from hibiscuspoint.telemetry import Metrics
from hibiscuspoint.wire import caller_pb2_grpc, peer_pb2
from hibiscuspoint.wire.packing import pack
from tests.builders import environment

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = ["GROUP", "EntryHarness"]

GROUP = "ledger"


class _Clock:
    def monotonic(self) -> float:
        return time.monotonic()


class _Transaction:
    """Fake of an open transaction at a holder."""

    def __init__(self, holders: _Holders) -> None:
        self._holders = holders
        self.is_open = True

    async def run(self, statements: tuple) -> GroupResult:
        return self._holders.answer()

    async def commit(self) -> GroupResult:
        self.is_open = False
        return self._holders.answer()

    roll_back = commit

    def close(self) -> None:
        self.is_open = False


class _Holders:
    """Fake of both the router and the local holder; counts the statements that reach it."""

    instance = InstanceId("ba-1")

    def __init__(self) -> None:
        self.call_count = 0
        #: Raised instead of returning ``result``.
        self.error: Exception | None = None
        self.result = GroupResult(served_by=TargetId("ledger-1"))

    def answer(self) -> GroupResult:
        self.call_count += 1
        if self.error is not None:
            raise self.error
        return self.result

    def candidates(self, request: Any) -> list[tuple[InstanceId, str]]:
        return [(self.instance, "")]

    async def execute(self, request: Any) -> GroupResult:
        return self.answer()

    async def begin(self, request: Any) -> _Transaction:
        return _Transaction(self)


class EntryHarness:
    """An entry that is ready to serve.

    :param limits: values of ``LimitSettings``.
    """

    def __init__(self, **limits: Any) -> None:
        self.metrics = Metrics()
        self.holders = _Holders()
        settings = LimitSettings(**limits)
        clock, state, runtime = _Clock(), EntryState("trial"), Runtime()
        update = peer_pb2.ControlUpdate(
            control_term=1,
            document_number=1,
            packed_document=pack(tomli_w.dumps(environment(group=[{"name": GROUP}]))),
            echo_sent_at_ns=time.monotonic_ns(),
        )
        assert state.accept_update(update)
        codec = TokenCodec("trial", [bytes(32)])
        parts = (settings, clock, self.metrics)
        entry = Entry(state, self.holders, self.holders, codec, DrainState(), *parts)
        entry.register(runtime)
        streams = TransactionStreams(entry, self.holders, self.holders, *parts)
        self._service = CallerService(runtime, streams)
        self._transport = Transport(TlsMode.PLAIN_TEXT, None, settings.message_bytes)

    @asynccontextmanager
    async def serve(self) -> AsyncIterator[caller_pb2_grpc.CallerStub]:
        """Serve callers, and yield a stub that enforces no message limits."""
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{probe.getsockname()[1]}"
        server = grpc.aio.server(options=self._transport.server_options)
        caller_pb2_grpc.add_CallerServicer_to_server(self._service, server)
        self._transport.bind(server, address)
        await server.start()
        try:
            async with grpc.aio.insecure_channel(address) as channel:
                yield caller_pb2_grpc.CallerStub(channel)
        finally:
            await server.stop(0)

    def value(self, name: str, **labels: str) -> float:
        """Return the value of a metric, 0 when it has no sample."""
        return self.metrics.registry.get_sample_value(f"hibiscuspoint_{name}", labels) or 0.0
