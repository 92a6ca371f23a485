"""The exchange of knowledge about control between instances that only know seeds."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import grpc

from hibiscuspoint.util.messages import decoded
from hibiscuspoint.util.tasks import spawn
from hibiscuspoint.wire import peer_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.components.leader_client import LeaderClient
    from hibiscuspoint.components.peers import PeerChannels
    from hibiscuspoint.ids import InstanceId

__all__ = ["Introductions"]

#: Seconds between two introductions to the seeds while control is looked for, or has just changed.
INTERVAL_SECONDS = 0.2

#: Seconds between two introductions of a control instance when nothing has changed, for a seed that
#: was started again.
SETTLED_INTERVAL_SECONDS = 1.0

#: Seconds after a change in which a control instance introduces itself at the shorter interval.
SETTLING_SECONDS = 5.0

#: Longest time in seconds to wait for the answer of a seed.
ANSWER_SECONDS = 0.4


class Introductions:
    """Introduces the control instances to the seeds, and this instance to control.

    Seeds may be instances without a disk. After a restart of all instances they know nothing, so
    that the control instances must tell them where control is.

    :param seeds: returns the present seeds.
    :param is_needed: tells whether this instance serves control or looks for it.
    :param on_learned: called with the leader that a seed named, or an empty text.
    """

    def __init__(
        self,
        instance: InstanceId,
        leader: LeaderClient,
        channels: PeerChannels,
        seeds: Callable[[], tuple[str, ...]],
        is_needed: Callable[[], bool],
        on_learned: Callable[[str], None],
    ) -> None:
        self._instance = instance
        self._leader = leader
        self._channels = channels
        self._seeds = seeds
        self._is_needed = is_needed
        self._on_learned = on_learned
        self._due = asyncio.Event()
        self._task: asyncio.Task | None = None

    def wake(self) -> None:
        """Introduce this instance now, as it has lost control."""
        self._due.set()

    def start(self) -> None:
        """Start to introduce."""
        self._task = spawn(self._run(), "introductions")

    async def stop(self) -> None:
        """Stop introducing."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        introduced: object = None
        changed_at = loop.time()
        while True:
            seeds = [seed for seed in self._seeds() if seed != self._instance]
            known = (seeds, self._leader.introduction())
            if known != introduced:
                introduced, changed_at = known, loop.time()
            if self._is_needed():
                await asyncio.gather(*map(self._introduce, seeds))
            is_settled = loop.time() - changed_at >= SETTLING_SECONDS
            has_leader = bool(self._leader.known_leader)
            interval = SETTLED_INTERVAL_SECONDS if is_settled and has_leader else INTERVAL_SECONDS
            await self._pause(interval)

    async def _pause(self, seconds: float) -> None:
        self._due.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._due.wait()
        except TimeoutError:
            return

    async def _introduce(self, seed: str) -> None:
        stub = peer_pb2_grpc.ControlStub(self._channels.get(seed))
        try:
            known = self._leader.introduction()
            answer = decoded(await stub.Introduce(known, timeout=ANSWER_SECONDS))
        except grpc.aio.AioRpcError:
            # The seed is down or cut off; it is asked again.
            return
        self._leader.record_introduction(answer)
        self._on_learned(answer.leader)
