"""Tests of texts on their way between callers and databases; they are forwarded as they are.

Each way is taken by arbitrary texts, with and without another instance between the two.
"""

from __future__ import annotations

import pytest
from hypothesis import given

from hibiscuspoint.components.sessions.borrow_messages import (
    reply_from,
    reply_message,
    statement_from,
    statement_message,
)
from hibiscuspoint.core.sessions import (
    ConnectionContext,
    PreparedStatement,
    Reply,
    SessionContext,
    Statement,
)
from hibiscuspoint.platform import wire
from hibiscuspoint.wire import peer_pb2
from tests.platform.texts import FIELDS, STATEMENTS, TEXTS, WORDS, answers


def _parse(request: str, text: str) -> Statement:
    return wire.parse_statement(f"QUERY {request} {text}\r\n".encode())


def _borrowed(statement: Statement, session: SessionContext, prepared: PreparedStatement | None):
    """Return what another instance receives."""
    message = statement_message(statement, session, prepared, None).SerializeToString()
    return statement_from(peer_pb2.StatementRequest.FromString(message))


@given(WORDS, WORDS, WORDS)
def test_startup_keeps_its_fields(group, caller, target):
    """Guards against a connection to another database, or in the name of another organisation."""
    message = wire.format_startup(group, caller, target)
    assert message == f"STARTUP {group} {caller} {target}\r\n".encode()
    for odd in ("", f"{group} {caller}", f"{group}\r\n{caller}"):
        for fields in ((odd, caller, target), (group, odd, target), (group, caller, odd)):
            with pytest.raises(wire.ProtocolError):
                wire.format_startup(*fields)


@given(WORDS, FIELDS)
def test_key_is_what_the_caller_wrote(database, field):
    """Guards against a key that is taken for another one."""
    startup = wire.parse_startup(f"STARTUP {database}{field}\r\n".encode())
    assert (startup.database, startup.key) == (database, field[1:])


@pytest.mark.parametrize("text", ["3.7\r", " 3.7", "+3.7", "3.1_0", "３.7", "3.-7", "3", "."])
def test_position_is_read_as_written_or_not_at_all(text):
    """Guards against a position that another reader takes for another number."""
    with pytest.raises(wire.ProtocolError):
        wire.parse_position(text)


@given(WORDS, STATEMENTS)
def test_statement_is_sent_as_the_caller_wrote_it(request, text):
    """Guards against a statement that runs with another text than that of its caller."""
    statement = _parse(request, text)
    message = f"QUERY {request} {text}\r\n".encode()
    assert wire.format_query(statement) == message
    assert wire.format_query(_borrowed(statement, SessionContext(), None).statement) == message


@given(WORDS, WORDS, FIELDS, TEXTS)
def test_executed_statement_changes_only_its_name(request, name, arguments, shape):
    """Guards against a prepared statement that runs with another shape or other arguments."""
    created = _parse(request, f"PREPARE {name} WRITE {shape}")
    prepared = PreparedStatement(created.writes, created.operand)
    executed = _parse(request, f"EXECUTE {name}{arguments}")
    assert executed.name == created.name == name
    borrowed = _borrowed(executed, SessionContext(), prepared)
    for statement, its_shape in (
        (executed, prepared),
        (borrowed.statement, borrowed.prepared_statement),
    ):
        message = f"QUERY {request} EXECUTE s9{arguments}\r\n".encode()
        assert wire.format_query(statement, name="s9") == message
        assert (
            wire.format_prepare("s9", its_shape) == f"QUERY - PREPARE s9 WRITE {shape}\r\n".encode()
        )


@given(WORDS, FIELDS, FIELDS)
def test_value_is_set_as_the_caller_wrote_it(name, field, other_field):
    """Guards against a statement that runs under another value than that of its session."""
    statement, other = _parse("q", f"SET {name}{field}"), _parse("q", f"SET {name}{other_field}")
    session = SessionContext(values={statement.name: statement.operand})
    borrowed = _borrowed(_parse("q", "READ 1"), session, None).session
    assert borrowed == session
    context = ConnectionContext()
    for values in (session.values, borrowed.values):
        ((its_name, value),) = context.preparation(SessionContext(values=values), None).values
        assert wire.format_set(its_name, value) == f"QUERY - SET {name}{field}\r\n".encode()
    context.record_value(statement.name, statement.operand)
    changed = SessionContext(values={other.name: other.operand})
    steps = 0 if field == other_field else 1
    assert context.distance(changed) == len(context.preparation(changed, None).values) == steps


@given(answers())
def test_answer_is_forwarded_as_the_database_wrote_it(messages):
    """Guards against rows, signatures or errors that reach the caller with another text."""
    builder = wire.AnswerBuilder()
    *_, answer = [builder.add(message) for message in messages]
    reply = answer.reply
    assert isinstance(reply, Reply)
    assert wire.format_reply(reply) == b"".join(messages)
    received = peer_pb2.BorrowReply.FromString(reply_message(reply).SerializeToString())
    assert reply_from(received) == reply
    assert wire.format_reply(reply_from(received)) == b"".join(messages)
