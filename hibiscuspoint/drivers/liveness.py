"""Liveness check of a connection with a pending answer (design decision D11)."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["LivenessTimer"]

# A check that runs later than this shows that the process stalled and may have unread replies.
STALL_THRESHOLD_SECONDS = 0.1


class LivenessTimer:
    """Timer of one pending answer.

    Sends a ping when the answer is overdue and another one each time a message follows a ping.
    Reports a loss at the deadline or when no message arrives after a ping.

    :param ping_delay_seconds: seconds beyond the expected time after which a ping is sent.
    :param on_loss: called with the reason and whether the connection is silent.
    :param silence_timeout_seconds: seconds after a ping within which a message must arrive.
    """

    __slots__ = (
        "_deadline",
        "_check_due_at",
        "_handle",
        "_last_message_at",
        "_loop",
        "_on_loss",
        "_ping_delay_seconds",
        "_ping",
        "_pinged_at",
        "_silence_timeout_seconds",
    )

    def __init__(
        self,
        *,
        ping_delay_seconds: float,
        silence_timeout_seconds: float,
        ping: Callable[[], None],
        on_loss: Callable[[str, bool], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._ping_delay_seconds = ping_delay_seconds
        self._silence_timeout_seconds = silence_timeout_seconds
        self._ping = ping
        self._on_loss = on_loss
        self._last_message_at = 0.0
        self._pinged_at: float | None = None
        self._deadline = 0.0
        self._check_due_at = 0.0
        self._handle: asyncio.TimerHandle | None = None

    def start(self, *, timeout: float, expected: float) -> None:
        """Start the timer for one answer.

        :param timeout: seconds until the deadline of the answer.
        :param expected: seconds that the answer usually takes.
        """
        self._deadline = self._loop.time() + timeout
        self._pinged_at = None
        self._schedule(expected + self._ping_delay_seconds)

    def record_message(self) -> None:
        """Record that a message of any kind arrived."""
        self._last_message_at = self._loop.time()

    def stop(self) -> None:
        """Cancel the pending check."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _schedule(self, delay: float) -> None:
        self._check_due_at = min(self._loop.time() + delay, self._deadline)
        self._handle = self._loop.call_at(self._check_due_at, self._check)

    def _check(self) -> None:
        now = self._loop.time()
        if now >= self._deadline:
            self._on_loss("the answer did not arrive in time", False)
            return
        if self._pinged_at is not None and self._last_message_at < self._pinged_at:
            if now - self._check_due_at > STALL_THRESHOLD_SECONDS:
                self._schedule(self._silence_timeout_seconds)
                return
            self._on_loss("the connection is silent", True)
            return
        self._pinged_at = now
        self._ping()
        self._schedule(self._silence_timeout_seconds)
