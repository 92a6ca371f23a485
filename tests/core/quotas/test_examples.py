"""What callers of one organisation see in usual situations and in single failures."""

from __future__ import annotations

import pytest

from hibiscuspoint.core.organisations import RateLimit
from tests.builders_quotas import QuotaFleet

LARGE = RateLimit(200, 400)
SMALL = RateLimit(2, 4)
ALL = list(range(90))


def test_small_organisation_on_one_entry_never_waits() -> None:
    """Guards against a round trip to the leader for each operation."""
    fleet = QuotaFleet(90, SMALL)
    fleet.offer_evenly(1.25, 40.0, [7])
    fleet.run(40.0)
    assert not fleet.refused
    # The first two operations find no share yet.
    assert max(fleet.waits[2:]) == 0
    assert max(fleet.waits) < 0.01
    assert fleet.messages["shares"] < 10


@pytest.mark.parametrize("limit", [SMALL, RateLimit(16, 16), LARGE], ids=str)
@pytest.mark.parametrize("entries", [[3], ALL], ids=["one entry", "all entries"])
def test_usual_demand_is_not_refused(limit: RateLimit, entries: list[int]) -> None:
    """Guards against permits that lie unused at other entries."""
    fleet = QuotaFleet(90, limit)
    fleet.offer_evenly(limit.rate_per_s / 1.6, 10.0, entries)
    fleet.run(10.0)
    assert not fleet.refused
    assert max(fleet.waits) < 0.02


def test_excess_load_is_limited_without_a_flood_of_messages() -> None:
    """Guards against operations beyond the bound, and entries that ask for each refused one."""
    fleet = QuotaFleet(90, LARGE)
    fleet.offer_evenly(125, 5.0, ALL)
    fleet.run(5.0)
    fleet.messages.clear()
    fleet.offer_evenly(7.5 * 125, 10.0, ALL)
    fleet.run(10.0)
    assert fleet.worst_window() <= (5 * 200 + 400) * 1.1 + 20
    settled = [moment for moment in fleet.admitted if moment > fleet.now - 5]
    assert len(settled) >= 0.95 * 5 * 200
    # Four reports a second of each entry, and half as many besides, at most.
    assert fleet.messages["uses"] < 1.5 * 4 * 90 * 10


def test_full_rate_after_a_move_to_other_entries() -> None:
    """Guards against rate that stays bound at entries without callers."""
    fleet = QuotaFleet(90, LARGE)
    fleet.offer_evenly(7.5 * 125, 8.0, ALL[:30])
    fleet.run(8.0)
    moved_at = fleet.now
    fleet.offer_evenly(7.5 * 125, 3.0, ALL[30:60])
    fleet.run(3.0)
    after = [m for m in fleet.admitted if moved_at + 0.5 <= m < moved_at + 1.5]
    assert len(after) >= 0.95 * 200


def test_frozen_leader_and_its_successor() -> None:
    """Guards against refusals while there is no leader or the new one knows no share."""
    fleet = QuotaFleet(90, LARGE)
    fleet.offer_evenly(125, 20.0, [index % 20 for index in ALL])
    fleet.run(6.0)
    fleet.leader_frozen_until = fleet.now + 3.3
    fleet.run(3.3)
    fleet.elect()
    fleet.run(8.0)
    assert len(fleet.refused) <= 0.01 * len(fleet.admitted)


def test_frozen_entry_has_no_share_when_it_goes_on() -> None:
    """Guards against a share that outlives its lease while the process is suspended."""
    fleet = QuotaFleet(2, LARGE)
    fleet.offer_evenly(150, 4.0, [0])
    fleet.run(4.0)
    assert fleet.meters[0].share_count == 1
    fleet.frozen_until[0] = fleet.now + 5.0
    fleet.run(4.5)
    fleet.offer_evenly(2000, 1.0, [1])
    fleet.run(0.4999)
    before = len(fleet.admitted)
    fleet.frozen_until[0] = 0.0
    fleet.offer(0, patience=0.0)
    assert len(fleet.admitted) == before


def test_limit_far_below_the_demand_binds_at_once() -> None:
    """Guards against shares of the former limit that stay in use."""
    fleet = QuotaFleet(90, LARGE)
    fleet.offer_evenly(180, 15.0, ALL)
    fleet.run(5.0)
    fleet.set_limit(RateLimit(2, 2))
    changed_at = fleet.now
    fleet.run(10.0)
    assert fleet.worst_window(since=changed_at) <= (5 * 2 + 2) * 1.1 + 20


def test_raised_limit_is_usable_within_a_second() -> None:
    """Guards against a rise that waits until shares have expired."""
    fleet = QuotaFleet(90, RateLimit(20, 20))
    fleet.offer_evenly(150, 10.0, ALL)
    fleet.run(5.0)
    fleet.set_limit(LARGE)
    fleet.run(5.0)
    assert not [moment for moment in fleet.refused if moment > fleet.now - 4]


def test_limit_of_zero_admits_nothing() -> None:
    """Guards against a burst, or the slack, being granted where nothing is allowed."""
    fleet = QuotaFleet(3, RateLimit(0, 50))
    fleet.offer_evenly(50, 5.0, [0, 1, 2])
    fleet.run(5.0)
    assert not fleet.admitted
    assert not fleet.messages["shares"]
    assert not fleet.messages["uses"]


def test_organisation_without_a_limit_needs_no_messages() -> None:
    """Guards against work for organisations that are not limited."""
    fleet = QuotaFleet(3, None)
    fleet.offer_evenly(500, 2.0, [0, 1, 2])
    fleet.run(3.0)
    assert not fleet.refused
    assert not fleet.messages["uses"]
