"""Fuzz tests of everything that arrives from outside."""

from __future__ import annotations

import contextlib
import json

from hypothesis import given
from hypothesis import strategies as st

from hibiscuspoint.core.sessions import Reply
from hibiscuspoint.errors import ConfigurationError
from hibiscuspoint.platform import wire
from hibiscuspoint.platform.configuration import parse_routing_table
from hibiscuspoint.platform.heartbeats import HeartbeatError, departure, parse_heartbeat
from tests.platform.builders import configuration_fields, heartbeat_fields

_WORDS = st.sampled_from(
    ["STARTUP", "QUERY", "TERMINATE", "ROW", "COMPLETE", "ERROR", "READY", "BEGIN", "READ", "WRITE",
     "SET", "PREPARE", "EXECUTE", "DEALLOC", "COMMIT", "I", "T", "E", "3.7", "-", "", "s1", "BUSY"]
)  # fmt: skip
_LINES = st.one_of(
    st.binary(max_size=200),
    st.lists(_WORDS, max_size=7).map(lambda words: " ".join(words).encode() + b"\r\n"),
)
_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=6,
)


@given(_LINES)
def test_callers_cannot_break_the_parser(line):
    """Guards against an unexpected error on bad input of a caller."""
    with contextlib.suppress(wire.ProtocolError):
        wire.parse_startup(line)
    with contextlib.suppress(wire.ProtocolError):
        statement = wire.parse_statement(line)
        if statement is not None:
            assert wire.format_query(statement).endswith(statement.text.encode() + b"\r\n")


@given(st.lists(_LINES, max_size=5))
def test_databases_cannot_break_the_parser(lines):
    """Guards against an unexpected error on bad answers of a database."""
    builder = wire.AnswerBuilder()
    with contextlib.suppress(wire.ProtocolError):
        for line in lines:
            answer = builder.add(line)
            assert answer is None or isinstance(answer.reply, Reply)


@given(st.sampled_from(sorted(heartbeat_fields())), _JSON)
def test_heartbeats_with_any_value_are_taken_or_refused(field, value):
    """Guards against an unexpected error on a field of another type."""
    body = json.dumps(heartbeat_fields(**{field: value})).encode()
    with contextlib.suppress(HeartbeatError):
        message = parse_heartbeat("i-1", body)
        assert message.group
        assert message.address


@given(st.binary(max_size=60) | _JSON.map(lambda value: json.dumps(value).encode()))
def test_heartbeats_of_any_bytes_are_taken_or_refused(body):
    """Guards against an unexpected error on bytes that cannot be read."""
    with contextlib.suppress(HeartbeatError):
        parse_heartbeat("i-1", body)
    departure("i-1", body)


@given(st.sampled_from(sorted(configuration_fields())), _JSON)
def test_configurations_with_any_value_are_taken_or_refused(field, value):
    """Guards against an unexpected error on a field of another type."""
    with contextlib.suppress(ConfigurationError):
        parse_routing_table(json.dumps(configuration_fields(**{field: value})))
