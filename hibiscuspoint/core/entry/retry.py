"""Retry decisions for failed requests and the retry budget (designs D1, D8, D9)."""

from __future__ import annotations

from enum import Enum

from hibiscuspoint.verdict import Verdict

__all__ = ["RetryBudget", "RetryDecision"]

#: Maximum number of attempts of one request, the first one included.
_MAX_ATTEMPTS = 4


class RetryDecision(Enum):
    """What to do with a request after a failed attempt."""

    #: Send the request again.
    RETRY = "retry"
    #: Look up the request id at the current primary; sending the request again could run it twice
    #: (design D8).
    LOOK_UP = "look_up"
    #: Report the failure to the caller.
    GIVE_UP = "give_up"


class RetryBudget:
    """Token bucket that limits retries to a fraction of the requests.

    :param ratio: tokens added by each request; one token allows one retry.
    :param burst: capacity of the bucket in tokens.
    """

    def __init__(self, ratio: float = 0.1, burst: float = 10) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def set_ratio(self, ratio: float) -> None:
        """Set the tokens added by each request, like ``ratio`` of the constructor."""
        self._ratio = ratio

    def record_request(self) -> None:
        """Count the first attempt of a request, which adds ``ratio`` tokens."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def take(self) -> bool:
        """Consume one token for a retry; returns false when there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def decide(
        self,
        verdict: Verdict,
        idempotent: bool,
        has_id: bool,
        attempt: int,
        deadline: float,
        now: float,
    ) -> RetryDecision:
        """Decide what follows a failed attempt; a retry consumes one token.

        A non-idempotent request is sent again only after ``NOT_RUN``. If its outcome is unknown and
        it has an id, the outcome is looked up instead. The lookup consumes no token, since it
        resolves a verdict and is needed most when many requests fail.

        :param verdict: verdict of the failed attempt.
        :param idempotent: whether running the request twice has the same effect as once.
        :param has_id: whether the request has an id under which its outcome is recorded.
        :param attempt: number of the failed attempt, from 1.
        :param deadline: deadline of the request in monotonic seconds.
        """
        if verdict is Verdict.DONE or now >= deadline:
            return RetryDecision.GIVE_UP
        if verdict is Verdict.MAY_HAVE_RUN and not idempotent:
            return RetryDecision.LOOK_UP if has_id else RetryDecision.GIVE_UP
        if attempt >= _MAX_ATTEMPTS or not self.take():
            return RetryDecision.GIVE_UP
        return RetryDecision.RETRY
