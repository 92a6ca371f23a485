"""Tests of texts on their way between callers and databases; they are forwarded as they are.

Each way is taken by arbitrary texts, with and without another instance between the two.
"""

from __future__ import annotations

from hypothesis import given

from hibiscuspoint.components.sessions.borrow_messages import statement_from, statement_message
from hibiscuspoint.core.sessions import PreparedStatement, SessionContext, Statement
from hibiscuspoint.platform import wire
from hibiscuspoint.wire import peer_pb2
from tests.platform.texts import STATEMENTS, WORDS


def _parse(request: str, text: str) -> Statement:
    return wire.parse_statement(f"QUERY {request} {text}\r\n".encode())


def _borrowed(statement: Statement, session: SessionContext, prepared: PreparedStatement | None):
    """Return what another instance receives."""
    message = statement_message(statement, session, prepared, None).SerializeToString()
    return statement_from(peer_pb2.StatementRequest.FromString(message))


@given(WORDS, STATEMENTS)
def test_statement_is_sent_as_the_caller_wrote_it(request, text):
    """Guards against a statement that runs with another text than that of its caller."""
    statement = _parse(request, text)
    message = f"QUERY {request} {text}\r\n".encode()
    assert wire.format_query(statement) == message
    assert wire.format_query(_borrowed(statement, SessionContext(), None).statement) == message
