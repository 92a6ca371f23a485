"""Adaptive limit on the statements that a holder keeps in flight at one target."""

from __future__ import annotations

import math

__all__ = ["ConcurrencyLimit"]

#: Seconds after which the lowest latency is measured again, as the target may have become slower.
_BASELINE_LIFETIME_SECONDS = 10.0


class ConcurrencyLimit:
    """Latency-based limit that keeps the queue at the target short, like TCP Vegas for packets.

    With only as many statements in flight as the target has slots, each slot is idle for a network
    round trip between two statements. The limit grows while fewer than ``slots / 2`` statements
    queue at the target and shrinks while more than ``slots`` do. The queue length is estimated from
    the ratio of the current latency to the lowest one measured.

    :param slots: statements that the target executes at the same time; lower bound of the limit.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)
        self._baseline_seconds = math.inf
        self._baseline_expires_at = -math.inf

    @property
    def value(self) -> int:
        """Maximum number of statements in flight."""
        return int(self._limit)

    def set_slots(self, slots: int) -> None:
        """Set the number of statements that the target executes at the same time."""
        self._slots = slots
        self._limit = max(self._limit, float(slots))

    def record_latency(
        self, latency_seconds: float, in_flight: int, max_limit: int, now: float
    ) -> None:
        """Adjust the limit to the latency of a successful run.

        :param latency_seconds: seconds from sending to the answer.
        :param in_flight: statements in flight when the run began, including this one.
        :param max_limit: upper bound of the limit, the connections that the holder may open.
        :param now: monotonic time in seconds.
        """
        self._update_baseline(latency_seconds, now)
        # When less than half of the limit is in use, the latency does not show the effect of more
        # statements in flight.
        if in_flight * 2 < self._limit:
            return
        queued = in_flight * (1 - self._baseline_seconds / latency_seconds)
        if queued < self._slots / 2:
            self._limit += 1 / self._limit
        elif queued > self._slots:
            self._limit -= 1 / self._limit
        self._limit = max(float(self._slots), min(self._limit, float(max_limit)))

    def _update_baseline(self, latency_seconds: float, now: float) -> None:
        """Update the lowest latency, and start a new measurement when the old one has expired.

        A new measurement starts at the lowest limit. Under load, the baseline would include the
        queueing time at the target, and the limit would grow with each new measurement.
        """
        if now >= self._baseline_expires_at:
            self._baseline_seconds = math.inf
            self._baseline_expires_at = now + _BASELINE_LIFETIME_SECONDS
            self._limit = float(self._slots)
        self._baseline_seconds = min(self._baseline_seconds, latency_seconds)
