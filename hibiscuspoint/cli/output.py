"""Output of results, progress and errors."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

from google.protobuf.json_format import MessageToDict

if TYPE_CHECKING:
    from google.protobuf.message import Message

    from hibiscuspoint.errors import HibiscusError

__all__ = ["Output", "as_dict"]


class Output:
    """Writes results to standard output and everything else to standard error.

    :param is_json: write JSON in place of text.
    """

    def __init__(self, is_json: bool) -> None:
        self._is_json = is_json

    def result(self, data: Any, text: str) -> None:
        """Write the result in the chosen form."""
        print(json.dumps(data, indent=2) if self._is_json else text, flush=True)

    def progress(self, text: str) -> None:
        """Write one line of progress."""
        print(text, file=sys.stderr, flush=True)

    def error(self, error: HibiscusError) -> None:
        """Write code, sentence, hint and verdict."""
        if self._is_json:
            print(json.dumps(_error_data(error)), file=sys.stderr)
            return
        lines = [f"{error.code}: {error.message}", f"hint: {error.hint}"]
        lines.append(f"verdict: {error.verdict.name}")
        if error.rolled_back:
            lines.append("The transaction is rolled back.")
        print("\n".join(lines), file=sys.stderr)


def _error_data(error: HibiscusError) -> dict[str, Any]:
    return {
        "code": error.code,
        "message": error.message,
        "hint": error.hint,
        "verdict": error.verdict.name,
        "rolled_back": error.rolled_back,
    }


def as_dict(message: Message) -> dict[str, Any]:
    """Return a message with the field names of the protocol and all defaults."""
    return MessageToDict(
        message, preserving_proto_field_name=True, always_print_fields_with_no_presence=True
    )
