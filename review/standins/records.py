"""What a script has seen: lines for record.txt and the broken rules."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["Record"]


class Record:
    """Collects events with their time and writes them to ``record.txt`` of a case.

    :param folder: folder of the case.
    """

    def __init__(self, folder: Path) -> None:
        self._path = folder / "record.txt"
        self._started = time.monotonic()
        self._lines: list[str] = []
        self.breaks: list[str] = []

    @property
    def now(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._started

    def add(self, text: str) -> None:
        """Record an event."""
        self._lines.append(f"{self.now:9.4f} {text}")

    def broken(self, text: str) -> None:
        """Record a broken rule."""
        self.breaks.append(text)
        self.add(f"BROKEN {text}")

    def note(self, text: str) -> None:
        """Record an event and print it."""
        self.add(text)
        print(f"{self.now:8.2f} s  {text}", flush=True)

    def save(self) -> None:
        """Write the record."""
        self._path.write_text("\n".join(self._lines) + "\n", encoding="utf-8")
