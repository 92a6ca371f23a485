"""Rules of request ids and the SQL of the table that records them (design D8)."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

from hibiscuspoint.errors import (
    IdempotencyConflictError,
    IdempotencyExpiredError,
    RequestError,
)
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND, SECONDS_PER_HOUR
from hibiscuspoint.wire import common_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hibiscuspoint.ids import RequestId

__all__ = [
    "MAX_REQUEST_ID_LENGTH",
    "IdempotencyPolicy",
    "check_digest",
    "claim_statement",
    "create_table_statement",
    "lookup_statement",
    "purge_statement",
    "request_digest",
    "store_outcome_statement",
]

#: Greatest length of a request id in characters; the portable key length of the table.
MAX_REQUEST_ID_LENGTH = 128


@dataclass(frozen=True, slots=True)
class IdempotencyPolicy:
    """Which request ids are accepted.

    :param retention_seconds: seconds for which an id is known to be recorded.
    :param max_clock_skew_seconds: accepted difference of the caller's clock in seconds.
    """

    retention_seconds: float = 24 * SECONDS_PER_HOUR
    max_clock_skew_seconds: float = 60.0

    def check(self, request_id: RequestId, issued_at_ms: int, unix_now: float) -> None:
        """Check an id before its request is sent.

        :param unix_now: Unix time in seconds.
        :raises RequestError: the id is empty, too long or issued in the future; it did not run.
        :raises IdempotencyExpiredError: the id is older than the retention; it may have run.
        """
        if not 1 <= len(request_id) <= MAX_REQUEST_ID_LENGTH:
            raise RequestError(f"the request id must have 1 to {MAX_REQUEST_ID_LENGTH} characters")
        age = unix_now - issued_at_ms / MILLISECONDS_PER_SECOND
        if age < -self.max_clock_skew_seconds:
            raise RequestError(
                f"the request id is issued {-age:.0f} s in the future",
                hint="Correct the clock of the caller.",
            )
        if age > self.retention_seconds:
            raise IdempotencyExpiredError("the request id is older than the retention")

    def purge_before_ms(self, unix_now: float) -> int:
        """Return the issue time in Unix ms before which rows are deleted.

        Rows are kept for twice the retention, so that an id whose request is still on its way at
        the end of the retention finds its row.

        :param unix_now: Unix time in seconds.
        """
        return int((unix_now - 2 * self.retention_seconds) * MILLISECONDS_PER_SECOND)


def request_digest(statements: Iterable[common_pb2.Statement]) -> bytes:
    """Return the XXH3-128 digest of the statements; equal requests have equal digests.

    Each statement is preceded by its length, so that moving a boundary changes the digest.
    """
    digest = xxhash.xxh3_128()
    for statement in statements:
        encoded = statement.SerializeToString(deterministic=True)
        digest.update(len(encoded).to_bytes(8, "big"))
        digest.update(encoded)
    return digest.digest()


def check_digest(recorded: bytes, digest: bytes) -> None:
    """Check that a recorded id belongs to the same request.

    :raises IdempotencyConflictError: the id was used for another request; this one did not run.
    """
    if recorded != digest:
        raise IdempotencyConflictError("the request id was used for another request")


def create_table_statement() -> common_pb2.Statement:
    """Return the statement that creates the table unless it exists."""
    return _statement(
        "CREATE TABLE IF NOT EXISTS hibiscus_request ("
        f"id VARCHAR({MAX_REQUEST_ID_LENGTH}) NOT NULL PRIMARY KEY, "
        "issued_at_ms BIGINT NOT NULL, digest BLOB NOT NULL, outcome BLOB)"
    )


def claim_statement(
    request_id: RequestId, issued_at_ms: int, digest: bytes
) -> common_pb2.Statement:
    """Return the insert of an id; it violates the primary key when the id was sent before."""
    return _statement(
        "INSERT INTO hibiscus_request (id, issued_at_ms, digest) VALUES (?, ?, ?)",
        common_pb2.Value(text=request_id),
        common_pb2.Value(integer=issued_at_ms),
        common_pb2.Value(blob=digest),
    )


def store_outcome_statement(request_id: RequestId, outcome: bytes) -> common_pb2.Statement:
    """Return the update that records an encoded outcome."""
    return _statement(
        "UPDATE hibiscus_request SET outcome = ? WHERE id = ?",
        common_pb2.Value(blob=outcome),
        common_pb2.Value(text=request_id),
    )


def lookup_statement(request_id: RequestId) -> common_pb2.Statement:
    """Return the query for the digest and the outcome of an id."""
    return _statement(
        "SELECT digest, outcome FROM hibiscus_request WHERE id = ?",
        common_pb2.Value(text=request_id),
    )


def purge_statement(before_ms: int) -> common_pb2.Statement:
    """Return the deletion of ids that were issued before a Unix time in ms."""
    return _statement(
        "DELETE FROM hibiscus_request WHERE issued_at_ms < ?",
        common_pb2.Value(integer=before_ms),
    )


def _statement(sql: str, *parameters: common_pb2.Value) -> common_pb2.Statement:
    return common_pb2.Statement(sql=sql, parameters=parameters)
