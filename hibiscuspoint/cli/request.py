"""Parts of a request and the check of its reply."""

from __future__ import annotations

import json
import uuid
from typing import TYPE_CHECKING

import uuid6
import xxhash

from hibiscuspoint.cli.errors import IncompleteAnswerError, UsageError
from hibiscuspoint.util.schema import read_text
from hibiscuspoint.verdict import Verdict
from hibiscuspoint.wire import caller_pb2, common_pb2

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["check_results", "parse_parameter", "read_statements", "request_identity"]


def parse_parameter(text: str) -> common_pb2.Value:
    """Return a JSON null, number or string as a value, and everything else as text."""
    try:
        parsed = json.loads(text)
    except (ValueError, RecursionError):
        parsed = text
    if parsed is None:
        return common_pb2.Value(null=True)
    if isinstance(parsed, bool) or not isinstance(parsed, int | float | str):
        return common_pb2.Value(text=text)
    if isinstance(parsed, str):
        return common_pb2.Value(text=parsed)
    if isinstance(parsed, float):
        return common_pb2.Value(real=parsed)
    if not -(2**63) <= parsed < 2**63:
        return common_pb2.Value(text=text)
    return common_pb2.Value(integer=parsed)


def read_statements(path: Path) -> list[common_pb2.Statement]:
    """Read one statement from each line that is neither empty nor a comment.

    :raises ConfigurationError: the file cannot be read.
    :raises UsageError: the file holds no statement.
    """
    lines = (line.strip() for line in read_text(path).splitlines())
    statements = [
        common_pb2.Statement(sql=line) for line in lines if line and not line.startswith("--")
    ]
    if not statements:
        raise UsageError(f"{path} holds no statement")
    return statements


def request_identity(text: str) -> caller_pb2.Idempotency:
    """Return the id of a request with its issue time.

    The time comes from the id, so that it stays the same when the request is repeated.

    :param text: a UUID version 7 (RFC 9562), or ``new``.
    :raises UsageError: the text is neither.
    """
    if text == "new":
        text = str(uuid6.uuid7())
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        parsed = None
    if parsed is None or parsed.version != 7:
        raise UsageError(f"{text!r} is not a UUID version 7; '--id new' makes one")
    issued_at_ms = parsed.int >> 80
    return caller_pb2.Idempotency(id=str(parsed), issued_at_ms=issued_at_ms)


def check_results(request: caller_pb2.ExecuteRequest, reply: caller_pb2.ExecuteReply) -> None:
    """Check that a reply is complete and belongs to the request.

    Only a replay may state that it comes without its rows, and then without all of them.

    :raises IncompleteAnswerError: it does not, or a row count or digest differs.
    """
    if reply.call_id != request.call_id:
        raise IncompleteAnswerError("the reply belongs to another request")
    if reply.verdict != Verdict.DONE.value:
        raise IncompleteAnswerError("the reply has no error and no verdict DONE")
    if reply.without_rows and not reply.replayed:
        raise IncompleteAnswerError("the reply has no rows and is not a replay")
    has_no_results = reply.without_rows and not reply.results
    if len(reply.results) != len(request.statements) and not has_no_results:
        raise IncompleteAnswerError(
            f"the reply has {len(reply.results)} results for {len(request.statements)} statements"
        )
    is_complete = _has_no_rows if reply.without_rows else _has_all_rows
    if not all(is_complete(result) for result in reply.results):
        raise IncompleteAnswerError("the rows of the reply are not complete")


def _has_no_rows(result: common_pb2.ResultSet) -> bool:
    return not result.rows and not result.columns


def _has_all_rows(result: common_pb2.ResultSet) -> bool:
    digest = xxhash.xxh64()
    for row in result.rows:
        digest.update(row.SerializeToString(deterministic=True))
    return result.row_count == len(result.rows) and result.digest == digest.intdigest()
