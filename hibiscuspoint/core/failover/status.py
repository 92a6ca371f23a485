"""What targets say about themselves when control asks them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.ids import Term

__all__ = ["TargetStatus"]


@dataclass(frozen=True)
class TargetStatus:
    """State of a target.

    :param term: newest term that the target knows.
    :param received: last record that it holds durably; for a primary the last one it wrote.
    """

    is_primary: bool
    term: Term
    received: LogPosition
