"""Root of the component tree, and the system clock."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from circuits import Component, handler

from hibiscuspoint.telemetry.catalogue import COMPONENT_FAILED
from hibiscuspoint.telemetry.events import log_event
from hibiscuspoint.util.clock import suspend_aware

if TYPE_CHECKING:
    from circuits import Event

__all__ = ["Runtime", "SystemClock"]

logger = logging.getLogger(__name__)


class SystemClock:
    """Clocks of the operating system."""

    def monotonic(self) -> float:
        """Return seconds of a monotonic clock that also counts while the machine is suspended."""
        return suspend_aware()

    def unix(self) -> float:
        """Return the Unix time: seconds since 1970 in UTC."""
        return time.time()


class Runtime(Component):
    """Root of the component tree.

    Handlers run synchronously, on the asyncio loop of the code that dispatches an event.
    """

    def __init__(self) -> None:
        super().__init__()
        self._dispatching = False

    def dispatch(self, event: Event) -> Event:
        """Fire an event and run its handlers and those of the events that they fire.

        When called from a handler, the event is only queued; the outer call runs its handlers.
        """
        self.fire(event, "*")
        if self._dispatching:
            return event
        self._dispatching = True
        try:
            while len(self._queue):
                self.flush()
        finally:
            self._dispatching = False
        return event

    @handler("exception", channel="*")
    def _on_exception(self, *args: object, **kwargs: object) -> None:
        error = args[1] if len(args) > 1 else "unknown"
        log_event(logger, COMPONENT_FAILED, reason=repr(error))
