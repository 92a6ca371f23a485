"""Settings of one instance, read from ``node.toml``."""

from __future__ import annotations

from hibiscuspoint.settings.model import (
    DEFAULT_COMPACTION_ENTRIES,
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
    "DEFAULT_COMPACTION_ENTRIES",
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
