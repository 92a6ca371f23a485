"""Connections of one instance to one target, shared by sessions in turn."""

from __future__ import annotations

import asyncio
import logging
import math
from collections import Counter
from typing import TYPE_CHECKING

from hibiscuspoint.components.sessions.connection import PooledConnection
from hibiscuspoint.components.sessions.connection_records import ConnectionCounts
from hibiscuspoint.components.sessions.kept_back import KeptBackConnections
from hibiscuspoint.components.sessions.wait_records import WaitRecords
from hibiscuspoint.core.scheduling import (
    ConnectionUse,
    RefusalReason,
    latest_start,
    wait_queues,
)
from hibiscuspoint.core.sessions import ConnectionUseAverage, OpeningBudget
from hibiscuspoint.drivers.errors import ConnectError, ConnectFailure
from hibiscuspoint.telemetry import catalogue, log_event
from hibiscuspoint.util.tasks import spawn

if TYPE_CHECKING:
    from hibiscuspoint.core.ports import Clock, SessionDriver
    from hibiscuspoint.core.scheduling import Refusal, Waiter
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

#: Seconds after the time at which a queue may refuse a waiter until it is asked.
CHECK_MARGIN_SECONDS = 0.001

#: Seconds after which an idle connection within the share is closed.
IDLE_SECONDS = 30.0

#: Seconds for which a statement may be overtaken by statements of other organisations that reuse
#: their connections. It is about two handshakes: a shorter wait would replace connections that are
#: in use all the time.
OVERTAKE_SECONDS = 0.025


class TargetPool:
    """Opens connections when sessions need them and closes those that are idle for long.

    :param address: "ip:port" of the target.
    :param share: connections that this instance keeps while they are idle.
    :param scheduling: registered name of the order in which statements get connections.
    """

    def __init__(
        self,
        group: GroupId,
        target: TargetId,
        address: str,
        driver: SessionDriver,
        clock: Clock,
        scheduling: str = "priority",
        records: WaitRecords | None = None,
    ) -> None:
        self._group = group
        self._target = target
        self._address = address
        self._driver = driver
        self._clock = clock
        self._idle: list[PooledConnection] = []
        self._kept_back = KeptBackConnections(clock, self._use_again)
        self._queue = wait_queues.get(scheduling)()
        self._records = records or WaitRecords()
        self._futures: dict[Waiter, asyncio.Future[PooledConnection]] = {}
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
        #: Bound on new connections, whatever the cause.
        self.budget = OpeningBudget(math.inf, self.limit)
        #: Order of new connections where organisations are in force; ``None`` elsewhere.
        self.rules: OpeningRules | None = None
        #: Connections that the address refused since the last report.
        self.refusals = 0
        self._opened = 0
        self._replaced = 0
        self._refused = 0

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
        return len(self._idle) + len(self._kept_back) + len(self._in_use)

    def take_counts(self) -> ConnectionCounts:
        """Return what became of connections since the last call."""
        counts = ConnectionCounts(self._opened, self._replaced, self._refused)
        self._opened = self._replaced = self._refused = 0
        return counts

    @property
    def use(self) -> tuple[int, int, int]:
        """Return the connections in use, the statements that wait, and the limit."""
        return len(self._in_use), len(self._queue), self.limit

    async def acquire(self, demand: ConnectionDemand) -> PooledConnection:
        """Return a connection, preferably one whose values are those of the session.

        :raises ConnectError: the target cannot be reached, or has no connection in time; at once if
            so many statements wait that this one would wait too long, or its answer would.
        """
        if self._clock.monotonic() > latest_start(demand, demand.answer_until):
            message = f"too little time for a statement at {self._target}"
            raise self._refuse(demand, RefusalReason.DEADLINE, message, 0.0)
        if not self._waiting[demand.organisation]:
            pooled = self._take_idle(demand)
            if pooled is not None:
                self._records.record_wait(self._group, demand.priority, 0.0, pooled.taken_at)
                return pooled
        refusal = self._check(demand)
        if refusal is not None:
            message = f"{refusal.text} to {self._target}"
            raise self._refuse(demand, refusal.reason, message, refusal.retry_after_seconds)
        future: asyncio.Future[PooledConnection] = asyncio.get_running_loop().create_future()
        waiter = self._add_waiter(demand, future)
        self._serve_waiters()
        try:
            await self._wait(waiter, future)
        except asyncio.CancelledError:
            self._cancel_wait(waiter, future)
            raise
        if future.done():
            return future.result()
        self._cancel_wait(waiter, future)
        raise self._refuse_wait(waiter)

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
        if is_usable and pooled.was_refused:
            # The next use may end without a statement, and then has no refusal of its own.
            pooled.was_refused = False
            self._kept_back.add(pooled, now)
        elif is_usable and not self._is_needed_elsewhere(pooled, now):
            self._kept_back.record_success()
            pooled.idle_since = now
            self._idle.append(pooled)
        else:
            pooled.connection.close()
        self._serve_waiters()

    def tick(self, now: float) -> None:
        """Close connections that are idle for long or that the target has closed."""
        self._end_rests(now)
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
        self._kept_back.close()
        for pooled in self._idle:
            pooled.connection.close()
        self._idle.clear()
        self._fail_waiters(ConnectError(ConnectFailure.LEAVING, f"{self._target} is gone"))

    def _use_again(self, pooled: PooledConnection) -> None:
        """Take a connection that was kept back."""
        if pooled.is_open and not self._is_closed:
            pooled.idle_since = self._clock.monotonic()
            self._idle.append(pooled)
        self._serve_waiters()

    def _end_rests(self, now: float) -> None:
        """Let the connections be used again that have rested."""
        for pooled in self._kept_back.take_rested(now):
            pooled.idle_since = now
            self._idle.append(pooled)

    async def _wait(self, waiter: Waiter, future: asyncio.Future[PooledConnection]) -> None:
        """Wait for a connection until the deadline, and look when the queue may refuse it."""
        deadline = waiter.demand.deadline
        while not future.done() and (now := self._clock.monotonic()) < deadline:
            until = min(deadline, max(now, waiter.check_at) + CHECK_MARGIN_SECONDS)
            await asyncio.wait({future}, timeout=until - now)
            if not future.done():
                self._refuse_expired()

    def _refuse_expired(self) -> None:
        for waiter in self._queue.expired(self._clock.monotonic()):
            self._forget(waiter).set_exception(self._refuse_wait(waiter))

    def _refuse_hopeless(self) -> None:
        """Refuse waiters that a full target, of which others hold all connections, keeps too long.

        A queue by priority lets them wait, as no connection is in use.
        """
        for waiter in list(self._futures):
            if self._check(waiter.demand) is not None:
                self._queue.remove(waiter)
                self._forget(waiter).set_exception(self._refuse_wait(waiter))

    def _refuse_wait(self, waiter: Waiter) -> ConnectError:
        """Return the refusal of a statement that has waited."""
        refusal = self._check(waiter.demand)
        reason = refusal.reason if refusal is not None else RefusalReason.DEADLINE
        retry_after = refusal.retry_after_seconds if refusal is not None else 0.0
        message = f"no connection to {self._target} in time"
        return self._refuse(waiter.demand, reason, message, retry_after)

    def _refuse(
        self, demand: ConnectionDemand, reason: RefusalReason, message: str, retry_after: float
    ) -> ConnectError:
        now = self._clock.monotonic()
        self._records.record_refusal(self._group, demand.priority, reason.value, message, now)
        return ConnectError(ConnectFailure.LIMITED, message, retry_after)

    def _check(self, demand: ConnectionDemand) -> Refusal | None:
        """Return why a statement would wait too long for one of the connections in use."""
        now = self._clock.monotonic()
        # A target that had no connection left may be asked again, but probably has none yet.
        budget_delay = self.budget.opening_delay(now)
        is_full = self._retry_delay_seconds > FULL_RETRY_MIN_SECONDS or budget_delay > 0
        may_open = self._has_room and not is_full
        may_open = may_open and not self._kept_back.has(demand.organisation)
        may_open = may_open or bool(self._idle)
        held = [now - pooled.taken_at for pooled in self._in_use]
        # A connection that is kept back serves a statement soon, as one does that was just taken.
        held += [0.0] * len(self._kept_back)
        opens_in = max(budget_delay, self._retry_at - now, self._kept_back.next_in(now) or 0.0)
        use = ConnectionUse(tuple(held), self._use_times.average_seconds, may_open, opens_in)
        return self._queue.check(demand, use, now)

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
        """Forget idle connections that the target has closed, after those that rested are idle."""
        self._end_rests(self._clock.monotonic())
        for pooled in self._idle:
            if not pooled.connection.is_open:
                pooled.connection.close()
        self._idle = [pooled for pooled in self._idle if pooled.connection.is_open]

    def _serve_waiters(self) -> None:
        now = self._clock.monotonic()
        self._refuse_expired()
        self._drop_closed()
        while self._idle and (waiter := self._queue.pop(now, self._has_idle)) is not None:
            waited, priority = now - waiter.pushed_at, waiter.demand.priority
            self._records.record_wait(self._group, priority, waited, now)
            if self.rules is not None:
                self.rules.record_progress(waiter.demand.organisation, now)
            self._forget(waiter).set_result(self._take_idle(waiter.demand))
        while self._opening.total() < OPENING_LIMIT:
            organisations = self._organisations_to_open_for(now)
            waiter = self._queue.first(
                now, lambda demand, o=organisations: demand.organisation in o
            )
            if waiter is None:
                break
            delay = self.budget.opening_delay(now)
            if delay <= 0:
                if not self._make_room(now):
                    break
                delay = self._retry_at - now
            if delay > 0:
                self._retry_later(delay)
                break
            self._start_opening(waiter.demand.organisation, now)
        self._decide_later(now)

    def _has_idle(self, demand: ConnectionDemand) -> bool:
        """Tell whether a statement may use one of the idle connections."""
        return any(pooled.organisation == demand.organisation for pooled in self._idle)

    def _start_opening(self, organisation: OrganisationId, now: float) -> None:
        self._has_made_room = False
        self._opening[organisation] += 1
        self.budget.record_opening(now)
        spawn(self._open(organisation), f"connection to {self._target}")

    def _decide_later(self, now: float) -> None:
        """Look again when statements have waited long enough for connections in use."""
        delay = self.rules.next_decision(now) if self.rules is not None else None
        if delay is not None:
            self._retry_later(delay)
        delay = self._kept_back.next_in(now) if self._waiting else None
        if delay is not None:
            self._retry_later(delay)

    def _organisations_to_open_for(self, now: float) -> set[OrganisationId]:
        """Return the organisations for whose waiting statements connections may be opened.

        While one of their connections is kept back, another one would only take a slot of a full
        target.
        """
        return {
            organisation
            for organisation in self._waiting
            if self._lacks_connection(organisation, now)
            and not self._has_its_part(organisation)
            and not self._kept_back.has(organisation)
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
        organisations = self._organisations_to_open_for(now)
        first = self._queue.first(now, lambda demand: demand.organisation in organisations)
        if first is None or first.demand.organisation == pooled.organisation:
            return False
        is_full = now < self._retry_at and not self._has_made_room
        is_limited = self.size + 1 + self._opening.total() >= self.limit
        may_open = self._opening.total() < OPENING_LIMIT and not self.budget.opening_delay(now)
        if not (is_full or (is_limited and may_open)):
            return False
        has_its_part = self._has_its_part(pooled.organisation)
        if now - first.pushed_at < OVERTAKE_SECONDS and not has_its_part:
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
        self.budget.record_handshake(self._clock.monotonic() - started)
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
            self._refused += 1
            now = self._clock.monotonic()
            self._retry_at = now + self._retry_delay_seconds
            if self._waiting:
                # The idle connections of others are the only ones that this pool can free.
                self._make_room(now)
            self._retry_later(self._retry_at - now)
            self._retry_delay_seconds = min(2 * self._retry_delay_seconds, FULL_RETRY_MAX_SECONDS)
            if not self._in_use:
                self._refuse_hopeless()
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
        for waiter in list(self._futures):
            self._queue.remove(waiter)
            future = self._forget(waiter)
            if not future.done():
                future.set_exception(error)

    def _cancel_wait(self, waiter: Waiter, future: asyncio.Future[PooledConnection]) -> None:
        """Forget a waiter that gave up, and take back a connection that it was given meanwhile."""
        if waiter in self._futures:
            self._queue.remove(waiter)
            self._forget(waiter)
        elif future.done() and future.exception() is None:
            self.release(future.result())

    def _add_waiter(
        self, demand: ConnectionDemand, future: asyncio.Future[PooledConnection]
    ) -> Waiter:
        waiter = self._queue.push(demand, self._clock.monotonic())
        self._futures[waiter] = future
        self._waiting[demand.organisation] += 1
        if self.rules is not None and self._waiting[demand.organisation] == 1:
            self.rules.record_progress(demand.organisation, waiter.pushed_at)
        return waiter

    def _forget(self, waiter: Waiter) -> asyncio.Future[PooledConnection]:
        """Return the future of a waiter that has left the queue."""
        organisation = waiter.demand.organisation
        self._waiting[organisation] -= 1
        if not self._waiting[organisation]:
            del self._waiting[organisation]
            if self.rules is not None:
                self.rules.forget(organisation)
        return self._futures.pop(waiter)
