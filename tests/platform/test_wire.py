"""Tests of the line protocol."""

from __future__ import annotations

import pytest

from hibiscuspoint.core.sessions import (
    Failure,
    PreparedStatement,
    Reply,
    SessionState,
    StatementKind,
)
from hibiscuspoint.platform import wire
from tests.builders_failover import position


def _reply(*lines: bytes) -> Reply:
    builder = wire.AnswerBuilder()
    for line in lines[:-1]:
        assert builder.add(line) is None
    return builder.add(lines[-1]).reply


@pytest.mark.parametrize(
    ("text", "kind", "name", "operand", "writes"),
    [
        ("BEGIN", StatementKind.BEGIN, "", "", False),
        ("BEGIN READ", StatementKind.BEGIN_READ_ONLY, "", "", False),
        ("COMMIT", StatementKind.COMMIT, "", "", False),
        ("READ 1a4", StatementKind.READ, "", "1a4", False),
        ("WRITE 1a4 x y", StatementKind.WRITE, "", "1a4 x y", True),
        ("SET zone a b", StatementKind.SET, "zone", "a b", False),
        ("PREPARE s1 WRITE q2c", StatementKind.PREPARE, "s1", "q2c", True),
        ("EXECUTE s1 1a4 data", StatementKind.EXECUTE, "s1", "1a4 data", False),
        ("DEALLOC s1", StatementKind.DEALLOCATE, "s1", "", False),
    ],
)
def test_statements_are_read_in_full(text, kind, name, operand, writes):
    """Guards against a statement that is misparsed, or altered when it is forwarded."""
    statement = wire.parse_statement(f"QUERY 5c0e {text}\r\n".encode())
    assert statement.kind is kind
    assert (statement.name, statement.operand, statement.writes) == (name, operand, writes)
    assert wire.format_query(statement) == f"QUERY 5c0e {text}\r\n".encode()


@pytest.mark.parametrize(
    "line",
    [
        b"QUERY 1 BEGIN NOW\r\n",
        b"QUERY 1 PREPARE s1 OTHER q\r\n",
        b"QUERY 1 DROP all\r\n",
        b"QUERY 1\r\n",
        b"HELLO\r\n",
        b"QUERY 1 READ 1a4",
        b"QUERY 1 READ \xff\r\n",
    ],
)
def test_other_messages_are_refused(line):
    """Guards against a malformed statement that is forwarded to a database."""
    with pytest.raises(wire.ProtocolError):
        wire.parse_statement(line)


def test_executed_statement_is_renamed_and_fenced_by_a_position():
    """Guards against collisions of prepared statement names, and against stale reads."""
    statement = wire.parse_statement(b"QUERY 7 EXECUTE s1 1a4\r\n")
    message = wire.format_query(statement, name="s9", after=position(12, term=3))
    assert message == b"QUERY 7 AFTERLSN 3.12 EXECUTE s9 1a4\r\n"


def test_answer_is_collected_until_it_is_complete():
    """Guards against a truncated answer that is accepted as complete."""
    reply = _reply(b"ROW a b\r\n", b"ROW c\r\n", b"COMPLETE sig.1\r\n", b"READY I 3.7\r\n")
    assert reply == Reply(("a b", "c"), "sig.1", None, SessionState.IDLE, position(7, term=3))


@pytest.mark.parametrize(
    "lines",
    [
        (b"COMPLETE s\r\n", b"ROW a\r\n"),
        (b"COMPLETE s\r\n", b"COMPLETE s\r\n"),
        (b"COMPLETE s\r\n", b"ERROR BUSY x\r\n"),
        (b"ROW a\r\n", b"READY I 3.7\r\n"),
    ],
)
def test_messages_out_of_order_are_refused(lines):
    """Guards against an answer that is put together from parts of two."""
    with pytest.raises(wire.ProtocolError):
        _reply(*lines)


def test_answers_are_told_apart_by_signature_or_content():
    """Guards against a repeated answer that looks new, and against the reverse."""

    def digest(*lines: bytes) -> int:
        builder = wire.AnswerBuilder()
        return [builder.add(line) for line in lines][-1].digest

    signed = digest(b"ROW a\r\n", b"COMPLETE s1\r\n", b"READY I 3.7\r\n")
    assert signed == digest(b"COMPLETE s1\r\n", b"READY T 3.8\r\n")
    plain = digest(b"COMPLETE -\r\n", b"READY I 3.7\r\n")
    assert plain == digest(b"COMPLETE -\r\n", b"READY I 3.7\r\n")
    assert plain != digest(b"COMPLETE -\r\n", b"READY I 3.8\r\n")


def test_error_keeps_its_code_and_state():
    """Guards against a database error that is reported with another code or session state."""
    reply = _reply(b"ERROR READONLY i-7f\r\n", b"READY E 3.7\r\n")
    assert reply.error.failure is Failure.READ_ONLY
    assert reply.error.failure.has_not_run
    assert reply.state is SessionState.FAILED
    assert wire.format_reply(reply) == b"ERROR READONLY i-7f\r\nREADY E 3.7\r\n"


def test_every_failure_has_a_code_that_reads_back():
    """Guards against a failure that has no error code of its own."""
    for failure in Failure:
        code = wire.format_error(failure, "x").split()[1].decode()
        assert wire.parse_failure_code(code) is failure


def test_own_statements_carry_no_id_of_a_caller():
    """Guards against a statement of the proxy that carries the request id of a caller."""
    assert wire.format_set("a", "1") == b"QUERY - SET a 1\r\n"
    assert (
        wire.format_prepare("s1", PreparedStatement(True, "q")) == b"QUERY - PREPARE s1 WRITE q\r\n"
    )


@pytest.mark.parametrize("text", ["lost:\n\tstatus = UNAVAILABLE", "a\rb", "a\r\nb", "\n"])
def test_error_stays_one_line(text):
    """Guards against an error message of several lines, which callers cannot parse.

    Found on scale-1 of kovacik-zaloha-grown: the text of a gRPC error has several lines and was
    forwarded unchanged.
    """
    message = wire.format_error(Failure.OVERLOADED, text)
    assert message.endswith(b"\r\n")
    assert len(message.splitlines()) == 1
