"""Switches that make a stand-in slow, silent or frozen."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from hibiscuspoint.util.units import MICROSECONDS_PER_SECOND, MILLISECONDS_PER_SECOND
from hibiscuspoint.wire import target_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Faults"]

# G7 allows new work at a leaving target for this long.
LEAVING_GRACE_S = 2.0


class Faults:
    """Current state of the switches; delays are in seconds.

    ``freeze`` stops all answers, shipping and applying, but not announcements, which have a switch
    of their own.
    """

    def __init__(
        self, *, ship_delay: float = 0.0, apply_delay: float = 0.0, service_time: float = 0.0
    ) -> None:
        self.ship_delay = ship_delay
        self.apply_delay = apply_delay
        self.service_time = service_time
        self.silence_announcements = False
        self._leaving_since: float | None = None
        self._frozen = False
        self._thawed = asyncio.Event()
        self._listeners: list[Callable[[], None]] = []
        self._silence_listeners: list[Callable[[], None]] = []

    @property
    def is_frozen(self) -> bool:
        """Tell whether answers are held back."""
        return self._frozen

    @property
    def is_leaving(self) -> bool:
        """Tell whether the target announces that it leaves."""
        return self._leaving_since is not None

    @property
    def refuses_new_work(self) -> bool:
        """Tell whether the grace period of a leaving target is over."""
        if self._leaving_since is None:
            return False
        return time.monotonic() - self._leaving_since >= LEAVING_GRACE_S

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a function after each change."""
        self._listeners.append(listener)

    def add_silence_listener(self, listener: Callable[[], None]) -> None:
        """Call a function when the open connections shall go silent."""
        self._silence_listeners.append(listener)

    async def wait_until_thawed(self) -> None:
        """Wait while the target is frozen."""
        while self._frozen:
            await self._thawed.wait()

    def update(self, settings: target_pb2.FaultSettings) -> None:
        """Change the switches that are set in a message."""
        if settings.HasField("ship_delay_ms"):
            self.ship_delay = settings.ship_delay_ms / MILLISECONDS_PER_SECOND
        if settings.HasField("apply_delay_ms"):
            self.apply_delay = settings.apply_delay_ms / MILLISECONDS_PER_SECOND
        if settings.HasField("service_time_us"):
            self.service_time = settings.service_time_us / MICROSECONDS_PER_SECOND
        if settings.HasField("silence_announcements"):
            self.silence_announcements = settings.silence_announcements
        if settings.HasField("freeze"):
            self._set_frozen(settings.freeze)
        if settings.HasField("leaving"):
            self._set_leaving(settings.leaving)
        if settings.silence_connections:
            self._call(self._silence_listeners)
        self._call(self._listeners)

    def to_message(self) -> target_pb2.FaultSettings:
        """Return the state of the switches."""
        return target_pb2.FaultSettings(
            ship_delay_ms=round(self.ship_delay * MILLISECONDS_PER_SECOND),
            apply_delay_ms=round(self.apply_delay * MILLISECONDS_PER_SECOND),
            service_time_us=round(self.service_time * MICROSECONDS_PER_SECOND),
            freeze=self._frozen,
            silence_announcements=self.silence_announcements,
            leaving=self.is_leaving,
        )

    def _set_frozen(self, frozen: bool) -> None:
        self._frozen = frozen
        if frozen:
            self._thawed.clear()
        else:
            self._thawed.set()

    def _set_leaving(self, leaving: bool) -> None:
        if not leaving:
            self._leaving_since = None
        elif self._leaving_since is None:
            self._leaving_since = time.monotonic()

    @staticmethod
    def _call(listeners: list[Callable[[], None]]) -> None:
        for listener in listeners:
            listener()
