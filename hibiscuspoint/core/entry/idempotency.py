"""Checks of request ids and the SQL statements of the table that records them (design D8)."""

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

#: Maximum length of a request id in characters; a length that is portable for key columns.
MAX_REQUEST_ID_LENGTH = 128


@dataclass(frozen=True, slots=True)
class IdempotencyPolicy:
    """Rules by which request ids are accepted.

    :param retention_seconds: time after its issue for which a used id is certain to be on record.
    :param max_clock_skew_seconds: how far the clock of a caller may be ahead.
    """

    retention_seconds: float = 24 * SECONDS_PER_HOUR
    max_clock_skew_seconds: float = 60.0

    def check(self, request_id: RequestId, issued_at_ms: int, unix_now: float) -> None:
        """Check a request id before the request is sent.

        :param issued_at_ms: Unix time in milliseconds at which the caller issued the id.
        :param unix_now: Unix time in seconds.
        :raises RequestError: the id is empty, too long or issued in the future; the request did not
            run.
        :raises IdempotencyExpiredError: the id is older than the retention; the request may have
            run.
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
        """Return the issue time, in Unix milliseconds, before which rows are deleted.

        Rows are kept for twice the retention, so that the row still exists for an id whose request
        is in transit when the retention ends.

        :param unix_now: Unix time in seconds.
        """
        return int((unix_now - 2 * self.retention_seconds) * MILLISECONDS_PER_SECOND)


def request_digest(statements: Iterable[common_pb2.Statement]) -> bytes:
    """Return the XXH3-128 digest of the statements; equal requests have equal digests.

    Each statement is preceded by its length, so that requests that split the same bytes into
    different statements have different digests.
    """
    digest = xxhash.xxh3_128()
    for statement in statements:
        encoded = statement.SerializeToString(deterministic=True)
        digest.update(len(encoded).to_bytes(8, "big"))
        digest.update(encoded)
    return digest.digest()


def check_digest(recorded: bytes, digest: bytes) -> None:
    """Check that the id on record was used for the same request.

    :param recorded: digest on record.
    :param digest: digest of the present request.
    :raises IdempotencyConflictError: the id was used for another request; this one did not run.
    """
    if recorded != digest:
        raise IdempotencyConflictError("the request id was used for another request")


def create_table_statement() -> common_pb2.Statement:
    """Return the statement that creates the table of request ids unless it exists."""
    return _statement(
        "CREATE TABLE IF NOT EXISTS hibiscus_request ("
        f"id VARCHAR({MAX_REQUEST_ID_LENGTH}) NOT NULL PRIMARY KEY, "
        "issued_at_ms BIGINT NOT NULL, digest BLOB NOT NULL, outcome BLOB)"
    )


def claim_statement(
    request_id: RequestId, issued_at_ms: int, digest: bytes
) -> common_pb2.Statement:
    """Return the statement that inserts an id.

    It violates the primary key if the id is on record, that is, if it was used before.
    """
    return _statement(
        "INSERT INTO hibiscus_request (id, issued_at_ms, digest) VALUES (?, ?, ?)",
        common_pb2.Value(text=request_id),
        common_pb2.Value(integer=issued_at_ms),
        common_pb2.Value(blob=digest),
    )


def store_outcome_statement(request_id: RequestId, outcome: bytes) -> common_pb2.Statement:
    """Return the statement that records the encoded outcome of a request."""
    return _statement(
        "UPDATE hibiscus_request SET outcome = ? WHERE id = ?",
        common_pb2.Value(blob=outcome),
        common_pb2.Value(text=request_id),
    )


def lookup_statement(request_id: RequestId) -> common_pb2.Statement:
    """Return the query for the digest and the outcome on record for an id."""
    return _statement(
        "SELECT digest, outcome FROM hibiscus_request WHERE id = ?",
        common_pb2.Value(text=request_id),
    )


def purge_statement(before_ms: int) -> common_pb2.Statement:
    """Return the statement that deletes the ids issued before a Unix time in milliseconds."""
    return _statement(
        "DELETE FROM hibiscus_request WHERE issued_at_ms < ?",
        common_pb2.Value(integer=before_ms),
    )


def _statement(sql: str, *parameters: common_pb2.Value) -> common_pb2.Statement:
    return common_pb2.Statement(sql=sql, parameters=parameters)
