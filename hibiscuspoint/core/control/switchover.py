"""Switchover: a planned change of the primary that interrupts no request."""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscuspoint.ids import TargetId

__all__ = ["Switchover", "SwitchoverState"]

#: Longest pause of writes in seconds. If work is still in progress then, writes resume and the
#: switchover pauses them again later.
PAUSE_LIMIT_SECONDS = 2.0

#: Seconds between two pauses, during which writes are served as usual.
RESUME_SECONDS = 1.0

#: Longest last pause in seconds of a switchover that has to end at a certain time.
FINAL_PAUSE_SECONDS = 1.5


class SwitchoverState(Enum):
    """Progress of a switchover."""

    #: Entries start no new work at the primary and finish the work in progress.
    PAUSED = "paused"
    #: The pause exceeded its limit; writes are served until the next pause. If the switchover has
    #: to end, no transaction begins meanwhile, so that the next pause is shorter.
    RESUMED = "resumed"
    #: No work is in progress and a replica has caught up; the promotion may start.
    READY = "ready"


class Switchover:
    """Decides when a switchover may open a new term without interrupting a request.

    Writes are paused until the primary is idle and a replica has caught up. If that takes too long,
    they resume for a while before the next pause. A primary that leaves ends what is still in
    progress, so its switchover is ready before that, whatever is in progress then.

    :param old_primary: primary that is to be replaced.
    :param requested_successor: member that an operator requested as the new primary; ``None`` for
        any.
    :param now: monotonic time in seconds.
    :param ready_by: monotonic time in seconds by which it is ready; infinity for no such time.
    """

    def __init__(
        self,
        old_primary: TargetId,
        requested_successor: TargetId | None,
        now: float,
        ready_by: float = math.inf,
    ) -> None:
        self._old_primary = old_primary
        self._requested_successor = requested_successor
        self._state = SwitchoverState.PAUSED
        self._entered_at = now
        self._ready_by = ready_by

    @property
    def pauses_transactions(self) -> bool:
        """Whether only single statements may begin while writes are served."""
        return self._state is SwitchoverState.RESUMED and self._ready_by < math.inf

    @property
    def state(self) -> SwitchoverState:
        """Current progress."""
        return self._state

    @property
    def old_primary(self) -> TargetId:
        """Primary that is to be replaced."""
        return self._old_primary

    @property
    def requested_successor(self) -> TargetId | None:
        """Member that an operator requested as the new primary; ``None`` for any."""
        return self._requested_successor

    def tick(self, is_idle: bool, has_caught_up: bool, now: float) -> SwitchoverState:
        """Advance and return the progress.

        :param is_idle: whether every entry has finished its work and released its lease.
        :param has_caught_up: whether a member other than the old primary has the whole log.
        :param now: monotonic time in seconds.
        """
        if self._state is SwitchoverState.RESUMED:
            if now >= self._resumed_until:
                self._enter(SwitchoverState.PAUSED, now)
        elif (is_idle and has_caught_up) or now >= self._ready_by:
            self._enter(SwitchoverState.READY, now)
        elif self._entered_at + PAUSE_LIMIT_SECONDS <= now < self._final_pause_at:
            self._enter(SwitchoverState.RESUMED, now)
        return self._state

    @property
    def _final_pause_at(self) -> float:
        return self._ready_by - FINAL_PAUSE_SECONDS

    @property
    def _resumed_until(self) -> float:
        if self._ready_by < math.inf:
            return self._final_pause_at
        return self._entered_at + RESUME_SECONDS

    def _enter(self, state: SwitchoverState, now: float) -> None:
        self._state = state
        self._entered_at = now
