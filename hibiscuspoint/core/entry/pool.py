"""Connections of one holder to one target, within a leased share (designs D2, D9)."""

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

#: Seconds after which an unused connection is closed, so that its share can be handed back.
_IDLE_SECONDS = 30.0
#: Seconds without a new attempt after a connection could not be opened.
_OPEN_RETRY_SECONDS = 0.1


class ConnectionState(Enum):
    """State of a connection."""

    OPENING = "opening"
    IDLE = "idle"
    BUSY = "busy"
    CLOSING = "closing"


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open a connection, then call ``handle_opened``, or ``handle_lost`` when that fails."""

    connection: ConnectionId


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close a connection, or give up opening it, then call ``handle_lost``."""

    connection: ConnectionId


@dataclass(frozen=True, slots=True)
class AssignConnection:
    """The waiter owns the connection until ``release``."""

    connection: ConnectionId
    waiter: object


PoolEffect = OpenConnection | CloseConnection | AssignConnection


@dataclass(slots=True)
class _Connection:
    state: ConnectionState
    since: float
    #: A busy connection that outlived its lease; control may give its place to another holder.
    close_on_return: bool = False


class ConnectionPool:
    """Connections to one target; every method returns the effects to carry out.

    A connection counts against the share from :class:`OpenConnection` until ``handle_lost``,
    whatever its state, so that the target never sees more than the share. A lent connection stays
    with its transaction until ``release``. Times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._share = 0
        self._lease_ends_at = -math.inf
        self._connections: dict[ConnectionId, _Connection] = {}
        # The most recently used is last and lent first, so that surplus ones grow old.
        self._idle: list[ConnectionId] = []
        self._waiting: deque[object] = deque()
        self._next_id = 1
        self._open_not_before = -math.inf

    @property
    def open_connections(self) -> int:
        """Return how many connections count against the share."""
        return len(self._connections)

    @property
    def demand(self) -> int:
        """Return how many connections are lent or waited for."""
        return self._count(ConnectionState.BUSY) + len(self._waiting)

    @property
    def share(self) -> int:
        """Return how many connections may be open."""
        return self._share

    def state(self, connection: ConnectionId) -> ConnectionState | None:
        """Return the state of a connection; None when it is gone."""
        known = self._connections.get(connection)
        return known.state if known else None

    def set_share(self, connections: int, lease_ends_at: float, now: float) -> list[PoolEffect]:
        """Take a share over; it may be smaller or larger than the previous one.

        A smaller share closes connections that are being opened, then the longest unused ones;
        busy ones are closed when they return.

        :param lease_ends_at: monotonic seconds at which the lease of the share ends.
        """
        self._share = connections
        self._lease_ends_at = lease_ends_at
        return self.tick(now)

    def acquire(self, waiter: object, now: float) -> list[PoolEffect]:
        """Lend a connection to a waiter now or as soon as there is one."""
        if self._idle and not self._waiting and now < self._lease_ends_at and self._excess() <= 0:
            return [self._lend_idle(waiter)]
        self._waiting.append(waiter)
        return self.tick(now)

    def cancel(self, waiter: object) -> bool:
        """Forget a waiter that was not lent a connection; tell whether it was waiting."""
        if waiter not in self._waiting:
            return False
        self._waiting.remove(waiter)
        return True

    def handle_opened(self, connection: ConnectionId, now: float) -> list[PoolEffect]:
        """Record that a connection is open; one that is being closed is not used."""
        known = self._connections.get(connection)
        if known is None or known.state is not ConnectionState.OPENING:
            return []
        self._make_idle(connection, now)
        return self.tick(now)

    def release(self, connection: ConnectionId, is_clean: bool, now: float) -> list[PoolEffect]:
        """Take a lent connection back.

        :param is_clean: true when it was reset and owes no answer; otherwise it is closed.
        """
        known = self._connections.get(connection)
        if known is None or known.state is not ConnectionState.BUSY:
            return []
        if is_clean and not known.close_on_return and self._excess() <= 0:
            self._make_idle(connection, now)
            return self.tick(now)
        return [self._close(connection), *self.tick(now)]

    def handle_lost(self, connection: ConnectionId, now: float) -> list[PoolEffect]:
        """Record that a connection is gone: closed, broken, or not opened."""
        known = self._connections.pop(connection, None)
        if known is None:
            return []
        if known.state is ConnectionState.IDLE:
            self._idle.remove(connection)
        if known.state is ConnectionState.OPENING:
            self._open_not_before = now + _OPEN_RETRY_SECONDS
        return self.tick(now)

    def tick(self, now: float) -> list[PoolEffect]:
        """Apply the passing of time: the end of the lease, unused connections, attempts to open."""
        if now >= self._lease_ends_at:
            return self._end_lease()
        effects = self._close_excess()
        effects += self._lend()
        effects += self._close_unused(now)
        effects += self._open(now)
        return effects

    def _end_lease(self) -> list[PoolEffect]:
        closing = []
        for connection, known in self._connections.items():
            if known.state in (ConnectionState.IDLE, ConnectionState.OPENING):
                closing.append(connection)
            known.close_on_return = True
        return [self._close(connection) for connection in closing]

    def _close_excess(self) -> list[PoolEffect]:
        opening = [
            connection
            for connection, known in self._connections.items()
            if known.state is ConnectionState.OPENING
        ]
        candidates = opening[::-1] + self._idle
        return [self._close(connection) for connection in candidates[: max(0, self._excess())]]

    def _close_unused(self, now: float) -> list[PoolEffect]:
        unused = [
            connection
            for connection in self._idle
            if now - self._connections[connection].since >= _IDLE_SECONDS
        ]
        return [self._close(connection) for connection in unused]

    def _lend(self) -> list[PoolEffect]:
        effects: list[PoolEffect] = []
        while self._idle and self._waiting:
            effects.append(self._lend_idle(self._waiting.popleft()))
        return effects

    def _lend_idle(self, waiter: object) -> AssignConnection:
        connection = self._idle.pop()
        self._connections[connection].state = ConnectionState.BUSY
        return AssignConnection(connection, waiter)

    def _open(self, now: float) -> list[PoolEffect]:
        if now < self._open_not_before:
            return []
        wanted = len(self._waiting) - self._count(ConnectionState.OPENING)
        room = self._share - len(self._connections)
        return [self._start_open(now) for _ in range(min(wanted, room))]

    def _start_open(self, now: float) -> OpenConnection:
        connection = ConnectionId(self._next_id)
        self._next_id += 1
        self._connections[connection] = _Connection(ConnectionState.OPENING, now)
        return OpenConnection(connection)

    def _make_idle(self, connection: ConnectionId, now: float) -> None:
        known = self._connections[connection]
        known.state = ConnectionState.IDLE
        known.since = now
        self._idle.append(connection)

    def _close(self, connection: ConnectionId) -> CloseConnection:
        known = self._connections[connection]
        if known.state is ConnectionState.IDLE:
            self._idle.remove(connection)
        known.state = ConnectionState.CLOSING
        return CloseConnection(connection)

    def _excess(self) -> int:
        """Return how many connections beyond the share are not being closed yet."""
        closing = self._count(ConnectionState.CLOSING)
        return len(self._connections) - closing - self._share

    def _count(self, state: ConnectionState) -> int:
        return sum(known.state is state for known in self._connections.values())
