"""Log positions of a database group."""

from __future__ import annotations

from dataclasses import dataclass

from hibiscuspoint.ids import Term

__all__ = ["ZERO_POSITION", "LogPosition", "TermHistory"]


@dataclass(frozen=True, order=True, slots=True)
class LogPosition:
    """A record of a group's log: the term that wrote it and its index.

    Ordered by term, then index, as a promotion compares the last records of members.
    """

    term: Term
    index: int


ZERO_POSITION = LogPosition(Term(0), 0)


class TermHistory:
    """First indexes of the terms of one group.

    :param starts: pairs of term and first index, ascending.
    """

    def __init__(self, starts: list[tuple[Term, int]] | None = None) -> None:
        self._starts = list(starts or [])

    @property
    def starts(self) -> list[tuple[Term, int]]:
        """Return pairs of term and first index, ascending."""
        return list(self._starts)

    def clamp(self, position: LogPosition) -> int:
        """Return the index that a reader must reach to observe a position.

        A position of an old term beyond the end of that term was never acknowledged, so the end
        of the term is enough.
        """
        for term, start in self._starts:
            if term > position.term:
                return min(position.index, start - 1)
        return position.index
