"""Tests of when reads leave a zone, over targets as queues and entries that decide alone."""

from __future__ import annotations

from statistics import fmean, pstdev

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscuspoint.core.balancing import ZoneBalance
from tests.core.balancing.queue_model import QueueModel

CALM = {"a": 60.0, "b": 60.0, "c": 60.0}
EVEN = {"a": 2, "b": 2, "c": 2}


def _waves(*, is_balanced: bool) -> QueueModel:
    model = QueueModel(EVEN, is_balanced=is_balanced)
    for zone in EVEN:
        model.play({**CALM, zone: 120.0}, 30.0)
    return model


def test_waves_that_reach_the_zones_in_turn_are_served_by_the_others():
    """Load: each zone in turn has 1.2 times what its targets can do, for 30 s."""
    model, fixed = _waves(is_balanced=True), _waves(is_balanced=False)
    assert model.share(model.late) < 0.01
    assert model.share(model.out) < 0.75 * fixed.share(fixed.out)


def test_calm_zones_keep_their_reads():
    """Load: 60% of what each zone can do. Guards against bytes between zones without a benefit."""
    model, fixed = (QueueModel(EVEN, is_balanced=balanced) for balanced in (True, False))
    for played in (model, fixed):
        played.play(CALM, 60.0)
    assert model.share(model.late) < 0.005
    assert model.share(model.out) < 0.1
    assert model.share(model.out) < 0.5 * fixed.share(fixed.out)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_zone_with_too_few_targets_sends_a_steady_fraction(seed):
    """Load: one target has 1.4 times its work. Guards against entries that move together."""
    model = QueueModel({"a": 1, "b": 2, "c": 2}, is_balanced=True, seed=seed)
    model.play({"a": 70.0, "b": 50.0, "c": 50.0}, 60.0)
    assert model.late["a"] < 0.01 * model.reads["a"]
    # 20 of 70 reads have to leave.
    assert 0.29 < model.out["a"] / model.reads["a"] < 0.6
    means = [
        fmean(f for at, zone, f in model.fractions if zone == "a" and start <= at < start + 1)
        for start in range(20, 60)
    ]
    assert pstdev(means) < 0.1


def test_zone_without_targets_is_served_like_the_others():
    """Load: a zone whose callers have no target of their own, at 75% of all targets."""
    model = QueueModel({"a": 0, "b": 2, "c": 2}, is_balanced=True)
    model.play({"a": 50.0, "b": 50.0, "c": 50.0}, 60.0)
    assert model.late["a"] / model.reads["a"] < 0.02
    uses = [model.uses[member.target] for member in model.members]
    assert max(uses) < 1.3 * min(uses)


def test_zone_that_loses_its_targets_at_the_peak():
    """Failure: all targets of the zone with the wave fail everything from one moment on."""
    model = QueueModel({"a": 2, "b": 3, "c": 3}, is_balanced=True)
    model.play({**CALM, "a": 100.0}, 20.0)
    model.failing = {"a0", "a1"}
    model.late.clear(), model.reads.clear()
    model.play({**CALM, "a": 100.0}, 20.0)
    assert model.share(model.late) < 0.03


def test_grey_target_loses_its_reads_to_entries_that_hear_of_no_holder():
    """Failure: one of six targets answers 8 times as late, in calm hours."""
    model = QueueModel(EVEN, is_balanced=True)
    model.play(CALM, 20.0)
    model.work["a0"] *= 8
    for counts in (model.late, model.reads, model.uses):
        counts.clear()
    model.play(CALM, 40.0)
    assert model.uses["a0"] < 0.03 * sum(model.reads.values())
    assert model.share(model.late) < 0.02


def test_one_late_answer_moves_no_read():
    """Guards against reads that leave the zone because of one lost packet."""
    balance = ZoneBalance()
    for step in range(20):
        balance.update(0.5 if step % 3 == 0 else 0.02, 0.03, step * 0.25)
        assert not balance.take()


def test_fraction_fades_without_reads():
    """Guards against an entry that leaves its zone because of a wave of a minute ago."""
    balance = ZoneBalance()
    for step in range(80):
        balance.update(0.2, 0.03, step * 0.25)
    assert balance.fraction > 0.9
    balance.update(0.02, 0.03, 80.0)
    assert balance.fraction < 0.01


@given(st.lists(st.tuples(st.floats(0, 5), st.floats(0, 5), st.floats(0, 9)), max_size=60))
def test_fraction_stays_a_fraction_and_changes_in_small_steps(updates):
    balance, now = ZoneBalance(), 0.0
    for own, other, pause in updates:
        now, before = now + pause, balance.fraction
        balance.update(own, other, now)
        assert 0.0 <= balance.fraction <= 1.0
        assert balance.fraction - before <= 0.061


@given(st.integers(0, 100), st.floats(0, 0.99))
def test_reads_leave_as_often_as_the_fraction_says(percent, phase):
    balance = ZoneBalance(phase)
    balance._fraction = percent / 100
    assert abs(sum(balance.take() for _ in range(200)) - 2 * percent) <= 1
