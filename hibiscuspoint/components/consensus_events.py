"""Events of the replicated log."""

from __future__ import annotations

from circuits import Event

__all__ = ["control_log_failed", "leadership_gained", "leadership_lost"]


class leadership_gained(Event):  # noqa: N801 - circuits derives the event name from the class
    """This instance has gained the leadership lease.

    The argument is the control term.
    """


class leadership_lost(Event):  # noqa: N801
    """This instance no longer holds the leadership lease."""


class control_log_failed(Event):  # noqa: N801
    """The control log has stopped for good, and the daemon terminates to be restarted.

    The argument is the error.
    """
