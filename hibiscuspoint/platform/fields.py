"""Reading of JSON documents of the platform, and checks of their fields.

Every reader of such a document uses this module: whatever another writer has put into it, the
result is a value within the bounds below, or an error of ``FIELD_ERRORS``.
"""

from __future__ import annotations

import json
import math

__all__ = [
    "FIELD_ERRORS",
    "parse_json",
    "read_bounded",
    "read_flag",
    "read_number",
    "read_text",
    "read_whole",
    "read_word",
]

#: What reading a malformed document raises.
FIELD_ERRORS = (ValueError, KeyError, TypeError, AttributeError, IndexError, OverflowError)

#: Deepest nesting of lists and objects. The limit of the parser depends on the stack of its caller,
#: so that one instance could accept what another one cannot read.
MAX_DEPTH = 32

#: Largest whole number; the fields of messages between instances hold it.
MAX_WHOLE = 2**63 - 1

#: Longest text in characters.
MAX_TEXT = 1024


def parse_json(text: str | bytes) -> object:
    """Parse a JSON document.

    :raises ValueError: it is malformed or too deeply nested.
    """
    try:
        document = json.loads(text)
    except RecursionError:
        raise ValueError("the document is too deeply nested") from None
    level = [document]
    for _ in range(MAX_DEPTH):
        level = [
            child
            for item in level
            if isinstance(item, dict | list)
            for child in (item.values() if isinstance(item, dict) else item)
            if isinstance(child, dict | list)
        ]
        if not level:
            return document
    raise ValueError("the document is too deeply nested")


def read_flag(value: object) -> bool:
    """Return the value, checked to be a boolean.

    :raises TypeError: the value is not a boolean.
    """
    if not isinstance(value, bool):
        raise TypeError(f"{value!r:.80} is not true or false")
    return value


def read_number(value: object) -> float:
    """Return the value, checked to be a finite number; a boolean is none.

    :raises TypeError: the value is not a number.
    """
    if not isinstance(value, int | float) or isinstance(value, bool) or not math.isfinite(value):
        raise TypeError(f"{value!r:.80} is not a number")
    return value


def read_text(value: object) -> str:
    """Return the value, checked to be a non-empty string.

    :raises TypeError: the value is not a string or is empty.
    :raises ValueError: it is too long or no Unicode text.
    """
    if not isinstance(value, str) or not value:
        raise TypeError(f"{value!r:.80} is not a name")
    if len(value) > MAX_TEXT:
        raise ValueError(f"a name has {len(value)} characters")
    value.encode()
    return value


def read_word(value: object) -> str:
    """Return the value, checked to be a text that can be any field of a message of the databases.

    :raises TypeError: the value is not a string or is empty.
    :raises ValueError: it is too long, no Unicode text, or has a blank or the end of a message.
    """
    text = read_text(value)
    if " " in text or "\r\n" in text:
        raise ValueError(f"{text!r:.80} is no single word")
    return text


def read_whole(value: object) -> int:
    """Return the value, checked to be an integer; a boolean is none.

    :raises TypeError: the value is not an integer.
    :raises ValueError: it does not fit into 64 bits.
    """
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"{value!r:.80} is not a whole number")
    if abs(value) > MAX_WHOLE:
        raise ValueError("a whole number is out of range")
    return value


def read_bounded(value: object, limit: int) -> int:
    """Return the value, checked to be an integer, or the limit if it is larger.

    :raises TypeError: the value is not an integer.
    :raises ValueError: it does not fit into 64 bits.
    """
    return min(read_whole(value), limit)
