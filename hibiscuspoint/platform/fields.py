"""Checks of single fields of JSON bodies."""

from __future__ import annotations

__all__ = ["read_text", "read_whole"]


def read_text(value: object) -> str:
    """Return a name.

    :raises TypeError: it is not a text, or is empty.
    """
    if not isinstance(value, str) or not value:
        raise TypeError(f"{value!r} is not a name")
    return value


def read_whole(value: object) -> int:
    """Return a whole number.

    :raises TypeError: it is something else.
    """
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"{value!r} is not a whole number")
    return value
