"""Names, formats and calls of the users' platform."""

from __future__ import annotations

from hibiscuspoint.util.clock import suspend_aware

__all__ = ["STARTED_AT"]

#: Start of the process, before the libraries are imported, which takes about half a second.
STARTED_AT = suspend_aware()
