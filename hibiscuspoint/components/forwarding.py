"""Conversion between gRPC messages and the requests and results of a holder."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.components.holder import GroupRequest, GroupResult
from hibiscuspoint.errors import ERROR_CODES, HibiscusError
from hibiscuspoint.ids import CallerId, GroupId, RequestId, TargetId
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND
from hibiscuspoint.verdict import Verdict
from hibiscuspoint.wire import caller_pb2, common_pb2, peer_pb2
from hibiscuspoint.wire.position import position_from, position_message

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hibiscuspoint.core.position import LogPosition

__all__ = [
    "error_from_reply",
    "error_reply",
    "forward_message",
    "forward_reply",
    "request_from_message",
    "result_from_forward",
    "result_reply",
]


def request_from_message(
    message: caller_pb2.ExecuteRequest,
    statements: Iterable[common_pb2.Statement],
    mark: LogPosition,
    deadline: float,
    max_age_ms: int | None,
) -> GroupRequest:
    """Convert a message of a caller to a request.

    :param deadline: monotonic time in seconds.
    :param mark: session mark of the group.
    :param max_age_ms: greatest accepted staleness of a read, ``None`` for a write.
    """
    has_id = message.HasField("idempotency")
    return GroupRequest(
        group=GroupId(message.group),
        caller=CallerId(message.caller),
        statements=tuple(statements),
        mark=mark,
        deadline=deadline,
        max_age_seconds=None if max_age_ms is None else max_age_ms / MILLISECONDS_PER_SECOND,
        request_id=RequestId(message.idempotency.id) if has_id else None,
        issued_at_ms=message.idempotency.issued_at_ms,
    )


def forward_message(request: GroupRequest, now: float) -> peer_pb2.ForwardRequest:
    """Return the message that forwards a request to a holder.

    :param now: monotonic time in seconds; the message carries the remaining time instead of the
        deadline, because the clocks of two instances differ.
    """
    message = caller_pb2.ExecuteRequest(
        caller=request.caller, group=request.group, statements=request.statements
    )
    if request.max_age_seconds is not None:
        message.read.max_age_ms = int(request.max_age_seconds * MILLISECONDS_PER_SECOND)
    if request.request_id is not None:
        message.idempotency.id = request.request_id
        message.idempotency.issued_at_ms = request.issued_at_ms
    return peer_pb2.ForwardRequest(
        request=message,
        mark=position_message(request.mark),
        remaining_ms=max(0, int((request.deadline - now) * MILLISECONDS_PER_SECOND)),
    )


def result_reply(result: GroupResult) -> caller_pb2.ExecuteReply:
    """Convert a result to the reply for a caller."""
    return caller_pb2.ExecuteReply(
        results=result.results,
        verdict=common_pb2.DONE,
        served_by=result.served_by or "",
        from_replica=result.from_replica,
        replayed=result.replayed,
        without_rows=result.without_rows,
    )


def error_reply(error: HibiscusError) -> caller_pb2.ExecuteReply:
    """Convert an error to the reply for a caller."""
    return caller_pb2.ExecuteReply(
        verdict=error.verdict.value,
        error=common_pb2.Error(
            code=error.code,
            message=error.message,
            hint=error.hint,
            rolled_back=error.rolled_back,
        ),
    )


def forward_reply(result: GroupResult) -> peer_pb2.ForwardReply:
    """Convert a result to the reply for the entry that forwarded the request."""
    position = position_message(result.position)
    return peer_pb2.ForwardReply(reply=result_reply(result), position=position)


def error_from_reply(reply: caller_pb2.ExecuteReply) -> HibiscusError:
    """Convert the error of a reply back to an exception."""
    error_class = ERROR_CODES.get(reply.error.code, HibiscusError)
    return error_class(
        reply.error.message,
        hint=reply.error.hint,
        verdict=Verdict(reply.verdict),
        rolled_back=reply.error.rolled_back,
    )


def result_from_forward(message: peer_pb2.ForwardReply) -> GroupResult:
    """Convert the reply of a holder to a result.

    :raises HibiscusError: the reply carries an error.
    """
    reply = message.reply
    if reply.error.code:
        raise error_from_reply(reply)
    return GroupResult(
        results=list(reply.results),
        position=position_from(message.position),
        served_by=TargetId(reply.served_by),
        from_replica=reply.from_replica,
        replayed=reply.replayed,
        without_rows=reply.without_rows,
    )
