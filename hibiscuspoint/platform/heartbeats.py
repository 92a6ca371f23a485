"""Conversion of heartbeats and departures of databases to announcements."""

from __future__ import annotations

import json
from typing import Any

from hibiscuspoint.platform.fields import read_text, read_whole
from hibiscuspoint.util.address import parse_address
from hibiscuspoint.wire import peer_pb2

__all__ = ["HeartbeatError", "departure", "parse_heartbeat"]

_IS_LEAVING_BY_STATE = {"ready": False, "draining": True}


class HeartbeatError(Exception):
    """A heartbeat or departure that is malformed."""


def parse_heartbeat(target: str, body: bytes) -> peer_pb2.Announcement:
    """Convert a heartbeat to an announcement.

    :param target: id of the database.
    :param body: JSON body of the request.
    :raises HeartbeatError: a field is missing, malformed or of the wrong type.
    """
    try:
        fields = json.loads(body)
        return _announcement(target, fields)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise HeartbeatError(f"heartbeat of {target[:64]!r}: {error!r}") from error


def departure(target: str, body: bytes) -> peer_pb2.Announcement:
    """Return the announcement of a database that shuts down.

    The incarnation is 0 when the body does not state a valid one.

    :param target: id of the database.
    :param body: JSON body of the request; may be empty.
    :raises HeartbeatError: the id is not valid Unicode.
    """
    try:
        message = peer_pb2.Announcement(target=target, gone=True)
    except ValueError as error:
        raise HeartbeatError(f"departure of {target[:64]!r}: {error!r}") from error
    try:
        message.incarnation = read_whole(json.loads(body).get("born", 0))
    except (ValueError, TypeError, AttributeError):
        # The body is optional: the path of the request identifies the database.
        message.incarnation = 0
    return message


def _announcement(target: str, fields: dict[str, Any]) -> peer_pb2.Announcement:
    return peer_pb2.Announcement(
        target=target,
        group=read_text(fields["service"]),
        availability_zone=read_text(fields["zone"]),
        address=_address(fields["addr"]),
        slots=read_whole(fields["slots"]),
        leaving=_IS_LEAVING_BY_STATE[fields["state"]],
        primary=fields.get("db_role") == "primary",
        # The start time distinguishes successive incarnations with the same id.
        incarnation=read_whole(fields.get("born", 0)),
        sequence=read_whole(fields["seq_no"]),
    )


def _address(value: object) -> str:
    address = read_text(value)
    parse_address(address)
    return address
