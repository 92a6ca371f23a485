"""Tests of the limit on topologies."""

from __future__ import annotations

from tests.system.slots import CONCURRENT_TOPOLOGIES, slot, try_slot


def test_slots_are_limited_and_returned(tmp_path):
    """More topologies at once than the machine carries would fail by time, not by fault."""
    held = [try_slot(tmp_path) for _ in range(CONCURRENT_TOPOLOGIES)]
    assert all(held)
    assert try_slot(tmp_path) is None
    held.pop().close()
    with slot(tmp_path):
        assert try_slot(tmp_path) is None
    assert try_slot(tmp_path) is not None
