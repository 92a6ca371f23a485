"""Tests of the ranking of targets for a read."""

from __future__ import annotations

from hibiscuspoint.core.entry.routes import RouteMember
from hibiscuspoint.core.sessions import TargetLoad, rank_targets
from hibiscuspoint.ids import AvailabilityZone, TargetId

HERE, THERE = AvailabilityZone("here"), AvailabilityZone("there")
A, B, C = (TargetId(name) for name in "abc")
NOW = 100.0


def _rank(loads, primary=None, zones=(HERE, HERE, HERE)):
    members = [
        RouteMember(target, f"10.0.0.1:{port}", zone, 2)
        for target, port, zone in zip((A, B, C), (1, 2, 3), zones, strict=True)
    ]
    return [member.target for member in rank_targets(members, loads, primary, HERE, NOW)]


def test_primary_comes_after_equal_replicas():
    """Guards against reads that occupy the slots of writes."""
    assert _rank({}, primary=A)[-1] == A


def test_busy_target_comes_later():
    """Guards against many simultaneous reads at one replica."""
    assert _rank({A: TargetLoad(in_progress=4), B: TargetLoad(in_progress=1)})[-1] == A


def test_failed_target_comes_last_for_a_short_time():
    """Guards against a silent replica that delays every read."""
    assert _rank({A: TargetLoad(failed_at=NOW - 0.5)})[-1] == A
    assert _rank({A: TargetLoad(failed_at=NOW - 5.0)})[0] == A


def test_near_target_is_preferred_among_equals():
    """Guards against traffic between availability zones without a benefit."""
    assert _rank({}, zones=(THERE, HERE, THERE))[0] == B
