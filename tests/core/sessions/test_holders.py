"""Tests of the choice of holders when instances outnumber the connections of a target."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscuspoint.core.sessions import (
    EntryPlace,
    HolderRanking,
    choose_holders,
    serving_version,
)
from hibiscuspoint.core.sessions.holders import CONNECTIONS_PER_HOLDER, FAILURE_PENALTY_SECONDS
from hibiscuspoint.ids import AvailabilityZone, InstanceId
from tests.builders_failover import GROUP, PRIMARY

ZONES = ("a", "b", "c")


def _places(count: int) -> list[EntryPlace]:
    return [
        EntryPlace(InstanceId(f"10.0.{number}.1:7440"), AvailabilityZone(ZONES[number % 3]))
        for number in range(count)
    ]


@pytest.mark.parametrize(("entries", "usable"), [(9, 14), (32, 32), (1, 1), (0, 30)])
def test_instances_with_connections_of_their_own_need_no_holders(entries, usable):
    """Guards against needless forwarding through another instance in small deployments."""
    assert choose_holders(GROUP, _places(entries), usable) == []


@given(st.integers(33, 200), st.randoms())
def test_every_instance_chooses_the_same_holders(entries, random):
    """Guards against more holders, and so more connections, than the target accepts."""
    places = _places(entries)
    chosen = choose_holders(GROUP, places, 32)
    random.shuffle(places)
    assert choose_holders(GROUP, places, 32) == chosen
    assert len(chosen) == 32 // CONNECTIONS_PER_HOLDER
    in_zone = [sum(place.zone == zone for place in chosen) for zone in ZONES]
    assert max(in_zone) - min(in_zone) <= 1


@given(st.integers(40, 200), st.integers(0, 199))
def test_loss_of_an_instance_moves_at_most_its_own_place(entries, lost):
    """Guards against connections that are opened anew with each restart of a machine."""
    places = _places(entries)
    before = choose_holders(GROUP, places, 32)
    del places[lost % entries]
    after = choose_holders(GROUP, places, 32)
    assert len(set(before) - set(after)) <= 1


def test_holder_that_does_not_reply_is_ranked_last_for_a_short_time():
    """Guards against statements that wait for a frozen machine repeatedly."""
    ranking = HolderRanking(AvailabilityZone("a"))
    near, other, far = _places(7)[0], _places(7)[3], _places(7)[1]
    assert ranking.rank([far, other, near], PRIMARY, 0.0)[-1] == far.instance
    assert ranking.record_failure(near.instance, 0.0)
    assert not ranking.record_failure(near.instance, 0.05)
    assert ranking.rank([near, other, far], PRIMARY, 0.1) == [
        o.instance for o in (other, far, near)
    ]
    assert ranking.rank([near, other], PRIMARY, 0.05 + FAILURE_PENALTY_SECONDS)[0] == near.instance
    ranking.record_failure(near.instance, 5.0)
    ranking.record_answer(near.instance)
    assert ranking.rank([near, other], PRIMARY, 5.0)[0] == near.instance


def test_holder_with_the_fewest_borrowed_connections_is_ranked_first():
    """Guards against a queue at one holder while others have idle connections."""
    ranking = HolderRanking(AvailabilityZone("a"))
    first, second = _places(4)[0], _places(4)[3]
    ranking.record_borrow(first.instance)
    assert ranking.rank([first, second], PRIMARY, 0.0)[0] == second.instance
    ranking.record_return(first.instance)
    assert ranking.rank([first, second], PRIMARY, 0.0)[0] == first.instance


def test_version_of_the_list_depends_on_its_content_only():
    """Guards against sending an unchanged list again after a change of the control leader."""
    places = _places(5)
    assert serving_version(places) == serving_version(places[::-1])
    assert serving_version(places) != serving_version(places[1:])
