"""Tests that show known faults, as listed in KNOWN-RED.txt."""

from __future__ import annotations

from pathlib import Path

import pytest

__all__ = ["PATH", "listed", "mark"]

PATH = Path(__file__).resolve().parents[1] / "KNOWN-RED.txt"


def listed(path: Path = PATH) -> list[str]:
    """Return the test ids of the list: the first word of each line that names a test."""
    if not path.exists():
        return []
    lines = path.read_text(encoding="utf-8").splitlines()
    return [line.split()[0] for line in lines if line.startswith("tests/")]


def mark(items: list[pytest.Item], node_ids: list[str]) -> None:
    """Run the listed tests without letting them decide about the run."""
    for item in items:
        if item.nodeid in node_ids:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=False))
