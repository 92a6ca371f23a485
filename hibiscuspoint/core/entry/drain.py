"""Planned stop of an entry (design D10)."""

from __future__ import annotations

import math
from enum import Enum

__all__ = ["DrainPhase", "DrainState"]

#: Seconds for which new requests are still served, until callers and peers use other entries.
_NOTICE_SECONDS = 1.0
#: Greatest length of a planned stop in seconds.
_LIMIT_SECONDS = 30.0


class DrainPhase(Enum):
    """Progress of a planned stop."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"


class DrainState:
    """Counts what is in progress and tells when leases and shares may be handed back.

    Steps of an open transaction count as work of that transaction and are always accepted.
    """

    def __init__(self) -> None:
        self._started_at = math.inf
        self._requests = 0
        self._transactions = 0
        self._phase = DrainPhase.SERVING

    @property
    def phase(self) -> DrainPhase:
        """Return the progress of the stop."""
        return self._phase

    @property
    def in_progress_count(self) -> int:
        """Return the number of requests and open transactions."""
        return self._requests + self._transactions

    @property
    def is_ready(self) -> bool:
        """Tell whether the load balancer should send callers; also ``go_elsewhere`` if not."""
        return self._phase is DrainPhase.SERVING

    def start(self, now: float) -> None:
        """Begin the stop; further calls change nothing."""
        if self._phase is DrainPhase.SERVING:
            self._started_at = now
            self._phase = DrainPhase.DRAINING

    def accepts_new_requests(self, now: float) -> bool:
        """Tell whether a new request or transaction is served.

        For a second after the start it is, as the load balancer still sends callers; after that it
        is rejected with ``NOT_RUN``, so that the stop ends under a steady load.
        """
        if self._phase is DrainPhase.DRAINED:
            return False
        return now < self._started_at + _NOTICE_SECONDS

    def begin_request(self) -> None:
        """Count a request."""
        self._requests += 1

    def end_request(self) -> None:
        """Count the end of a request."""
        self._requests -= 1

    def begin_transaction(self) -> None:
        """Count an interactive transaction."""
        self._transactions += 1

    def end_transaction(self) -> None:
        """Count the end of an interactive transaction."""
        self._transactions -= 1

    def tick(self, now: float) -> DrainPhase:
        """Finish the stop when nothing is in progress any more, or after 30 s."""
        if self._phase is DrainPhase.DRAINING and self._is_finished(now):
            self._phase = DrainPhase.DRAINED
        return self._phase

    def _is_finished(self, now: float) -> bool:
        elapsed = now - self._started_at
        if elapsed >= _LIMIT_SECONDS:
            return True
        return self.in_progress_count == 0 and elapsed >= _NOTICE_SECONDS
