"""Tests of the order in which an entry looks for the control leader.

Pattern: all instances lose power, and the seeds in their settings no longer serve control.
"""

from __future__ import annotations

from hibiscuspoint.core.leader_search import LeaderSearch

SEEDS = ["seed-1", "seed-2", "seed-3"]
CONTROL = ["control-1", "control-2", "control-3"]


def test_each_member_is_asked_once_a_round():
    search = LeaderSearch(SEEDS)
    asked = [search.next_address() for _ in range(6)]
    assert asked == SEEDS + SEEDS


def test_control_instances_come_before_the_remaining_seeds():
    """Guards against seeds that are all asked, twice, before the instance that a seed named."""
    search = LeaderSearch(SEEDS)
    search.next_address()
    search.set_members(CONTROL + SEEDS)
    assert [search.next_address() for _ in range(5)] == [*CONTROL, "seed-2", "seed-3"]


def test_redirect_is_followed_also_within_a_round():
    search = LeaderSearch(CONTROL)
    search.next_address()
    search.next_address()
    search.redirect("control-1")
    assert search.next_address() == "control-1"
    assert search.next_address() == "control-3"


def test_suggestion_that_was_asked_in_vain_is_not_repeated():
    """Guards against a lost leader that seeds still name and that is asked again and again."""
    search = LeaderSearch(CONTROL)
    assert search.suggest("control-2")
    assert search.next_address() == "control-2"
    assert not search.suggest("control-2")
    assert not search.suggest("")
    assert [search.next_address() for _ in range(2)] == ["control-1", "control-3"]


def test_leader_that_was_lost_is_asked_last():
    """Guards against an entry that waits for the instance that has just fallen silent."""
    search = LeaderSearch(CONTROL)
    search.record_found(search.next_address())
    assert not search.suggest("control-1")
    assert [search.next_address() for _ in range(3)] == ["control-2", "control-3", "control-1"]
