"""The component that serves the requests of callers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from circuits import Component, handler

from hibiscuspoint.components.forwarding import (
    error_reply,
    forward_reply,
    request_from_message,
    result_reply,
)
from hibiscuspoint.components.request_meter import RequestMeter
from hibiscuspoint.errors import HibiscusError, LimitError, NotReadyError, RequestError, TokenError
from hibiscuspoint.ids import GroupId
from hibiscuspoint.telemetry import catalogue, log_event
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND
from hibiscuspoint.wire import common_pb2, peer_pb2
from hibiscuspoint.wire.position import position_from

if TYPE_CHECKING:
    from collections.abc import Iterable

    from google.protobuf.message import Message

    from hibiscuspoint.components.entry_state import EntryState
    from hibiscuspoint.components.events import execute_requested, forward_requested
    from hibiscuspoint.components.holder import GroupRequest
    from hibiscuspoint.components.holders import LocalHolder
    from hibiscuspoint.components.router import Router
    from hibiscuspoint.core.entry.drain import DrainState
    from hibiscuspoint.core.entry.session import SessionMarks, TokenCodec
    from hibiscuspoint.core.ports import Clock
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.document.model import GroupModel
    from hibiscuspoint.settings import LimitSettings
    from hibiscuspoint.telemetry.metrics import Metrics
    from hibiscuspoint.wire import caller_pb2

__all__ = ["Entry"]

logger = logging.getLogger(__name__)

#: Greatest length of a character in UTF-8.
MAX_CHARACTER_BYTES = 4


class Entry(Component):
    """Checks the requests of callers, passes them to the router and issues session tokens.

    :param codec: encodes and decodes session tokens.
    :param limits: limits on requests from the settings.
    """

    channel = "entry"

    def __init__(
        self,
        state: EntryState,
        router: Router,
        local_holder: LocalHolder,
        codec: TokenCodec,
        drain: DrainState,
        limits: LimitSettings,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._state = state
        self._router = router
        self._local_holder = local_holder
        self._codec = codec
        self._drain = drain
        self._limits = limits
        self._clock = clock
        self._request_meter = RequestMeter(metrics, state.has_group)

    @property
    def request_meter(self) -> RequestMeter:
        """Metrics of the requests of callers."""
        return self._request_meter

    @property
    def drain(self) -> DrainState:
        """Progress of the drain before a planned stop."""
        return self._drain

    @property
    def is_ready(self) -> bool:
        """Whether a load balancer should send new callers to this entry."""
        return self._drain.is_ready and self._state.is_ready(self._clock.monotonic())

    @handler("execute_requested", channel="*")
    def _on_execute(self, event: execute_requested, message: caller_pb2.ExecuteRequest) -> None:
        event.reply = self.execute(message)

    @handler("forward_requested", channel="*")
    def _on_forward(self, event: forward_requested, message: peer_pb2.ForwardRequest) -> None:
        event.reply = self.execute_forwarded(message)

    async def execute(self, message: caller_pb2.ExecuteRequest) -> caller_pb2.ExecuteReply:
        """Run the request of a caller and return its result or its error as a reply."""
        arrived_at = self._clock.monotonic()
        kind = "read" if message.HasField("read") else "write"
        self._drain.begin_request()
        try:
            reply = await self._execute(message, arrived_at)
        except HibiscusError as error:
            reply = self.refuse(message.group, error, message.caller)
        finally:
            self._drain.end_request()
        reply.call_id = message.call_id
        reply.go_elsewhere = not self._drain.is_ready
        self._request_meter.record_request(
            message.group,
            kind,
            reply,
            self._clock.monotonic() - arrived_at,
            states_age=message.read.max_age_ms > 0,
        )
        return reply

    async def execute_forwarded(self, message: peer_pb2.ForwardRequest) -> peer_pb2.ForwardReply:
        """Run a request that another entry forwarded."""
        request = self.forwarded_request(message)
        self._drain.begin_request()
        try:
            result = await self._local_holder.execute(request)
        except HibiscusError as error:
            return peer_pb2.ForwardReply(reply=error_reply(error))
        finally:
            self._drain.end_request()
        return forward_reply(result)

    def forwarded_request(self, message: peer_pb2.ForwardRequest) -> GroupRequest:
        """Convert a message of another entry to a request, with the deadline on the local clock."""
        inner = message.request
        return request_from_message(
            inner,
            inner.statements,
            position_from(message.mark),
            self._clock.monotonic() + message.remaining_ms / MILLISECONDS_PER_SECOND,
            inner.read.max_age_ms if inner.HasField("read") else None,
        )

    def admit(
        self, message: caller_pb2.ExecuteRequest, arrived_at: float
    ) -> tuple[GroupRequest, SessionMarks]:
        """Validate a request and return it with the marks of its session.

        :param arrived_at: monotonic time in seconds at which the request arrived.
        :raises HibiscusError: the request is refused; the verdict is ``NOT_RUN``.
        """
        if not self._drain.accepts_new_requests(arrived_at):
            raise NotReadyError("this entry is draining and accepts no new requests")
        if not self._state.is_ready(arrived_at):
            raise NotReadyError(
                "this entry has no document in force or no recent contact with control"
            )
        self.check_size(message)
        group_model = self._group_model(message.group)
        self._check_statements(message.statements)
        marks = self._session_marks(message)
        timeout_ms = message.timeout_ms or group_model.default_timeout_ms
        request = request_from_message(
            message,
            message.statements,
            marks.mark(GroupId(message.group)),
            arrived_at + timeout_ms / MILLISECONDS_PER_SECOND,
            self._max_age_ms(message, group_model),
        )
        return request, marks

    def refuse(self, group: str, error: HibiscusError, caller: str = "") -> caller_pb2.ExecuteReply:
        """Log the refusal of a request and return its reply."""
        if isinstance(error, LimitError):
            log_event(logger, catalogue.LIMIT_REACHED, caller=caller, limit=error.limit)
        log_event(
            logger,
            catalogue.REQUEST_REFUSED,
            group=group,
            code=error.code,
            verdict=error.verdict.name,
        )
        return error_reply(error)

    def new_token(self, marks: SessionMarks, group: GroupId, position: LogPosition) -> bytes:
        """Return the token of a session after it wrote or read a position of a group."""
        return self._codec.encode(marks.advance(group, position))

    def check_step(self, statements: Iterable[common_pb2.Statement]) -> None:
        """Check the length of the statements of a request or of a step of a transaction.

        :raises LimitError: a statement exceeds ``statement_bytes``.
        """
        limit = self._limits.statement_bytes
        for statement in statements:
            if _exceeds(statement.sql, limit):
                message = f"a statement is longer than {limit} bytes"
                raise LimitError(message, limit="statement_bytes")

    def check_size(self, message: Message) -> None:
        """Check the size of a message.

        :raises LimitError: the message exceeds ``message_bytes``.
        """
        limit = self._limits.message_bytes
        if message.ByteSize() > limit:
            raise LimitError(f"a message is larger than {limit} bytes", limit="message_bytes")

    async def _execute(
        self, message: caller_pb2.ExecuteRequest, arrived_at: float
    ) -> caller_pb2.ExecuteReply:
        request, marks = self.admit(message, arrived_at)
        result = await self._router.execute(request)
        reply = result_reply(result)
        reply.token = self.new_token(marks, request.group, result.position)
        return reply

    def _group_model(self, group: str) -> GroupModel:
        group_model = self._state.document.groups.get(GroupId(group))
        if group_model is None:
            raise RequestError(f"group {group!r} is not in the document in force")
        return group_model

    def _check_statements(self, statements: Iterable[common_pb2.Statement]) -> None:
        if not statements:
            raise RequestError("the request has no statement")
        self.check_step(statements)

    def _session_marks(self, message: caller_pb2.ExecuteRequest) -> SessionMarks:
        try:
            marks = self._codec.decode(message.token)
        except TokenError as error:
            log_event(logger, catalogue.TOKEN_REFUSED, reason=error.message)
            raise
        self._codec.ensure_room(marks, GroupId(message.group))
        return marks

    def _max_age_ms(
        self, message: caller_pb2.ExecuteRequest, group_model: GroupModel
    ) -> int | None:
        if not message.HasField("read"):
            return None
        max_age_ms = message.read.max_age_ms
        if group_model.reads.max_age_ms_limit is not None:
            return min(max_age_ms, group_model.reads.max_age_ms_limit)
        return max_age_ms


def _exceeds(text: str, limit: int) -> bool:
    """Tell whether a text exceeds a limit in bytes; short texts need no encoding for that."""
    if len(text) * MAX_CHARACTER_BYTES <= limit:
        return False
    return len(text.encode()) > limit
