"""Tests of the retry budget."""

from __future__ import annotations

import pytest

from hibiscuspoint.core.entry import RetryBudget, RetryDecision
from hibiscuspoint.verdict import Verdict


@pytest.mark.parametrize(
    ("verdict", "idempotent", "has_id", "decision"),
    [
        (Verdict.DONE, True, True, RetryDecision.GIVE_UP),
        (Verdict.NOT_RUN, True, False, RetryDecision.RETRY),
        (Verdict.NOT_RUN, False, False, RetryDecision.RETRY),
        (Verdict.MAY_HAVE_RUN, True, False, RetryDecision.RETRY),
        (Verdict.MAY_HAVE_RUN, False, True, RetryDecision.LOOK_UP),
        (Verdict.MAY_HAVE_RUN, False, False, RetryDecision.GIVE_UP),
    ],
)
def test_decision(verdict, idempotent, has_id, decision):
    """A non-idempotent request that may have run must not be sent again (guarantee G6)."""
    assert RetryBudget().decide(verdict, idempotent, has_id, 1, 1.0, 0.0) is decision


def test_retries_stay_under_a_tenth_of_the_requests():
    """Retries during a failure would otherwise multiply the load."""
    budget = RetryBudget()
    retried = 0
    for _ in range(1000):
        budget.record_request()
        retried += budget.decide(Verdict.NOT_RUN, True, False, 1, 1.0, 0.0) is RetryDecision.RETRY
    assert retried <= 1000 * 0.1 + 10
