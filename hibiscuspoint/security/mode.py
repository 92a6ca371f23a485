"""Kinds of protection of connections."""

from __future__ import annotations

from enum import Enum

__all__ = ["TlsMode"]


class TlsMode(Enum):
    """How connections are protected."""

    MUTUAL = "mutual"
    SERVER = "server"
    PLAIN_TEXT = "plain-text"
