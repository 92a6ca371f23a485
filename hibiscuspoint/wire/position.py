"""Conversion of log positions."""

from __future__ import annotations

from hibiscuspoint.core.position import LogPosition
from hibiscuspoint.ids import Term
from hibiscuspoint.wire import common_pb2

__all__ = ["position_from", "position_message"]


def position_message(position: LogPosition) -> common_pb2.Position:
    """Return the protocol form of a position."""
    return common_pb2.Position(term=position.term, index=position.index)


def position_from(message: common_pb2.Position) -> LogPosition:
    """Return the position of a message."""
    return LogPosition(Term(message.term), message.index)
