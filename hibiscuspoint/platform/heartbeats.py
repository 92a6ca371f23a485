"""Heartbeats of databases."""

from __future__ import annotations

import json
from typing import Any

from hibiscuspoint.platform.fields import read_text, read_whole
from hibiscuspoint.util.address import parse_address
from hibiscuspoint.wire import peer_pb2

__all__ = ["HeartbeatError", "departure", "parse_heartbeat"]

_STATES = {"ready": False, "draining": True}


class HeartbeatError(Exception):
    """A heartbeat that names no database to use."""


def parse_heartbeat(target: str, body: bytes) -> peer_pb2.Announcement:
    """Return the announcement of a heartbeat.

    :param target: id of the database.
    :raises HeartbeatError: a field is missing or has another type.
    """
    try:
        fields = json.loads(body)
        return _announcement(target, fields)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise HeartbeatError(f"heartbeat of {target[:64]!r}: {error!r}") from error


def departure(target: str, body: bytes) -> peer_pb2.Announcement:
    """Return the announcement of a database that ends; its incarnation is 0 when it is unknown.

    :raises HeartbeatError: the id cannot be read.
    """
    try:
        message = peer_pb2.Announcement(target=target, gone=True)
    except ValueError as error:
        raise HeartbeatError(f"departure of {target[:64]!r}: {error!r}") from error
    try:
        message.incarnation = read_whole(json.loads(body).get("born", 0))
    except (ValueError, TypeError, AttributeError):
        # The call needs no body; its path names the database.
        message.incarnation = 0
    return message


def _announcement(target: str, fields: dict[str, Any]) -> peer_pb2.Announcement:
    return peer_pb2.Announcement(
        target=target,
        group=read_text(fields["service"]),
        availability_zone=read_text(fields["zone"]),
        address=_address(fields["addr"]),
        slots=read_whole(fields["slots"]),
        leaving=_STATES[fields["state"]],
        primary=fields.get("db_role") == "primary",
        # The time of the start tells incarnations under the same id apart.
        incarnation=read_whole(fields.get("born", 0)),
        sequence=read_whole(fields["seq_no"]),
    )


def _address(value: object) -> str:
    address = read_text(value)
    parse_address(address)
    return address
