"""Tests of the rankings and of when each is used."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hibiscuspoint.core.balancing import (
    HolderReport,
    RankingMode,
    ReadBalancer,
    ReadReason,
    ReadRequest,
    RoundTripSource,
)
from hibiscuspoint.core.entry.routes import RouteMember
from hibiscuspoint.core.sessions import Failure, TargetLoad, rank_targets
from hibiscuspoint.ids import AvailabilityZone, GroupId, TargetId

HERE, THERE = AvailabilityZone("here"), AvailabilityZone("there")
GROUP = GroupId("ledger")
A, B, C, D = TARGETS = tuple(TargetId(name) for name in "abcd")
MEMBERS = [
    RouteMember(target, "10.0.0.1:1", zone, 4)
    for target, zone in zip(TARGETS, (HERE, HERE, THERE, THERE), strict=True)
]

ZONES = {member.target: member.zone for member in MEMBERS}

_LOADS = st.dictionaries(
    st.sampled_from(TARGETS),
    st.builds(TargetLoad, st.integers(0, 9), st.floats(0.001, 1), st.floats(0, 100)),
)
_READS = st.tuples(st.sampled_from(TARGETS), st.sampled_from([None, *Failure]), st.floats(0.001, 1))


def _request(loads=None, primary=None, now=100.0) -> ReadRequest:
    return ReadRequest(GROUP, list(MEMBERS), loads or {}, primary, HERE, now)


@given(_LOADS, st.sampled_from([None, *TARGETS]), st.lists(_READS), st.floats(0.0, 0.0039))
def test_near_zones_keep_the_order_of_the_fixed_ranking(loads, primary, reads, trip):
    """Guards against another order of candidates on deployments with near zones."""
    balancer = ReadBalancer(HERE)
    for step in range(10):
        balancer.round_trips.record(HERE, RoundTripSource.HOLDER, 0.001, step)
        balancer.round_trips.record(THERE, RoundTripSource.HOLDER, 0.001 + trip, step)
    for target, failure, seconds in reads:
        balancer.record_read(target, failure, seconds, seconds, 99.0)
        report = HolderReport(3, 9, 4, is_avoided=True)
        assert not balancer.must_skip(target, ZONES, report, 99.0)
    choices = balancer.rank(_request(loads, primary))
    expected = rank_targets(MEMBERS, loads, primary, HERE, 100.0)
    assert [choice.member for choice in choices] == expected
    assert not any(choice.may_skip for choice in choices)


def test_far_zone_is_found_by_its_round_trip():
    """Guards against a ranking that changes with single slow exchanges."""
    balancer = ReadBalancer(HERE)
    for step in range(4):
        balancer.round_trips.record(THERE, RoundTripSource.TARGET, 0.007, step)
    assert not balancer.is_balanced
    balancer.round_trips.record(THERE, RoundTripSource.TARGET, 0.3, 5)
    assert balancer.is_balanced
    balancer.round_trips.record(THERE, RoundTripSource.TARGET, 0.0028, 6)
    assert not balancer.is_balanced


def test_primary_is_left_to_writes():
    """Load: equal targets in the zone of an entry, one of them the primary."""
    balancer = ReadBalancer(HERE, RankingMode.ALWAYS)
    assert {balancer.rank(_request(primary=A))[0].member.target for _ in range(200)} == {B}


def test_target_that_its_holder_avoids_is_skipped_until_a_trial():
    """Failure: a lying target of which this entry has seen nothing yet."""
    balancer = ReadBalancer(HERE, RankingMode.ALWAYS)
    report = HolderReport(is_avoided=True)
    assert balancer.must_skip(A, ZONES, report, 100.0)
    assert balancer.rank(_request(now=100.2))[0].member.target == B
    assert not balancer.must_skip(A, ZONES, HolderReport(is_avoided=True, is_trial=True), 100.3)
    # Two others are avoided as well; the fourth target of the group is not.
    assert balancer.must_skip(C, ZONES, report, 100.3)
    assert not balancer.must_skip(D, ZONES, report, 100.3)


def test_trial_comes_first_and_is_rare():
    """Guards against a recovery that nobody notices, and against trials that cost many reads."""
    balancer = ReadBalancer(HERE, RankingMode.ALWAYS)
    for at in (99.0, 99.1):
        balancer.record_read(A, Failure.FAILED, 0.02, 0.02, at)
    balancer.rank(_request(now=99.2))
    ranked = [balancer.rank(_request(now=100.0 + 0.1 * step)) for step in range(30)]
    trials = [choices for choices in ranked if choices[0].reason is ReadReason.TRIAL]
    assert 1 <= len(trials) <= 6
    assert all(choices[-1].member.target == A for choices in ranked if choices not in trials)


def test_holder_tells_about_failures_of_all_entries():
    """Failure: a lying target, seen by the holder that lends connections to many entries."""
    holder = ReadBalancer(HERE, RankingMode.ALWAYS)
    for at in (99.0, 99.1):
        holder.record_lent(A, Failure.FAILED, 0.02, at)
    reports = []
    for step in range(30):
        now = 99.2 + 0.1 * step
        reports.append(holder.make_report(A, ZONES, (1, 0, 4), now))
        # Writes borrow connections as well and must not use the trials up.
        if reports[-1].is_trial and step % 2:
            holder.begin_lent(A, now)
            holder.record_lent(A, Failure.FAILED, 0.02, now)
    assert all(report.is_avoided for report in reports)
    assert 1 <= sum(report.is_trial for report in reports) <= 4
