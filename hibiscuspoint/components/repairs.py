"""Background tasks of the control leader that repair control instances."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from hibiscuspoint.telemetry import catalogue, log_event

if TYPE_CHECKING:
    from hibiscuspoint.components.consensus import ReplicatedLog
    from hibiscuspoint.ids import InstanceId

__all__ = ["RepairTask", "Repairs"]

logger = logging.getLogger(__name__)


class RepairTask:
    """Background task of a repair, which continues after the call that requested it has ended.

    :param log: replicated log of this instance, which must be the leader.
    :param instance: instance whose lost disk is replaced.
    """

    def __init__(self, log: ReplicatedLog, instance: InstanceId) -> None:
        self._log = log
        self._instance = instance
        self._progress = ""
        self._task = asyncio.ensure_future(self._run())
        self._task.add_done_callback(_mark_error_retrieved)

    @property
    def progress(self) -> str:
        """Description of the progress; empty until the first step."""
        return self._progress

    @property
    def is_done(self) -> bool:
        """Whether the repair has ended; :meth:`wait` raises its error."""
        return self._task.done()

    async def wait(self, timeout_seconds: float) -> None:
        """Wait until the repair ends or the timeout expires.

        :raises HibiscusError: the repair failed.
        """
        await asyncio.wait([self._task], timeout=timeout_seconds)
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


def _mark_error_retrieved(task: asyncio.Task) -> None:
    """Mark the error of a repair as retrieved, because the operator may never wait for it.

    The next request of the operator starts a new repair.
    """
    if not task.cancelled():
        task.exception()


class Repairs:
    """Repairs in progress, at most one per instance.

    :param log: replicated log of this instance.
    """

    def __init__(self, log: ReplicatedLog) -> None:
        self._log = log
        self._running: dict[InstanceId, RepairTask] = {}

    def start(self, instance: InstanceId) -> RepairTask:
        """Start the repair of an instance unless one is in progress, and return it."""
        repair = self._running.get(instance)
        if repair is None or repair.is_done:
            repair = RepairTask(self._log, instance)
            self._running[instance] = repair
        return repair
