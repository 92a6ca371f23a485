"""Failures after which the process must be restarted."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from circuits import Component, handler

from hibiscuspoint.daemon.status import DaemonStatus
from hibiscuspoint.telemetry import catalogue, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["FailureMonitor"]

logger = logging.getLogger(__name__)


class FailureMonitor(Component):
    """Stops the daemon after a failure that only a restart ends.

    :param stop: begins a planned stop.
    """

    channel = "failures"

    def __init__(self, stop: Callable[[], None]) -> None:
        super().__init__()
        self._stop = stop
        self._status = DaemonStatus.SUCCESS

    @property
    def status(self) -> DaemonStatus:
        """Return the exit status of the process."""
        return self._status

    @handler("control_log_failed", channel="*")
    def _on_control_log_failed(self, error: Exception) -> None:
        log_event(logger, catalogue.CONTROL_LOG_FAILED, reason=repr(error))
        self._status = DaemonStatus.CONTROL_LOG_FAILED
        self._stop()
