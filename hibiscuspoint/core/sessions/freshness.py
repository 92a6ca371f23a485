"""Positions that a target must have applied so that a read is not too stale."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.ids import Term

__all__ = ["PrimaryLog", "TipLog"]

#: Age up to which samples are kept; larger than the maximum age of any route.
RETENTION_SECONDS = 10.0

#: Margin by which a sample must be younger than the maximum age. It covers the time until the read
#: runs at the target.
MARGIN_SECONDS = 0.1

#: Minimum interval between two samples that are kept.
MIN_INTERVAL_SECONDS = 0.02


class TipLog:
    """Positions read at the primary of one group, with the time at which each was requested.

    A position is at or above every commit that was acknowledged before it was requested.
    """

    def __init__(self) -> None:
        self._samples: deque[tuple[float, LogPosition]] = deque()

    def add(self, requested_at: float, position: LogPosition) -> None:
        """Add a sample, unless it is older than the last one or too close to it."""
        if self._samples and requested_at < self._samples[-1][0] + MIN_INTERVAL_SECONDS:
            return
        self._samples.append((requested_at, position))
        while self._samples[0][0] < requested_at - RETENTION_SECONDS:
            self._samples.popleft()

    def required(self, max_age: float, now: float) -> LogPosition | None:
        """Return the lowest position that data of at most ``max_age`` seconds must include.

        :returns: ``None`` if no sample is recent enough.
        """
        for requested_at, position in self._samples:
            if requested_at >= now - max_age + MARGIN_SECONDS:
                return position
        return None


class PrimaryLog:
    """Highest known position of the log of the primary in the last known term of a group.

    A read at the primary requires it: the start that leads the term has it, but one that started
    again under the id of the primary, with nothing of before, does not.
    """

    def __init__(self) -> None:
        self._term: Term | None = None
        self._position: LogPosition | None = None

    def record(self, term: Term, position: LogPosition) -> bool:
        """Record a position that a target had as primary of a term.

        :returns: false if the primary of that term had a higher one before, so that it has lost its
            log or is replaced.
        """
        if self._term is None or term > self._term:
            self._term, self._position = term, position
        elif term == self._term and position < self._position:
            return False
        elif term == self._term:
            self._position = position
        return True

    def required(self, term: Term) -> LogPosition | None:
        """Return the position that the primary of a term has; ``None`` if none is known."""
        return self._position if term == self._term else None
