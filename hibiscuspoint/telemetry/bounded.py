"""A log handler that never waits for the reader of its output."""

from __future__ import annotations

import logging
import os
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["BoundedHandler"]

#: Bytes of log lines that wait for a slow reader; further lines are dropped and counted.
BUFFER_BYTES = 1_048_576

#: Lines of level INFO or below that are written per second; warnings and errors are always kept.
#: A machine with one core serves a few hundred statements a second, so this bounds overload only.
LINES_PER_SECOND = 500


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking and drops what does not fit.

    :param descriptor: file descriptor; it is made non-blocking.
    :param now: returns monotonic seconds.
    """

    def __init__(self, descriptor: int, now: Callable[[], float]) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._now = now
        self._buffer: deque[bytes] = deque()
        self._size = 0
        self._second = 0
        self._lines = 0
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def take_dropped(self) -> int:
        """Return how many lines were dropped since the last call."""
        dropped, self._dropped = self._dropped, 0
        return dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line or keep it for later."""
        if record.levelno < logging.WARNING and self._is_over_rate():
            self._dropped += 1
            return
        try:
            line = (self.format(record) + "\n").encode()
        except Exception:
            self.handleError(record)
            return
        if self._size + len(line) > BUFFER_BYTES:
            self._dropped += 1
            return
        self._buffer.append(line)
        self._size += len(line)
        self.flush()

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; a later line tries again.
                self._dropped += len(self._buffer)
                self._buffer.clear()
                self._size = 0
                return
            self._size -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()

    def _is_over_rate(self) -> bool:
        second = int(self._now())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        return self._lines > LINES_PER_SECOND
