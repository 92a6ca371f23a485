"""Line protocol between callers, the proxy and the databases of the platform."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hibiscuspoint.core.position import LogPosition
from hibiscuspoint.core.sessions import (
    Answer,
    AnswerKind,
    Failure,
    Reply,
    SessionState,
    Statement,
    StatementError,
    StatementKind,
)
from hibiscuspoint.ids import Term

if TYPE_CHECKING:
    from hibiscuspoint.core.sessions import PreparedStatement

__all__ = [
    "INTERNAL_REQUEST_ID",
    "LINE_BYTES",
    "MESSAGE_END",
    "TEXT_BYTES",
    "AnswerBuilder",
    "ProtocolError",
    "Startup",
    "format_error",
    "format_internal_query",
    "format_prepare",
    "format_query",
    "format_ready",
    "format_reply",
    "format_set",
    "format_startup",
    "parse_failure_code",
    "parse_position",
    "parse_refusal",
    "parse_startup",
    "parse_statement",
]

#: End of a message. A CR or an LF that is not part of it belongs to the text of the message.
MESSAGE_END = b"\r\n"

#: Maximum length of a message in bytes, as the protocol specifies it.
LINE_BYTES = 1_048_576

#: Maximum length of a message without its end; the limit of a stream reader counts in this way.
TEXT_BYTES = LINE_BYTES - len(MESSAGE_END)

#: Largest term and number of a log position; messages between instances hold it.
MAX_NUMBER = 2**63 - 1

#: Request id of the statements that the proxy itself issues.
INTERNAL_REQUEST_ID = "-"

_NO_POSITION = "-"

#: Beginnings of the messages of which an answer consists, but for the last one.
_ANSWER_WORDS = (b"ROW", b"COMPLETE", b"ERROR")
_ANSWER_TEXTS = tuple(f"{word.decode()} " for word in _ANSWER_WORDS)

_FAILURES_BY_CODE = {
    "BUSY": Failure.OVERLOADED,
    "ABORTED": Failure.ABORTED,
    "LAGGING": Failure.LAGGING,
    "READONLY": Failure.READ_ONLY,
    "WRONGNODE": Failure.WRONG_TARGET,
    "TOOMANY": Failure.TOO_MANY_CONNECTIONS,
    "NOSTMT": Failure.UNKNOWN_STATEMENT,
    "NODB": Failure.UNKNOWN_DATABASE,
    "NOAUTH": Failure.UNAUTHORIZED,
    "MALFORMED": Failure.MALFORMED,
    "FAILED": Failure.FAILED,
    "TIMEOUT": Failure.TIMEOUT,
    "INDOUBT": Failure.IN_DOUBT,
}
_CODES_BY_FAILURE = {failure: code for code, failure in _FAILURES_BY_CODE.items()}

_STATES_BY_LETTER = {
    "I": SessionState.IDLE,
    "T": SessionState.IN_TRANSACTION,
    "E": SessionState.FAILED,
}
_STATE_LETTERS = {state: letter for letter, state in _STATES_BY_LETTER.items()}

_SIMPLE_KINDS = {
    "COMMIT": StatementKind.COMMIT,
    "ROLLBACK": StatementKind.ROLLBACK,
    "READ": StatementKind.READ,
    "WRITE": StatementKind.WRITE,
}


class ProtocolError(Exception):
    """A message that does not follow the protocol."""


@dataclass(frozen=True)
class Startup:
    """First message of a caller.

    :param key: key of the organisation of the caller; may be empty. It is not part of the text
        form, so that no log contains it.
    """

    database: str
    key: str = field(repr=False)


def format_startup(group: str, caller: str, target: str) -> bytes:
    """Return the message that opens a connection to a database.

    :raises ProtocolError: a field is empty or would change the others.
    """
    fields = (group, caller, target)
    if any(not field or " " in field or "\r\n" in field for field in fields):
        raise ProtocolError("a field of the startup message is no single word")
    return f"STARTUP {' '.join(fields)}\r\n".encode()


def parse_startup(line: bytes) -> Startup:
    """Parse a startup message.

    :raises ProtocolError: the message is malformed or of another type.
    """
    word, _, rest = _decode_line(line).partition(" ")
    database, _, key = rest.partition(" ")
    if word != "STARTUP" or not database:
        raise ProtocolError("expected STARTUP with a database")
    return Startup(database, key)


def parse_statement(line: bytes) -> Statement | None:
    """Parse a query; returns ``None`` for the message that ends the session.

    :raises ProtocolError: the message is malformed or of another type.
    """
    word, _, rest = _decode_line(line).partition(" ")
    if word == "TERMINATE":
        return None
    request_id, _, text = rest.partition(" ")
    if word != "QUERY" or not request_id or not text:
        raise ProtocolError("expected QUERY with an id and a text")
    return _parse_text(request_id, text)


def _parse_text(request_id: str, text: str) -> Statement:
    verb, _, operand = text.partition(" ")
    if verb == "BEGIN":
        kind = StatementKind.BEGIN_READ_ONLY if operand == "READ" else StatementKind.BEGIN
        if operand in ("", "READ"):
            return Statement(request_id, kind, text)
    elif verb in _SIMPLE_KINDS:
        writes = verb == "WRITE"
        return Statement(request_id, _SIMPLE_KINDS[verb], text, operand=operand, writes=writes)
    else:
        name, blank, value = operand.partition(" ")
        if verb == "SET" and name:
            return Statement(request_id, StatementKind.SET, text, name, value if blank else None)
        if verb == "EXECUTE" and name:
            return Statement(request_id, StatementKind.EXECUTE, text, name, value)
        if verb == "DEALLOC" and operand:
            return Statement(request_id, StatementKind.DEALLOCATE, text, operand)
        mode, blank, prepared_text = value.partition(" ")
        if verb == "PREPARE" and name and mode in ("READ", "WRITE") and blank:
            writes = mode == "WRITE"
            return Statement(request_id, StatementKind.PREPARE, text, name, prepared_text, writes)
    raise ProtocolError("unknown statement")


def format_query(
    statement: Statement, name: str | None = None, after: LogPosition | None = None
) -> bytes:
    """Return the message that forwards a statement to a database.

    :param name: name of the executed prepared statement on the connection to the database.
    :param after: log position that the database must have applied before it runs the statement.
    """
    text = statement.text
    if name is not None:
        text = _rename(text, name)
    if after is not None:
        text = f"AFTERLSN {after.term}.{after.index} {text}"
    return f"QUERY {statement.request_id} {text}\r\n".encode()


def _rename(text: str, name: str) -> str:
    """Return an ``EXECUTE`` statement with another name and the rest as it is."""
    start = text.index(" ") + 1
    end = text.find(" ", start)
    return text[:start] + name + (text[end:] if end >= 0 else "")


def format_internal_query(text: str) -> bytes:
    """Return the message of a statement that the proxy itself issues."""
    return f"QUERY {INTERNAL_REQUEST_ID} {text}\r\n".encode()


def format_set(name: str, value: str | None) -> bytes:
    """Return the message that sets a session value; ``None`` stands for no field at all."""
    return format_internal_query(f"SET {name}" if value is None else f"SET {name} {value}")


def format_prepare(name: str, prepared: PreparedStatement) -> bytes:
    """Return the message that creates a prepared statement."""
    return format_internal_query(
        f"PREPARE {name} {'WRITE' if prepared.writes else 'READ'} {prepared.text}"
    )


def format_ready(state: SessionState, position: LogPosition | None) -> bytes:
    """Return the message that ends an answer."""
    text = _NO_POSITION if position is None else f"{position.term}.{position.index}"
    return f"READY {_STATE_LETTERS[state]} {text}\r\n".encode()


def format_error(failure: Failure, text: str) -> bytes:
    """Return an error message, with each run of whitespace in the text replaced by a space."""
    return f"{_error(failure, text)}\r\n".encode()


def format_reply(reply: Reply) -> bytes:
    """Return all messages of an answer, concatenated; those of a target as it sent them."""
    messages = [_row(row) for row in reply.rows]
    if reply.error is not None:
        messages.append(_error(reply.error.failure, reply.error.text))
    else:
        messages.append(_complete(reply.signature))
    verbatim = dict(reply.verbatim)
    parts = [
        f"{verbatim.get(number, message)}\r\n".encode() for number, message in enumerate(messages)
    ]
    parts.append(format_ready(reply.state, reply.position))
    return b"".join(parts)


def _row(text: str) -> str:
    return f"ROW {text}"


def _complete(signature: str | None) -> str:
    return f"COMPLETE {signature or '-'}"


def _error(failure: Failure, text: str) -> str:
    """Return an error of the proxy, whose text may come from a library and have several lines."""
    return f"ERROR {_CODES_BY_FAILURE[failure]} {' '.join(text.split()) or '-'}"


def parse_failure_code(code: str) -> Failure:
    """Return the failure of an error code; an unknown code counts as a failed statement."""
    return _FAILURES_BY_CODE.get(code, Failure.FAILED)


def parse_refusal(line: bytes) -> tuple[str, str] | None:
    """Return code and text of an error message; ``None`` if the message is another one.

    :raises ProtocolError: the message is malformed.
    """
    word, _, rest = _decode_line(line).partition(" ")
    code, _, text = rest.partition(" ")
    return (code, text) if word == "ERROR" else None


def parse_position(text: str) -> LogPosition | None:
    """Parse a log position; returns ``None`` when the field is empty or "-".

    :raises ProtocolError: the position is malformed.
    """
    if text in ("", _NO_POSITION):
        return None
    term, _, index = text.partition(".")
    try:
        if not text.isascii() or not (term.isdecimal() and index.isdecimal()):
            raise ValueError
        position = LogPosition(Term(int(term)), int(index))
    except ValueError:
        raise ProtocolError(f"{text!r:.80} is no log position") from None
    if not (0 <= position.term <= MAX_NUMBER and 0 <= position.index <= MAX_NUMBER):
        raise ProtocolError("a log position is out of range")
    return position


class AnswerBuilder:
    """Assembles answers of a database from their messages, in order."""

    def __init__(self) -> None:
        self._clear()

    @property
    def is_empty(self) -> bool:
        """Tell whether no part of the next answer has arrived."""
        return not self._lines

    def add(self, line: bytes) -> Answer | None:
        """Add a message; returns the answer when the message completes it.

        :raises ProtocolError: the message does not follow the protocol.
        """
        message = _decode_line(line)
        word, _, rest = message.partition(" ")
        has_outcome = self._signature is not None or self._error is not None
        if word == "READY":
            return self._finish(line, rest)
        if has_outcome:
            raise ProtocolError(f"unexpected message {word[:16]!r} after the outcome")
        if word == "ROW":
            self._keep(message, _row(rest))
            self._rows.append(rest)
        elif word == "COMPLETE":
            self._signature = "" if rest == "-" else rest
            self._keep(message, _complete(self._signature))
        elif word == "ERROR":
            code, _, text = rest.partition(" ")
            self._error = StatementError(parse_failure_code(code), text)
            self._keep(message, _error(self._error.failure, text))
        else:
            raise ProtocolError(f"unexpected message {word[:16]!r}")
        self._lines.append(line)
        return None

    def _keep(self, message: str, written: str) -> None:
        """Keep the next message of the answer if it would be written in another way."""
        if message != written:
            self._verbatim[len(self._rows)] = message

    def _finish(self, line: bytes, rest: str) -> Answer:
        letter, _, position = rest.partition(" ")
        if letter not in _STATES_BY_LETTER:
            raise ProtocolError("unknown session state")
        reply = Reply(
            rows=tuple(self._rows),
            signature=self._signature if self._error is None else None,
            error=self._error,
            state=_STATES_BY_LETTER[letter],
            position=parse_position(position),
            verbatim=tuple(self._verbatim.items()),
        )
        identity = self._signature or b"".join([*self._lines, line])
        answer = Answer(self._kind(), reply, hash(identity), self._may_be_joined(), self._cut_row())
        self._clear()
        return answer

    def _may_be_joined(self) -> bool:
        """Tell whether the error or the signature contains the beginning of another message."""
        text = self._lines[-1][1:] if self._lines else b""
        return any(word in text for word in _ANSWER_WORDS)

    def _cut_row(self) -> str | None:
        """Return the text of a row up to the beginning of another message in it, if there is one.

        Only a row that arrives behind part of another one has it, unless its text happens to.
        """
        for row in self._rows:
            ends = [row.find(word) for word in _ANSWER_TEXTS]
            found = [end for end in ends if end >= 0]
            if found:
                return row[: min(found)]
        return None

    def _kind(self) -> AnswerKind:
        if self._error is not None:
            return AnswerKind.ERROR
        if self._signature:
            return AnswerKind.SIGNED
        if self._signature is not None:
            return AnswerKind.UNSIGNED
        if self._rows:
            raise ProtocolError("an answer with rows and no outcome")
        return AnswerKind.GREETING

    def _clear(self) -> None:
        self._lines: list[bytes] = []
        self._rows: list[str] = []
        self._signature: str | None = None
        self._error: StatementError | None = None
        self._verbatim: dict[int, str] = {}


def _decode_line(line: bytes) -> str:
    """Return the text of a message, which ends with the first ``MESSAGE_END``."""
    end = line.find(MESSAGE_END)
    if end < 0 or end + len(MESSAGE_END) != len(line):
        raise ProtocolError("the message has no end, or more than one")
    try:
        return line[:end].decode()
    except UnicodeDecodeError:
        raise ProtocolError("the message is not UTF-8") from None
