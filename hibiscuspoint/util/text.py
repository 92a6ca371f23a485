"""Plain-text tables."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["format_table"]


def format_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return rows in columns of equal width; the first line is the header."""
    cells = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    )
    return "\n".join(lines)
