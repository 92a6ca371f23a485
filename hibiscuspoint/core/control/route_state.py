"""What entries may do with the primary of a group."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from hibiscuspoint.core.control.state import GroupPhase
from hibiscuspoint.core.control.switchover import SwitchoverState

if TYPE_CHECKING:
    from hibiscuspoint.core.control.state import GroupRecord
    from hibiscuspoint.core.control.switchover import Switchover
    from hibiscuspoint.ids import Term

__all__ = ["RouteState"]


class RouteState(Enum):
    """What entries may do with the primary of a group."""

    #: Use it under a lease.
    GRANTED = "granted"
    #: Start no new work at it and hand the lease back when the work in progress is done.
    PAUSED = "paused"
    #: Do not use it and hand the lease back at once.
    REVOKED = "revoked"

    @classmethod
    def of(
        cls, record: GroupRecord, suspected_term: Term | int, switchover: Switchover | None
    ) -> RouteState:
        """Return the state of a group.

        :param suspected_term: last term whose primary the control leader suspects; 0 for none.
        """
        if record.phase is not GroupPhase.STARTED or suspected_term == record.term:
            return cls.REVOKED
        if switchover is not None and switchover.state is not SwitchoverState.RESUMED:
            return cls.PAUSED
        return cls.GRANTED
