"""Builders of test data."""

from __future__ import annotations

from hibiscuspoint.core.position import LogPosition, TermHistory
from hibiscuspoint.ids import Term

__all__ = ["position", "term_history"]


def position(term: int, index: int) -> LogPosition:
    """Return a log position."""
    return LogPosition(Term(term), index)


def term_history(*starts: tuple[int, int]) -> TermHistory:
    """Return a history from pairs of term and first index."""
    return TermHistory([(Term(term), start) for term, start in starts])
