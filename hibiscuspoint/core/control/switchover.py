"""A planned change of primary that interrupts no request."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscuspoint.ids import TargetId

__all__ = ["Switchover", "SwitchoverState"]

#: Longest pause of writes in seconds; work that is still in progress then is given more time.
PAUSE_LIMIT_SECONDS = 2.0

#: Seconds between two pauses, in which writes are served as usual.
RESUME_SECONDS = 1.0


class SwitchoverState(Enum):
    """Progress of a switchover."""

    #: Holders start no new work at the primary and finish what is in progress.
    PAUSED = "paused"
    #: The pause was too long; writes are served until the next one.
    RESUMED = "resumed"
    #: Nothing is in progress and the replica has caught up; the promotion may start.
    READY = "ready"


class Switchover:
    """Decides when a switchover may open a new term without interrupting a request.

    :param old_primary: the primary that hands over.
    :param requested_successor: the member that an operator asked for, if any.
    :param now: monotonic time in seconds.
    """

    def __init__(
        self, old_primary: TargetId, requested_successor: TargetId | None, now: float
    ) -> None:
        self._old_primary = old_primary
        self._requested_successor = requested_successor
        self._state = SwitchoverState.PAUSED
        self._since = now

    @property
    def state(self) -> SwitchoverState:
        """Return the progress."""
        return self._state

    @property
    def old_primary(self) -> TargetId:
        """Return the primary that hands over."""
        return self._old_primary

    @property
    def requested_successor(self) -> TargetId | None:
        """Return the member that an operator asked for."""
        return self._requested_successor

    def tick(self, leases_clear: bool, caught_up: bool, now: float) -> SwitchoverState:
        """Advance and return the progress.

        :param leases_clear: every holder finished its work and handed back its lease.
        :param caught_up: a member other than the old primary holds the whole log.
        """
        if self._state is SwitchoverState.RESUMED:
            if now - self._since >= RESUME_SECONDS:
                self._enter(SwitchoverState.PAUSED, now)
        elif leases_clear and caught_up:
            self._enter(SwitchoverState.READY, now)
        elif now - self._since >= PAUSE_LIMIT_SECONDS:
            self._enter(SwitchoverState.RESUMED, now)
        return self._state

    def _enter(self, state: SwitchoverState, now: float) -> None:
        self._state = state
        self._since = now
