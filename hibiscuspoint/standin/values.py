"""Conversions between protocol values and sqlite values."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.wire import common_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

__all__ = ["SqlValue", "to_parameters", "to_row", "to_statement"]

SqlValue = None | int | float | str | bytes


def _to_value(value: SqlValue) -> common_pb2.Value:
    if value is None:
        return common_pb2.Value(null=True)
    if isinstance(value, int):
        return common_pb2.Value(integer=value)
    if isinstance(value, str):
        return common_pb2.Value(text=value)
    if isinstance(value, float):
        return common_pb2.Value(real=value)
    return common_pb2.Value(blob=value)


def _from_value(value: common_pb2.Value) -> SqlValue:
    kind = value.WhichOneof("kind")
    if kind is None or kind == "null":
        return None
    return getattr(value, kind)


def to_row(values: Sequence[SqlValue]) -> common_pb2.Row:
    """Return the protocol row of a sqlite row."""
    return common_pb2.Row(values=[_to_value(value) for value in values])


def to_parameters(values: Iterable[common_pb2.Value]) -> list[SqlValue]:
    """Return the sqlite parameters of protocol values."""
    return [_from_value(value) for value in values]


def to_statement(sql: str, *parameters: SqlValue) -> common_pb2.Statement:
    """Return a protocol statement."""
    return common_pb2.Statement(sql=sql, parameters=[_to_value(value) for value in parameters])
