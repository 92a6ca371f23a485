"""Tests of the values read from metrics pages."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks import scrape
from benchmarks.common import longest_pause

PAGE = '# TYPE a gauge\na{x="1"} 2\na{x="2"} 3\n'


def test_total_sums_over_pages_and_labels(monkeypatch):
    """A misspelled metric would count as 0 and keep every maximum."""
    monkeypatch.setattr(scrape, "_fetch", lambda http: PAGE)
    assert asyncio.run(scrape.total(["one", "two"], "a")) == 10
    with pytest.raises(LookupError):
        asyncio.run(scrape.total(["one"], "b"))


def test_longest_pause_orders_its_instants():
    """Acknowledgements complete out of order; an unordered difference would hide a gap."""
    assert longest_pause([5.0, 1.0, 2.0]) == 3.0
    assert longest_pause([1.0]) == 0.0
