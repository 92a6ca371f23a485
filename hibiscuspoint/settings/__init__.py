"""Settings of one instance, read from ``node.toml``."""

from __future__ import annotations

from hibiscuspoint.settings.model import (
    ControlSettings,
    LimitSettings,
    ListenSettings,
    LogLevel,
    LogSettings,
    NodeIdentity,
    NodeSettings,
    Role,
    TargetDriverSettings,
)
from hibiscuspoint.settings.security import SessionSettings, TlsMode, TlsSettings

__all__ = [
    "ControlSettings",
    "LimitSettings",
    "ListenSettings",
    "LogLevel",
    "LogSettings",
    "NodeIdentity",
    "NodeSettings",
    "Role",
    "SessionSettings",
    "TargetDriverSettings",
    "TlsMode",
    "TlsSettings",
]
