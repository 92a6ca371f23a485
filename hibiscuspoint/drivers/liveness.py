"""Liveness of a connection that owes an answer (design decision D11)."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["LivenessTimer"]

# A check that runs this late means that this process was held up and may have unread replies.
HELD_UP_S = 0.1


class LivenessTimer:
    """Timer of one pending answer.

    Sends a ping when the answer is overdue and again after each sign of life; reports a loss at
    the deadline or when nothing comes back after a ping.

    :param overdue: seconds beyond the expected time after which a ping is sent.
    :param on_loss: called with the reason and whether the connection is silent.
    :param silence: seconds after a ping within which something must arrive.
    """

    __slots__ = (
        "_deadline",
        "_due",
        "_handle",
        "_last_heard",
        "_loop",
        "_on_loss",
        "_overdue",
        "_ping",
        "_pinged_at",
        "_silence",
    )

    def __init__(
        self,
        *,
        overdue: float,
        silence: float,
        ping: Callable[[], None],
        on_loss: Callable[[str, bool], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._overdue = overdue
        self._silence = silence
        self._ping = ping
        self._on_loss = on_loss
        self._last_heard = 0.0
        self._pinged_at: float | None = None
        self._deadline = 0.0
        self._due = 0.0
        self._handle: asyncio.TimerHandle | None = None

    def start(self, *, timeout: float, expected: float) -> None:
        """Start to wait for an answer.

        :param timeout: seconds until the deadline of the answer.
        :param expected: usual seconds of the answer.
        """
        self._deadline = self._loop.time() + timeout
        self._pinged_at = None
        self._schedule(expected + self._overdue)

    def heard(self) -> None:
        """Take note of anything that arrived."""
        self._last_heard = self._loop.time()

    def stop(self) -> None:
        """Stop waiting."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _schedule(self, delay: float) -> None:
        self._due = min(self._loop.time() + delay, self._deadline)
        self._handle = self._loop.call_at(self._due, self._check)

    def _check(self) -> None:
        now = self._loop.time()
        if now >= self._deadline:
            self._on_loss("the time for the answer is over", False)
            return
        if self._pinged_at is not None and self._last_heard < self._pinged_at:
            if now - self._due > HELD_UP_S:
                self._schedule(self._silence)
                return
            self._on_loss("the connection is silent", True)
            return
        self._pinged_at = now
        self._ping()
        self._schedule(self._silence)
