"""TLS of all ports and channels."""

from __future__ import annotations

from hibiscuspoint.security.channels import open_secured_channel
from hibiscuspoint.security.mode import TlsMode
from hibiscuspoint.security.tls import TlsContents, TlsFiles, Transport

__all__ = ["TlsContents", "TlsFiles", "TlsMode", "Transport", "open_secured_channel"]
