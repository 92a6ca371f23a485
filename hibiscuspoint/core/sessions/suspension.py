"""Age of requests that waited while this process was suspended."""

from __future__ import annotations

__all__ = ["SuspensionDetector"]

#: Interval between two ticks from which the process counts as suspended. Ticks are 0.05 s apart,
#: and CPU throttling stops a machine for 0.1 s once its quota is used up.
MIN_SUSPENSION_SECONDS = 0.3

#: Time after a suspension during which requests that arrived before its end may still be read.
BACKLOG_READ_SECONDS = 0.25


class SuspensionDetector:
    """Estimates how long a request may have waited unread; times in monotonic seconds.

    The clock must not stop while the machine is suspended.
    """

    def __init__(self, now: float) -> None:
        self._last_tick_at = now
        self._suspension_seconds = 0.0
        self._backlog_until = now

    def tick(self, now: float) -> None:
        """Record that the process is running."""
        gap_seconds = now - self._last_tick_at
        self._last_tick_at = now
        if gap_seconds >= MIN_SUSPENSION_SECONDS:
            self._suspension_seconds = gap_seconds
            self._backlog_until = now + BACKLOG_READ_SECONDS

    def longest_wait(self, now: float) -> float:
        """Return the longest time in seconds for which a request read now may have waited."""
        gap_seconds = now - self._last_tick_at
        if gap_seconds >= MIN_SUSPENSION_SECONDS:
            return gap_seconds
        return self._suspension_seconds + BACKLOG_READ_SECONDS if now < self._backlog_until else 0.0
