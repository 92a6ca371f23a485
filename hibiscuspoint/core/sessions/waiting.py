"""Expected waits of statements for a connection of a pool."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from hibiscuspoint.core.sessions.context import SessionContext
from hibiscuspoint.ids import NO_ORGANISATION, OrganisationId

__all__ = ["ConnectionDemand", "ConnectionUseAverage"]

#: Weight of the latest use in the exponential moving average.
AVERAGE_WEIGHT = 0.05


@dataclass(frozen=True)
class ConnectionDemand:
    """Requirements of a statement for a connection of a pool.

    :param session: session of the statement; a connection that has its values is preferred.
    :param priority: 0 is the highest.
    :param deadline: monotonic time in seconds at which the wait for a connection ends.
    :param max_expected_wait_seconds: a statement with a longer expected wait is refused at once.
        Beyond its latency objective an answer is worth little, and a longer queue only delays all
        answers.
    :param organisation: the only organisation whose connections the statement may use.
    :param objective_at: monotonic time in seconds at which the answer stops being in time.
    :param expected_seconds: time for which the statement is expected to use a connection; 0 when
        nothing is known.
    :param answer_until: monotonic time in seconds until which the answer is waited for.
    :param is_retry: whether an attempt of the same statement found no room before.
    :param is_transaction: whether the connection is used until the end of a transaction.
    """

    deadline: float
    priority: int = 0
    max_expected_wait_seconds: float = math.inf
    session: SessionContext = field(default_factory=SessionContext)
    organisation: OrganisationId = NO_ORGANISATION
    objective_at: float = math.inf
    expected_seconds: float = 0.0
    answer_until: float = math.inf
    is_retry: bool = False
    is_transaction: bool = False


class ConnectionUseAverage:
    """Moving average of the time for which a session uses a connection to a target."""

    def __init__(self) -> None:
        self._average_seconds = 0.0

    @property
    def average_seconds(self) -> float:
        """Return the average in seconds; 0 before the first use."""
        return self._average_seconds

    def record_use(self, seconds: float) -> None:
        """Record the duration of a use in seconds."""
        self._average_seconds += AVERAGE_WEIGHT * (seconds - self._average_seconds)
