"""What targets say about themselves when control asks them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.ids import Term

if TYPE_CHECKING:
    from hibiscuspoint.core.position import LogPosition

__all__ = ["TargetStatus"]


@dataclass(frozen=True)
class TargetStatus:
    """State of a target.

    :param term: newest term that the target knows.
    :param received: last record that it holds durably; for a primary the last one it wrote.
    :param paused_term: term at which a replica was told to stop receiving; 0 while it receives.
    :param lag_seconds: seconds until a replica has applied what it has received.
    :param in_use: statements that run or wait for a slot.
    """

    is_primary: bool
    term: Term
    received: LogPosition
    paused_term: Term = Term(0)
    lag_seconds: float = 0.0
    in_use: int = 0
