"""How many statements a holder keeps in flight at one target."""

from __future__ import annotations

import math

__all__ = ["ConcurrencyLimit"]

#: Seconds after which the lowest latency is measured anew, as the target may have become slower.
_BASELINE_SECONDS = 10.0


class ConcurrencyLimit:
    """Adjusts the limit so that few statements wait at the target, as TCP Vegas does for packets.

    With only as many statements in flight as the target has slots, the slots stay idle while
    answers travel. The limit grows while fewer statements than ``slots / 2`` wait at the target
    and shrinks while more than ``slots`` do. The number that waits is estimated from the ratio of
    the latency to the lowest one.

    :param slots: statements that the target runs at once; the lowest limit.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)
        self._baseline = math.inf
        self._baseline_until = -math.inf

    @property
    def value(self) -> int:
        """Return the present limit."""
        return int(self._limit)

    def set_slots(self, slots: int) -> None:
        """Change the number of slots."""
        self._slots = slots
        self._limit = max(self._limit, float(slots))

    def record_latency(self, latency: float, in_flight: int, maximum: int, now: float) -> None:
        """Take the latency of a successful run.

        :param latency: seconds.
        :param in_flight: statements in flight when the run began, this one counted.
        :param maximum: connections that the holder may have.
        :param now: monotonic time in seconds.
        """
        self._measure_baseline(latency, now)
        # A limit that is not used says nothing about a higher one.
        if in_flight * 2 < self._limit:
            return
        waiting = in_flight * (1 - self._baseline / latency)
        if waiting < self._slots / 2:
            self._limit += 1 / self._limit
        elif waiting > self._slots:
            self._limit -= 1 / self._limit
        self._limit = max(float(self._slots), min(self._limit, float(maximum)))

    def _measure_baseline(self, latency: float, now: float) -> None:
        """Follow the lowest latency.

        It is measured anew at the lowest limit: measured under load, it would contain the wait
        at the target, and the limit would grow with each new measurement.
        """
        if now >= self._baseline_until:
            self._baseline = math.inf
            self._baseline_until = now + _BASELINE_SECONDS
            self._limit = float(self._slots)
        self._baseline = min(self._baseline, latency)
