"""Time from the submission of a document until it is in force on all instances."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

import grpc
import grpc.aio

from benchmarks.common import median
from benchmarks.registry import BENCHMARKS, Figures, Options
from hibiscuspoint.errors import HibiscusError
from hibiscuspoint.load.operator_client import Operator
from hibiscuspoint.load.topology import Topology, wait_until

if TYPE_CHECKING:
    from hibiscuspoint.ids import InstanceId
    from hibiscuspoint.wire import peer_pb2

#: The resolution of the measured times in seconds.
POLL_INTERVAL_S = 0.02
TIMEOUT_S = 60.0
#: Time in which a submission reaches the leader, so that the kill hits it in progress.
SUBMISSION_TIME_S = 0.005


class Observer:
    """Polls which document each instance has in force."""

    def __init__(self, topology: Topology) -> None:
        self._topology = topology
        self._operators = {
            name: Operator(plan.address) for name, plan in topology.instances.items()
        }
        self._highest: dict[tuple[str, int], int] = {}
        self._polls: list[float] = []
        self.in_force_at: dict[int, float] = {}
        self.reverted = 0

    @property
    def poll_median_s(self) -> float:
        """Return the median duration of one poll, which is part of each measured time."""
        return median(self._polls)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            started = time.monotonic()
            status = await self._status()
            if status is not None:
                self._polls.append(time.monotonic() - started)
                self._note(status)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_for(self, number: int) -> float:
        """Return the time at which a document, or a later one, was in force everywhere."""

        async def is_in_force() -> bool:
            return number in self.in_force_at

        await wait_until(is_in_force, f"document {number} in force everywhere", TIMEOUT_S)
        return self.in_force_at[number]

    async def close(self) -> None:
        """Close the connections."""
        for operator in self._operators.values():
            await operator.close()

    async def _status(self) -> peer_pb2.StatusReply | None:
        for name, operator in self._operators.items():
            if self._topology.process(name).is_running:
                with contextlib.suppress(grpc.aio.AioRpcError, HibiscusError):
                    return await operator.status()
        return None

    def note_number(self, name: str, pid: int, number: int) -> None:
        """Count a reversal: a lower number at the same start of a process.

        An entry that has no document yet reports 0 and does not serve.
        """
        if number:
            highest = self._highest.get((name, pid), 0)
            self.reverted += number < highest
            self._highest[name, pid] = max(number, highest)

    def _note(self, status: peer_pb2.StatusReply) -> None:
        now = time.monotonic()
        running = {name for name in self._operators if self._topology.process(name).is_running}
        numbers = {
            item.instance: item.document_number
            for item in status.instances
            if item.instance in running
        }
        for name, number in numbers.items():
            self.note_number(name, self._topology.process(name).pid, number)
        if len(numbers) == len(running):
            for number in range(1, min(numbers.values()) + 1):
                self.in_force_at.setdefault(number, now)


class _Submitter:
    """Submits documents and measures until they are in force."""

    def __init__(self, topology: Topology, observer: Observer) -> None:
        self._topology = topology
        self._observer = observer

    async def _submit(self) -> tuple[int, float]:
        started = time.monotonic()
        # The timeout alternates, so that each document differs from the one before it.
        timeout_ms = 5_000 + self._topology.document_number % 2
        return await self._topology.submit(default_timeout_ms=timeout_ms), started

    async def single(self) -> float:
        """Submit one document and wait until it is in force."""
        number, started = await self._submit()
        return await self._observer.wait_for(number) - started

    async def in_a_row(self, count: int) -> list[float]:
        """Submit documents without waiting for each to be in force."""
        submissions = [await self._submit() for _ in range(count)]
        return [await self._observer.wait_for(number) - started for number, started in submissions]

    async def leader_killed(self) -> float:
        """Kill the control leader while a document is submitted."""
        leader: InstanceId = await self._topology.leader()
        submission = asyncio.create_task(self._submit())
        await asyncio.sleep(SUBMISSION_TIME_S)
        self._topology.process(leader).kill()
        number, started = await submission
        seconds = await self._observer.wait_for(number) - started
        self._topology.process(leader).start()
        await self._topology.ready()
        return seconds


def _figures(seconds: list[float]) -> Figures:
    return {
        "count": len(seconds),
        "median_s": round(median(seconds), 4),
        "max_s": round(max(seconds), 4),
    }


@BENCHMARKS.register("config")
async def config(options: Options) -> Figures:
    """Submit documents singly, in a row, and with the leader killed; single is the baseline."""
    async with Topology(options.layout(groups=1)) as topology:
        observer = Observer(topology)
        polling = asyncio.create_task(observer.run())
        submitter = _Submitter(topology, observer)
        try:
            singles = [await submitter.single() for _ in range(options.choose(10, 3))]
            row = await submitter.in_a_row(options.choose(100, 20))
            killed = [await submitter.leader_killed() for _ in range(options.choose(3, 1))]
        finally:
            polling.cancel()
            await asyncio.gather(polling, return_exceptions=True)
            await observer.close()
    return {
        "single": _figures(singles),
        "in_a_row": _figures(row),
        "leader_killed": _figures(killed),
        "reverted": observer.reverted,
        "poll_median_s": round(observer.poll_median_s, 4),
    }
