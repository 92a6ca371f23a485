"""Tests of the observer of documents in force."""

from __future__ import annotations

import pytest

from benchmarks.config import Observer


class _NoInstances:
    instances: dict[str, object] = {}


@pytest.mark.parametrize(
    ("seen", "reverted"),
    [
        ([(1, 5), (1, 6)], 0),
        ([(1, 6), (1, 5)], 1),
        ([(1, 6), (1, 0), (1, 5)], 1),
        ([(1, 6), (2, 0), (2, 5)], 0),
    ],
)
def test_only_a_lower_number_of_the_same_start_is_a_reversal(seen, reverted):
    """A restarted entry without a document counted as reverted."""
    observer = Observer(_NoInstances())
    for pid, number in seen:
        observer.note_number("instance-1", pid, number)
    assert observer.reverted == reverted
