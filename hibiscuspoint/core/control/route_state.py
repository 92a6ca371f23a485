"""How entries may use the primary of a group."""

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
    """How entries may use the primary of a group."""

    #: Entries use it under a lease.
    GRANTED = "granted"
    #: Entries start no new work at it and release their lease when the work in progress is done.
    PAUSED = "paused"
    #: Entries do not use it and release their lease at once.
    REVOKED = "revoked"

    @classmethod
    def of(
        cls, record: GroupRecord, suspected_term: Term | int, switchover: Switchover | None
    ) -> RouteState:
        """Return the route state of a group.

        :param record: durable record of the group.
        :param suspected_term: last term whose primary the control leader suspects; 0 for none.
        :param switchover: switchover in progress, if any.
        """
        if record.phase is not GroupPhase.STARTED or suspected_term == record.term:
            return cls.REVOKED
        if switchover is not None and switchover.state is not SwitchoverState.RESUMED:
            return cls.PAUSED
        return cls.GRANTED
