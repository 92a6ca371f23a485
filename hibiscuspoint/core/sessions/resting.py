"""Connections that are kept back after their target had no room for a statement."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from hibiscuspoint.ids import OrganisationId

__all__ = ["RestTimes", "RestingConnections"]

#: Bounds of the seconds for which a connection rests; the time doubles with each refusal until a
#: statement is served.
REST_MIN_SECONDS = 0.01
REST_MAX_SECONDS = 0.08

#: Bounds of the random factor on a rest, so that instances do not return at the same time.
REST_FACTORS = (0.75, 1.25)

_T = TypeVar("_T")


class RestTimes:
    """Times of rest that double with each refusal in a row."""

    def __init__(self) -> None:
        self._seconds = REST_MIN_SECONDS

    def next(self) -> float:
        """Return the seconds of the next rest."""
        seconds = self._seconds * random.uniform(*REST_FACTORS)
        self._seconds = min(2 * self._seconds, REST_MAX_SECONDS)
        return seconds

    def record_success(self) -> None:
        """Record that the target served a statement."""
        self._seconds = REST_MIN_SECONDS


@dataclass(frozen=True, eq=False)
class _Rest(Generic[_T]):
    """One connection and the monotonic time in seconds until which it rests."""

    connection: _T
    organisation: OrganisationId
    ends_at: float


class RestingConnections(Generic[_T]):
    """Connections of one instance to one target that had no room for their last statement.

    The next statement would be refused as well, and each refusal costs an exchange and a retry.
    """

    def __init__(self) -> None:
        self._rests: list[_Rest[_T]] = []
        self.times = RestTimes()

    def __len__(self) -> int:
        return len(self._rests)

    def add(self, connection: _T, organisation: OrganisationId, now: float) -> None:
        """Keep a connection back."""
        self._rests.append(_Rest(connection, organisation, now + self.times.next()))

    def take_rested(self, now: float) -> list[_T]:
        """Remove and return the connections that may be used again."""
        rested = [rest.connection for rest in self._rests if rest.ends_at <= now]
        if rested:
            self._rests = [rest for rest in self._rests if rest.ends_at > now]
        return rested

    def next_in(self, now: float) -> float | None:
        """Return the seconds until a connection may be used again; ``None`` when none rests."""
        ends = [rest.ends_at for rest in self._rests]
        return max(0.0, min(ends) - now) if ends else None

    def has(self, organisation: OrganisationId) -> bool:
        """Tell whether a connection of an organisation rests."""
        return any(rest.organisation == organisation for rest in self._rests)

    def clear(self) -> list[_T]:
        """Remove and return all connections."""
        rests, self._rests = self._rests, []
        return [rest.connection for rest in rests]
