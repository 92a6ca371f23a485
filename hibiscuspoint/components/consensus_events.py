"""Events of the replicated log."""

from __future__ import annotations

from circuits import Event

__all__ = ["control_log_failed", "leadership_gained", "leadership_lost"]


class leadership_gained(Event):  # noqa: N801 - circuits derives the event name from the class
    """This instance holds the leadership lease; the argument is the control term."""


class leadership_lost(Event):  # noqa: N801
    """This instance no longer holds the leadership lease."""


class control_log_failed(Event):  # noqa: N801
    """The log stopped for good; the argument is the error. The daemon stops for a restart."""
