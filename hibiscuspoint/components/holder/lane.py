"""Connection pool of a holder for one target."""

from __future__ import annotations

import asyncio
import logging
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.core.entry.concurrency import ConcurrencyLimit
from hibiscuspoint.core.entry.pool import (
    AssignConnection,
    CloseConnection,
    ConnectionId,
    ConnectionPool,
    ConnectionState,
    OpenConnection,
)
from hibiscuspoint.drivers import AdminError, ConnectError, ConnectFailure
from hibiscuspoint.errors import DeadlineError, HibiscusError
from hibiscuspoint.telemetry import catalogue, log_event
from hibiscuspoint.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from hibiscuspoint.components.holder.context import HolderContext
    from hibiscuspoint.core.entry.pool import PoolEffect
    from hibiscuspoint.core.ports import Connection
    from hibiscuspoint.drivers import ConnectionLost
    from hibiscuspoint.ids import TargetId

__all__ = ["PooledConnection", "TargetObservations", "TargetPool"]

logger = logging.getLogger(__name__)

#: Timeout in seconds of the request that makes a target close a lost connection.
TERMINATE_TIMEOUT_SECONDS = 1.0

#: Weight of the latest statement in the exponentially weighted moving average of the service time.
SERVICE_TIME_GAIN = 1 / 8


@dataclass
class TargetObservations:
    """Outcomes at a target since the last report to control, for its failure detector.

    :param successes: answers of the target.
    :param refusals: connection attempts that the target refused.
    :param timeouts: connection attempts that timed out and connections that were lost.
    """

    successes: int = 0
    refusals: int = 0
    timeouts: int = 0


@dataclass(frozen=True)
class PooledConnection:
    """A connection of the pool that one request or transaction owns until it is released."""

    connection_id: ConnectionId
    connection: Connection


class TargetPool:
    """Connections to one target, within the share that control granted to this holder.

    ``ConnectionPool`` decides which connections to open, assign and close; this class carries its
    decisions out. It also limits the statements in flight and counts outcomes for control.

    :param address: network address of the target.
    """

    def __init__(self, context: HolderContext, target: TargetId, address: str) -> None:
        self._context = context
        self._target = target
        self._address = address
        self._pool_state = ConnectionPool()
        self._connections: dict[ConnectionId, Connection] = {}
        self._tasks: set[asyncio.Task] = set()
        self._share_sequence = 0
        self._waiters: set[asyncio.Future] = set()
        self._is_failure_logged = False
        self._limit = ConcurrencyLimit(1)
        self._in_flight = 0
        self._mean_service_seconds = 0.0
        self._observations = TargetObservations()

    @property
    def target(self) -> TargetId:
        """Target that the connections lead to."""
        return self._target

    @property
    def limit(self) -> ConcurrencyLimit:
        """Adaptive limit on the number of statements in flight."""
        return self._limit

    @property
    def in_flight(self) -> int:
        """Number of statements within ``track_statement``, waits for a connection included."""
        return self._in_flight

    @property
    def mean_service_seconds(self) -> float:
        """Moving average of the service time of a statement in seconds."""
        return self._mean_service_seconds

    @property
    def pool_state(self) -> ConnectionPool:
        """State machine of the pool, with its share, demand and open connections."""
        return self._pool_state

    @property
    def share_sequence(self) -> int:
        """Sequence number of the grant that set the current share."""
        return self._share_sequence

    def set_address(self, address: str) -> None:
        """Set the address for new connections."""
        self._address = address

    def set_share(self, connections: int, lease_ends_at: float, sequence: int) -> None:
        """Apply a share granted by control; a grant with a lower sequence is outdated and ignored.

        :param connections: connections that may be open at once.
        :param lease_ends_at: monotonic time in seconds at which the share expires.
        :param sequence: sequence number of the grant.
        """
        if sequence < self._share_sequence:
            return
        if connections != self._pool_state.share:
            log_event(
                logger,
                catalogue.SHARE_GRANTED,
                subject=self._context.instance,
                target=self._target,
                connections=connections,
            )
        self._share_sequence = sequence
        now = self._context.clock.monotonic()
        self._apply_effects(self._pool_state.set_share(connections, lease_ends_at, now))

    def tick(self, now: float) -> None:
        """Apply timeouts: close connections that are idle for too long or exceed the share."""
        self._apply_effects(self._pool_state.tick(now))

    def take_observations(self) -> TargetObservations:
        """Return the outcomes since the last call and reset the counts."""
        observations = self._observations
        self._observations = TargetObservations()
        return observations

    def fail_waiters(self, error: HibiscusError) -> None:
        """Fail the requests that wait for a connection with ``error``; none of them was sent."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_exception(error)

    async def acquire(self, deadline: float) -> PooledConnection:
        """Wait for a free connection and take it out of the pool.

        :param deadline: monotonic time in seconds.
        :raises DeadlineError: no connection became free before the deadline; nothing was sent.
        :raises NoPrimaryError: the target ceased to be the primary; nothing was sent.
        :raises NoHolderError: this instance ceased to be a holder of the group; nothing was sent.
        """
        waiter = asyncio.get_running_loop().create_future()
        now = self._context.clock.monotonic()
        self._waiters.add(waiter)
        self._apply_effects(self._pool_state.acquire(waiter, now))
        if waiter.done():
            self._waiters.discard(waiter)
            return self._pooled_connection(waiter.result())
        try:
            async with asyncio.timeout(max(0.0, deadline - now)):
                connection_id = await waiter
        except TimeoutError:
            self._cancel_waiter(waiter)
            raise DeadlineError(
                f"no connection to target {self._target} became free before the deadline",
                verdict=Verdict.NOT_RUN,
            ) from None
        except (asyncio.CancelledError, HibiscusError):
            self._cancel_waiter(waiter)
            raise
        finally:
            self._waiters.discard(waiter)
        return self._pooled_connection(connection_id)

    def _pooled_connection(self, connection_id: ConnectionId) -> PooledConnection:
        return PooledConnection(connection_id, self._connections[connection_id])

    def release(self, pooled: PooledConnection) -> None:
        """Return a connection to the pool.

        A connection with an open transaction or an outstanding answer is closed instead.
        """
        is_clean = pooled.connection.is_usable and not pooled.connection.in_transaction
        now = self._context.clock.monotonic()
        self._apply_effects(self._pool_state.release(pooled.connection_id, is_clean, now))

    @contextmanager
    def track_statement(self) -> Iterator[int]:
        """Count a statement as in flight during the body; yield the count including this one."""
        self._in_flight += 1
        try:
            yield self._in_flight
        finally:
            self._in_flight -= 1

    def record_answer(self) -> None:
        """Record an answer of the target without a service time."""
        self._observations.successes += 1

    def record_success(self, seconds: float, in_flight: int) -> None:
        """Record the duration of a successful statement.

        :param seconds: time from sending to the complete answer.
        :param in_flight: statements in flight when it started, including this one.
        """
        self._observations.successes += 1
        now = self._context.clock.monotonic()
        self._limit.record_latency(seconds, in_flight, max(1, self._pool_state.share), now)
        self._mean_service_seconds += SERVICE_TIME_GAIN * (seconds - self._mean_service_seconds)

    def record_connection_loss(self, error: ConnectionLost) -> None:
        """Record and log a connection that was lost while it ran a statement."""
        self._observations.timeouts += 1
        if error.is_silent:
            log_event(logger, catalogue.CONNECTION_SILENT, target=self._target)
        else:
            log_event(logger, catalogue.CONNECTION_LOST, target=self._target, reason=str(error))

    def close(self) -> None:
        """Close all connections and cancel pending attempts to open or terminate one."""
        self._apply_effects(self._pool_state.set_share(0, 0.0, self._context.clock.monotonic()))
        for connection in self._connections.values():
            connection.close()
        for task in self._tasks:
            task.cancel()

    def _cancel_waiter(self, waiter: asyncio.Future) -> None:
        if self._pool_state.cancel(waiter):
            return
        if waiter.done() and not waiter.cancelled() and waiter.exception() is None:
            self.release(self._pooled_connection(waiter.result()))

    def _apply_effects(self, effects: Iterable[PoolEffect]) -> None:
        pending = list(effects)
        while pending:
            effect = pending.pop(0)
            match effect:
                case OpenConnection(connection_id):
                    self._start_task(self._open(connection_id))
                case CloseConnection(connection_id):
                    pending += self._close(connection_id)
                case AssignConnection(connection_id, waiter):
                    pending += self._assign(connection_id, waiter)

    def _assign(self, connection_id: ConnectionId, waiter: asyncio.Future) -> list[PoolEffect]:
        if not waiter.done():
            waiter.set_result(connection_id)
            return []
        return self._pool_state.release(connection_id, True, self._context.clock.monotonic())

    def _close(self, connection_id: ConnectionId) -> list[PoolEffect]:
        connection = self._connections.pop(connection_id, None)
        if connection is None:
            # The connection is still being opened; that task records the loss when it completes.
            return []
        if not connection.is_usable:
            self._start_task(self._terminate(connection))
        connection.close()
        return self._pool_state.handle_lost(connection_id, self._context.clock.monotonic())

    async def _terminate(self, connection: Connection) -> None:
        """Request that the target closes its side of a lost connection.

        A target does not detect a connection that was dropped silently on the network, and would
        count it against its connection limit indefinitely.
        """
        context = self._context
        admin = context.driver.admin
        try:
            await admin.terminate_connection(
                self._address,
                context.instance,
                connection.incarnation,
                timeout=TERMINATE_TIMEOUT_SECONDS,
            )
        except AdminError as error:
            logger.debug(
                "the target side of a lost connection to %s was not closed: %s", self._target, error
            )

    async def _open(self, connection_id: ConnectionId) -> None:
        context = self._context
        try:
            connection = await context.driver.connect(
                self._target,
                self._address,
                instance=context.instance,
                instance_incarnation=context.incarnation,
            )
        except ConnectError as error:
            self._record_connect_failure(error)
            self._apply_effects(
                self._pool_state.handle_lost(connection_id, context.clock.monotonic())
            )
            return
        self._is_failure_logged = False
        self._connections[connection_id] = connection
        log_event(logger, catalogue.CONNECTION_OPENED, target=self._target)
        now = context.clock.monotonic()
        self._apply_effects(self._pool_state.handle_opened(connection_id, now))
        if self._pool_state.state(connection_id) is None or self._is_closing(connection_id):
            self._connections.pop(connection_id, None)
            connection.close()
            self._apply_effects(self._pool_state.handle_lost(connection_id, now))

    def _record_connect_failure(self, error: ConnectError) -> None:
        if error.failure is ConnectFailure.REFUSED:
            self._observations.refusals += 1
        elif error.failure is ConnectFailure.TIMED_OUT:
            self._observations.timeouts += 1
        else:
            return
        # Attempts are repeated until one succeeds; only the first failure of a series is logged.
        if not self._is_failure_logged:
            self._is_failure_logged = True
            log_event(logger, catalogue.CONNECTION_FAILED, target=self._target, reason=str(error))

    def _is_closing(self, connection_id: ConnectionId) -> bool:
        return self._pool_state.state(connection_id) is ConnectionState.CLOSING

    def _start_task(self, coroutine: object) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
