"""Exit status of the daemon."""

from __future__ import annotations

from enum import IntEnum

__all__ = ["DaemonStatus"]


class DaemonStatus(IntEnum):
    """Exit status of ``hibiscuspointd``."""

    SUCCESS = 0
    SETTINGS_REFUSED = 2
    #: The control log failed; a restart recovers it from the disk, or shows that the disk is lost.
    CONTROL_LOG_FAILED = 3
