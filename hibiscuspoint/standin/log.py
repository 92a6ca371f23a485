"""The log of committed write transactions, kept in the database that it describes."""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING

from hibiscuspoint.core.position import ZERO_POSITION, LogPosition
from hibiscuspoint.ids import Term
from hibiscuspoint.wire import target_pb2

if TYPE_CHECKING:
    import sqlite3
    from collections.abc import Iterator

__all__ = ["RecordLog"]

_CREATE = """
CREATE TABLE IF NOT EXISTS hibiscus_standin_log (
    idx INTEGER PRIMARY KEY,
    term INTEGER NOT NULL,
    body BLOB NOT NULL
)
"""
_INSERT = "INSERT INTO hibiscus_standin_log (idx, term, body) VALUES (?, ?, ?)"
_SELECT = "SELECT body FROM hibiscus_standin_log WHERE idx > ? AND idx <= ? ORDER BY idx"


class RecordLog:
    """Records by index; terms never decrease along the index.

    Changes take two steps: :meth:`insert` or :meth:`delete_after` within a sqlite transaction,
    then :meth:`extended` or :meth:`truncated` once that transaction is committed.

    :param db: connection for reads.
    """

    def __init__(self, db: sqlite3.Connection) -> None:
        self._db = db
        self._term_starts: list[int] = []
        self._terms: list[Term] = []
        self._last = ZERO_POSITION
        db.execute(_CREATE)
        self._load()

    @property
    def last(self) -> LogPosition:
        """Return the position of the last record."""
        return self._last

    def term_at(self, index: int) -> Term | None:
        """Return the term of a record, 0 for index 0, ``None`` beyond the end."""
        if index == 0:
            return Term(0)
        if index > self._last.index:
            return None
        return self._terms[bisect_right(self._term_starts, index) - 1]

    def position_at(self, index: int) -> LogPosition:
        """Return the position of an existing record.

        :raises LookupError: there is no such record.
        """
        term = self.term_at(index)
        if term is None:
            raise LookupError(f"the log ends at {self._last.index}, before {index}")
        return LogPosition(term, index)

    def last_at_or_before(self, index: int, term: int) -> LogPosition:
        """Return the last record with at most this index and at most this term."""
        index = min(index, self._last.index)
        while index > 0:
            run = bisect_right(self._term_starts, index) - 1
            if self._terms[run] <= term:
                return LogPosition(self._terms[run], index)
            index = self._term_starts[run] - 1
        return ZERO_POSITION

    def read(
        self, after: int, through: int, max_bytes: int | None = None
    ) -> Iterator[target_pb2.LogRecord]:
        """Yield records in order; stop once their size passes a limit."""
        size = 0
        for (body,) in self._db.execute(_SELECT, (after, through)):
            yield target_pb2.LogRecord.FromString(body)
            size += len(body)
            if max_bytes is not None and size >= max_bytes:
                return

    def insert(self, db: sqlite3.Connection, record: target_pb2.LogRecord) -> None:
        """Insert a record within the open transaction of a connection."""
        db.execute(_INSERT, (record.index, record.term, record.SerializeToString()))

    def delete_after(self, db: sqlite3.Connection, index: int) -> None:
        """Delete the records behind an index within the open transaction of a connection."""
        db.execute("DELETE FROM hibiscus_standin_log WHERE idx > ?", (index,))

    def extended(self, position: LogPosition) -> None:
        """Take note of a committed record."""
        if not self._terms or self._terms[-1] != position.term:
            self._terms.append(position.term)
            self._term_starts.append(position.index)
        self._last = position

    def truncated(self, index: int) -> None:
        """Take note of a committed truncation behind an index."""
        while self._term_starts and self._term_starts[-1] > index:
            self._term_starts.pop()
            self._terms.pop()
        self._last = LogPosition(self._terms[-1], index) if self._terms else ZERO_POSITION

    def _load(self) -> None:
        rows = self._db.execute(
            "SELECT term, MIN(idx), MAX(idx) FROM hibiscus_standin_log GROUP BY term ORDER BY term"
        )
        for term, first, last in rows.fetchall():
            self._terms.append(Term(term))
            self._term_starts.append(first)
            self._last = LogPosition(Term(term), last)
