"""The operations of all entries stay within the bound for every schedule of messages and faults."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscuspoint.core.organisations import RateLimit
from hibiscuspoint.core.quotas import QuotaBounds
from tests.builders_quotas import QuotaFleet

BOUNDS = QuotaBounds()

LIMITS = st.builds(RateLimit, st.integers(1, 40), st.integers(0, 60))
DELAYS = st.one_of(st.floats(0.0005, 0.0035), st.floats(0.0035, 1.0), st.none())
#: Seconds until the fault, its kind, and which entry it concerns.
FAULTS = st.lists(
    st.tuples(
        st.floats(0.05, 1.5),
        st.sampled_from(["freeze", "cut", "restart", "elect", "freeze leader"]),
        st.integers(0, 89),
    ),
    max_size=8,
)


def permitted(limit: RateLimit) -> float:
    """Return the bound of the requirements on a window."""
    return (limit.rate_per_s * 5 + limit.burst) * 1.1 + 20


def apply_fault(fleet: QuotaFleet, kind: str, index: int, *, may_elect: bool) -> None:
    """Let something fail."""
    index %= len(fleet.meters)
    if kind == "freeze":
        fleet.frozen_until[index] = fleet.now + 4.0
    elif kind == "cut":
        fleet.cut_off_until[index] = fleet.now + 4.0
        fleet.reattach(index)
    elif kind == "restart":
        fleet.restart(index)
    elif kind == "freeze leader":
        fleet.leader_frozen_until = fleet.now + 1.5
    elif may_elect:
        fleet.elect()


@settings(max_examples=60, deadline=None)
@given(LIMITS, st.integers(1, 90), st.data(), FAULTS)
def test_sum_stays_within_the_bound(limit, entries, data, faults) -> None:
    """Guards against permits that exist twice: after lost messages, faults or a changed leader."""
    random = data.draw(st.randoms(use_true_random=False))
    delays = data.draw(st.lists(DELAYS, min_size=1, max_size=6))
    fleet = QuotaFleet(entries, limit, lambda: random.choice(delays))
    fleet.offer_evenly(limit.rate_per_s * 10, 9.0, list(range(entries)))
    elected = False
    for seconds, kind, index in faults:
        fleet.run(seconds)
        # A second change of the leader within a window is outside of the bound.
        apply_fault(fleet, kind, index, may_elect=not elected)
        elected |= kind == "elect"
    fleet.run(9.0)
    assert fleet.worst_window() <= permitted(limit)


@settings(max_examples=30, deadline=None)
@given(LIMITS, LIMITS, st.integers(2, 40), st.lists(DELAYS, min_size=1, max_size=6), st.data())
def test_changed_limit_binds_after_one_window(before, after, entries, delays, data) -> None:
    """Guards against permits of a higher limit that outlive it."""
    random = data.draw(st.randoms(use_true_random=False))
    fleet = QuotaFleet(entries, before, lambda: random.choice(delays))
    fleet.offer_evenly(before.rate_per_s * 5, 3.0, list(range(entries)))
    fleet.run(3.0)
    fleet.set_limit(after)
    changed_at = fleet.now
    fleet.offer_evenly(after.rate_per_s * 10, 9.0, list(range(entries)))
    fleet.run(9.0)
    assert fleet.worst_window(since=changed_at) <= permitted(after)


@given(LIMITS)
def test_permits_add_up_to_the_bound(limit) -> None:
    """Guards against constants that exceed the permitted excess."""
    window = BOUNDS.window_seconds * BOUNDS.rate(limit) + BOUNDS.total_permits(limit)
    assert window <= permitted(limit) + 1e-6
    assert BOUNDS.regular_permits(limit) >= limit.burst
