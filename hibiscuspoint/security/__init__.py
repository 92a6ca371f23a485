"""TLS of all ports and channels."""

from __future__ import annotations

from hibiscuspoint.security.tls import TlsContents, TlsFiles, Transport

__all__ = ["TlsContents", "TlsFiles", "Transport"]
