"""Tests of the log lines that the operations page shows."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from hibiscuspoint.telemetry import EVENTS

_PAGE = Path(__file__).parents[2] / "docs" / "OPERATIONS.md"
_LINES = [
    json.loads(line)
    for line in map(str.strip, _PAGE.read_text().splitlines())
    if line.startswith("{")
]


@pytest.mark.parametrize("line", _LINES, ids=lambda line: line["event"])
def test_shown_lines_are_events_with_these_fields(line):
    """Guards against a page that tells operators to look for what is never written."""
    event = next(event for event in EVENTS.values() if event.name == line["event"])
    assert set(line) - {"event"} <= set(event.fields)


def test_page_shows_three_kinds_of_failed_request():
    """Guards against a kind of failure without a way from its id to its cause."""
    text = _PAGE.read_text()
    outcomes = {line.get("outcome") for line in _LINES}
    assert {"overloaded", "in doubt"} <= outcomes
    assert any(line["event"] == "session-refused" for line in _LINES)
    assert text.count("### A ") >= 3
