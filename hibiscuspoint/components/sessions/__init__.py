"""Components that serve sessions which are connections."""

from __future__ import annotations

from hibiscuspoint.components.sessions.balancing import ReadBalancing
from hibiscuspoint.components.sessions.borrowing import ConnectionBorrowing
from hibiscuspoint.components.sessions.groups import GroupAccess
from hibiscuspoint.components.sessions.lending import ConnectionLending
from hibiscuspoint.components.sessions.service import SessionService
from hibiscuspoint.components.sessions.session import Session
from hibiscuspoint.components.sessions.wait_records import WaitRecords

__all__ = [
    "ConnectionBorrowing",
    "ConnectionLending",
    "GroupAccess",
    "ReadBalancing",
    "Session",
    "SessionService",
    "WaitRecords",
]
