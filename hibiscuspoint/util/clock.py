"""Clocks of the operating system."""

from __future__ import annotations

import time

__all__ = ["suspend_aware"]


def suspend_aware() -> float:
    """Return seconds of a clock that never steps and also counts while the machine is suspended.

    A lease measured on a clock that stops during a suspend would outlive its real duration.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
