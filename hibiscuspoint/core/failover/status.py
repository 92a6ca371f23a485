"""Status that a target reports when control polls it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.ids import Term

if TYPE_CHECKING:
    from hibiscuspoint.core.position import LogPosition

__all__ = ["TargetStatus"]


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
