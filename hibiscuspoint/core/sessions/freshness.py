"""Positions that a read must reach so that its data is not too old."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscuspoint.core.position import LogPosition

__all__ = ["TipLog"]

#: Seconds for which samples are kept; longer than any maximum age that routes state.
KEPT_SECONDS = 10.0

#: Seconds by which a sample must be younger than the maximum age, for the time that a read takes
#: until it runs at the target.
MARGIN_SECONDS = 0.1

#: Shortest time in seconds between two samples that are kept.
SPACING_SECONDS = 0.02


class TipLog:
    """Positions read at the primary of one group, with the time at which each was asked for.

    A position that was asked for at a time is at or above every commit acknowledged before.
    """

    def __init__(self) -> None:
        self._samples: deque[tuple[float, LogPosition]] = deque()

    def add(self, asked_at: float, position: LogPosition) -> None:
        """Add a sample; one that is older than the last adds nothing."""
        if self._samples and asked_at < self._samples[-1][0] + SPACING_SECONDS:
            return
        self._samples.append((asked_at, position))
        while self._samples[0][0] < asked_at - KEPT_SECONDS:
            self._samples.popleft()

    def required(self, max_age: float, now: float) -> LogPosition | None:
        """Return the lowest position that data of at most ``max_age`` seconds must have reached.

        :returns: ``None`` when no sample is recent enough.
        """
        for asked_at, position in self._samples:
            if asked_at >= now - max_age + MARGIN_SECONDS:
                return position
        return None
