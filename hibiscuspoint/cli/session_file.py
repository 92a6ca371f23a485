"""The session token of a caller, kept in a file between calls."""

from __future__ import annotations

import os
import tempfile
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["SessionFile"]


class SessionFile:
    """A token that survives the process.

    :param path: file of the token; without one the token is not kept.
    """

    def __init__(self, path: Path | None) -> None:
        self._path = path

    def load(self) -> bytes:
        """Return the token; empty when the file does not exist yet.

        :raises OSError: the file cannot be read.
        """
        if self._path is None:
            return b""
        try:
            return self._path.read_bytes()
        except FileNotFoundError:
            return b""

    def save(self, token: bytes) -> None:
        """Replace the token at once, so that a crash leaves the old or the new one.

        :raises OSError: the file cannot be written.
        """
        if self._path is None or not token:
            return
        handle, temporary = tempfile.mkstemp(dir=self._path.parent, prefix=".session-")
        with os.fdopen(handle, "wb") as file:
            file.write(token)
        os.replace(temporary, self._path)
