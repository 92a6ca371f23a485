"""Tests of log positions."""

from __future__ import annotations

from tests.builders import position, term_history


def test_position_of_current_term_is_kept():
    """A clamp of current positions would break read-your-writes."""
    assert term_history((1, 1), (2, 10)).clamp(position(2, 15)) == 15


def test_position_beyond_end_of_old_term_is_clamped():
    """Without the clamp a session would wait for a record that was never acknowledged."""
    assert term_history((1, 1), (2, 10)).clamp(position(1, 15)) == 9


def test_position_within_old_term_is_kept():
    """Positions of an old term that were acknowledged must still be reached."""
    assert term_history((1, 1), (2, 10), (4, 20)).clamp(position(2, 12)) == 12
