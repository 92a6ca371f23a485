"""Admission of requests through the fair queue of a group."""

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

__all__ = ["AdmissionController", "AdmittedRequest"]


@dataclass
class AdmittedRequest:
    """A request that was admitted and occupies a slot of the queue.

    :param service_seconds: seconds that the target took, set by the body of ``admit``. It excludes
        the wait for a connection, which would make the queue reject requests after an outage.
    """

    service_seconds: float | None = None


class AdmissionController:
    """Suspends requests until ``AdmissionQueue`` admits them.

    :param max_length: greatest number of waiting requests.
    :param concurrency_limit: requests that may run at once.
    """

    def __init__(self, clock: Clock, max_length: int, concurrency_limit: int) -> None:
        self._clock = clock
        self._queue = AdmissionQueue(max_length, concurrency_limit)

    @property
    def queue(self) -> AdmissionQueue:
        """State machine of the queue, which decides the order and the rejections."""
        return self._queue

    @asynccontextmanager
    async def admit(self, caller: CallerId, deadline: float) -> AsyncIterator[AdmittedRequest]:
        """Wait for admission and occupy a slot while the body runs.

        :param deadline: monotonic time in seconds.
        :raises OverloadError: the request cannot finish before its deadline or the queue is full.
        :raises DeadlineError: the deadline passed before the request was admitted.
        """
        await self._wait_for_admission(caller, deadline)
        admitted = AdmittedRequest()
        try:
            yield admitted
        finally:
            self._queue.release_slot(admitted.service_seconds)
            self.dispatch()

    def dispatch(self) -> None:
        """Admit the requests that may run now and reject those that would miss their deadline."""
        now = self._clock.monotonic()
        while (request := self._queue.start_next(now)) is not None:
            if request.payload.done():
                self._queue.release_slot(None)
            else:
                request.payload.set_result(None)
        self._reject_expired()

    def tick(self, now: float) -> None:
        """Reject waiting requests whose deadline has passed."""
        if len(self._queue):
            self._queue.drop_expired(now)
            self.dispatch()

    def reject_all(self, error: Exception) -> None:
        """Reject all waiting requests with ``error``."""
        self._queue.drop_expired(math.inf)
        for request in self._queue.pop_dropped():
            if not request.payload.done():
                request.payload.set_exception(error)

    def set_paused(self, paused: bool) -> None:
        """Stop or resume the admission of waiting requests."""
        if paused:
            self._queue.pause()
            return
        self._queue.resume()
        self.dispatch()

    def set_max_length(self, max_length: int) -> None:
        """Set how many requests may wait."""
        self._queue.set_max_length(max_length)

    def set_concurrency_limit(self, concurrency_limit: int) -> None:
        """Set how many requests may run at once."""
        if concurrency_limit != self._queue.concurrency_limit:
            self._queue.set_concurrency_limit(concurrency_limit)
            self.dispatch()

    async def _wait_for_admission(self, caller: CallerId, deadline: float) -> None:
        waiter = asyncio.get_running_loop().create_future()
        request = QueuedRequest(caller, deadline, waiter)
        self._queue.enqueue(request, self._clock.monotonic())
        self.dispatch()
        try:
            await waiter
        except asyncio.CancelledError:
            if not self._queue.cancel(request) and waiter.done() and not waiter.cancelled():
                self._queue.release_slot(None)
                self.dispatch()
            raise

    def _reject_expired(self) -> None:
        now = self._clock.monotonic()
        for request in self._queue.pop_dropped():
            if not request.payload.done():
                request.payload.set_exception(_rejection(request, now))


def _rejection(request: QueuedRequest, now: float) -> Exception:
    if now >= request.deadline:
        message = "the deadline of the request passed while it waited in the queue"
        return DeadlineError(message, verdict=Verdict.NOT_RUN)
    return OverloadError("the request could not finish before its deadline")
