"""Tests of the parser of heartbeats and departures of databases."""

from __future__ import annotations

import json

import pytest

from hibiscuspoint.platform.heartbeats import HeartbeatError, departure, parse_heartbeat
from tests.platform.builders import heartbeat_fields


def _parse(**changes: object):
    return parse_heartbeat("i-1", json.dumps(heartbeat_fields(**changes)).encode())


def test_start_time_and_sequence_order_heartbeats():
    """Guards against a delayed heartbeat that is applied as if it were newer."""
    message = _parse()
    assert (message.incarnation, message.sequence) == (1780000000000, 4)
    assert not message.leaving


def test_draining_database_is_leaving():
    """Guards against new work for a database that is about to shut down."""
    assert _parse(state="draining").leaving


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "resting"},
        {"slots": "2"},
        {"seq_no": None},
        {"addr": 5},
        {"born": 1.5},
        {"service": None},
        {"service": "a b"},
        {"service": "a\r\nQUERY - RESET"},
    ],
)
def test_heartbeat_of_another_writer_is_refused(changes):
    """Guards against a malformed target, and against an unhandled error in the HTTP call."""
    with pytest.raises(HeartbeatError):
        _parse(**changes)


@pytest.mark.parametrize("body", [b"", b"\xff\xfe", b"[]", b"{", b"null"])
def test_bytes_that_cannot_be_read_are_refused(body):
    """Guards against an unhandled error in the HTTP call when the body is not a JSON object."""
    with pytest.raises(HeartbeatError):
        parse_heartbeat("i-1", body)


@pytest.mark.parametrize("target", ["i-\udcff", "i 1", "i\r\nQUERY - RESET", ""])
def test_id_that_cannot_be_read_or_sent_is_refused(target):
    """Guards against an unhandled error in the HTTP call when the id is not valid Unicode.

    An id of several words or messages would change what is sent to the database.
    """
    with pytest.raises(HeartbeatError):
        departure(target, b"")
    with pytest.raises(HeartbeatError):
        parse_heartbeat(target, json.dumps(heartbeat_fields()).encode())


@pytest.mark.parametrize(
    ("body", "incarnation"),
    [(b'{"born": 17}', 17), (b'{"born": 9999999999999999999999}', 0), (b"", 0), (b"[]", 0)],
)
def test_departure_needs_no_body(body, incarnation):
    """Guards against a departure that is rejected because its body is empty or malformed."""
    message = departure("i-1", body)
    assert message.gone
    assert message.incarnation == incarnation
