"""Turns of waiting requests on top of the fair queue of a group."""

from __future__ import annotations

import asyncio
import math
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.core.entry.admission import AdmissionQueue, QueuedRequest
from hibiscuspoint.errors import DeadlineError, OverloadError
from hibiscuspoint.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from hibiscuspoint.core.ports import Clock
    from hibiscuspoint.ids import CallerId

__all__ = ["Turn", "Turns"]


@dataclass
class Turn:
    """A request that runs.

    :param service_time: seconds that the target took; set by the body of the turn. Waits for a
        connection are left out, as they would make the queue refuse requests after an outage.
    """

    service_time: float | None = None


class Turns:
    """Lets requests run in the order and number that the queue decides.

    :param max_length: greatest number of waiting requests.
    :param slots: requests that may run at once.
    """

    def __init__(self, clock: Clock, max_length: int, slots: int) -> None:
        self._clock = clock
        self._queue = AdmissionQueue(max_length, slots)

    @property
    def queue(self) -> AdmissionQueue:
        """Return the queue."""
        return self._queue

    @asynccontextmanager
    async def turn(self, caller: CallerId, deadline: float) -> AsyncIterator[Turn]:
        """Wait for a turn and hold it while the body runs.

        :param deadline: monotonic time in seconds.
        :raises OverloadError: the request cannot finish in time or the queue is full.
        :raises DeadlineError: the deadline passed before the turn came.
        """
        await self._admit(caller, deadline)
        turn = Turn()
        try:
            yield turn
        finally:
            self._queue.release_slot(turn.service_time)
            self.pump()

    def pump(self) -> None:
        """Start the requests whose turn has come and refuse those that are too late."""
        now = self._clock.monotonic()
        while (request := self._queue.start_next(now)) is not None:
            if request.payload.done():
                self._queue.release_slot(None)
            else:
                request.payload.set_result(None)
        self._refuse_expired()

    def tick(self, now: float) -> None:
        """Refuse waiting requests whose deadline has passed."""
        if len(self._queue):
            self._queue.drop_expired(now)
            self.pump()

    def refuse_all(self, error: Exception) -> None:
        """Refuse all waiting requests."""
        self._queue.drop_expired(math.inf)
        for request in self._queue.pop_dropped():
            if not request.payload.done():
                request.payload.set_exception(error)

    def set_paused(self, paused: bool) -> None:
        """Hold or serve waiting requests."""
        if paused:
            self._queue.pause()
            return
        self._queue.resume()
        self.pump()

    def set_max_length(self, max_length: int) -> None:
        """Set how many requests may wait."""
        self._queue.set_max_length(max_length)

    def set_concurrency(self, slots: int) -> None:
        """Set how many requests may run at once."""
        if slots != self._queue.concurrency_limit:
            self._queue.set_concurrency_limit(slots)
            self.pump()

    async def _admit(self, caller: CallerId, deadline: float) -> None:
        future = asyncio.get_running_loop().create_future()
        request = QueuedRequest(caller, deadline, future)
        self._queue.enqueue(request, self._clock.monotonic())
        self.pump()
        try:
            await future
        except asyncio.CancelledError:
            if not self._queue.cancel(request) and future.done() and not future.cancelled():
                self._queue.release_slot(None)
                self.pump()
            raise

    def _refuse_expired(self) -> None:
        now = self._clock.monotonic()
        for request in self._queue.pop_dropped():
            if not request.payload.done():
                request.payload.set_exception(_refusal(request, now))


def _refusal(request: QueuedRequest, now: float) -> Exception:
    if now >= request.deadline:
        message = "the time of the request ended while it waited for its turn"
        return DeadlineError(message, verdict=Verdict.NOT_RUN)
    return OverloadError("the request could not finish before its deadline")
