"""Pool of the connections of one holder to one target, within a leased share (designs D2, D9)."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import NewType

__all__ = [
    "AssignConnection",
    "CloseConnection",
    "ConnectionId",
    "ConnectionPool",
    "ConnectionState",
    "OpenConnection",
    "PoolEffect",
]

ConnectionId = NewType("ConnectionId", int)

#: Seconds after which an idle connection is closed, so that its part of the share can be returned.
_IDLE_TIMEOUT_SECONDS = 30.0
#: Delay in seconds before the next attempt after a connection could not be opened.
_OPEN_RETRY_DELAY_SECONDS = 0.1


class ConnectionState(Enum):
    """State of a connection in the pool."""

    OPENING = "opening"
    IDLE = "idle"
    #: Assigned to a waiter.
    BUSY = "busy"
    #: Being closed; still counted against the share.
    CLOSING = "closing"


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open a connection, then call ``handle_opened``, or ``handle_lost`` on failure."""

    connection: ConnectionId


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close a connection, or cancel its opening, then call ``handle_lost``."""

    connection: ConnectionId


@dataclass(frozen=True, slots=True)
class AssignConnection:
    """Hand a connection to a waiter, which has exclusive use of it until ``release``."""

    connection: ConnectionId
    waiter: object


PoolEffect = OpenConnection | CloseConnection | AssignConnection


@dataclass(slots=True)
class _Connection:
    state: ConnectionState
    #: Monotonic seconds at which the connection was created or last became idle.
    since: float
    #: Set when the lease of the share ends while the connection is busy: control may have granted
    #: the place of the connection to another holder since then.
    close_on_release: bool = False


class ConnectionPool:
    """Connections to one target.

    Methods that return effects expect the caller to carry them out in order. A connection counts
    against the share from :class:`OpenConnection` until ``handle_lost``, whatever its state, so
    that the target never has more connections than the share. An assigned connection is used for
    one transaction only until ``release``. Times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._share = 0
        self._lease_ends_at = -math.inf
        self._connections: dict[ConnectionId, _Connection] = {}
        # Most recently used last. It is assigned first, so that surplus connections stay idle and
        # reach the idle timeout.
        self._idle: list[ConnectionId] = []
        self._waiters: deque[object] = deque()
        self._next_id = 1
        self._open_allowed_at = -math.inf

    @property
    def open_connections(self) -> int:
        """Number of connections that count against the share."""
        return len(self._connections)

    @property
    def demand(self) -> int:
        """Number of connections that are assigned or waited for."""
        return self._count(ConnectionState.BUSY) + len(self._waiters)

    @property
    def share(self) -> int:
        """Maximum number of open connections."""
        return self._share

    def state(self, connection: ConnectionId) -> ConnectionState | None:
        """Return the state of a connection; None when it is not in the pool."""
        pooled = self._connections.get(connection)
        return pooled.state if pooled else None

    def set_share(self, connections: int, lease_ends_at: float, now: float) -> list[PoolEffect]:
        """Apply a share, which may be smaller or larger than the previous one.

        For a smaller share, connections that are being opened are closed first, then those that
        have been idle longest. Busy connections are closed when they are released.

        :param connections: maximum number of open connections.
        :param lease_ends_at: monotonic seconds at which the lease of the share ends.
        """
        self._share = connections
        self._lease_ends_at = lease_ends_at
        return self.tick(now)

    def acquire(self, waiter: object, now: float) -> list[PoolEffect]:
        """Assign a connection to a waiter now or as soon as one is available."""
        if self._idle and not self._waiters and now < self._lease_ends_at and self._excess() <= 0:
            return [self._assign_newest_idle(waiter)]
        self._waiters.append(waiter)
        return self.tick(now)

    def cancel(self, waiter: object) -> bool:
        """Remove a waiter that has no connection yet; return whether it was waiting."""
        if waiter not in self._waiters:
            return False
        self._waiters.remove(waiter)
        return True

    def handle_opened(self, connection: ConnectionId, now: float) -> list[PoolEffect]:
        """Make an opened connection idle; does nothing if it is already being closed."""
        pooled = self._connections.get(connection)
        if pooled is None or pooled.state is not ConnectionState.OPENING:
            return []
        self._make_idle(connection, now)
        return self.tick(now)

    def release(self, connection: ConnectionId, is_clean: bool, now: float) -> list[PoolEffect]:
        """Return an assigned connection to the pool.

        :param is_clean: whether the connection was reset and no answer is pending; if not, it is
            closed.
        """
        pooled = self._connections.get(connection)
        if pooled is None or pooled.state is not ConnectionState.BUSY:
            return []
        if is_clean and not pooled.close_on_release and self._excess() <= 0:
            self._make_idle(connection, now)
            return self.tick(now)
        return [self._close(connection), *self.tick(now)]

    def handle_lost(self, connection: ConnectionId, now: float) -> list[PoolEffect]:
        """Remove a connection that was closed, broke or could not be opened."""
        pooled = self._connections.pop(connection, None)
        if pooled is None:
            return []
        if pooled.state is ConnectionState.IDLE:
            self._idle.remove(connection)
        if pooled.state is ConnectionState.OPENING:
            self._open_allowed_at = now + _OPEN_RETRY_DELAY_SECONDS
        return self.tick(now)

    def tick(self, now: float) -> list[PoolEffect]:
        """Apply the passing of time and assign connections to waiters.

        After the end of the lease, connections that are not busy are closed and none is assigned
        or opened. Before, connections beyond the share or the idle timeout are closed, and
        connections are opened for the remaining waiters.
        """
        if now >= self._lease_ends_at:
            return self._end_lease()
        effects = self._close_excess()
        effects += self._assign_idle()
        effects += self._close_idle(now)
        effects += self._open_for_waiters(now)
        return effects

    def _end_lease(self) -> list[PoolEffect]:
        closing = []
        for connection, pooled in self._connections.items():
            if pooled.state in (ConnectionState.IDLE, ConnectionState.OPENING):
                closing.append(connection)
            pooled.close_on_release = True
        return [self._close(connection) for connection in closing]

    def _close_excess(self) -> list[PoolEffect]:
        opening = [
            connection
            for connection, pooled in self._connections.items()
            if pooled.state is ConnectionState.OPENING
        ]
        candidates = opening[::-1] + self._idle
        return [self._close(connection) for connection in candidates[: max(0, self._excess())]]

    def _close_idle(self, now: float) -> list[PoolEffect]:
        expired = [
            connection
            for connection in self._idle
            if now - self._connections[connection].since >= _IDLE_TIMEOUT_SECONDS
        ]
        return [self._close(connection) for connection in expired]

    def _assign_idle(self) -> list[PoolEffect]:
        effects: list[PoolEffect] = []
        while self._idle and self._waiters:
            effects.append(self._assign_newest_idle(self._waiters.popleft()))
        return effects

    def _assign_newest_idle(self, waiter: object) -> AssignConnection:
        connection = self._idle.pop()
        self._connections[connection].state = ConnectionState.BUSY
        return AssignConnection(connection, waiter)

    def _open_for_waiters(self, now: float) -> list[PoolEffect]:
        if now < self._open_allowed_at:
            return []
        wanted = len(self._waiters) - self._count(ConnectionState.OPENING)
        available = self._share - len(self._connections)
        return [self._start_open(now) for _ in range(min(wanted, available))]

    def _start_open(self, now: float) -> OpenConnection:
        connection = ConnectionId(self._next_id)
        self._next_id += 1
        self._connections[connection] = _Connection(ConnectionState.OPENING, now)
        return OpenConnection(connection)

    def _make_idle(self, connection: ConnectionId, now: float) -> None:
        pooled = self._connections[connection]
        pooled.state = ConnectionState.IDLE
        pooled.since = now
        self._idle.append(connection)

    def _close(self, connection: ConnectionId) -> CloseConnection:
        pooled = self._connections[connection]
        if pooled.state is ConnectionState.IDLE:
            self._idle.remove(connection)
        pooled.state = ConnectionState.CLOSING
        return CloseConnection(connection)

    def _excess(self) -> int:
        """Return by how many the connections that are not being closed exceed the share."""
        closing = self._count(ConnectionState.CLOSING)
        return len(self._connections) - closing - self._share

    def _count(self, state: ConnectionState) -> int:
        return sum(pooled.state is state for pooled in self._connections.values())
