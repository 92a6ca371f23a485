"""Tests of the list of known faults."""

from __future__ import annotations

from types import SimpleNamespace

from tests import known_red


def test_only_listed_tests_are_marked(tmp_path):
    """A mark on another test would hide a new fault."""
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text("# Known faults.\ntests/a.py::test_x[1] seed 4: lost\n", encoding="utf-8")
    marked: list[str] = []
    items = [
        SimpleNamespace(nodeid=name, add_marker=lambda mark, name=name: marked.append(name))
        for name in ("tests/a.py::test_x[1]", "tests/a.py::test_x[2]")
    ]
    known_red.mark(items, known_red.listed(path))
    assert marked == ["tests/a.py::test_x[1]"]


def test_a_missing_list_marks_nothing(tmp_path):
    """A run without known faults must not depend on the list."""
    assert known_red.listed(tmp_path / "absent.txt") == []
