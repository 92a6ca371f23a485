"""One sqlite connection of a stand-in and its transaction."""

from __future__ import annotations

import sqlite3
from typing import TYPE_CHECKING

from hibiscuspoint.standin.classify import StatementKind, classify
from hibiscuspoint.standin.values import to_parameters, to_row
from hibiscuspoint.wire import common_pb2, target_pb2
from hibiscuspoint.wire.digest import digest_rows

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.standin.engine import Engine

__all__ = ["Session", "StatementError"]

_UNIQUE_CODES = frozenset(
    {
        sqlite3.SQLITE_CONSTRAINT_UNIQUE,
        sqlite3.SQLITE_CONSTRAINT_PRIMARYKEY,
        sqlite3.SQLITE_CONSTRAINT_ROWID,
    }
)


class StatementError(Exception):
    """A statement failed.

    :param is_unique_violation: a row with the same unique key exists.
    """

    def __init__(self, message: str, *, is_unique_violation: bool = False) -> None:
        super().__init__(message)
        self.is_unique_violation = is_unique_violation


class Session:
    """Statements and the transaction of one connection.

    :param on_writer_end: called when the write transaction of the session ends in any way.
    """

    def __init__(self, engine: Engine, on_writer_end: Callable[[], None]) -> None:
        self._engine = engine
        self._on_writer_end = on_writer_end
        self._db = engine.connect()
        self._is_writer = False
        self._in_transaction = False
        self._writes: list[common_pb2.Statement] = []
        self._observed: LogPosition | None = None
        #: True after the engine ended the transaction; the session must report it to its client.
        self.was_aborted = False
        #: Statements executed in the current transaction.
        self.executed = 0

    @property
    def in_transaction(self) -> bool:
        """Tell whether a transaction is open."""
        return self._in_transaction

    def start_run(self) -> None:
        """Prepare for the next run of the client."""
        if not self._in_transaction and not self.was_aborted:
            self.executed = 0

    def begin(self, *, read_only: bool) -> None:
        """Open a transaction; the caller serializes transactions that may write."""
        if not read_only:
            self._engine.set_writer(self)
            self._is_writer = True
        self._db.execute("BEGIN" if read_only else "BEGIN IMMEDIATE")
        self._in_transaction = True
        self.executed = 0

    def execute(
        self, statement: common_pb2.Statement
    ) -> tuple[target_pb2.StatementEnd, list[common_pb2.Row]]:
        """Execute a statement in the open transaction.

        :raises StatementError: the statement failed; the caller rolls back.
        """
        kind = classify(statement.sql)
        if kind is StatementKind.FORBIDDEN:
            raise StatementError("transaction control and PRAGMA statements are not accepted")
        is_write = kind is StatementKind.WRITE
        if is_write and not self._is_writer:
            raise StatementError("the transaction is read-only")
        if self._observed is None:
            # sqlite takes the snapshot of a read transaction at its first statement.
            self._observed = self._engine.applied_position
        self.executed += 1
        end, rows = self._fetch(statement)
        if is_write:
            self._writes.append(statement)
        return end, rows

    def commit(self) -> LogPosition:
        """Commit; return the position of the record, or the observed position of a read."""
        if not self._writes:
            position = self._observed or self._engine.applied_position
            self._db.execute("COMMIT")
        else:
            record = target_pb2.LogRecord(
                index=self._engine.received.index + 1,
                term=self._engine.term,
                statements=self._writes,
            )
            self._engine.append(self._db, record)
            position = self._engine.received
        self._end()
        return position

    def observed_position(self) -> LogPosition:
        """Return the position that the open transaction observes."""
        return self._observed or self._engine.applied_position

    def rollback(self) -> None:
        """Undo the open transaction, if any, on behalf of the client."""
        self._undo()
        self.was_aborted = False

    def abort(self) -> None:
        """Undo the transaction on behalf of the engine."""
        self._undo()
        self.was_aborted = True

    def close(self) -> None:
        """Undo the open transaction and close the connection."""
        self.rollback()
        self._db.close()

    def _undo(self) -> None:
        if self._db.in_transaction:
            self._db.execute("ROLLBACK")
        self._end()

    def _fetch(
        self, statement: common_pb2.Statement
    ) -> tuple[target_pb2.StatementEnd, list[common_pb2.Row]]:
        try:
            cursor = self._db.execute(statement.sql, to_parameters(statement.parameters))
            rows = [to_row(row) for row in cursor.fetchall()]
        except (sqlite3.Error, sqlite3.Warning) as error:
            code = getattr(error, "sqlite_errorcode", None)
            raise StatementError(str(error), is_unique_violation=code in _UNIQUE_CODES) from error
        end = target_pb2.StatementEnd(
            columns=[column[0] for column in cursor.description or ()],
            row_count=len(rows),
            affected_rows=max(cursor.rowcount, 0),
            digest=digest_rows(rows),
        )
        return end, rows

    def _end(self) -> None:
        self._in_transaction = False
        self._writes = []
        self._observed = None
        if self._is_writer:
            self._is_writer = False
            self._engine.set_writer(None)
            self._on_writer_end()
