"""The age of requests that waited while this process did not run."""

from __future__ import annotations

__all__ = ["SuspensionDetector"]

#: Seconds between two ticks from which the process was suspended. Ticks are 0.05 s apart, and a
#: machine whose share of the processor is used up stands still for 0.1 s.
SUSPENDED_SECONDS = 0.3

#: Seconds after a suspension in which requests from before it may still be read.
BACKLOG_SECONDS = 0.25


class SuspensionDetector:
    """Tells how long a request may have waited unread; times in monotonic seconds.

    The clock must also count while the machine is suspended.
    """

    def __init__(self, now: float) -> None:
        self._ticked_at = now
        self._suspended = 0.0
        self._backlog_until = now

    def tick(self, now: float) -> None:
        """Record that the process runs."""
        gap = now - self._ticked_at
        self._ticked_at = now
        if gap >= SUSPENDED_SECONDS:
            self._suspended = gap
            self._backlog_until = now + BACKLOG_SECONDS

    def longest_wait(self, now: float) -> float:
        """Return the longest time in seconds that a request which is read now may have waited."""
        gap = now - self._ticked_at
        if gap >= SUSPENDED_SECONDS:
            return gap
        return self._suspended + BACKLOG_SECONDS if now < self._backlog_until else 0.0
