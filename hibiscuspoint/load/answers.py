"""Verified answers of an entry."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

import xxhash

from hibiscuspoint.load.errors import IncompleteAnswerError, error_from_reply
from hibiscuspoint.verdict import Verdict
from hibiscuspoint.wire import common_pb2

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hibiscuspoint.wire import caller_pb2

__all__ = ["Answer", "Result", "Scalar", "rows_digest", "statement", "verify"]

Scalar: TypeAlias = "int | float | str | bytes | None"


@dataclass(frozen=True, slots=True)
class Result:
    """The whole result of one statement.

    :param row_count: number of rows of the statement, also in an answer without rows.
    """

    columns: tuple[str, ...]
    rows: tuple[tuple[Scalar, ...], ...]
    affected_rows: int
    row_count: int


@dataclass(frozen=True, slots=True)
class Answer:
    """The verified answer to one call.

    :param entry: ``ip:port`` of the entry that answered.
    :param replayed: the request ran before; the results are those recorded under its id.
    :param without_rows: true for a replay whose rows were too large to be recorded. The results
        then have their counts only; there are none when even the counts were too large.
    """

    results: tuple[Result, ...]
    entry: str
    served_by: str
    from_replica: bool
    replayed: bool
    without_rows: bool
    go_elsewhere: bool

    @property
    def rows(self) -> tuple[tuple[Scalar, ...], ...]:
        """Return the rows of the last statement."""
        return self.results[-1].rows if self.results else ()


def encode_value(value: Scalar) -> common_pb2.Value:
    """Return the wire form of a value.

    :raises TypeError: the type has no wire form.
    """
    match value:
        case None:
            return common_pb2.Value(null=True)
        case int():
            return common_pb2.Value(integer=value)
        case float():
            return common_pb2.Value(real=value)
        case str():
            return common_pb2.Value(text=value)
        case bytes():
            return common_pb2.Value(blob=value)
    raise TypeError(f"a parameter of type {type(value).__name__} cannot be sent")


def decode_value(value: common_pb2.Value) -> Scalar:
    """Return the Python value of a wire value."""
    kind = value.WhichOneof("kind")
    if kind is None or kind == "null":
        return None
    return getattr(value, kind)


def statement(sql: str, *parameters: Scalar) -> common_pb2.Statement:
    """Return a statement with its parameters."""
    return common_pb2.Statement(sql=sql, parameters=[encode_value(value) for value in parameters])


def rows_digest(rows: Sequence[common_pb2.Row]) -> int:
    """Return the XXH64 of the concatenated serialized rows, as ``common.proto`` defines it."""
    digest = xxhash.xxh64()
    for row in rows:
        digest.update(row.SerializeToString(deterministic=True))
    return digest.intdigest()


def verify(
    reply: caller_pb2.ExecuteReply, call_id: int, statements: int | None, entry: str
) -> Answer:
    """Return the answer of a reply that belongs to the call and is whole.

    :param statements: number of statements that the call sent; ``None`` if not to be checked.
    :raises IncompleteAnswerError: the reply belongs to another call or is not whole.
    :raises HibiscusError: the error that the reply carries.
    """
    if reply.call_id != call_id:
        raise IncompleteAnswerError(f"call {call_id} received the answer to call {reply.call_id}")
    if reply.verdict != Verdict.DONE.value or reply.error.code:
        raise error_from_reply(reply)
    if reply.without_rows and not reply.replayed:
        raise IncompleteAnswerError(f"call {call_id} received no rows and is not a replay")
    has_no_results = reply.without_rows and not reply.results
    if statements is not None and len(reply.results) != statements and not has_no_results:
        raise IncompleteAnswerError(
            f"call {call_id} sent {statements} statements and received {len(reply.results)} results"
        )
    verify_result = _verify_counts if reply.without_rows else _verify_result
    return Answer(
        results=tuple(verify_result(result, call_id) for result in reply.results),
        entry=entry,
        served_by=reply.served_by,
        from_replica=reply.from_replica,
        replayed=reply.replayed,
        without_rows=reply.without_rows,
        go_elsewhere=reply.go_elsewhere,
    )


def _verify_result(result: common_pb2.ResultSet, call_id: int) -> Result:
    if result.row_count != len(result.rows):
        raise IncompleteAnswerError(
            f"call {call_id} received {len(result.rows)} of {result.row_count} rows"
        )
    if result.digest != rows_digest(result.rows):
        raise IncompleteAnswerError(f"call {call_id} received rows that do not match their digest")
    rows = tuple(tuple(decode_value(value) for value in row.values) for row in result.rows)
    return Result(tuple(result.columns), rows, result.affected_rows, result.row_count)


def _verify_counts(result: common_pb2.ResultSet, call_id: int) -> Result:
    """Return the counts of a result whose rows were not recorded."""
    if result.rows or result.columns:
        raise IncompleteAnswerError(f"call {call_id} received a part of rows that are not recorded")
    return Result((), (), result.affected_rows, result.row_count)
