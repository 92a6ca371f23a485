"""One connection to a database as a stream of messages, with its answers matched to questions."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from hibiscuspoint.core.sessions import (
    AnswerHistory,
    AnswerKind,
    Match,
    SessionState,
    Settlement,
)
from hibiscuspoint.drivers.errors import (
    AnswerDoubtful,
    AnswerTimeoutError,
    AnswerUnclear,
    ConnectionLost,
)
from hibiscuspoint.platform import wire
from hibiscuspoint.util.tcp import reset

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.core.sessions import Answer, EndReason, Question, Reply

__all__ = ["AnswerStream", "ConnectionEnded", "StartupRefused"]


class ConnectionEnded(ConnectionLost):
    """The database closed the connection."""

    def __init__(self) -> None:
        super().__init__("the connection ended", sent=True)


class StartupRefused(Exception):  # noqa: N818 - named like ConnectionLost
    """The database refused the startup of a connection with an error message."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(f"{code} {text}")
        self.code = code


@dataclass(frozen=True)
class _Doubt:
    """A refusal that equals an earlier one, with the question that it may belong to."""

    question: Question
    refusal: Answer


class AnswerStream(asyncio.Protocol):
    """Sends one question at a time and accepts the answer that belongs to it.

    :param report: is told of each answer that was not accepted, and the question in progress, and
        why the connection ended, if it did so between two uses.
    """

    def __init__(self, report: Callable[[Match | EndReason, Question | None], None]) -> None:
        self._report = report
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._searched = 0
        self._builder = wire.AnswerBuilder()
        self._history = AnswerHistory()
        self._state = SessionState.IDLE
        self._is_started = False
        self._is_open = True
        self._question: Question | None = None
        self._doubt: _Doubt | None = None
        self._waiter: asyncio.Future[Answer] | None = None

    @property
    def is_open(self) -> bool:
        """Tell whether the connection is open."""
        return self._is_open

    @property
    def state(self) -> SessionState:
        """Return the state of the session after the last answer."""
        return self._state

    @property
    def exhausted_at(self) -> LogPosition | None:
        """Return the position of the log at which a refusal could not be settled."""
        return self._history.exhausted_at

    @property
    def is_unproven(self) -> bool:
        """Tell whether the last answer may be that to an earlier question."""
        return self._history.is_unproven

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Take bytes of the database."""
        self._buffer += data
        try:
            while self._is_open and (line := self._next_line()):
                self._take_line(line)
        except wire.ProtocolError as error:
            self._fail(ConnectionLost(str(error), sent=True))

    def eof_received(self) -> None:
        """Close the connection, as the database sends nothing more."""
        self._fail(ConnectionEnded())

    def connection_lost(self, error: Exception | None) -> None:
        """End the question in progress."""
        self._fail(ConnectionLost(str(error), sent=True) if error else ConnectionEnded())

    async def start_up(self, message: bytes) -> None:
        """Send the startup message and wait until the database is ready.

        :raises StartupRefused: the database refused the connection.
        :raises ConnectionLost: the connection ended before.
        """
        self._waiter = asyncio.get_running_loop().create_future()
        self._transport.write(message)
        try:
            self._history.record_greeting(await self._waiter)
        except BaseException:
            self.close()
            raise
        finally:
            self._waiter = None

    async def ask(self, question: Question, message: bytes, timeout: float) -> Reply:
        """Send a question and wait for its answer.

        :param timeout: longest time in seconds until the answer is complete.
        :raises AnswerDoubtful: a refusal equals an earlier one; ``settle`` must be the next call.
        :raises ConnectionLost: there is no answer; the connection is closed. The question was not
            sent if the error says so.
        """
        if self._doubt is not None:
            self.reset()
        if not self._is_open:
            raise ConnectionLost("the connection is closed", sent=False)
        if self._has_part:
            self._report(Match.UNCLEAR, None)
            self._fail(ConnectionLost("part of another answer has arrived", sent=False))
            raise ConnectionLost("part of another answer has arrived", sent=False)
        reply = await self._exchange(question, message, timeout)
        # A position from before the question must not be taken for the present one.
        return replace(reply, position=None) if self.is_unproven else reply

    async def settle(self, question: Question, message: bytes, timeout: float) -> Reply:
        """Send a question behind a doubtful refusal, and return the answer that this settles.

        :param timeout: longest time in seconds until the answer is complete.
        :raises AnswerUnclear: it cannot be settled; the connection is closed.
        """
        if not self._is_open or self._has_part or self._doubt is None:
            self.reset()
            raise AnswerUnclear("the connection ended with a doubtful answer")
        try:
            return await self._exchange(question, message, timeout)
        except AnswerTimeoutError as error:
            raise AnswerUnclear("a doubtful answer was not settled in time") from error

    @property
    def _has_part(self) -> bool:
        """Tell whether part of an answer has arrived."""
        return bool(self._buffer) or not self._builder.is_empty

    async def _exchange(self, question: Question, message: bytes, timeout: float) -> Reply:
        self._question = question
        self._waiter = asyncio.get_running_loop().create_future()
        self._transport.write(message)
        try:
            async with asyncio.timeout(timeout):
                return (await self._waiter).reply
        except TimeoutError:
            self.reset()
            raise AnswerTimeoutError from None
        except asyncio.CancelledError:
            self.reset()
            raise
        finally:
            self._question = self._waiter = None

    def close(self) -> None:
        """Close the connection."""
        self._is_open = False
        if self._transport is not None:
            self._transport.close()

    def reset(self) -> None:
        """Close the connection so that a question that is still on its way never arrives."""
        self._is_open = False
        if self._transport is not None:
            reset(self._transport)

    def _next_line(self) -> bytes | None:
        """Remove and return the next message, if it is complete."""
        end = self._buffer.find(wire.MESSAGE_END, self._searched)
        size = end + len(wire.MESSAGE_END) if end >= 0 else len(self._buffer)
        if size > wire.LINE_BYTES:
            raise wire.ProtocolError("a message is too long")
        if end < 0:
            self._searched = max(0, size - len(wire.MESSAGE_END) + 1)
            return None
        line = bytes(self._buffer[:size])
        del self._buffer[:size]
        self._searched = 0
        return line

    def _take_line(self, line: bytes) -> None:
        if not self._is_started and (refusal := wire.parse_refusal(line)) is not None:
            self._fail(StartupRefused(*refusal))
            return
        answer = self._builder.add(line)
        if answer is None:
            return
        if self._is_started:
            self._match(answer)
        elif answer.kind is not AnswerKind.GREETING:
            raise wire.ProtocolError("the startup was not answered")
        else:
            self._is_started = True
            self._waiter.set_result(answer)

    def _match(self, answer: Answer) -> None:
        if self._doubt is not None:
            self._settle(self._doubt, answer)
            return
        match = self._history.match(self._question, answer)
        if match is Match.ACCEPTED:
            self._question = None
            self._state = answer.reply.state
            if not self._waiter.done():
                self._waiter.set_result(answer)
        elif match is Match.REPEATED:
            self._report(match, self._question)
        if match is Match.UNCLEAR:
            self._take_unclear(answer)
        elif self._question is None and self._state is SessionState.IDLE:
            if self._is_open and self._history.must_end:
                self._report(self._history.end_reason, None)
                self.close()

    def _take_unclear(self, answer: Answer) -> None:
        if self._history.can_settle(self._question, answer) and not self._waiter.done():
            self._doubt, self._question = _Doubt(self._question, answer), None
            in_transaction = self._state is SessionState.IN_TRANSACTION
            self._waiter.set_exception(AnswerDoubtful(in_transaction=in_transaction))
        else:
            self._report(Match.UNCLEAR, self._question)
            self._fail(AnswerUnclear("an answer cannot be told from a repetition"))

    def _settle(self, doubt: _Doubt, answer: Answer) -> None:
        """Take the answer that arrives after a doubtful refusal."""
        settlement = Settlement.UNCLEAR
        if self._question is not None:
            settlement = self._history.settle(doubt.question, self._question, answer)
        if settlement is Settlement.UNCLEAR:
            self._report(Match.UNCLEAR, doubt.question)
            self._fail(AnswerUnclear("a doubtful answer cannot be settled"))
            return
        self._doubt = self._question = None
        self._state = answer.reply.state
        if settlement is Settlement.CONFIRMED:
            answer = replace(doubt.refusal, reply=replace(doubt.refusal.reply, state=self._state))
        else:
            # The answer to the question behind is still to come.
            self._report(Match.REPEATED, doubt.question)
            self._report(self._history.end_reason, None)
            self.close()
        if not self._waiter.done():
            self._waiter.set_result(answer)

    def _fail(self, error: Exception) -> None:
        """Close the connection and end the question in progress."""
        self.reset()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(error)
