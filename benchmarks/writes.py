"""Continuous writes to one group while parts of the system are lost."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from benchmarks.common import longest_pause
from hibiscuspoint.ids import RequestId
from hibiscuspoint.load.history import Outcome, Recorder
from hibiscuspoint.load.tables import Tables
from hibiscuspoint.load.topology import Topology, wait_until
from hibiscuspoint.load.workload import NamedSession, Workload

if TYPE_CHECKING:
    from hibiscuspoint.ids import GroupId, TargetId
    from hibiscuspoint.load.caller import Caller
    from hibiscuspoint.load.history import Operation

__all__ = ["SETTLE_S", "WRITE_RATE", "WriteRun"]

#: Writes a second; the interval between them is the resolution of a gap.
WRITE_RATE = 50
WRITE_TIMEOUT_S = 5.0
#: Time for the first write after a failure; longer than any gap that the goal permits.
RECOVERY_TIMEOUT_S = 60.0
#: Time before the next failure: D4 starts no new promotion for 5 s after one.
SETTLE_S = 6.0


class WriteRun:
    """Continuous writes to one group while its primary changes."""

    def __init__(self, topology: Topology, caller: Caller, group: GroupId) -> None:
        self._topology = topology
        self._group = group
        self.recorder = Recorder()
        self.workload = Workload(self.recorder, group, Tables("written"), WRITE_TIMEOUT_S)
        self.operations: list[Operation] = []
        self._caller = caller

    async def write(self, number: int) -> None:
        """Add one row to the ledger through a session of its own."""
        actor = NamedSession(f"s{number}", self._caller.session())
        operation = await self.workload.ledger_add(actor, RequestId(f"r{number}"))
        self.operations.append(operation)

    async def gap_after(self, instant: float) -> float:
        """Wait for the first write that was sent and acknowledged after an instant."""
        found: list[float] = []

        async def is_acknowledged() -> bool:
            found.extend(
                operation.completed_at
                for operation in self.operations
                if operation.outcome is Outcome.OK and operation.invoked_at >= instant
            )
            return bool(found)

        await wait_until(is_acknowledged, "a write after the failure", RECOVERY_TIMEOUT_S)
        return min(found) - instant

    async def kill_primary(self) -> tuple[TargetId, float]:
        """Kill the primary and return it and the gap in seconds."""
        primary = await self._topology.primary(self._group)
        instant = time.monotonic()
        self._topology.process(primary).kill()
        return primary, await self.gap_after(instant)

    async def restart(self, target: TargetId) -> None:
        """Start a killed target and wait until all members hold the log."""
        self._topology.process(target).start()
        await self.settle()

    async def switch_over(self) -> float:
        """Change the primary as planned and return the longest pause between acknowledgements."""
        primary = await self._topology.primary(self._group)
        started = time.monotonic()
        await self._topology.switch_over(self._group)
        await wait_until(lambda: self._has_other_primary(primary), "another primary")
        await self.gap_after(time.monotonic())
        ended = time.monotonic()
        await self.settle()
        return self.pause_between(started - 1, ended)

    def pause_between(self, start: float, end: float) -> float:
        """Return the longest pause in seconds between acknowledgements in a time span."""
        return longest_pause(
            operation.completed_at
            for operation in self.operations
            if operation.outcome is Outcome.OK and start <= operation.completed_at <= end
        )

    async def settle(self) -> None:
        """Wait until all members hold the log and another promotion may start."""
        await asyncio.sleep(SETTLE_S)
        await wait_until(self._has_caught_up, "the members to catch up")

    async def _has_other_primary(self, former: TargetId) -> bool:
        return await self._topology.primary(self._group) != former

    async def _has_caught_up(self) -> bool:
        status = await self._topology.status()
        groups = status.groups if status is not None else ()
        for group in groups:
            if group.group == self._group:
                indexes = [target.received.index for target in group.targets]
                expected = self._topology.layout.targets_per_group
                # Writes continue, so announcements of members differ by what arrived in between.
                return len(indexes) == expected and max(indexes) - min(indexes) <= WRITE_RATE
        return False
