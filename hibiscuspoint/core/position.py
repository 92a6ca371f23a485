"""Positions in the log of a group."""

from __future__ import annotations

from dataclasses import dataclass

from hibiscuspoint.ids import Term

__all__ = ["ZERO_POSITION", "LogPosition", "TermHistory"]


@dataclass(frozen=True, order=True, slots=True)
class LogPosition:
    """Position of a record in the log of a group: its term and its index.

    Positions are ordered by term, then by index: a promotion compares the last records of the
    members in this order.
    """

    term: Term
    index: int


#: Position before the first record of a log.
ZERO_POSITION = LogPosition(Term(0), 0)


class TermHistory:
    """First index of each term of one group.

    :param starts: pairs of a term and its first index, in ascending order.
    """

    def __init__(self, starts: list[tuple[Term, int]] | None = None) -> None:
        self._starts = list(starts or [])

    @property
    def starts(self) -> list[tuple[Term, int]]:
        """Pairs of a term and its first index, in ascending order."""
        return list(self._starts)

    def clamp(self, position: LogPosition) -> int:
        """Return the index up to which a target must have applied the log to cover a position.

        A position of an earlier term beyond the last index of that term was never acknowledged, so
        that last index suffices.
        """
        for term, start in self._starts:
            if term > position.term:
                return min(position.index, start - 1)
        return position.index
