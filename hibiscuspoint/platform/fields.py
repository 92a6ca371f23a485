"""Type checks for fields of JSON documents."""

from __future__ import annotations

import math

__all__ = ["read_flag", "read_number", "read_text", "read_whole"]


def read_flag(value: object) -> bool:
    """Return the value, checked to be a boolean.

    :raises TypeError: the value is not a boolean.
    """
    if not isinstance(value, bool):
        raise TypeError(f"{value!r} is not true or false")
    return value


def read_number(value: object) -> float:
    """Return the value, checked to be a finite number; a boolean is none.

    :raises TypeError: the value is not a number.
    """
    if not isinstance(value, int | float) or isinstance(value, bool) or not math.isfinite(value):
        raise TypeError(f"{value!r} is not a number")
    return value


def read_text(value: object) -> str:
    """Return the value, checked to be a non-empty string.

    :raises TypeError: the value is not a string or is empty.
    """
    if not isinstance(value, str) or not value:
        raise TypeError(f"{value!r} is not a name")
    return value


def read_whole(value: object) -> int:
    """Return the value, checked to be an integer; a boolean is none.

    :raises TypeError: the value is not an integer.
    """
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"{value!r} is not a whole number")
    return value
