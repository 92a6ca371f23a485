"""The database of a stand-in: sqlite data, its log, its terms and its role."""

from __future__ import annotations

import logging
import sqlite3
from contextlib import contextmanager
from typing import TYPE_CHECKING, Protocol

from hibiscuspoint.core.position import LogPosition
from hibiscuspoint.ids import Term
from hibiscuspoint.standin.log import RecordLog
from hibiscuspoint.standin.values import to_parameters
from hibiscuspoint.wire import target_pb2

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence
    from pathlib import Path


__all__ = ["Engine"]

logger = logging.getLogger(__name__)

FILE_NAME = "target.sqlite"
_SET_META = "UPDATE hibiscus_standin_meta SET value = ? WHERE name = ?"
_META_NAMES = ("term", "sealed_term", "own_term", "applied")
_USER_OBJECTS = """
SELECT type, name FROM sqlite_master
WHERE type IN ('view', 'trigger', 'table')
  AND name NOT LIKE 'sqlite\\_%' ESCAPE '\\'
  AND name NOT LIKE 'hibiscus\\_standin\\_%' ESCAPE '\\'
ORDER BY type DESC
"""


class Writer(Protocol):
    """A session that holds the sqlite write lock."""

    def abort(self) -> None:
        """Undo the transaction on behalf of the engine."""


class Engine:
    """One database with its log; all methods return without waiting.

    :param directory: data directory; a restarted engine continues from it as a replica.
    """

    def __init__(self, directory: Path) -> None:
        directory.mkdir(parents=True, exist_ok=True)
        self._path = directory / FILE_NAME
        self._db = self.connect()
        self._log = RecordLog(self._db)
        meta = self._load_meta()
        self._term = Term(meta["term"])
        self._sealed_term = Term(meta["sealed_term"])
        self._own_term = Term(meta["own_term"])
        self._applied = meta["applied"]
        self._is_primary = False
        self._writer: Writer | None = None
        self._listeners: list[Callable[[], None]] = []

    @property
    def log(self) -> RecordLog:
        """Return the log."""
        return self._log

    @property
    def term(self) -> Term:
        """Return the highest term that the engine leads or follows."""
        return self._term

    @property
    def sealed_term(self) -> Term:
        """Return the lowest term from which log and statements are accepted."""
        return self._sealed_term

    @property
    def is_primary(self) -> bool:
        """Tell whether the engine accepts writes."""
        return self._is_primary

    @property
    def received(self) -> LogPosition:
        """Return the position of the last durable record."""
        return self._log.last

    @property
    def applied(self) -> int:
        """Return the index of the last record that reads observe."""
        return self._applied

    @property
    def applied_position(self) -> LogPosition:
        """Return the position of the last record that reads observe."""
        return self._log.position_at(self._applied)

    def connect(self) -> sqlite3.Connection:
        """Return a new sqlite connection to the data."""
        # Waiting for a sqlite lock would block the event loop, so a conflict fails at once.
        db = sqlite3.connect(self._path, timeout=0, isolation_level=None, cached_statements=256)
        db.execute("PRAGMA journal_mode = WAL")
        db.execute("PRAGMA synchronous = OFF")
        return db

    def close(self) -> None:
        """Roll back the open write transaction and close the files."""
        self._abort_writer()
        self._db.close()

    def add_listener(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Call a function after each change of the log, the terms or the role.

        :return: a function that removes the listener.
        """
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def set_writer(self, session: Writer | None) -> None:
        """Take note of the session that holds the sqlite write lock.

        :raises RuntimeError: another session holds it.
        """
        if session is not None and self._writer is not None:
            raise RuntimeError("two write transactions are open at once")
        self._writer = session

    def append(self, db: sqlite3.Connection, record: target_pb2.LogRecord) -> None:
        """Append a record and commit the open transaction of a connection."""
        self._log.insert(db, record)
        db.execute(_SET_META, (record.index, "applied"))
        db.execute("COMMIT")
        self._applied = record.index
        self._log.extended(LogPosition(Term(record.term), record.index))
        self._notify()

    def seal(self, term: int) -> bool:
        """Raise the sealed term; a primary of a lower term loses its role."""
        if term < self._sealed_term:
            return False
        if term == self._sealed_term:
            return True
        self._abort_writer()
        with self._transaction():
            self._db.execute(_SET_META, (term, "sealed_term"))
        self._sealed_term = Term(term)
        if self._term < term:
            self._is_primary = False
        self._notify()
        return True

    def promote(self, term: int) -> bool:
        """Become primary of a term; repeating the call has no further effect."""
        if term < self._sealed_term:
            return False
        if self._is_primary and self._term == term:
            return True
        if self.received.term == term and self._own_term != term:
            logger.warning("promotion to term %d refused: another target wrote in it", term)
            return False
        self.apply_through(self.received.index)
        self._enter_term(term, own=True)
        self._is_primary = True
        if self.received.term != term:
            self._start_term()
        self._notify()
        return True

    def follow(self, term: int) -> bool:
        """Become a replica in a term."""
        if term < self._sealed_term:
            return False
        if term == self._term:
            return not self._is_primary
        self._enter_term(term)
        self._is_primary = False
        self._notify()
        return True

    def accept(
        self, term: int, previous: LogPosition, records: Sequence[target_pb2.LogRecord]
    ) -> bool:
        """Store records that the primary of a term shipped.

        :param previous: position directly before the records.
        :return: whether the log now holds ``previous`` and all records.
        """
        if not self.follow(term):
            return False
        if self._log.term_at(previous.index) != previous.term:
            return False
        missing = [r for r in records if self._log.term_at(r.index) != r.term]
        if missing:
            self._store(missing)
            self._notify()
        return True

    def apply_through(self, index: int) -> None:
        """Apply stored records up to an index.

        :raises sqlite3.Error: a statement fails that succeeded at the primary.
        """
        index = min(index, self.received.index)
        if index <= self._applied:
            return
        with self._transaction():
            self._replay(self._applied, index)
        self._applied = index
        self._notify()

    def _load_meta(self) -> dict[str, int]:
        self._db.execute(
            "CREATE TABLE IF NOT EXISTS hibiscus_standin_meta"
            " (name TEXT PRIMARY KEY, value INTEGER NOT NULL)"
        )
        self._db.executemany(
            "INSERT OR IGNORE INTO hibiscus_standin_meta VALUES (?, 0)",
            [(name,) for name in _META_NAMES],
        )
        return dict(self._db.execute("SELECT name, value FROM hibiscus_standin_meta").fetchall())

    def _notify(self) -> None:
        for listener in tuple(self._listeners):
            listener()

    def _abort_writer(self) -> None:
        if self._writer is not None:
            self._writer.abort()

    @contextmanager
    def _transaction(self) -> Iterator[None]:
        self._db.execute("BEGIN IMMEDIATE")
        try:
            yield
        except BaseException:
            if self._db.in_transaction:
                self._db.execute("ROLLBACK")
            raise
        self._db.execute("COMMIT")

    def _enter_term(self, term: int, *, own: bool = False) -> None:
        if term == self._term and (not own or self._own_term == term):
            return
        self._abort_writer()
        with self._transaction():
            self._db.execute(_SET_META, (term, "term"))
            self._db.execute(_SET_META, (term, "sealed_term"))
            if own:
                self._db.execute(_SET_META, (term, "own_term"))
        self._term = self._sealed_term = Term(term)
        if own:
            self._own_term = Term(term)

    def _start_term(self) -> None:
        self._db.execute("BEGIN IMMEDIATE")
        index = self.received.index + 1
        self.append(self._db, target_pb2.LogRecord(index=index, term=self._term))

    def _store(self, records: Sequence[target_pb2.LogRecord]) -> None:
        common = records[0].index - 1
        is_diverged = common < self.received.index
        is_rebuilt = common < self._applied
        with self._transaction():
            if is_diverged:
                self._log.delete_after(self._db, common)
            if is_rebuilt:
                self._rebuild(common)
            for record in records:
                self._log.insert(self._db, record)
        if is_diverged:
            logger.info("log truncated from %d to %d", self.received.index, common)
            self._log.truncated(common)
        if is_rebuilt:
            self._applied = common
        for record in records:
            self._log.extended(LogPosition(Term(record.term), record.index))

    def _rebuild(self, through: int) -> None:
        for kind, name in self._db.execute(_USER_OBJECTS).fetchall():
            quoted = name.replace('"', '""')
            self._db.execute(f'DROP {kind} IF EXISTS "{quoted}"')
        if self._db.execute("SELECT 1 FROM sqlite_master WHERE name='sqlite_sequence'").fetchall():
            self._db.execute("DELETE FROM sqlite_sequence")
        self._replay(0, through)

    def _replay(self, after: int, through: int) -> None:
        for record in list(self._log.read(after, through)):
            for statement in record.statements:
                self._db.execute(statement.sql, to_parameters(statement.parameters)).fetchall()
        self._db.execute(_SET_META, (through, "applied"))
