"""Conversion of heartbeats and departures of databases to announcements."""

from __future__ import annotations

import time
from typing import Any

from hibiscuspoint.platform.fields import FIELD_ERRORS, parse_json, read_text, read_whole, read_word
from hibiscuspoint.util.address import parse_address
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND
from hibiscuspoint.wire import peer_pb2

__all__ = ["HeartbeatError", "departure", "parse_heartbeat"]

_IS_LEAVING_BY_STATE = {"ready": False, "draining": True}

#: Largest number of slots and of a heartbeat that a database can have.
MAX_SLOTS = 65_536
MAX_SEQUENCE = 10**9

#: Seconds by which the start of a database may lie ahead of the time of day here. A later one would
#: hide all heartbeats of the database itself.
START_TOLERANCE_SECONDS = 24 * 3600


class HeartbeatError(Exception):
    """A heartbeat or departure that is malformed."""


def parse_heartbeat(target: str, body: bytes) -> peer_pb2.Announcement:
    """Convert a heartbeat to an announcement.

    :param target: id of the database.
    :param body: JSON body of the request.
    :raises HeartbeatError: a field is missing, malformed or of the wrong type.
    """
    try:
        return _announcement(read_word(target), parse_json(body))
    except FIELD_ERRORS as error:
        raise HeartbeatError(f"heartbeat of {target[:64]!r}: {error!r}") from error


def departure(target: str, body: bytes) -> peer_pb2.Announcement:
    """Return the announcement of a database that shuts down.

    The incarnation is 0 when the body does not state a valid one.

    :param target: id of the database.
    :param body: JSON body of the request; may be empty.
    :raises HeartbeatError: the id is not valid Unicode, or no single word.
    """
    try:
        message = peer_pb2.Announcement(target=read_word(target), gone=True)
    except FIELD_ERRORS as error:
        raise HeartbeatError(f"departure of {target[:64]!r}: {error!r}") from error
    try:
        message.incarnation = _incarnation(parse_json(body))
    except FIELD_ERRORS:
        # The body is optional: the path of the request identifies the database.
        message.incarnation = 0
    return message


def _announcement(target: str, fields: dict[str, Any]) -> peer_pb2.Announcement:
    return peer_pb2.Announcement(
        target=target,
        group=read_word(fields["service"]),
        availability_zone=read_text(fields["zone"]),
        address=_address(fields["addr"]),
        slots=_within(fields["slots"], 1, MAX_SLOTS),
        leaving=_IS_LEAVING_BY_STATE[fields["state"]],
        primary=fields.get("db_role") == "primary",
        incarnation=_incarnation(fields),
        sequence=_within(fields["seq_no"], 0, MAX_SEQUENCE),
    )


def _incarnation(fields: dict[str, Any]) -> int:
    """Return the start time, which distinguishes successive incarnations with the same id."""
    latest = int((time.time() + START_TOLERANCE_SECONDS) * MILLISECONDS_PER_SECOND)
    return _within(fields.get("born", 0), 0, latest)


def _within(value: object, least: int, most: int) -> int:
    number = read_whole(value)
    if not least <= number <= most:
        raise ValueError(f"{number} is not within {least} to {most}")
    return number


def _address(value: object) -> str:
    address = read_text(value)
    parse_address(address)
    return address
