"""Log event for changes of the readiness of an entry."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from hibiscuspoint.telemetry import catalogue, log_event

if TYPE_CHECKING:
    from hibiscuspoint.components.entry_state import EntryState
    from hibiscuspoint.core.entry.drain import DrainState

__all__ = ["ReadinessLog"]

logger = logging.getLogger(__name__)


class ReadinessLog:
    """Logs an event when the answer of /readyz changes."""

    def __init__(self, state: EntryState, drain: DrainState) -> None:
        self._state = state
        self._drain = drain
        self._was_ready = False

    def tick(self, now: float) -> None:
        """Log a change of the readiness since the last call.

        :param now: monotonic time in seconds.
        """
        is_ready = self._drain.is_ready and self._state.is_ready(now)
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            log_event(logger, catalogue.READINESS_CHANGED, ready=is_ready, reason=self._reason(now))

    def _reason(self, now: float) -> str:
        if not self._drain.is_ready:
            return "draining"
        if self._state.is_ready(now):
            return "document in force and contact with control"
        return "no contact with control"
