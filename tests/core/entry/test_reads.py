"""Tests of tip samples and the read planner."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscuspoint.core.entry import (
    PrimaryState,
    Read,
    ReadPlanner,
    RejectRead,
    ServeFromPrimary,
    ServeFromReplica,
    TipSamples,
    WaitForReplica,
)
from hibiscuspoint.core.position import ZERO_POSITION
from hibiscuspoint.errors import NoPrimaryError
from hibiscuspoint.ids import Term
from hibiscuspoint.verdict import Verdict
from tests.builders import position, term_history
from tests.builders_entry import replica

_HISTORY = term_history((1, 1))
_USABLE = PrimaryState(is_usable=True)
_TIMES = st.integers(0, 12).map(lambda tick: tick / 10)


def _plan(read, replicas, samples, now, primary=_USABLE, planner=None):
    return (planner or ReadPlanner()).plan(
        read,
        term=Term(1),
        history=_HISTORY,
        replicas=replicas,
        samples=samples,
        primary=primary,
        now=now,
    )


def _samples(*tips):
    samples = TipSamples()
    for sent_at, tip in tips:
        samples.record_answer(samples.record_request(sent_at), Term(1), tip, True)
    return samples


@settings(max_examples=500)
@given(
    acknowledged=st.lists(_TIMES, max_size=8).map(sorted),
    exchanges=st.lists(st.tuples(_TIMES, _TIMES), max_size=6),
    applied=st.lists(st.integers(0, 8), min_size=1, max_size=3),
    mark=st.integers(0, 8),
    arrived_at=_TIMES,
    waited=_TIMES,
    max_age=st.none() | st.sampled_from([0.0, 0.1, 0.5]),
)
def test_replica_never_serves_data_that_is_too_old(
    acknowledged, exchanges, applied, mark, arrived_at, waited, max_age
):
    """Against a history of writes: guards G1 and G10 at any lag and any order of answers."""
    now = arrived_at + waited
    samples = TipSamples()
    pending = [(sent, sent + delay) for sent, delay in exchanges if sent + delay <= now]
    pending = [(answered, sent, samples.record_request(sent)) for sent, answered in sorted(pending)]
    for answered, sent, sample_id in sorted(pending):
        # The primary reads its tip at some time between sending and answering.
        tip = sum(at <= (sent + answered) / 2 for at in acknowledged)
        samples.record_answer(sample_id, Term(1), tip, True)
    replicas = [replica(str(i), index) for i, index in enumerate(applied)]
    read = Read(arrived_at, now + 1, position(1, mark), max_age)
    plan = _plan(read, replicas, samples, now)
    oldest = arrived_at if max_age is None else now - max_age
    required = max(mark, sum(at < oldest for at in acknowledged))
    for earliest in (sent for sent, _ in exchanges):
        tip = samples.lowest_tip_since(earliest)
        assert tip is None or tip >= sum(at < earliest for at in acknowledged)
    for state in replicas:
        if plan == ServeFromReplica(state.target):
            assert state.applied_index >= required
    accepted = ReadPlanner().may_release_answer(
        read, position(1, applied[0]), term=Term(1), history=_HISTORY, samples=samples, now=now
    )
    assert applied[0] >= required or not accepted


def test_frequent_samples_keep_a_bound_for_a_replica_with_high_lag():
    """Dropping the oldest samples would leave a lagging replica without a bound."""
    samples = _samples(*((i / 1000, i) for i in range(5000)))
    assert len(samples._sent) <= 128
    assert samples.lowest_tip_since(1.4) <= 2000 < samples.lowest_tip_since(2.001)


def test_samples_of_an_earlier_term_or_lease_are_void():
    """A replaced primary may not know the latest writes; its tip proves nothing."""
    samples = _samples((1.0, 10))
    late = samples.record_request(1.5)
    assert (
        samples.record_answer(samples.record_request(2.0), Term(1), 10, lease_valid=False) is None
    )
    samples.record_answer(samples.record_request(2.0), Term(2), 12, True)
    assert samples.record_answer(late, Term(1), 10, True) is None
    assert samples.lowest_tip_since(0.0) == 12
    assert samples.lowest_tip_since(2.0) == 12
    assert samples.lowest_tip_since(2.1) is None


def test_one_sample_serves_all_waiting_reads_and_a_lost_one_is_repeated():
    """One sample for each read would load the primary; a lost one must not block reads."""
    samples = TipSamples()
    assert samples.needs_sample_since(1.0)
    samples.record_request(1.0)
    assert not samples.needs_sample_since(0.9)
    assert samples.needs_sample_since(1.1)
    assert samples.needs_sample_since(0.9, now=1.6)


def test_samples_of_an_ended_stream_are_repeated_at_once():
    """A read that waits for a sample that nobody answers would wait 500 ms for nothing."""
    samples = _samples((1.0, 10))
    lost = samples.record_request(2.0)
    samples.discard_pending()
    assert samples.needs_sample_since(1.5, now=2.0)
    assert samples.record_answer(lost, Term(1), 12, True) is None
    assert samples.lowest_tip_since(0.5) == 10
    samples.record_answer(samples.record_request(2.1), Term(1), 12, True)
    assert not samples.needs_sample_since(1.5, now=2.1)


_READ = Read(0.0, 1.0, ZERO_POSITION, 1.0)


@pytest.mark.parametrize(
    ("states", "tips", "now", "primary", "plan"),
    [
        # A replica that leaves, follows another term or has no free slot gets no work.
        ([replica("a", 9, is_usable=False)], [(0, 5)], 0.0, _USABLE, ServeFromPrimary()),
        ([replica("a", 9, term=2)], [(0, 5)], 0.0, _USABLE, ServeFromPrimary()),
        ([replica("a", 9, in_flight=2)], [(0, 5)], 0.0, _USABLE, WaitForReplica(0.02)),
        # A short wait spares the primary; a long one does not.
        ([replica("a", 4, apply_rate=100.0)], [(0, 5)], 0.0, _USABLE, WaitForReplica(0.02)),
        ([replica("a", 4, apply_rate=10.0)], [(0, 5)], 0.0, _USABLE, ServeFromPrimary()),
        ([replica("a", 4, apply_rate=0.0)], [(0, 5)], 0.0, _USABLE, ServeFromPrimary()),
        ([replica("a", 4)], [], 0.01, _USABLE, WaitForReplica(0.02)),
        ([replica("a", 4)], [], 0.02, _USABLE, ServeFromPrimary()),
        # Without a primary that can serve, the read waits as long as it has time.
        ([replica("a", 4)], [(0, 5)], 0.5, PrimaryState(False), WaitForReplica(1.0)),
        ([replica("a", 4)], [(0, 5)], 0.5, PrimaryState(True, 0.6), WaitForReplica(1.0)),
        # The replica with the least in flight is preferred.
        (
            [replica("a", 9, in_flight=1), replica("b", 9)],
            [(0, 5)],
            0.0,
            _USABLE,
            ServeFromReplica("b"),
        ),
    ],
)
def test_choice(states, tips, now, primary, plan):
    """Guards the share of reads that replicas serve, and reads during a promotion."""
    assert _plan(_READ, states, _samples(*tips), now, primary) == plan


def test_read_past_its_deadline_is_refused_as_not_run():
    """A read that no target received must not be reported as perhaps run."""
    plan = _plan(_READ, [], _samples(), 1.0, PrimaryState(False))
    assert isinstance(plan, RejectRead)
    assert isinstance(plan.error, NoPrimaryError)
    assert plan.error.verdict is Verdict.NOT_RUN
