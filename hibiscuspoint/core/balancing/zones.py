"""When reads leave the zone of an entry, and how many of them."""

from __future__ import annotations

import math

__all__ = ["ZoneBalance", "margin_seconds"]

#: Seconds between two changes of the fraction. Answers to the reads that the last change moved
#: arrive meanwhile.
STEP_SECONDS = 0.25

#: Largest change of the fraction in one step. Thirty entries of a zone take it at the same time
#: without knowing of each other, and each knows the effect only after about a second.
MAX_STEP = 0.06

#: Smallest difference of the expected times, as a share of the time in the other zone and in
#: seconds, for which reads leave the zone: bytes between zones are charged.
MARGIN_SHARE = 0.25
MARGIN_SECONDS = 0.002

#: Share of the time in the other zone by which the difference may vary without a change.
DEAD_BAND = 0.15

#: Steps in a row that the difference has to last before the first reads leave the zone; one late
#: answer is no reason.
START_STEPS = 3

#: Time in seconds in which the fraction of an entry that has no reads fades to a third.
IDLE_FADE_SECONDS = 5.0


def margin_seconds(other_seconds: float) -> float:
    """Return by how much a zone must be slower than another one for reads to leave it."""
    return max(MARGIN_SECONDS, MARGIN_SHARE * other_seconds)


class ZoneBalance:
    """The fraction of the reads of one group that one entry sends out of its zone.

    The fraction follows the difference of the expected times in small steps until both are equal.

    :param phase: number in [0, 1) that differs between entries, so that they do not send their
        reads out of the zone at the same moments.
    """

    def __init__(self, phase: float = 0.0) -> None:
        self._credit = phase
        self._updated_at = -math.inf
        self._late_steps = 0
        self._fraction = 0.0

    @property
    def fraction(self) -> float:
        """Return the fraction of the reads that leaves the zone."""
        return self._fraction

    def update(self, own_seconds: float, other_seconds: float, now: float) -> None:
        """Adjust the fraction.

        :param own_seconds: expected time of a read in the own zone.
        :param other_seconds: expected time in the best other zone, with the round trip.
        """
        idle = now - self._updated_at - STEP_SECONDS
        if idle < 0:
            return
        if idle > IDLE_FADE_SECONDS:
            self._fraction *= math.exp(-idle / IDLE_FADE_SECONDS)
        self._updated_at = now
        gap = own_seconds - other_seconds - margin_seconds(other_seconds)
        gap /= max(other_seconds, MARGIN_SECONDS)
        self._late_steps = self._late_steps + 1 if gap > 0 else 0
        if abs(gap) <= DEAD_BAND and self._fraction:
            return
        if gap > 0 and not self._fraction and self._late_steps < START_STEPS:
            return
        step = MAX_STEP * max(-1.0, min(1.0, gap))
        self._fraction = max(0.0, min(1.0, self._fraction + step))

    def take(self) -> bool:
        """Tell whether the next read leaves the zone; over many reads the fraction does so."""
        self._credit += self._fraction
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True
