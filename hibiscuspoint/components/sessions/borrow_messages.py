"""Statements and replies as instances exchange them about borrowed connections."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.core.sessions import (
    Failure,
    PreparedStatement,
    Reply,
    SessionContext,
    SessionState,
    Statement,
    StatementError,
    StatementKind,
)
from hibiscuspoint.drivers.errors import AnswerTimeoutError, AnswerUnclear, ConnectionLost
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND
from hibiscuspoint.wire import peer_pb2
from hibiscuspoint.wire.position import position_from, position_message

if TYPE_CHECKING:
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.drivers.errors import ConnectError

__all__ = [
    "BorrowedStatement",
    "error_of",
    "lost_message",
    "refusal_message",
    "reply_from",
    "reply_message",
    "statement_from",
    "statement_message",
    "values_from",
    "values_of",
]


def values_of(session: SessionContext) -> dict[str, object]:
    """Return the values of a session as fields of a message."""
    values = session.values
    return {
        "values": {name: value for name, value in values.items() if value is not None},
        "bare_values": [name for name, value in values.items() if value is None],
    }


def values_from(
    message: peer_pb2.ConnectionRequest | peer_pb2.StatementRequest,
) -> dict[str, str | None]:
    """Return the values of the session in a message."""
    return {**message.values, **dict.fromkeys(message.bare_values)}


def statement_message(
    statement: Statement,
    session: SessionContext,
    prepared_statement: PreparedStatement | None,
    after: LogPosition | None,
) -> peer_pb2.StatementRequest:
    """Return a statement with the context that it needs at the connection."""
    message = peer_pb2.StatementRequest(
        request_id=statement.request_id,
        kind=statement.kind.value,
        text=statement.text,
        operand=statement.operand,
        writes=statement.writes,
        starts_without_effect=statement.starts_without_effect,
        **values_of(session),
    )
    if prepared_statement is not None:
        message.prepared.CopyFrom(
            peer_pb2.PreparedStatement(
                writes=prepared_statement.writes, text=prepared_statement.text
            )
        )
    if after is not None:
        message.after.CopyFrom(position_message(after))
    return message


@dataclass(frozen=True)
class BorrowedStatement:
    """A statement of another instance, with what it needs at the connection.

    :param session: values that must be set.
    :param prepared_statement: prepared statement that the statement executes, if any.
    :param after: position that the target must have applied.
    """

    statement: Statement
    session: SessionContext
    prepared_statement: PreparedStatement | None
    after: LogPosition | None

    @property
    def is_read(self) -> bool:
        """Tell whether the statement only reads."""
        kind, prepared = self.statement.kind, self.prepared_statement
        if kind is StatementKind.EXECUTE:
            return prepared is not None and not prepared.writes
        return kind is StatementKind.READ


def statement_from(message: peer_pb2.StatementRequest) -> BorrowedStatement:
    """Return the statement of a message.

    :raises ValueError: the kind is not known.
    """
    prepared = message.prepared
    statement = Statement(
        request_id=message.request_id,
        kind=StatementKind(message.kind),
        text=message.text,
        operand=message.operand,
        writes=message.writes,
        starts_without_effect=message.starts_without_effect,
    )
    return BorrowedStatement(
        statement,
        SessionContext(values=values_from(message)),
        PreparedStatement(prepared.writes, prepared.text) if message.HasField("prepared") else None,
        position_from(message.after) if message.HasField("after") else None,
    )


def reply_message(reply: Reply) -> peer_pb2.BorrowReply:
    """Return an answer of a target."""
    message = peer_pb2.BorrowReply(
        rows=reply.rows,
        signature=reply.signature or "",
        state=reply.state.value,
        verbatim=dict(reply.verbatim),
    )
    if reply.error is not None:
        message.failure = reply.error.failure.value
        message.text = reply.error.text
    if reply.position is not None:
        message.position.CopyFrom(position_message(reply.position))
    return message


def reply_from(message: peer_pb2.BorrowReply) -> Reply:
    """Return the answer of a target.

    :raises ValueError: the failure or the state is not known.
    """
    error = None
    if message.failure:
        error = StatementError(Failure(message.failure), message.text)
    return Reply(
        rows=tuple(message.rows),
        signature=None if error is not None else message.signature,
        error=error,
        state=SessionState(message.state),
        position=position_from(message.position) if message.HasField("position") else None,
        verbatim=tuple(sorted(message.verbatim.items())),
    )


def lost_message(error: ConnectionLost) -> peer_pb2.BorrowReply:
    """Return the report that a connection was lost."""
    lost = peer_pb2.BorrowFailure(
        text=str(error),
        sent=error.sent,
        silent=error.is_silent,
        unclear=isinstance(error, AnswerUnclear),
    )
    return peer_pb2.BorrowReply(lost=lost)


def refusal_message(error: ConnectError) -> peer_pb2.BorrowReply:
    """Return the report that there is no connection."""
    lost = peer_pb2.BorrowFailure(
        text=str(error),
        connect_failure=error.failure.value,
        retry_after_ms=math.ceil(error.retry_after_seconds * MILLISECONDS_PER_SECOND),
    )
    return peer_pb2.BorrowReply(lost=lost)


def error_of(lost: peer_pb2.BorrowFailure) -> ConnectionLost:
    """Return the error with which a connection of this instance would have failed."""
    if lost.unclear:
        return AnswerUnclear(lost.text)
    if lost.sent and lost.silent:
        return AnswerTimeoutError()
    return ConnectionLost(lost.text, sent=lost.sent, is_silent=lost.silent)
