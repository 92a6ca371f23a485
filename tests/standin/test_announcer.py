"""Tests of announcements."""

from __future__ import annotations

import asyncio

import grpc

from hibiscuspoint.standin import announcer as announcer_module
from hibiscuspoint.standin.announcer import Announcer
from hibiscuspoint.standin.config import StandinConfig
from hibiscuspoint.standin.engine import Engine
from hibiscuspoint.standin.faults import Faults
from hibiscuspoint.wire import peer_pb2, peer_pb2_grpc, target_pb2
from tests.standin.harness import until


class Receiver(peer_pb2_grpc.ControlServicer):
    """Records announcements."""

    def __init__(self, accepts: bool) -> None:
        self.accepts = accepts
        self.received = []
        self._server = grpc.aio.server()

    async def start(self) -> str:
        peer_pb2_grpc.add_ControlServicer_to_server(self, self._server)
        port = self._server.add_insecure_port("127.0.0.1:0")
        await self._server.start()
        return f"127.0.0.1:{port}"

    async def stop(self) -> None:
        await self._server.stop(0)

    async def Announce(self, request, context):
        self.received.append(request)
        return peer_pb2.AnnounceReply(accepted=self.accepts)


def test_announcer_finds_an_instance_and_reports_changes_at_once(tmp_path, monkeypatch):
    """Without announcements at the next instance, control would take the target for dead (D4)."""

    # With this interval only an immediate announcement can arrive.
    monkeypatch.setattr(announcer_module, "INTERVAL_S", 3600.0)

    async def scenario():
        receivers = [Receiver(False), Receiver(True), Receiver(True)]
        addresses = [await receiver.start() for receiver in receivers]
        engine, faults = Engine(tmp_path), Faults()
        config = StandinConfig("a", "g", "z", "", tmp_path, announce=tuple(addresses), slots=3)
        announcer = Announcer(config, engine, faults, address="127.0.0.1:9", incarnation=5)
        task = asyncio.create_task(announcer.run())
        _, second, third = receivers
        await until(lambda: second.received)
        assert not third.received
        first = second.received[0]
        assert (first.target, first.address) == ("a", "127.0.0.1:9")
        assert (first.slots, first.incarnation) == (3, 5)
        engine.promote(4)
        await until(lambda: second.received[-1].primary and second.received[-1].term == 4)
        faults.update(target_pb2.FaultSettings(leaving=True))
        await until(lambda: second.received[-1].leaving)
        await second.stop()
        monkeypatch.setattr(announcer_module, "INTERVAL_S", 0.01)
        engine.seal(6)
        await until(lambda: len(third.received) >= 3)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.gather(*(receiver.stop() for receiver in receivers))
        engine.close()

    asyncio.run(scenario())
