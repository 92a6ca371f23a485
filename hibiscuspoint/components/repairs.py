"""Repairs of control instances that the leader carries out."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from hibiscuspoint.telemetry import catalogue, log_event

if TYPE_CHECKING:
    from hibiscuspoint.components.consensus import ReplicatedLog
    from hibiscuspoint.ids import InstanceId

__all__ = ["Repairs", "RunningRepair"]

logger = logging.getLogger(__name__)


class RunningRepair:
    """A repair that goes on after the call that asked for it has ended."""

    def __init__(self, log: ReplicatedLog, instance: InstanceId) -> None:
        self._log = log
        self._instance = instance
        self._progress = ""
        self._task = asyncio.ensure_future(self._run())
        self._task.add_done_callback(_retrieve)

    @property
    def progress(self) -> str:
        """Return the progress in words."""
        return self._progress

    @property
    def is_done(self) -> bool:
        """Tell whether the repair has ended; its error is raised by :meth:`wait`."""
        return self._task.done()

    async def wait(self, seconds: float) -> None:
        """Wait for the end or for some seconds.

        :raises HibiscusError: the repair failed.
        """
        await asyncio.wait([self._task], timeout=seconds)
        if self._task.done():
            self._task.result()

    async def _run(self) -> None:
        async for step in self._log.repair(self._instance):
            if not self._progress:
                log_event(logger, catalogue.REPAIR_STARTED, subject=self._instance)
            log_event(
                logger,
                catalogue.REPAIR_PROGRESS,
                subject=self._instance,
                phase=step.phase.value,
                index=step.match_index,
            )
            self._progress = f"{step.phase.value}, index {step.match_index} of {step.commit_index}"
        log_event(logger, catalogue.REPAIR_FINISHED, subject=self._instance)


def _retrieve(task: asyncio.Task) -> None:
    """Mark the error as seen; the next call of the operator starts again."""
    if not task.cancelled():
        task.exception()


class Repairs:
    """The repairs in progress, at most one for each instance."""

    def __init__(self, log: ReplicatedLog) -> None:
        self._log = log
        self._running: dict[InstanceId, RunningRepair] = {}

    def start(self, instance: InstanceId) -> RunningRepair:
        """Return the repair of an instance, started now unless one is in progress."""
        repair = self._running.get(instance)
        if repair is None or repair.is_done:
            repair = RunningRepair(self._log, instance)
            self._running[instance] = repair
        return repair
