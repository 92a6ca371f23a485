"""Faults that a seed draws, and how they are brought about from outside the processes."""

from __future__ import annotations

import asyncio
import itertools
import random
import signal
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from tests.platform.standin_connection import Stutter
from tests.system.fault_proxy import Direction, FaultProxy

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.platform.deployment import Deployment
    from tests.platform.standin import StandinDatabase

__all__ = [
    "ALL_KINDS",
    "FIRST_KINDS",
    "KINDS",
    "START_KINDS",
    "Fault",
    "Faults",
    "draw_faults",
]

#: Faults of the first version of the soak. Its seeds that failed are drawn from these alone, so
#: that they still give the same faults.
FIRST_KINDS = (
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

KINDS = (
    *FIRST_KINDS,
    "return_renamed",
    "restart_empty",
    "replace_empty",
    "isolate_primary",
    "cut_platform",
    "lose_primary_and_leader",
)

#: With databases that answer twice, about once in four faults.
ALL_KINDS = (*KINDS, *["stutter"] * 6)

#: With starts of which the next process must not be taken for the former one.
START_KINDS = (*ALL_KINDS, *["restart_together", "wipe_primary"] * 3)

#: Time in which only the replica that is lost together with the primary receives commits, and time
#: until a process is started again.
BEHIND_SECONDS = 0.03
RESTART_SECONDS = 0.05

#: Faults of an instance.
INSTANCE_KINDS = ("kill", "stop", "pause", "hang_up", "cut_platform")

#: Longest time in seconds until a repeated answer, and share of the answers that are repeated.
STUTTER_SECONDS = (0.0, 0.03, 0.5)
STUTTER_SHARES = (0.1, 1.0)

#: Share of the repetitions that are cut off, and of the reads and writes refused meanwhile.
STUTTER_CUTS = 0.05
STUTTER_BUSY = 0.05

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
    :param subject: number of the instance, or of the database within its service.
    :param service: number of the service of a database.
    """

    at: float
    kind: str
    lasts: float
    subject: int
    service: int = 0


def draw_faults(
    source: random.Random, seconds: float, kinds: tuple[str, ...] = KINDS
) -> list[Fault]:
    """Return the faults of a run; the same for the same seed and kinds."""
    faults = []
    at = source.uniform(0.5, GAP_SECONDS)
    while at < seconds:
        lasts = source.uniform(SHORTEST_SECONDS, LONGEST_SECONDS)
        kind, subject = source.choice(kinds), source.randrange(3)
        service = 0 if kinds is FIRST_KINDS else source.randrange(2)
        faults.append(Fault(at, kind, lasts, subject, service))
        at += source.uniform(0.1, GAP_SECONDS)
    return faults


class Faults:
    """Brings faults about; a subject that already has one is left alone.

    :param proxies: one in front of each database.
    :param paths: one on the way of each instance to the platform.
    """

    def __init__(
        self, deployment: Deployment, proxies: list[FaultProxy], paths: list[FaultProxy]
    ) -> None:
        self._deployment = deployment
        self._proxies = proxies
        self._paths = paths
        self._names = itertools.count(10)
        self._busy: set[str] = set()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, fault: Fault) -> None:
        """Start a fault; it ends by itself."""
        if fault.kind in INSTANCE_KINDS:
            # Any of more than three instances, by what the seed has drawn already.
            number = fault.subject + 3 * round(fault.at * 1000)
            fault = replace(fault, subject=number % self._deployment.instances)
        act: Callable[[Fault], Awaitable[None]] = getattr(self, f"_{fault.kind}")
        self._tasks.append(asyncio.create_task(act(fault)))

    async def finish(self) -> None:
        """Wait until every fault has ended."""
        try:
            await asyncio.gather(*self._tasks)
        finally:
            for proxy in (*self._proxies, *self._paths):
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
        database = self._choose(fault, is_primary=is_primary)
        if database is None or not self._occupy(f"crash {database.service}"):
            return
        await database.crash()
        await asyncio.sleep(fault.lasts)
        await database.restart()
        self._release(f"crash {database.service}")

    async def _restart_together(self, fault: Fault) -> None:
        """Kill an instance, or the leader, which starts at once, while two databases are lost.

        These are the primary and the replica that has the last commits; both come back.
        """
        primary = self._choose(fault, is_primary=True)
        if primary is None or not self._occupy(f"crash {primary.service}"):
            return
        replicas = primary.replicas
        behind = replicas[1:]
        for database in behind:
            database.is_deaf = True
        await asyncio.sleep(BEHIND_SECONDS)
        lost = [primary, *replicas[:1]]
        await asyncio.gather(*(database.crash() for database in lost))
        number = fault.subject if fault.lasts < LONGEST_SECONDS / 2 else self._deployment.leader
        kill = replace(fault, subject=number or 0, lasts=4 * RESTART_SECONDS)
        await self._signal(kill, signal.SIGKILL)
        for database in behind:
            database.is_deaf = False
        await asyncio.sleep(fault.lasts)
        await asyncio.gather(*(database.restart() for database in lost))
        self._release(f"crash {primary.service}")

    async def _wipe_primary(self, fault: Fault) -> None:
        """Start the primary again at once under its id with nothing of before."""
        primary = self._choose(fault, is_primary=True)
        if primary is None or not self._occupy(f"wipe {primary.service}"):
            return
        await primary.crash()
        await asyncio.sleep(RESTART_SECONDS)
        await primary.restart_empty()
        self._release(f"wipe {primary.service}")

    async def _return_renamed(self, fault: Fault) -> None:
        """Crash a primary, which comes back with its log under a new id."""
        database = self._choose(fault, is_primary=True)
        if database is None or not self._occupy(f"crash {database.service}"):
            return
        await database.crash()
        await asyncio.sleep(fault.lasts / 2)
        database.name = f"i-{next(self._names)}"
        await database.restart()
        self._release(f"crash {database.service}")

    async def _restart_empty(self, fault: Fault) -> None:
        """Crash a replica, which starts again under its id without its log."""
        await self._wipe(fault, is_renamed=False)

    async def _replace_empty(self, fault: Fault) -> None:
        """Replace a replica by one with a new id and without a log at the same address."""
        await self._wipe(fault, is_renamed=True)

    async def _wipe(self, fault: Fault, *, is_renamed: bool) -> None:
        # One log of a service at a time: with two, the only copy of a commit may be gone.
        database = self._choose(fault, is_primary=False)
        if database is None or not self._occupy(f"wipe {database.service}"):
            return
        await database.crash()
        await asyncio.sleep(fault.lasts / 4)
        if is_renamed:
            database.name = f"i-{next(self._names)}"
        await database.restart_empty()
        self._release(f"wipe {database.service}")

    async def _isolate_primary(self, fault: Fault) -> None:
        """Cut a primary off from its replicas; one of them may be replaced on its side."""
        primary = self._choose(fault, is_primary=True)
        if primary is None or not self._occupy(f"isolation {primary.service}"):
            return
        primary.is_isolated = True
        wipe = f"wipe {primary.service}"
        replica = self._choose(fault, is_primary=False)
        if fault.subject and replica is not None and self._occupy(wipe):
            await asyncio.sleep(fault.lasts / 4)
            await replica.crash()
            replica.name, replica.is_isolated = f"i-{next(self._names)}", True
            replica.follow(primary)
            await replica.restart()
            self._release(wipe)
        await asyncio.sleep(fault.lasts)
        for database in primary.members:
            database.is_isolated = False
        self._release(f"isolation {primary.service}")

    async def _stutter(self, fault: Fault) -> None:
        """Let all databases of a service answer twice for a while."""
        service = self._deployment.platform.services[fault.service]
        if not self._occupy(f"stutter {service}"):
            return
        source = random.Random(fault.at)
        delays = (0.0, source.choice(STUTTER_SECONDS))
        stutter = Stutter(source, source.choice(STUTTER_SHARES), delays, STUTTER_CUTS)
        databases = [d for d in self._deployment.platform.databases if d.service == service]
        for database in databases:
            database.stutter, database.busy_share = stutter, STUTTER_BUSY
        await asyncio.sleep(fault.lasts)
        for database in databases:
            database.stutter, database.busy_share = None, 0.0
        self._release(f"stutter {service}")

    async def _cut_platform(self, fault: Fault) -> None:
        await self._cut_path(fault.subject, fault.lasts)

    async def _lose_primary_and_leader(self, fault: Fault) -> None:
        """Stop the leader, or cut it off from the platform, while it replaces a primary."""
        leader = self._deployment.leader
        crash = asyncio.create_task(self._crash(fault, is_primary=True))
        await asyncio.sleep(fault.lasts / 2)
        if leader is not None:
            if fault.subject:
                await self._pause(replace(fault, subject=leader))
            else:
                await self._cut_path(leader, fault.lasts)
        await crash

    async def _cut_path(self, number: int, seconds: float) -> None:
        # The proxy has acknowledged what it holds back, so that the kernel of a process that is
        # stopped meanwhile would not give it up as it does behind a real cut.
        subject = f"instance {number}"
        if not self._occupy(subject):
            return
        self._paths[number].cut(Direction.TO_SERVER)
        await asyncio.sleep(seconds)
        self._paths[number].heal()
        self._release(subject)

    def _choose(self, fault: Fault, *, is_primary: bool) -> StandinDatabase | None:
        service = self._deployment.platform.services[fault.service]
        found = [
            database
            for database in self._deployment.platform.databases
            if database.service == service
            and database.is_primary is is_primary
            and database.is_running
            and not database.is_copying
        ]
        return found[fault.subject % len(found)] if found else None

    def _occupy(self, subject: str) -> bool:
        """Take a subject for a fault, unless it has one."""
        if subject in self._busy:
            return False
        self._busy.add(subject)
        return True

    def _release(self, subject: str) -> None:
        self._busy.discard(subject)

    async def _deaf_replica(self, fault: Fault) -> None:
        database = self._choose(fault, is_primary=False)
        if database is not None and self._occupy(f"deaf {database.service}"):
            database.is_deaf = True
            await asyncio.sleep(fault.lasts)
            database.is_deaf = False
            self._release(f"deaf {database.service}")

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
