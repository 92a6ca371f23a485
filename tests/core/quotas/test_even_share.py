"""Operations that the control leader does not answer."""

from __future__ import annotations

from hibiscuspoint.core.organisations import Organisation, RateLimit
from hibiscuspoint.core.quotas import QuotaMeter
from hibiscuspoint.ids import OrganisationId

LIMIT = RateLimit(30, 30)
ORGANISATION = Organisation(OrganisationId("marble-works"), limit=LIMIT)
ENTRIES = 90
SECONDS = 5


def test_even_shares_of_all_entries_have_the_rate_of_the_limit():
    """Guards against all entries that serve without a bound while the leader is lost.

    Load pattern: each of 90 entries sees ten times its part of the limit.
    """
    meters = [QuotaMeter() for _ in range(ENTRIES)]
    admitted = sum(
        meter.admit_unanswered(ORGANISATION, ENTRIES, now=step / 10)
        for step in range(10 * SECONDS)
        for meter in meters
    )
    assert admitted <= LIMIT.rate_per_s * SECONDS + ENTRIES
    assert admitted >= LIMIT.rate_per_s * (SECONDS - 1)


def test_limit_of_zero_has_no_even_share():
    """Guards against operations of an organisation that may have none."""
    organisation = Organisation(OrganisationId("closed"), limit=RateLimit(0, 0))
    assert not QuotaMeter().admit_unanswered(organisation, ENTRIES, now=1.0)
