"""Connections of one instance to one target, shared by sessions in turn."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hibiscuspoint.components.sessions.connection import PooledConnection
from hibiscuspoint.core.sessions import ConnectionUseAverage
from hibiscuspoint.drivers.errors import ConnectError, ConnectFailure
from hibiscuspoint.telemetry import catalogue, log_event
from hibiscuspoint.util.tasks import spawn

if TYPE_CHECKING:
    from hibiscuspoint.core.ports import Clock, SessionDriver
    from hibiscuspoint.core.sessions import ConnectionDemand, SessionContext
    from hibiscuspoint.ids import GroupId, TargetId

__all__ = ["TargetPool"]

logger = logging.getLogger(__name__)

#: Longest time in seconds to open a connection. A handshake takes some ten milliseconds, and an
#: opening packet that was lost is sent again after a second.
CONNECT_SECONDS = 1.2

#: Bounds of the seconds before a target that had no connection left is asked again; the wait
#: doubles with each answer that it has none, as each question takes time of the target.
FULL_RETRY_MIN_SECONDS = 0.02
FULL_RETRY_MAX_SECONDS = 0.32

#: Connections that one instance opens to one target at the same time; each takes a slot of the
#: target for its handshake.
OPENING_LIMIT = 3

#: Seconds after which an idle connection beyond the share of this instance is closed. Where there
#: are fewer connections than instances, an idle one is missing elsewhere: 73 transactions a second
#: at a primary with 34 connections leave no room for connections that are idle for a second.
SURPLUS_SECONDS = 0.25

#: Seconds after which an idle connection within the share is closed.
IDLE_SECONDS = 30.0


@dataclass(order=True)
class _Waiter:
    priority: int
    number: int
    future: asyncio.Future = field(compare=False)
    context: SessionContext = field(compare=False)


class TargetPool:
    """Opens connections when sessions need them and closes those that are idle for long.

    :param address: "ip:port" of the target.
    :param share: connections that this instance keeps while they are idle.
    """

    def __init__(
        self, group: GroupId, target: TargetId, address: str, driver: SessionDriver, clock: Clock
    ) -> None:
        self._group = group
        self._target = target
        self._address = address
        self._driver = driver
        self._clock = clock
        self._idle: list[PooledConnection] = []
        self._waiters: list[_Waiter] = []
        self._numbers = itertools.count()
        self._in_use: set[PooledConnection] = set()
        self._use_times = ConnectionUseAverage()
        self._opening = 0
        self._retry_at = 0.0
        self._retry_delay_seconds = FULL_RETRY_MIN_SECONDS
        self._is_closed = False
        self._is_failing = False
        self._timer: asyncio.TimerHandle | None = None
        self.share = 1
        self.limit = 1
        #: Connections that the address refused since the last report.
        self.refusals = 0

    @property
    def group(self) -> GroupId:
        """Return the group of the target."""
        return self._group

    @property
    def address(self) -> str:
        """Return the address of the target."""
        return self._address

    @property
    def size(self) -> int:
        """Return the number of open connections."""
        return len(self._idle) + len(self._in_use)

    @property
    def use(self) -> tuple[int, int, int]:
        """Return the connections in use, the statements that wait, and the limit."""
        return len(self._in_use), len(self._waiters), self.limit

    async def acquire(self, demand: ConnectionDemand) -> PooledConnection:
        """Return a connection, preferably one whose values are those of the session.

        :raises ConnectError: the target cannot be reached, or has no connection in time; at once if
            so many statements wait that this one would wait too long.
        """
        if not self._waiters:
            pooled = self._take_idle(demand.session)
            if pooled is not None:
                return pooled
        self._check_expected_wait(demand)
        future: asyncio.Future[PooledConnection] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(demand.priority, next(self._numbers), future, demand.session)
        heapq.heappush(self._waiters, waiter)
        self._serve_waiters()
        try:
            await asyncio.wait(
                {future}, timeout=max(0.0, demand.deadline - self._clock.monotonic())
            )
        except asyncio.CancelledError:
            self._cancel_wait(waiter)
            raise
        if future.done():
            return future.result()
        self._cancel_wait(waiter)
        message = f"no connection to {self._target} in time"
        raise ConnectError(ConnectFailure.LIMITED, message)

    def release(self, pooled: PooledConnection) -> None:
        """Take a connection back; one that is not usable is dropped."""
        now = self._clock.monotonic()
        if pooled in self._in_use:
            self._in_use.discard(pooled)
            self._use_times.record_use(now - pooled.taken_at)
        if pooled.connection.is_open and not self._is_closed:
            pooled.idle_since = now
            self._idle.append(pooled)
        else:
            pooled.connection.close()
        self._serve_waiters()

    def tick(self, now: float) -> None:
        """Close connections that are idle for long or that the target has closed."""
        kept: list[PooledConnection] = []
        for position, pooled in enumerate(reversed(self._idle)):
            limit = IDLE_SECONDS if position + len(self._in_use) < self.share else SURPLUS_SECONDS
            if pooled.connection.is_open and now - pooled.idle_since < limit:
                kept.append(pooled)
            else:
                pooled.connection.close()
        self._idle = kept[::-1]

    def close(self) -> None:
        """Close the idle connections; those in use are closed when they are returned."""
        self._is_closed = True
        for pooled in self._idle:
            pooled.connection.close()
        self._idle.clear()
        self._fail_waiters(ConnectError(ConnectFailure.LEAVING, f"{self._target} is gone"))

    def _check_expected_wait(self, demand: ConnectionDemand) -> None:
        """Refuse a statement that would wait too long for one of the connections in use."""
        now = self._clock.monotonic()
        # A target that had no connection left may be asked again, but probably has none yet.
        is_full = self._retry_delay_seconds > FULL_RETRY_MIN_SECONDS
        may_open = self.size + self._opening < self.limit and not is_full
        if may_open or not self._in_use:
            return
        ahead = sum(waiter.priority <= demand.priority for waiter in self._waiters)
        wait = self._use_times.expected_wait(ahead, len(self._in_use))
        if wait > min(demand.deadline - now, demand.max_expected_wait_seconds):
            message = (
                f"{ahead} statements wait for {len(self._in_use)} connections to {self._target}"
            )
            raise ConnectError(ConnectFailure.LIMITED, message)

    def _take_idle(self, context: SessionContext) -> PooledConnection | None:
        usable = [pooled for pooled in self._idle if pooled.connection.is_open]
        for pooled in self._idle:
            if not pooled.connection.is_open:
                pooled.connection.close()
        self._idle = usable
        if not usable:
            return None
        # Of equally near ones the one used last, so that the others can be closed.
        best = min(reversed(usable), key=lambda pooled: pooled.context.distance(context))
        usable.remove(best)
        self._in_use.add(best)
        best.taken_at = self._clock.monotonic()
        return best

    def _serve_waiters(self) -> None:
        while self._waiters:
            pooled = self._take_idle(self._waiters[0].context)
            if pooled is None:
                break
            heapq.heappop(self._waiters).future.set_result(pooled)
        wanted = min(len(self._waiters), OPENING_LIMIT, self.limit - self.size)
        now = self._clock.monotonic()
        if wanted > self._opening and now < self._retry_at:
            self._retry_later(self._retry_at - now)
            return
        for _ in range(wanted - self._opening):
            self._opening += 1
            spawn(self._open(), f"connection to {self._target}")

    async def _open(self) -> None:
        try:
            connection = await self._driver.connect(
                self._group, self._target, self._address, CONNECT_SECONDS
            )
        except ConnectError as error:
            self._opening -= 1
            self._open_failed(error)
            return
        except BaseException:
            self._opening -= 1
            raise
        self._opening -= 1
        if self._is_closed:
            connection.close()
            return
        self._retry_delay_seconds = FULL_RETRY_MIN_SECONDS
        if self._is_failing:
            self._is_failing = False
            log_event(logger, catalogue.CONNECTION_RESTORED, target=self._target)
        pooled = PooledConnection(connection, self._clock, self.release)
        pooled.idle_since = self._clock.monotonic()
        self._idle.append(pooled)
        self._serve_waiters()

    def _open_failed(self, error: ConnectError) -> None:
        if error.failure is ConnectFailure.LIMITED:
            self._retry_at = self._clock.monotonic() + self._retry_delay_seconds
            self._retry_later(self._retry_delay_seconds)
            self._retry_delay_seconds = min(2 * self._retry_delay_seconds, FULL_RETRY_MAX_SECONDS)
            return
        if error.failure is ConnectFailure.REFUSED:
            self.refusals += 1
        if not self._is_failing:
            # Each failed statement has the reason in its own line.
            self._is_failing = True
            log_event(logger, catalogue.CONNECTION_FAILED, target=self._target, reason=str(error))
        self._fail_waiters(error)

    def _retry_later(self, seconds: float) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(seconds, self._retry)

    def _retry(self) -> None:
        self._timer = None
        if not self._is_closed:
            self._serve_waiters()

    def _fail_waiters(self, error: ConnectError) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.future.done():
                waiter.future.set_exception(error)

    def _cancel_wait(self, waiter: _Waiter) -> None:
        """Forget a waiter that gave up, and take back a connection that it was given meanwhile."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            heapq.heapify(self._waiters)
        elif waiter.future.done() and waiter.future.exception() is None:
            self.release(waiter.future.result())
