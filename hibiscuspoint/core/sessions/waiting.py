"""How long statements wait for a connection that is in use."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from hibiscuspoint.core.sessions.context import SessionContext

__all__ = ["ConnectionDemand", "ConnectionUseAverage"]

#: Weight of the latest use in the moving average.
LATEST_WEIGHT = 0.05


@dataclass(frozen=True)
class ConnectionDemand:
    """What a statement needs of a pool of connections.

    :param session: a connection with its values is preferred.
    :param priority: 0 is the highest.
    :param deadline: monotonic time in seconds until which a connection is waited for.
    :param max_expected_wait_seconds: a statement with a longer expected wait is refused at once.
        Beyond its latency objective an answer is worth little, and a longer queue only delays all
        answers.
    """

    deadline: float
    priority: int = 0
    max_expected_wait_seconds: float = math.inf
    session: SessionContext = field(default_factory=SessionContext)


class ConnectionUseAverage:
    """Moving average of the time for which a session uses a connection to one target."""

    def __init__(self) -> None:
        self._average = 0.0

    def record_use(self, seconds: float) -> None:
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
