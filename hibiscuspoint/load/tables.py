"""SQL statements on the tables of the workload."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.load.answers import statement

if TYPE_CHECKING:
    from hibiscuspoint.wire import common_pb2

__all__ = ["Tables"]

#: Amount of one ledger entry.
AMOUNT = 1


@dataclass(frozen=True, slots=True)
class Tables:
    """Statements on the tables of one run.

    Registers and pairs keep the highest version, so a write that takes effect late never hides a
    newer one, and the checker can order versions without knowing the order of execution. The ledger
    deliberately has no unique key: a request that ran twice must show.

    :param run: suffix of the table names; letters, digits and underscores.
    """

    run: str

    def __post_init__(self) -> None:
        if not self.run.isidentifier():
            raise ValueError(f"the run name {self.run!r} cannot be part of a table name")

    def create(self) -> list[str]:
        """Return the statements that create the tables."""
        return [
            f"CREATE TABLE IF NOT EXISTS register_{self.run} "
            "(key TEXT PRIMARY KEY, version INTEGER NOT NULL, session TEXT NOT NULL)",
            f"CREATE TABLE IF NOT EXISTS ledger_{self.run} "
            "(request TEXT NOT NULL, session TEXT NOT NULL, amount INTEGER NOT NULL)",
            f"CREATE INDEX IF NOT EXISTS ledger_session_{self.run} "
            f"ON ledger_{self.run} (session)",
            f"CREATE TABLE IF NOT EXISTS pair_{self.run} "
            "(key TEXT NOT NULL, side INTEGER NOT NULL, version INTEGER NOT NULL, "
            "session TEXT NOT NULL, PRIMARY KEY (key, side))",
        ]

    def write_register(self, key: str, version: int, session: str) -> common_pb2.Statement:
        """Return the write of a version of a register."""
        table = f"register_{self.run}"
        return statement(
            f"INSERT INTO {table} (key, version, session) VALUES (?, ?, ?) "
            "ON CONFLICT (key) DO UPDATE SET version = excluded.version, "
            f"session = excluded.session WHERE excluded.version > {table}.version",
            key,
            version,
            session,
        )

    def read_register(self, key: str) -> common_pb2.Statement:
        """Return the read of version and session of a register."""
        return statement(f"SELECT version, session FROM register_{self.run} WHERE key = ?", key)

    def add_ledger(self, request: str, session: str) -> common_pb2.Statement:
        """Return the addition of one ledger row."""
        return statement(
            f"INSERT INTO ledger_{self.run} (request, session, amount) VALUES (?, ?, ?)",
            request,
            session,
            AMOUNT,
        )

    def read_ledger(self, session: str) -> common_pb2.Statement:
        """Return the read of the request ids of a session."""
        return statement(f"SELECT request FROM ledger_{self.run} WHERE session = ?", session)

    def write_pair(
        self, key: str, version: int, session: str
    ) -> tuple[common_pb2.Statement, common_pb2.Statement]:
        """Return the writes of both rows of a pair."""
        return (
            self._write_side(key, 0, version, session),
            self._write_side(key, 1, version, session),
        )

    def _write_side(self, key: str, side: int, version: int, session: str) -> common_pb2.Statement:
        table = f"pair_{self.run}"
        return statement(
            f"INSERT INTO {table} (key, side, version, session) VALUES (?, ?, ?, ?) "
            "ON CONFLICT (key, side) DO UPDATE SET version = excluded.version, "
            f"session = excluded.session WHERE excluded.version > {table}.version",
            key,
            side,
            version,
            session,
        )

    def read_pair(self, key: str) -> common_pb2.Statement:
        """Return the read of version and session of both rows of a pair."""
        return statement(
            f"SELECT version, session FROM pair_{self.run} WHERE key = ? ORDER BY side", key
        )

    def all_registers(self) -> common_pb2.Statement:
        """Return the read of all registers."""
        return statement(f"SELECT key, version, session FROM register_{self.run}")

    def count_ledger(self) -> common_pb2.Statement:
        """Return the read of the number of rows of each request."""
        return statement(f"SELECT request, COUNT(*) FROM ledger_{self.run} GROUP BY request")

    def all_pairs(self) -> common_pb2.Statement:
        """Return the read of the rows of all pairs."""
        return statement(f"SELECT key, version, session FROM pair_{self.run} ORDER BY key, side")
