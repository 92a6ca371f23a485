"""Connections of one instance to one target, shared by sessions in turn."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import logging
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hibiscuspoint.components.sessions.connection import PooledConnection
from hibiscuspoint.core.sessions import ConnectionUseAverage
from hibiscuspoint.drivers.errors import ConnectError, ConnectFailure
from hibiscuspoint.telemetry import catalogue, log_event
from hibiscuspoint.util.tasks import spawn

if TYPE_CHECKING:
    from hibiscuspoint.core.ports import Clock, SessionDriver
    from hibiscuspoint.core.sessions import ConnectionDemand, OpeningRules
    from hibiscuspoint.ids import GroupId, OrganisationId, TargetId

__all__ = ["TargetPool"]

logger = logging.getLogger(__name__)

#: Longest time in seconds to open a connection. A handshake takes some ten milliseconds, and an
#: opening packet that was lost is sent again after a second.
CONNECT_SECONDS = 1.2

#: Bounds of the seconds before a target that had no connection left is asked again; the wait
#: doubles with each answer that it has none, as each question takes time of the target.
FULL_RETRY_MIN_SECONDS = 0.02
FULL_RETRY_MAX_SECONDS = 0.32

#: Shortest time in seconds until waiting statements are looked at again. A time that was rounded
#: down would otherwise end before the moment that it was computed for.
RETRY_STEP_SECONDS = 0.001

#: Connections that one instance opens to one target at the same time; each takes a slot of the
#: target for its handshake.
OPENING_LIMIT = 3

#: Seconds after which an idle connection beyond the share of this instance is closed. Where there
#: are fewer connections than instances, an idle one is missing elsewhere: 73 transactions a second
#: at a primary with 34 connections leave no room for connections that are idle for a second.
SURPLUS_SECONDS = 0.25

#: Seconds after which an idle connection within the share is closed.
IDLE_SECONDS = 30.0

#: Seconds for which a statement may be overtaken by statements of other organisations that reuse
#: their connections. It is about two handshakes: a shorter wait would replace connections that are
#: in use all the time.
OVERTAKE_SECONDS = 0.025


@dataclass(order=True)
class _Waiter:
    priority: int
    number: int
    future: asyncio.Future = field(compare=False)
    demand: ConnectionDemand = field(compare=False)
    since: float = field(compare=False)


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
        self._opening: Counter[OrganisationId] = Counter()
        self._waiting: Counter[OrganisationId] = Counter()
        self._has_made_room = False
        self._retry_at = 0.0
        self._retry_delay_seconds = FULL_RETRY_MIN_SECONDS
        self._is_closed = False
        self._is_failing = False
        self._timer: asyncio.TimerHandle | None = None
        self.share = 1
        self.limit = 1
        #: Bounds on new connections where organisations are in force; ``None`` elsewhere.
        self.rules: OpeningRules | None = None
        #: Connections that the address refused since the last report.
        self.refusals = 0
        self._opened = 0
        self._replaced = 0

    @property
    def group(self) -> GroupId:
        """Return the group of the target."""
        return self._group

    @property
    def target(self) -> TargetId:
        """Return the target."""
        return self._target

    @property
    def address(self) -> str:
        """Return the address of the target."""
        return self._address

    @property
    def size(self) -> int:
        """Return the number of open connections."""
        return len(self._idle) + len(self._in_use)

    def take_counts(self) -> tuple[int, int]:
        """Return the connections opened since the last call, and those replaced.

        A connection is replaced when it is closed for a statement of another organisation.
        """
        counts = self._opened, self._replaced
        self._opened = self._replaced = 0
        return counts

    async def acquire(self, demand: ConnectionDemand) -> PooledConnection:
        """Return a connection, preferably one whose values are those of the session.

        :raises ConnectError: the target cannot be reached, or has no connection in time; at once if
            so many statements wait that this one would wait too long.
        """
        if not self._waiting[demand.organisation]:
            pooled = self._take_idle(demand)
            if pooled is not None:
                return pooled
        self._check_expected_wait(demand)
        future: asyncio.Future[PooledConnection] = asyncio.get_running_loop().create_future()
        now = self._clock.monotonic()
        waiter = _Waiter(demand.priority, next(self._numbers), future, demand, now)
        self._push_waiter(waiter)
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
        is_usable = pooled.connection.is_open and not self._is_closed
        if self.rules is not None and not self._has_room:
            # The limit was lowered, as another holder takes a part.
            is_usable = False
        if is_usable and not self._is_needed_elsewhere(pooled, now):
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
        may_open = (self._has_room and not is_full) or self._idle
        if may_open or not self._in_use:
            return
        ahead = sum(waiter.priority <= demand.priority for waiter in self._waiters)
        wait = self._use_times.expected_wait(ahead, len(self._in_use))
        if wait > min(demand.deadline - now, demand.max_expected_wait_seconds):
            message = (
                f"{ahead} statements wait for {len(self._in_use)} connections to {self._target}"
            )
            raise ConnectError(ConnectFailure.LIMITED, message)

    @property
    def _has_room(self) -> bool:
        """Return whether the limit allows another connection."""
        return self.size + self._opening.total() < self.limit

    def _take_idle(self, demand: ConnectionDemand) -> PooledConnection | None:
        self._drop_closed()
        usable = [pooled for pooled in self._idle if pooled.organisation == demand.organisation]
        if not usable:
            return None
        # Of equally near ones the one used last, so that the others can be closed.
        best = min(reversed(usable), key=lambda pooled: pooled.context.distance(demand.session))
        self._idle.remove(best)
        self._in_use.add(best)
        best.taken_at = self._clock.monotonic()
        return best

    def _drop_closed(self) -> None:
        """Forget idle connections that the target has closed."""
        for pooled in self._idle:
            if not pooled.connection.is_open:
                pooled.connection.close()
        self._idle = [pooled for pooled in self._idle if pooled.connection.is_open]

    def _serve_waiters(self) -> None:
        self._drop_closed()
        while waiter := self._pop_waiter({pooled.organisation for pooled in self._idle}):
            waiter.future.set_result(self._take_idle(waiter.demand))
        now = self._clock.monotonic()
        while self._opening.total() < OPENING_LIMIT:
            waiter = self._first_waiter(self._organisations_to_open_for(now))
            if waiter is None:
                self._decide_later(now)
                return
            delay = self._opening_delay(now)
            if delay <= 0:
                if not self._make_room(now):
                    return
                delay = self._retry_at - now
            if delay > 0:
                self._retry_later(delay)
                return
            self._start_opening(waiter.demand.organisation, now)

    def _start_opening(self, organisation: OrganisationId, now: float) -> None:
        self._has_made_room = False
        self._opening[organisation] += 1
        if self.rules is not None:
            self.rules.record_opening(now)
        spawn(self._open(organisation), f"connection to {self._target}")

    def _opening_delay(self, now: float) -> float:
        """Return the seconds until the next connection may be opened."""
        return self.rules.opening_delay(now) if self.rules is not None else 0.0

    def _decide_later(self, now: float) -> None:
        """Look again when statements have waited long enough for connections in use."""
        delay = self.rules.next_decision(now) if self.rules is not None else None
        if delay is not None:
            self._retry_later(delay)

    def _organisations_to_open_for(self, now: float) -> set[OrganisationId]:
        """Return the organisations for whose waiting statements connections may be opened."""
        return {
            organisation
            for organisation in self._waiting
            if self._lacks_connection(organisation, now) and not self._has_its_part(organisation)
        }

    def _lacks_connection(self, organisation: OrganisationId, now: float) -> bool:
        """Tell whether more statements of an organisation wait than connections will be free."""
        expected = self._opening[organisation]
        if self.rules is not None:
            in_use = self._in_use_count(organisation)
            average = self._use_times.average_seconds
            expected += self.rules.expected_returns(organisation, in_use, average, now)
        return self._waiting[organisation] > expected

    def _has_its_part(self, organisation: OrganisationId) -> bool:
        """Tell whether an organisation has as many connections as it may while others wait."""
        if self.rules is None or self._waiting.total() == self._waiting[organisation]:
            return False
        held = self._in_use_count(organisation) + self._opening[organisation]
        return held >= self.rules.organisation_limit

    def _in_use_count(self, organisation: OrganisationId) -> int:
        return sum(pooled.organisation == organisation for pooled in self._in_use)

    def _make_room(self, now: float) -> bool:
        """Close the idle connection used least recently, if no other one can be opened before.

        While statements wait, idle connections are those of other organisations.

        :returns: whether the limit allows another connection.
        """
        is_full = now < self._retry_at and not self._has_made_room
        if (self._has_room and not is_full) or not self._idle:
            return self._has_room
        self._replace(self._idle.pop(0), now)
        return True

    def _is_needed_elsewhere(self, pooled: PooledConnection, now: float) -> bool:
        """Close a returned connection if the first waiting statement cannot get another one.

        :returns: whether it was closed for a statement of another organisation.
        """
        if not self._waiting:
            return False
        first = self._first_waiter(self._organisations_to_open_for(now))
        if first is None or first.demand.organisation == pooled.organisation:
            return False
        is_full = now < self._retry_at and not self._has_made_room
        is_limited = self.size + 1 + self._opening.total() >= self.limit
        may_open = self._opening.total() < OPENING_LIMIT and not self._opening_delay(now)
        if not (is_full or (is_limited and may_open)):
            return False
        has_its_part = self._has_its_part(pooled.organisation)
        if now - first.since < OVERTAKE_SECONDS and not has_its_part:
            return False
        self._replace(pooled, now)
        return True

    def _replace(self, pooled: PooledConnection, now: float) -> None:
        """Close a connection so that one of another organisation can be opened."""
        pooled.connection.close()
        self._replaced += 1
        if now < self._retry_at:
            self._retry_at = min(self._retry_at, now + FULL_RETRY_MIN_SECONDS)
        self._has_made_room = True

    async def _open(self, organisation: OrganisationId) -> None:
        started = self._clock.monotonic()
        try:
            connection = await self._driver.connect(
                self._group, self._target, self._address, CONNECT_SECONDS, organisation
            )
        except ConnectError as error:
            self._opening[organisation] -= 1
            self._open_failed(error)
            return
        except BaseException:
            self._opening[organisation] -= 1
            raise
        self._opening[organisation] -= 1
        if self._is_closed:
            connection.close()
            return
        self._opened += 1
        if self.rules is not None:
            self.rules.record_handshake(self._clock.monotonic() - started)
        self._retry_delay_seconds = FULL_RETRY_MIN_SECONDS
        if self._is_failing:
            self._is_failing = False
            log_event(logger, catalogue.CONNECTION_RESTORED, target=self._target)
        pooled = PooledConnection(connection, self._clock, self.release, organisation)
        pooled.idle_since = self._clock.monotonic()
        self._idle.append(pooled)
        self._serve_waiters()

    def _open_failed(self, error: ConnectError) -> None:
        if error.failure is ConnectFailure.LIMITED:
            now = self._clock.monotonic()
            self._retry_at = now + self._retry_delay_seconds
            if self._waiting:
                # The idle connections of others are the only ones that this pool can free.
                self._make_room(now)
            self._retry_later(self._retry_at - now)
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
        seconds = max(seconds, RETRY_STEP_SECONDS)
        loop = asyncio.get_running_loop()
        if self._timer is not None:
            if self._timer.when() <= loop.time() + seconds:
                return
            self._timer.cancel()
        self._timer = loop.call_later(seconds, self._retry)

    def _retry(self) -> None:
        self._timer = None
        if not self._is_closed:
            self._serve_waiters()

    def _fail_waiters(self, error: ConnectError) -> None:
        waiters, self._waiters = self._waiters, []
        self._waiting.clear()
        for waiter in waiters:
            if not waiter.future.done():
                waiter.future.set_exception(error)

    def _cancel_wait(self, waiter: _Waiter) -> None:
        """Forget a waiter that gave up, and take back a connection that it was given meanwhile."""
        if waiter in self._waiters:
            self._remove_waiter(waiter)
        elif waiter.future.done() and waiter.future.exception() is None:
            self.release(waiter.future.result())

    def _push_waiter(self, waiter: _Waiter) -> None:
        heapq.heappush(self._waiters, waiter)
        organisation = waiter.demand.organisation
        self._waiting[organisation] += 1
        if self.rules is not None and self._waiting[organisation] == 1:
            self.rules.record_progress(organisation, waiter.since)

    def _first_waiter(self, organisations: set[OrganisationId]) -> _Waiter | None:
        """Return the first waiter of some organisations in order of service."""
        return min(
            (waiter for waiter in self._waiters if waiter.demand.organisation in organisations),
            default=None,
        )

    def _pop_waiter(self, organisations: set[OrganisationId]) -> _Waiter | None:
        """Remove and return the first waiter of some organisations."""
        waiter = self._first_waiter(organisations) if organisations else None
        if waiter is not None:
            if self.rules is not None:
                self.rules.record_progress(waiter.demand.organisation, self._clock.monotonic())
            self._remove_waiter(waiter)
        return waiter

    def _remove_waiter(self, waiter: _Waiter) -> None:
        self._waiters.remove(waiter)
        heapq.heapify(self._waiters)
        organisation = waiter.demand.organisation
        self._waiting[organisation] -= 1
        if not self._waiting[organisation]:
            del self._waiting[organisation]
            if self.rules is not None:
                self.rules.forget(organisation)
