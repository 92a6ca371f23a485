"""How long statements wait for a connection that is in use."""

from __future__ import annotations

__all__ = ["UseTimes"]

#: Weight of the latest use in the moving average.
LATEST_WEIGHT = 0.05


class UseTimes:
    """Moving average of the time for which a session uses a connection to one target."""

    def __init__(self) -> None:
        self._average = 0.0

    def ended(self, seconds: float) -> None:
        """Take the length of a use."""
        self._average += LATEST_WEIGHT * (seconds - self._average)

    def expected_wait(self, waiting: int, connections: int) -> float:
        """Return the expected seconds until a statement gets a connection.

        :param waiting: statements that get one before it.
        :param connections: connections that are in use in turn.
        """
        if not connections:
            return 0.0
        return (waiting + 1) * self._average / connections
