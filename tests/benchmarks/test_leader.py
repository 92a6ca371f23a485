"""Tests of the load on a control leader."""

from __future__ import annotations

from benchmarks.fleet import FleetResult
from benchmarks.leader import document_seconds, group_count, parts
from hibiscuspoint.load.layout import Layout


def test_parts_cover_the_whole_fleet_once():
    """A lost remainder would understate the load at the full size."""
    layout = Layout(groups=group_count(560))
    fleet = parts("127.0.0.1:1", layout, 560, 0.0, 1.0)
    entries = [name for part in fleet for name in part.entries]
    targets = [target for part in fleet for target, _group in part.targets]
    assert len(entries) == len(set(entries)) == 560
    assert len(targets) == len(set(targets)) == 591


def test_document_that_an_entry_never_had_has_no_time():
    """The latest of those that had it would pass as the time of all."""
    results = [FleetResult(documents={2: {"a": 5.0}}), FleetResult(documents={2: {"b": 6.0}})]
    assert document_seconds(results, 2, 2, 4.0) == 2.0
    assert document_seconds(results, 2, 3, 4.0) is None
