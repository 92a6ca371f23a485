"""Status that a target reports when control polls it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.ids import Incarnation, Term

if TYPE_CHECKING:
    from hibiscuspoint.core.position import LogPosition

__all__ = ["StatusAnswer", "TargetStatus"]


@dataclass(frozen=True)
class TargetStatus:
    """Status of a target.

    :param term: newest term that the target has seen.
    :param received: position of the last record that it holds durably; at a primary, of the last
        record that it wrote.
    :param paused_term: term at which a replica was paused; 0 while it receives log records.
    :param lag_seconds: time until a replica has applied all received records.
    :param in_use: number of statements that run or wait for a slot.
    """

    is_primary: bool
    term: Term
    received: LogPosition
    paused_term: Term = Term(0)
    lag_seconds: float = 0.0
    in_use: int = 0

    def states_same_facts(self, other: TargetStatus | None) -> bool:
        """Tell whether another status has the same role, terms and position."""
        return other is not None and (
            (self.is_primary, self.term, self.received, self.paused_term)
            == (other.is_primary, other.term, other.received, other.paused_term)
        )


@dataclass(frozen=True)
class StatusAnswer:
    """Answer of a target to a poll or an order.

    :param status: ``None`` if the target refused or had no free slot to report it.
    :param is_new: false if the answer equals an earlier one of its connection and may repeat it.
    """

    status: TargetStatus | None
    is_new: bool = True


@dataclass(frozen=True)
class StatusSource:
    """Connection over which a target reports its status.

    A connection ends with the process at its other end, so that all that arrives over it is the
    word of one start of the target. A status names no start.

    :param incarnation: incarnation that was registered when the connection was opened.
    :param connected_at: monotonic time in seconds at which it was open.
    """

    incarnation: Incarnation
    connected_at: float


@dataclass(frozen=True)
class StatusReply:
    """Status of a target after an order, and the connection over which it came."""

    status: TargetStatus
    source: StatusSource
