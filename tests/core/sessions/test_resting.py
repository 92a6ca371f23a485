"""Tests of connections that are kept back after a refusal."""

from __future__ import annotations

from hibiscuspoint.core.sessions import RestingConnections
from hibiscuspoint.core.sessions.resting import (
    REST_FACTORS,
    REST_MAX_SECONDS,
    REST_MIN_SECONDS,
)
from hibiscuspoint.ids import NO_ORGANISATION, OrganisationId


def test_refusals_make_rests_longer_until_a_statement_is_served():
    """Load pattern: a target that is full for long is asked ever less often."""
    resting = RestingConnections()
    now, rests = 0.0, []
    for _ in range(8):
        resting.add("c", NO_ORGANISATION, now)
        rests.append(resting.next_in(now))
        now += rests[-1]
        assert resting.take_rested(now) == ["c"]
    assert rests[0] <= REST_MIN_SECONDS * REST_FACTORS[1]
    assert REST_MAX_SECONDS * REST_FACTORS[0] <= rests[-1] <= REST_MAX_SECONDS * REST_FACTORS[1]
    resting.times.record_success()
    resting.add("c", NO_ORGANISATION, now)
    assert resting.next_in(now) <= REST_MIN_SECONDS * REST_FACTORS[1]


def test_other_organisations_do_not_wait_for_a_connection_that_rests():
    """Guards against an organisation that is kept out while those of others are refused."""
    resting = RestingConnections()
    resting.add("c", OrganisationId("own"), 0.0)
    assert resting.has(OrganisationId("own"))
    assert not resting.has(OrganisationId("other"))
