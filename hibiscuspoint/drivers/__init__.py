"""Drivers for kinds of targets."""

from __future__ import annotations

from hibiscuspoint.drivers.errors import (
    AdminError,
    ConnectError,
    ConnectFailure,
    ConnectionLost,
    TargetFailure,
)
from hibiscuspoint.drivers.registry import target_drivers
from hibiscuspoint.drivers.standin import StandinDriver

__all__ = [
    "AdminError",
    "ConnectError",
    "ConnectFailure",
    "ConnectionLost",
    "StandinDriver",
    "TargetFailure",
    "target_drivers",
]
