"""Connections of a pool that are kept back after their target had no room for a statement."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hibiscuspoint.core.sessions import RestingConnections, RestTimes
from hibiscuspoint.util.tasks import spawn

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.components.sessions.connection import PooledConnection
    from hibiscuspoint.core.ports import Clock
    from hibiscuspoint.ids import OrganisationId

__all__ = ["KeptBackConnections"]

#: Seconds for which a connection at which a refusal would be in doubt is kept back while the log
#: stands, before it is replaced, and after which another one may be opened besides it.
STANDING_LOG_SECONDS = 1.0
STANDING_OPENING_SECONDS = 0.1


class KeptBackConnections:
    """Keeps connections back for a short rest, or until the log of their target moves.

    :param give_back: takes a connection that waited for the log; it is closed if the log stands.
    """

    def __init__(self, clock: Clock, give_back: Callable[[PooledConnection], None]) -> None:
        self._clock = clock
        self._give_back = give_back
        self._resting: RestingConnections[PooledConnection] = RestingConnections()
        self._standing: dict[PooledConnection, float] = {}

    def __len__(self) -> int:
        return len(self._resting) + len(self._standing)

    def add(self, pooled: PooledConnection, now: float) -> None:
        """Keep a connection back."""
        if pooled.connection.exhausted_at is None:
            self._resting.add(pooled, pooled.organisation, now)
            return
        self._standing[pooled] = now
        spawn(self._await_log(pooled), "log of a target")

    def record_success(self) -> None:
        """Record that the target served a statement."""
        self._resting.times.record_success()

    def take_rested(self, now: float) -> list[PooledConnection]:
        """Remove and return the connections that have rested."""
        return self._resting.take_rested(now)

    def next_in(self, now: float) -> float | None:
        """Return the seconds until a connection has rested; ``None`` when none rests."""
        return self._resting.next_in(now)

    def has(self, organisation: OrganisationId) -> bool:
        """Tell whether a connection of an organisation is kept back that is soon used again."""
        latest = self._clock.monotonic() - STANDING_OPENING_SECONDS
        return self._resting.has(organisation) or any(
            pooled.organisation == organisation and since > latest
            for pooled, since in self._standing.items()
        )

    def close(self) -> None:
        """Close all connections."""
        for pooled in [*self._resting.clear(), *self._standing]:
            pooled.close()

    async def _await_log(self, pooled: PooledConnection) -> None:
        """Keep a connection back at which a refusal would be in doubt until the log moves.

        That takes some milliseconds in a group with commits. In another one it is replaced after a
        while, as writes would never be sent over it.
        """
        until, times = self._clock.monotonic() + STANDING_LOG_SECONDS, RestTimes()
        has_moved = False
        while pooled.is_open and not has_moved and self._clock.monotonic() < until:
            await asyncio.sleep(times.next())
            has_moved = await pooled.has_log_moved()
        if not has_moved:
            pooled.close()
        del self._standing[pooled]
        self._give_back(pooled)
