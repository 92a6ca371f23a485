"""An entry whose only group is served by one database on a loopback port."""

from __future__ import annotations

from hibiscuspoint.components.sessions import GroupAccess
from hibiscuspoint.core.sessions import ReadMode
from hibiscuspoint.platform.database import DatabaseDriver
from tests.components.sessions.harness import SessionHarness

__all__ = ["OneDatabaseDriver", "entry_at"]


class OneDatabaseDriver:
    """Connects to one database, whatever the address."""

    def __init__(self, address: str) -> None:
        self._address = address

    async def connect(self, group, target, address, timeout, organisation=""):
        """Open a connection to the database."""
        return await DatabaseDriver().connect(group, target, self._address, timeout)


def entry_at(address: str) -> SessionHarness:
    """Return an entry with a lease on the group whose primary is the database at an address.

    Control has read the first position of its log.
    """
    harness = SessionHarness(ReadMode.PRIMARY)
    harness.access = GroupAccess(harness.state, OneDatabaseDriver(address), harness.clock)
    harness.route(lease_ms=60_000, tip=0)
    return harness
