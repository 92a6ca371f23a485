"""Connections of a holder to one target."""

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

__all__ = ["LaneObservations", "LentConnection", "TargetLane"]

logger = logging.getLogger(__name__)

#: Longest time in seconds to have a target close a lost connection.
TERMINATE_SECONDS = 1.0

#: Weight of the last run in the moving average of the service time.
SERVICE_TIME_GAIN = 1 / 8


@dataclass
class LaneObservations:
    """What happened at a target since the last report to control."""

    successes: int = 0
    refusals: int = 0
    timeouts: int = 0


@dataclass(frozen=True)
class LentConnection:
    """A connection that one request or transaction owns."""

    connection_id: ConnectionId
    connection: Connection


class TargetLane:
    """Opens, lends and closes the connections to one target within the granted share.

    :param target: the target.
    :param address: its address.
    """

    def __init__(self, context: HolderContext, target: TargetId, address: str) -> None:
        self._context = context
        self._target = target
        self._address = address
        self._pool = ConnectionPool()
        self._connections: dict[ConnectionId, Connection] = {}
        self._tasks: set[asyncio.Task] = set()
        self._sequence = 0
        self._waiters: set[asyncio.Future] = set()
        self._has_failed = False
        self._limit = ConcurrencyLimit(1)
        self._in_flight = 0
        self._service_time = 0.0
        self._observations = LaneObservations()

    @property
    def target(self) -> TargetId:
        """Return the target."""
        return self._target

    @property
    def limit(self) -> ConcurrencyLimit:
        """Return the limit on statements in flight."""
        return self._limit

    @property
    def in_flight(self) -> int:
        """Return the number of statements in flight."""
        return self._in_flight

    @property
    def service_time(self) -> float:
        """Return the moving average of the service time in seconds."""
        return self._service_time

    @property
    def pool(self) -> ConnectionPool:
        """Return the pool of connections."""
        return self._pool

    @property
    def share_sequence(self) -> int:
        """Return the sequence of the grant that set the present share."""
        return self._sequence

    def set_address(self, address: str) -> None:
        """Use another address for new connections."""
        self._address = address

    def set_share(self, connections: int, lease_ends: float, sequence: int) -> None:
        """Apply a share granted by control; ``lease_ends`` is monotonic time in seconds."""
        if sequence < self._sequence:
            return
        if connections != self._pool.share:
            log_event(
                logger,
                catalogue.SHARE_GRANTED,
                subject=self._context.instance,
                target=self._target,
                connections=connections,
            )
        self._sequence = sequence
        now = self._context.clock.monotonic()
        self._carry_out(self._pool.set_share(connections, lease_ends, now))

    def tick(self, now: float) -> None:
        """Close idle connections and those beyond the share."""
        self._carry_out(self._pool.tick(now))

    def take_observations(self) -> LaneObservations:
        """Return what happened since the last call."""
        taken = self._observations
        self._observations = LaneObservations()
        return taken

    def refuse_waiters(self, error: HibiscusError) -> None:
        """Refuse the requests that wait for a connection; nothing of them was sent."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_exception(error)

    async def acquire(self, deadline: float) -> LentConnection:
        """Wait for a connection.

        :param deadline: monotonic time in seconds.
        :raises DeadlineError: no connection became free in time; nothing was sent.
        :raises NoPrimaryError: the target was given up meanwhile; nothing was sent.
        :raises NoHolderError: the group was given up meanwhile; nothing was sent.
        """
        waiter = asyncio.get_running_loop().create_future()
        now = self._context.clock.monotonic()
        self._waiters.add(waiter)
        self._carry_out(self._pool.acquire(waiter, now))
        if waiter.done():
            self._waiters.discard(waiter)
            return self._lent(waiter.result())
        try:
            async with asyncio.timeout(max(0.0, deadline - now)):
                connection_id = await waiter
        except TimeoutError:
            self._give_up(waiter)
            raise DeadlineError(
                f"no connection to target {self._target} became free in time",
                verdict=Verdict.NOT_RUN,
            ) from None
        except (asyncio.CancelledError, HibiscusError):
            self._give_up(waiter)
            raise
        finally:
            self._waiters.discard(waiter)
        return self._lent(connection_id)

    def _lent(self, connection_id: ConnectionId) -> LentConnection:
        return LentConnection(connection_id, self._connections[connection_id])

    def release(self, lent: LentConnection) -> None:
        """Take a connection back; one that is not clean is closed."""
        is_clean = lent.connection.is_usable and not lent.connection.in_transaction
        now = self._context.clock.monotonic()
        self._carry_out(self._pool.release(lent.connection_id, is_clean, now))

    @contextmanager
    def running(self) -> Iterator[int]:
        """Count a statement while the body runs, and yield how many are in flight."""
        self._in_flight += 1
        try:
            yield self._in_flight
        finally:
            self._in_flight -= 1

    def answered(self) -> None:
        """Record that the target answered."""
        self._observations.successes += 1

    def succeeded(self, seconds: float, in_flight: int) -> None:
        """Record the duration of a successful run.

        :param in_flight: runs in flight when it began, this one counted.
        """
        self._observations.successes += 1
        now = self._context.clock.monotonic()
        self._limit.record_latency(seconds, in_flight, max(1, self._pool.share), now)
        self._service_time += SERVICE_TIME_GAIN * (seconds - self._service_time)

    def lost(self, error: ConnectionLost) -> None:
        """Record a connection that was lost during a run."""
        self._observations.timeouts += 1
        if error.is_silent:
            log_event(logger, catalogue.CONNECTION_SILENT, target=self._target)
        else:
            log_event(logger, catalogue.CONNECTION_LOST, target=self._target, reason=str(error))

    def close(self) -> None:
        """Close all connections."""
        self._carry_out(self._pool.set_share(0, 0.0, self._context.clock.monotonic()))
        for connection in self._connections.values():
            connection.close()
        for task in self._tasks:
            task.cancel()

    def _give_up(self, waiter: asyncio.Future) -> None:
        if self._pool.cancel(waiter):
            return
        if waiter.done() and not waiter.cancelled() and waiter.exception() is None:
            self.release(self._lent(waiter.result()))

    def _carry_out(self, effects: Iterable[PoolEffect]) -> None:
        pending = list(effects)
        while pending:
            effect = pending.pop(0)
            match effect:
                case OpenConnection(connection_id):
                    self._start(self._open(connection_id))
                case CloseConnection(connection_id):
                    pending += self._close(connection_id)
                case AssignConnection(connection_id, waiter):
                    pending += self._lend(connection_id, waiter)

    def _lend(self, connection_id: ConnectionId, waiter: asyncio.Future) -> list[PoolEffect]:
        if not waiter.done():
            waiter.set_result(connection_id)
            return []
        return self._pool.release(connection_id, True, self._context.clock.monotonic())

    def _close(self, connection_id: ConnectionId) -> list[PoolEffect]:
        connection = self._connections.pop(connection_id, None)
        if connection is None:
            # The attempt to open it is still running and reports the end.
            return []
        if not connection.is_usable:
            self._start(self._terminate(connection))
        connection.close()
        return self._pool.handle_lost(connection_id, self._context.clock.monotonic())

    async def _terminate(self, connection: Connection) -> None:
        """Have the target close a lost connection.

        The target does not notice the end of a connection that went silent on the way, and would
        count it against its limit for good.
        """
        context = self._context
        admin = context.driver.admin
        try:
            await admin.terminate_connection(
                self._address, context.instance, connection.incarnation, timeout=TERMINATE_SECONDS
            )
        except AdminError as error:
            logger.debug("a lost connection to %s was not terminated: %s", self._target, error)

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
            self._observe_failure(error)
            self._carry_out(self._pool.handle_lost(connection_id, context.clock.monotonic()))
            return
        self._has_failed = False
        self._connections[connection_id] = connection
        log_event(logger, catalogue.CONNECTION_OPENED, target=self._target)
        now = context.clock.monotonic()
        self._carry_out(self._pool.handle_opened(connection_id, now))
        if self._pool.state(connection_id) is None or self._is_closing(connection_id):
            self._connections.pop(connection_id, None)
            connection.close()
            self._carry_out(self._pool.handle_lost(connection_id, now))

    def _observe_failure(self, error: ConnectError) -> None:
        if error.failure is ConnectFailure.REFUSED:
            self._observations.refusals += 1
        elif error.failure is ConnectFailure.TIMED_OUT:
            self._observations.timeouts += 1
        else:
            return
        # Attempts repeat until one succeeds, so only the first failure is logged.
        if not self._has_failed:
            self._has_failed = True
            log_event(logger, catalogue.CONNECTION_FAILED, target=self._target, reason=str(error))

    def _is_closing(self, connection_id: ConnectionId) -> bool:
        return self._pool.state(connection_id) is ConnectionState.CLOSING

    def _start(self, coroutine: object) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
