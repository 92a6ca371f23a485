"""Tests of the targets that are avoided although their health check is good."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscuspoint.core.balancing import TargetCondition, TargetHealth
from hibiscuspoint.ids import AvailabilityZone, TargetId

A, B, C, D = NAMES = tuple(TargetId(name) for name in "abcd")
TARGETS = dict.fromkeys(NAMES, AvailabilityZone("here"))
AVOIDED = TargetCondition.AVOIDED


def _play(health, now, seconds, *, fails=0.0, factor=1.0, rate=12, always=False, seed=1):
    """Send statements as a holder sees them; returns those that A got and when it was avoided."""
    chance, uses, avoided_at, end = random.Random(seed), 0, None, now + seconds
    while now < end:
        now += 1 / (rate * len(TARGETS))
        target = chance.choice(NAMES)
        condition = health.conditions(TARGETS, now).get(target)
        if condition is AVOIDED and not health.take_trial(target, now):
            avoided_at = avoided_at or now
            continue
        uses += target == A
        if target == A and chance.random() < fails:
            health.record_failure(A, now)
        else:
            health.record_success(target, 0.02 * (factor if target == A else 1.0), now)
    return uses, avoided_at


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(("fails", "factor", "within"), [(1.0, 1, 0.5), (0.5, 1, 1.5), (0, 8, 0.7)])
def test_target_that_fails_or_delays_its_work_is_avoided(fails, factor, within, seed):
    """Failure: a target that fails all or half of its work, or answers 8 times as late."""
    health = TargetHealth()
    _play(health, 0.0, 20.0, seed=seed)
    assert A not in health.conditions(TARGETS, 20.0)
    _, avoided_at = _play(health, 20.0, 3.0, fails=fails, factor=factor, seed=seed)
    assert avoided_at - 20.0 < within
    uses, _ = _play(health, 23.0, 60.0, fails=fails, factor=factor, seed=seed)
    # Its usual part is 720 statements.
    assert uses < 60


def test_entry_needs_two_failures_in_a_row():
    """Failure: a lying target, as an entry with one statement a second sees it."""
    health = TargetHealth()
    for second in range(10):
        health.record_success(A, 0.02, second)
    health.record_failure(A, 10.0)
    assert health.conditions(TARGETS, 10.1) == {A: TargetCondition.SUSPECTED}
    health.record_failure(A, 11.5)
    assert health.conditions(TARGETS, 11.5) == {A: AVOIDED}


def test_trials_find_out_that_a_target_recovered():
    """Guards against a target that stays unused after its failure."""
    health = TargetHealth()
    _play(health, 0.0, 10.0, fails=1.0)
    assert health.conditions(TARGETS, 10.0).get(A) is AVOIDED
    _play(health, 10.0, 8.0)
    assert health.conditions(TARGETS, 18.0) == {}
    assert [change.is_avoided for change in health.take_changes()] == [True, False]


def test_flapping_target_is_avoided_for_longer_each_time():
    """Failure: a target that fails everything every other second."""
    health, uses = TargetHealth(), 0
    for second in range(0, 60, 2):
        for fails in (1.0, 0.0):
            used, _ = _play(health, second + (fails == 0.0), 1.0, fails=fails, seed=second)
            uses += used * fails
    # Half of 720 statements would fail; 2 trials in 2 s and a few failures at each return remain.
    assert uses < 60


def test_healthy_target_with_an_ill_report_returns():
    """Failure: a holder reports a healthy target as failing, once."""
    health = TargetHealth()
    health.record_report(A, 0.0)
    assert health.conditions(TARGETS, 0.5) == {A: TargetCondition.SUSPECTED}
    assert health.conditions(TARGETS, 1.1) == {}


def test_overloaded_target_is_not_ill():
    """Load: a full target refuses statements and answers others late."""
    health = TargetHealth()
    for step in range(40):
        health.record_success(A, 0.02, step * 0.1)
        health.record_success(B, 0.02, step * 0.1)
    for step in range(40, 80):
        health.record_busy(A, step * 0.1)
        health.record_success(A, 0.2, step * 0.1)
        assert health.conditions(TARGETS, step * 0.1) == {}


def test_statements_that_fail_everywhere_say_nothing_about_targets():
    """Load: a caller whose statements fail at every target."""
    health = TargetHealth()
    for target in TARGETS:
        health.record_failure(target, 0.0)
    for target in TARGETS:
        health.record_failure(target, 0.5)
    assert AVOIDED not in health.conditions(TARGETS, 3.0).values()


_EVENTS = st.lists(st.tuples(st.sampled_from(NAMES), st.sampled_from("sfbr")), max_size=80)


@given(_EVENTS, st.integers(1, 4))
def test_at_most_half_of_the_targets_are_avoided(events, count):
    health, targets, now = TargetHealth(), dict(list(TARGETS.items())[:count]), 0.0
    for target, event in events:
        now += 0.1
        if event == "s":
            health.record_success(target, 0.02, now)
        else:
            record = {"f": "record_failure", "b": "record_busy", "r": "record_report"}[event]
            getattr(health, record)(target, now)
        assert len(health.conditions(targets, now)) <= count // 2


def test_queue_at_a_target_is_not_taken_for_a_slow_target():
    """Load: one target has a burst, so that many connections are in use and answers take longer."""
    health = TargetHealth()
    for step in range(40):
        for target in NAMES:
            health.record_success(target, 0.02, step * 0.1)
    for step in range(40, 60):
        health.record_success(A, 0.1, step * 0.1, concurrent=6)
        assert health.conditions(TARGETS, step * 0.1) == {}
    for step in range(60, 63):
        health.record_success(A, 0.16, step * 0.1, concurrent=2)
    assert health.conditions(TARGETS, 6.3) == {A: AVOIDED}


def test_repeated_reports_are_asked_for_less_often():
    """Guards against each entry asking a holder about a failing target at every read."""
    health, now, asked = TargetHealth(), 0.0, 0
    while now < 30.0:
        now += 0.1
        if A not in health.conditions(TARGETS, now):
            asked += 1
            health.record_report(A, now)
    assert asked <= 11
    assert health.conditions(TARGETS, now + 4.1) == {}
