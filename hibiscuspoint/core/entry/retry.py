"""Whether a failed request is sent again (designs D1, D8, D9)."""

from __future__ import annotations

from enum import Enum

from hibiscuspoint.verdict import Verdict

__all__ = ["RetryBudget", "RetryDecision"]

#: Times that one request is sent at most.
_MAX_ATTEMPTS = 4


class RetryDecision(Enum):
    """What to do with a request after a failed attempt."""

    #: Send it again.
    RETRY = "retry"
    #: Look its id up at the current primary; it must not be sent again (design D8).
    LOOK_UP = "look_up"
    #: Report the failure.
    GIVE_UP = "give_up"


class RetryBudget:
    """Token bucket that keeps retries under a share of the requests.

    :param ratio: retries earned by one request.
    :param burst: greatest number of saved retries.
    """

    def __init__(self, ratio: float = 0.1, burst: float = 10) -> None:
        self._ratio = ratio
        self._burst = burst
        self._saved = burst

    def set_ratio(self, ratio: float) -> None:
        """Set how many retries one request earns, as ``ratio`` of the constructor."""
        self._ratio = ratio

    def record_request(self) -> None:
        """Count a first attempt, which earns a share of a retry."""
        self._saved = min(self._burst, self._saved + self._ratio)

    def decide(
        self,
        verdict: Verdict,
        idempotent: bool,
        has_id: bool,
        attempt: int,
        deadline: float,
        now: float,
    ) -> RetryDecision:
        """Decide on a failed attempt and take a retry from the budget if it is sent again.

        A non-idempotent request is sent again only after ``NOT_RUN``. With an id, an unknown
        outcome is looked up, which takes nothing from the budget: it resolves a verdict and is
        needed most when many requests fail.

        :param attempt: number of the failed attempt, from 1.
        :param deadline: monotonic seconds at which the time of the request ends.
        """
        if verdict is Verdict.DONE or now >= deadline:
            return RetryDecision.GIVE_UP
        if verdict is Verdict.MAY_HAVE_RUN and not idempotent:
            return RetryDecision.LOOK_UP if has_id else RetryDecision.GIVE_UP
        if attempt >= _MAX_ATTEMPTS or self._saved < 1:
            return RetryDecision.GIVE_UP
        self._saved -= 1
        return RetryDecision.RETRY
