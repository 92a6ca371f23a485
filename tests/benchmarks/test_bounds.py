"""Tests of the bounds of the benchmarks."""

from __future__ import annotations

import pytest

from benchmarks import __main__ as command
from benchmarks.bounds import Bound, load_bounds, missed
from benchmarks.registry import BENCHMARKS

BOUND = Bound(benchmark="b", figure="a.value", max=2.0, source="goal")


def test_each_bound_belongs_to_a_benchmark():
    """A bound with a misspelled benchmark would never be checked."""
    assert command.MODULES
    assert {bound.benchmark for bound in load_bounds()} == set(BENCHMARKS.names)


@pytest.mark.parametrize(
    ("figures", "is_missed"),
    [
        ({"a": {"value": 2.0}}, False),
        ({"a": {"value": 2.1}}, True),
        ({"a": {}}, True),
        ({"a": {"value": None}}, True),
        ({}, True),
    ],
)
def test_bound_is_missed(figures, is_missed):
    """A figure that is absent must not pass as a figure within its bound."""
    assert bool(missed("b", figures, [BOUND])) is is_missed


def test_minimum_is_checked():
    """A bound that only looks at maxima would accept any throughput."""
    bound = Bound(benchmark="b", figure="v", min=1.0, source="goal")
    assert missed("b", {"v": 0.9}, [bound])
    assert not missed("b", {"v": 1.0}, [bound])
