"""Tests of the division of connections among holders and organisations."""

from __future__ import annotations

import math
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscuspoint.core.sessions import (
    ConnectionPlan,
    EntryPlace,
    HolderRanking,
    OpeningBudget,
    OpeningRules,
    choose_holders,
    order_holders,
    target_holders,
)
from hibiscuspoint.core.sessions.connection_plan import (
    BUSY_RATE_FACTOR,
    HANDSHAKE_SECONDS,
    HANDSHAKE_SHARE,
    MINIMUM_TARGET_HOLDERS,
)
from hibiscuspoint.core.sessions.holders import SPREAD_CONNECTIONS
from hibiscuspoint.ids import AvailabilityZone, InstanceId, OrganisationId
from tests.builders_failover import GROUP, PRIMARY

ORGANISATIONS = [OrganisationId(f"organisation-{number}") for number in range(84)]
ZONE = AvailabilityZone("a")


def _places(zones: str, each: int) -> list[EntryPlace]:
    return [
        EntryPlace(InstanceId(f"10.0.{number}.{zone}:7440"), AvailabilityZone(zone))
        for zone in zones
        for number in range(each)
    ]


@given(st.integers(2, 80), st.integers(2, 120), st.sampled_from(["a", "ab", "abc", "abcd"]))
def test_holders_together_have_no_more_than_the_target_accepts(usable, each, zones):
    """Guards against more connections than the target accepts, whatever the zones."""
    entries = _places(zones, each)
    holders = target_holders(choose_holders(GROUP, entries, usable), ZONE)
    if not holders:
        return
    plans = [ConnectionPlan.divide(usable, holders, h.instance, len(entries), 4) for h in holders]
    assert len(holders) >= MINIMUM_TARGET_HOLDERS
    assert sum(plan.limit for plan in plans) <= usable
    assert all(0 < plan.kept <= plan.limit for plan in plans)


def test_connections_opened_per_second_are_bounded_for_the_target():
    """Load pattern: all organisations at once after a restart; handshakes fill the slots."""
    holders = _places("a", 4)
    plan = ConnectionPlan.divide(54, holders, holders[0].instance, 90, 4)
    budget = OpeningBudget(plan.openings_per_second, plan.limit)
    now, opened = 0.0, 0
    while now < 20.0:
        now += max(0.001, budget.opening_delay(now))
        if not budget.opening_delay(now):
            budget.record_opening(now)
            opened += 1
    bound = 4 * HANDSHAKE_SHARE / HANDSHAKE_SECONDS / len(holders)
    assert opened <= plan.limit + 20.0 * bound + 1


def test_busy_slots_are_left_to_statements():
    """Load pattern: demand above the capacity of the slots; handshakes would take a part of it."""
    budget = OpeningBudget(10.0, 1)
    budget.record_opening(0.0)
    usual = budget.opening_delay(0.0)
    for _ in range(10):
        budget.record_handshake(5 * HANDSHAKE_SECONDS)
    assert budget.opening_delay(0.0) == pytest.approx(usual / BUSY_RATE_FACTOR)
    for _ in range(10):
        budget.record_handshake(HANDSHAKE_SECONDS)
    assert budget.opening_delay(0.0) == pytest.approx(usual)


def test_statement_waits_for_a_connection_in_use_only_as_long_as_a_handshake_takes():
    """Guards against a connection for each statement of a burst, and against a wait without end."""
    rules = OpeningRules(ConnectionPlan(3, 4, 10.0))
    organisation = ORGANISATIONS[0]
    rules.record_progress(organisation, 0.0)
    assert rules.expected_returns(organisation, 3, 0.018, 0.001) == 2
    assert rules.expected_returns(organisation, 3, 0.001, 0.001) == 3
    assert rules.expected_returns(organisation, 1, 0.040, 0.001) == 0
    assert rules.next_decision(0.0) == pytest.approx(HANDSHAKE_SECONDS)
    assert rules.expected_returns(organisation, 3, 0.018, HANDSHAKE_SECONDS) == 0


def test_organisations_are_spread_evenly_over_the_holders():
    """Load pattern: 84 organisations; one holder must not have most of them."""
    holders = _places("a", 4)
    first = Counter(order_holders(GROUP, name, holders)[0] for name in ORGANISATIONS)
    assert len(first) == 4
    assert max(first.values()) < 2 * len(ORGANISATIONS) / 4


def test_holder_that_leaves_moves_only_its_own_organisations():
    """Guards against connections that are all opened anew when one holder restarts."""
    holders = _places("a", 4)
    for name in ORGANISATIONS:
        before = order_holders(GROUP, name, holders)
        assert order_holders(GROUP, name, holders[1:]) == [h for h in before if h != holders[0]]


def _rank(ranking: HolderRanking, now: float, name: OrganisationId = ORGANISATIONS[0]):
    return ranking.rank_for(name, GROUP, _places("abc", 1), PRIMARY, now)


def test_all_instances_send_an_organisation_to_the_same_holder():
    """Load pattern: many small organisations; each needs few connections only at one holder."""
    rankings = [HolderRanking(AvailabilityZone(zone)) for zone in "abc"]
    for ranking in rankings:
        first = _rank(ranking, 0.0)[0]
        # A handshake for each of some statements is no reason to leave the holder.
        for number in range(5):
            ranking.record_wait(first, PRIMARY, 0.015, number * 0.01, ORGANISATIONS[0])
    assert len({tuple(_rank(ranking, 0.05)) for ranking in rankings}) == 1


def test_large_organisation_is_spread_over_holders():
    """Load pattern: one organisation sends 5 times its usual."""
    ranking = HolderRanking(ZONE)
    order = _rank(ranking, 0.0)
    chosen = []
    for _ in range(2 * SPREAD_CONNECTIONS):
        chosen.append(_rank(ranking, 0.0)[0])
        ranking.record_borrow(chosen[-1], PRIMARY, ORGANISATIONS[0])
    assert Counter(chosen) == {order[0]: SPREAD_CONNECTIONS, order[1]: SPREAD_CONNECTIONS}
    for holder in chosen:
        ranking.record_return(holder, PRIMARY, ORGANISATIONS[0])
    assert _rank(ranking, 0.0) == order
    assert not ranking._organisation_counts


def test_dead_or_slow_holder_is_left_for_a_short_time():
    """Guards against statements that wait for a dead holder, and an organisation that stays away.

    Waits of one organisation do not move the others, whose connections are at their holder.
    """
    ranking = HolderRanking(ZONE)
    order = _rank(ranking, 0.0)
    ranking.record_failure(order[0], 0.0)
    assert _rank(ranking, 0.1) == [*order[1:], order[0]]
    assert _rank(ranking, 1.5) == order
    for number in range(5):
        ranking.record_wait(order[0], PRIMARY, 0.06, 2.0 + 0.01 * number, ORGANISATIONS[0])
    assert _rank(ranking, 2.1)[-1] == order[0]
    other = next(name for name in ORGANISATIONS[1:] if _rank(ranking, 1.5, name)[0] == order[0])
    assert _rank(ranking, 2.1, other)[0] == order[0]
    assert _rank(ranking, 2.1 + math.log(10)) == order
