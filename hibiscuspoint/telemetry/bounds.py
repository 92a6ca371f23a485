"""Bounds on what logs and metrics say about subjects whose number is not known."""

from __future__ import annotations

import math

__all__ = ["OTHER_LABEL", "BoundedLabels", "LogPace"]

#: Label of the subjects that have none of their own.
OTHER_LABEL = "other"

#: Least seconds between two log lines about one subject.
LINE_SECONDS = 1.0


class BoundedLabels:
    """Gives the first subjects a label of their own and all others a common one.

    :param limit: number of subjects with a label of their own.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._labels: set[str] = set()

    def label(self, name: str) -> str:
        """Return the label of a subject."""
        if name not in self._labels:
            if len(self._labels) >= self._limit:
                return OTHER_LABEL
            self._labels.add(name)
        return name


class LogPace:
    """Allows at most one log line per second about each subject.

    The subjects must be of a bounded number, as each is remembered.
    """

    def __init__(self) -> None:
        self._logged_at: dict[str, float] = {}

    def allows(self, subject: str, now: float) -> bool:
        """Tell whether a line may be written now, and take it as written.

        :param now: monotonic time in seconds.
        """
        if now - self._logged_at.get(subject, -math.inf) < LINE_SECONDS:
            return False
        self._logged_at[subject] = now
        return True
