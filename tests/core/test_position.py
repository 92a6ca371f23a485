"""Tests of log positions."""

from __future__ import annotations

from tests.builders import position, term_history


def test_position_of_current_term_is_kept():
    """Guards against a clamp of current positions, which would break read-your-writes."""
    assert term_history((1, 1), (2, 10)).clamp(position(2, 15)) == 15


def test_position_beyond_end_of_old_term_is_clamped():
    """Guards against a session that waits for a record that was never acknowledged."""
    assert term_history((1, 1), (2, 10)).clamp(position(1, 15)) == 9


def test_position_within_old_term_is_kept():
    """Guards against a read that misses an acknowledged record of an earlier term."""
    assert term_history((1, 1), (2, 10), (4, 20)).clamp(position(2, 12)) == 12
