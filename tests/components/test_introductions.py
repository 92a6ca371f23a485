"""Tests of the introductions of instances that only know seeds.

Pattern: five control instances introduce themselves to the seeds of hundreds of machines.
"""

from __future__ import annotations

import asyncio

from hibiscuspoint.components import introductions
from hibiscuspoint.components.introductions import Introductions
from hibiscuspoint.ids import InstanceId
from hibiscuspoint.wire import peer_pb2

LEADER = "10.0.0.1:7440"
SEED = "10.0.0.9:7440"


class _Leader:
    def __init__(self) -> None:
        self.known_leader = ""

    def introduction(self) -> peer_pb2.Introduction:
        """Return what this instance knows."""
        return peer_pb2.Introduction(leader=self.known_leader)

    def record_introduction(self, answer: peer_pb2.Introduction) -> None:
        """Take an answer."""


class _Channels:
    def get(self, address: str) -> str:
        """Return a channel."""
        return address


class _Setup:
    """Introductions of an instance whose calls are counted."""

    def __init__(self, monkeypatch, *, is_control: bool) -> None:
        self.calls = 0
        self.leader = _Leader()
        self.learned: list[str] = []
        setup = self

        class _Stub:
            def __init__(self, channel: str) -> None:
                pass

            async def Introduce(self, request, timeout: float) -> peer_pb2.Introduction:
                setup.calls += 1
                return peer_pb2.Introduction(leader=LEADER)

        monkeypatch.setattr(introductions.peer_pb2_grpc, "ControlStub", _Stub)
        for name in ("INTERVAL_SECONDS", "SETTLING_SECONDS"):
            monkeypatch.setattr(introductions, name, 0.01)
        monkeypatch.setattr(introductions, "SETTLED_INTERVAL_SECONDS", 1_000.0)
        self.introductions = Introductions(
            InstanceId("10.0.0.2:7440"),
            self.leader,
            _Channels(),
            lambda: (SEED,),
            lambda: is_control or not self.leader.known_leader,
            self.learned.append,
        )

    async def settle(self) -> int:
        """Return the number of calls once no more are made."""
        self.leader.known_leader = LEADER
        before = -1
        while before != self.calls:
            before = self.calls
            await asyncio.sleep(0.1)
        return self.calls


def test_control_instance_introduces_itself_seldom_once_nothing_changes(monkeypatch):
    """Guards against calls to the seeds five times a second from each control instance."""

    async def scenario():
        setup = _Setup(monkeypatch, is_control=True)
        setup.introductions.start()
        calls = await setup.settle()
        assert calls
        await setup.introductions.stop()

    asyncio.run(scenario())


def test_entry_that_loses_control_asks_the_seeds_at_once(monkeypatch):
    """Guards against an entry that looks for control only after the longer interval."""

    async def scenario():
        setup = _Setup(monkeypatch, is_control=False)
        setup.introductions.start()
        calls = await setup.settle()
        setup.leader.known_leader = ""
        setup.introductions.wake()
        while setup.calls == calls:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        assert LEADER in setup.learned
        await setup.introductions.stop()

    asyncio.run(scenario())
