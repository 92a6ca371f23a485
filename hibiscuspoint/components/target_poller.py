"""The control leader's own connections to the targets."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from hibiscuspoint.core.failover import StatusReply, StatusSource
from hibiscuspoint.drivers.errors import ConnectError, ConnectFailure, ConnectionLost
from hibiscuspoint.telemetry import catalogue, log_event
from hibiscuspoint.util.tasks import spawn

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hibiscuspoint.core.control import Effect
    from hibiscuspoint.core.control.state import TargetRecord
    from hibiscuspoint.core.failover import FailoverLeader, StatusAnswer, TargetStatus
    from hibiscuspoint.core.ports import Clock, SessionConnection, SessionDriver
    from hibiscuspoint.ids import TargetId, Term

    Decide = Callable[[Callable[[FailoverLeader], list[Effect]]], None]

__all__ = ["TargetPoller"]

logger = logging.getLogger(__name__)

#: Seconds between two polls of a primary. Two of these and an answer fit into the silence after
#: which it is taken for lost, and positions read so often serve reads with an age of 1.5 s.
PRIMARY_POLL_SECONDS = 0.5

#: Seconds between two polls of a replica; its heartbeats tell whether it is there.
REPLICA_POLL_SECONDS = 2.5

#: Seconds between two polls of the targets of a group that changes its primary.
ACTIVE_POLL_SECONDS = 0.05

#: Longest time in seconds to wait for an answer.
ANSWER_SECONDS = 0.4

#: Seconds without a new answer after which a connection is replaced: the first answer of a
#: connection proves the position again. With the next poll of an idle primary it is proven often
#: enough for reads with an age of 1.5 s.
UNPROVEN_SECONDS = 0.75


class TargetPoller:
    """Asks every registered target for its state while this instance leads."""

    def __init__(self, driver: SessionDriver, clock: Clock) -> None:
        self._driver = driver
        self._clock = clock
        self._decide: Decide | None = None
        self._may_order: Callable[[], bool] = lambda: True
        self._links: dict[TargetId, _Link] = {}

    def set_decision_runner(
        self, decide: Decide, may_order: Callable[[], bool] = lambda: True
    ) -> None:
        """Set what runs decisions with the leader.

        :param may_order: tells, right before an order is sent, whether this instance still leads.
        """
        self._decide, self._may_order = decide, may_order

    def set_targets(
        self, targets: list[TargetRecord], urgent: set[TargetId], active_groups: set[str]
    ) -> None:
        """Poll these targets and no others.

        :param urgent: targets whose state must be known soon, such as primaries.
        :param active_groups: groups that change their primary.
        """
        wanted = {target.target: target for target in targets}
        for target in set(self._links) - set(wanted):
            self._links.pop(target).stop()
        for target, record in wanted.items():
            link = self._links.get(target)
            if link is not None and link.is_outdated(record):
                link.stop()
                link = None
            if link is None:
                link = _Link(record, self._driver, self._clock, self._decide)
                self._links[target] = link
            if record.group in active_groups:
                link.set_interval(ACTIVE_POLL_SECONDS)
            else:
                is_urgent = target in urgent
                link.set_interval(PRIMARY_POLL_SECONDS if is_urgent else REPLICA_POLL_SECONDS)

    def stop(self) -> None:
        """Close all connections."""
        self.set_targets([], set(), set())

    async def pause(self, target: TargetId, term: Term) -> StatusReply | None:
        """Pause a replica and return its state; ``None`` without an answer."""
        return await self._order(target, lambda c: c.pause(term, ANSWER_SECONDS))

    async def step_down(self, target: TargetId, term: Term) -> StatusReply | None:
        """Make a primary step down and return its state; ``None`` without an answer."""
        return await self._order(target, lambda c: c.step_down(term, ANSWER_SECONDS))

    async def resume(self, target: TargetId) -> StatusReply | None:
        """Let a paused replica receive again and return its state; ``None`` without an answer."""
        return await self._order(target, lambda c: c.resume(ANSWER_SECONDS))

    async def _order(
        self, target: TargetId, call: Callable[[SessionConnection], Awaitable[StatusAnswer]]
    ) -> StatusReply | None:
        link = self._links.get(target)
        return await link.order(call, self._may_order) if link is not None else None


class _Link:
    """Polls one target over one connection."""

    def __init__(
        self, record: TargetRecord, driver: SessionDriver, clock: Clock, decide: Decide
    ) -> None:
        self._record = record
        self._driver = driver
        self._clock = clock
        self._decide = decide
        self._connection: SessionConnection | None = None
        self._connected_at = 0.0
        self._lock = asyncio.Lock()
        self._interval = ACTIVE_POLL_SECONDS
        self._wake = asyncio.Event()
        self._is_reachable = True
        self._is_stopped = False
        self._is_proven = True
        self._status: TargetStatus | None = None
        self._read_at = 0.0
        self._task = spawn(self._poll_forever(), f"polls of {record.target}")

    def is_outdated(self, record: TargetRecord) -> bool:
        """Tell whether the target was restarted or moved."""
        known = self._record
        return (known.address, known.incarnation) != (record.address, record.incarnation)

    def set_interval(self, interval: float) -> None:
        """Set the seconds between two polls."""
        if interval < self._interval:
            self._wake.set()
        self._interval = interval

    def stop(self) -> None:
        """End the polls and close the connection."""
        self._is_stopped = True
        self._task.cancel()
        if self._connection is not None:
            self._connection.close()

    async def order(
        self,
        call: Callable[[SessionConnection], Awaitable[StatusAnswer]],
        may_send: Callable[[], bool],
    ) -> StatusReply | None:
        """Send an order and return the status after it; ``None`` when there was no answer."""
        asked_at = self._clock.monotonic()
        called = await self._call(call, may_send, needs_proof=True)
        if called is None:
            return None
        answer, source = called
        if not answer.is_new:
            # A repetition of an earlier answer does not prove that the order took effect.
            self._connection.close()
            return None
        self._record_status(answer.status, asked_at)
        return StatusReply(answer.status, source) if answer.status is not None else None

    async def _call(
        self,
        call: Callable[[SessionConnection], Awaitable[StatusAnswer]],
        may_send: Callable[[], bool] = lambda: True,
        *,
        needs_proof: bool = False,
    ) -> tuple[StatusAnswer, StatusSource] | None:
        """Make a call and return its answer with the connection; ``None`` without an answer.

        :param needs_proof: whether to replace a connection whose answers prove nothing any more.
        """
        target = self._record.target
        async with self._lock:
            try:
                if needs_proof and not self._is_proven and self._connection is not None:
                    self._connection.close()
                connection = await self._connected()
                source = StatusSource(self._record.incarnation, self._connected_at)
                return (await call(connection), source) if may_send() else None
            except ConnectError as error:
                self._note_loss(str(error))
                if error.failure is ConnectFailure.REFUSED:
                    now = self._clock.monotonic()
                    self._tell(lambda c: c.record_connection_refusal(target, now), now)
                elif error.failure is ConnectFailure.WRONG_TARGET:
                    now = self._clock.monotonic()
                    self._tell(lambda c: c.record_replacement(target, now), now)
                elif error.failure is ConnectFailure.LIMITED:
                    now = self._clock.monotonic()
                    self._tell(lambda c: c.record_busy_reply(target, now), now)
            except ConnectionLost as error:
                self._note_loss(str(error))
        return None

    async def _connected(self) -> SessionConnection:
        if self._connection is None or not self._connection.is_open:
            record = self._record
            self._connection = await self._driver.connect(
                record.group, record.target, record.address, ANSWER_SECONDS
            )
            self._connected_at = self._clock.monotonic()
            self._is_proven = True
        if self._is_stopped:
            # An order may have waited for the connection while the target moved.
            self._connection.close()
            raise ConnectionLost("the target has moved or is gone", sent=False)
        return self._connection

    async def _poll_forever(self) -> None:
        while True:
            self._wake.clear()
            asked_at = self._clock.monotonic()
            try:
                called = await self._call(lambda c: c.status(ANSWER_SECONDS))
                if called is not None:
                    self._take(*called, asked_at)
            except Exception:
                # A target that is not polled any more would never be replaced.
                logger.exception("the poll of %s failed", self._record.target)
            try:
                async with asyncio.timeout(self._interval):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _take(self, answer: StatusAnswer, source: StatusSource, asked_at: float) -> None:
        """Take the answer to a poll.

        One that equals an earlier answer may repeat it. It tells that the target answers; its facts
        count only if they are those of the last new answer, and as old as that.
        """
        target, now = self._record.target, self._clock.monotonic()
        status = answer.status
        self._is_proven = answer.is_new
        if not self._is_reachable:
            self._is_reachable = True
            log_event(logger, catalogue.TARGET_REGAINED, target=target)
        if status is None:
            self._tell(lambda c: c.record_busy_reply(target, now), now)
        elif answer.is_new or status.states_same_facts(self._status):
            if answer.is_new:
                self._record_status(status, asked_at)
            elif now - self._read_at > UNPROVEN_SECONDS:
                self._connection.close()
            read_at = self._read_at
            self._decide(
                lambda leader: leader.handle_status(target, status, source, asked_at, now, read_at)
            )
        else:
            self._connection.close()

    def _record_status(self, status: TargetStatus | None, read_at: float) -> None:
        if status is not None:
            self._status, self._read_at = status, read_at

    def _tell(self, act: Callable, now: float) -> None:
        if self._is_stopped:
            # What answers at the former address says nothing about the target.
            return
        self._decide(lambda leader: leader.update_group(self._record.group, act, now))

    def _note_loss(self, reason: str) -> None:
        if self._is_reachable and not self._is_stopped:
            self._is_reachable = False
            target = self._record.target
            log_event(logger, catalogue.TARGET_LOST, target=target, reason=reason)
