"""Faults that a seed draws, and how they are brought about from outside the processes."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import dataclass
from typing import TYPE_CHECKING

from tests.system.fault_proxy import Direction, FaultProxy

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from tests.platform.deployment import Deployment

__all__ = ["Fault", "Faults", "draw_faults"]

KINDS = (
    "kill",
    "pause",
    "stop",
    "hang_up",
    "crash_primary",
    "crash_replica",
    "deaf_replica",
    "reset",
    "delay",
    "cut",
    "one_way",
    "silence",
)

#: Seconds between two faults, at most; they overlap when a fault lasts longer.
GAP_SECONDS = 2.0

#: Bounds of the duration of a fault in seconds.
SHORTEST_SECONDS = 0.3
LONGEST_SECONDS = 4.0


@dataclass(frozen=True)
class Fault:
    """One fault.

    :param at: seconds from the start of the run.
    :param lasts: seconds.
    :param subject: number of the instance or database.
    """

    at: float
    kind: str
    lasts: float
    subject: int


def draw_faults(source: random.Random, seconds: float) -> list[Fault]:
    """Return the faults of a run; the same for the same seed."""
    faults = []
    at = source.uniform(0.5, GAP_SECONDS)
    while at < seconds:
        lasts = source.uniform(SHORTEST_SECONDS, LONGEST_SECONDS)
        faults.append(Fault(at, source.choice(KINDS), lasts, source.randrange(3)))
        at += source.uniform(0.1, GAP_SECONDS)
    return faults


class Faults:
    """Brings faults about; a subject that already has one is left alone.

    :param proxies: one in front of each database.
    """

    def __init__(self, deployment: Deployment, proxies: list[FaultProxy]) -> None:
        self._deployment = deployment
        self._proxies = proxies
        self._busy: set[str] = set()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, fault: Fault) -> None:
        """Start a fault; it ends by itself."""
        act: Callable[[Fault], Awaitable[None]] = getattr(self, f"_{fault.kind}")
        self._tasks.append(asyncio.create_task(act(fault)))

    async def finish(self) -> None:
        """Wait until every fault has ended."""
        await asyncio.gather(*self._tasks)
        for proxy in self._proxies:
            proxy.heal()

    async def _kill(self, fault: Fault) -> None:
        await self._signal(fault, signal.SIGKILL)

    async def _stop(self, fault: Fault) -> None:
        await self._signal(fault, signal.SIGTERM)

    async def _signal(self, fault: Fault, which: signal.Signals) -> None:
        subject = f"instance {fault.subject}"
        if subject in self._busy:
            return
        self._busy.add(subject)
        self._deployment.send_signal(fault.subject, which)
        await asyncio.to_thread(self._deployment.wait, fault.subject)
        await asyncio.sleep(fault.lasts / 4)
        self._deployment.start_instance(fault.subject)
        self._busy.discard(subject)

    async def _pause(self, fault: Fault) -> None:
        subject = f"instance {fault.subject}"
        if subject in self._busy:
            return
        self._busy.add(subject)
        self._deployment.send_signal(fault.subject, signal.SIGSTOP)
        await asyncio.sleep(fault.lasts)
        self._deployment.send_signal(fault.subject, signal.SIGCONT)
        self._busy.discard(subject)

    async def _hang_up(self, fault: Fault) -> None:
        if f"instance {fault.subject}" not in self._busy:
            self._deployment.send_signal(fault.subject, signal.SIGHUP)

    async def _crash_primary(self, fault: Fault) -> None:
        await self._crash(fault, is_primary=True)

    async def _crash_replica(self, fault: Fault) -> None:
        await self._crash(fault, is_primary=False)

    async def _crash(self, fault: Fault, *, is_primary: bool) -> None:
        # One database at a time: the loss of two may lose acknowledged commits.
        if "database" in self._busy:
            return
        chosen = [d for d in self._deployment.platform.databases if d.is_primary is is_primary]
        if not chosen or not chosen[0].is_running:
            return
        self._busy.add("database")
        await chosen[0].crash()
        await asyncio.sleep(fault.lasts)
        await chosen[0].restart()
        self._busy.discard("database")

    async def _deaf_replica(self, fault: Fault) -> None:
        for database in self._deployment.platform.databases:
            if not database.is_primary and "deaf" not in self._busy:
                self._busy.add("deaf")
                database.is_deaf = True
                await asyncio.sleep(fault.lasts)
                database.is_deaf = False
                self._busy.discard("deaf")
                return

    async def _reset(self, fault: Fault) -> None:
        self._proxies[fault.subject].reset()

    async def _delay(self, fault: Fault) -> None:
        proxy = self._proxies[fault.subject]
        proxy.delay(0.05)
        await asyncio.sleep(fault.lasts)
        proxy.delay(0.0)

    async def _cut(self, fault: Fault) -> None:
        await self._hold(fault, *Direction)

    async def _one_way(self, fault: Fault) -> None:
        await self._hold(fault, Direction.TO_CLIENT)

    async def _hold(self, fault: Fault, *directions: Direction) -> None:
        proxy = self._proxies[fault.subject]
        proxy.cut(*directions)
        await asyncio.sleep(fault.lasts)
        proxy.heal()

    async def _silence(self, fault: Fault) -> None:
        self._proxies[fault.subject].blackhole_established()
