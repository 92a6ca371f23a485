"""Drain of an entry before it stops (design D10)."""

from __future__ import annotations

import math
from enum import Enum

__all__ = ["DrainPhase", "DrainState"]

#: Seconds after the start in which new requests are still served, until the load balancer, callers
#: and peers use other entries.
_NOTICE_SECONDS = 1.0
#: Seconds after which a drain ends although requests or transactions are in progress.
_TIMEOUT_SECONDS = 30.0


class DrainPhase(Enum):
    """Progress of a drain."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"


class DrainState:
    """State of a drain; once it has ended, leases and connection shares may be returned.

    Counts the requests and interactive transactions in progress. The steps of an open transaction
    are part of it and are accepted until it ends.
    """

    def __init__(self) -> None:
        self._started_at = math.inf
        self._request_count = 0
        self._transaction_count = 0
        self._phase = DrainPhase.SERVING

    @property
    def phase(self) -> DrainPhase:
        """Progress of the drain as of the latest call of :meth:`start` or :meth:`tick`."""
        return self._phase

    @property
    def in_progress_count(self) -> int:
        """Number of requests and open transactions in progress."""
        return self._request_count + self._transaction_count

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send callers to this entry.

        If not, replies also carry ``go_elsewhere``.
        """
        return self._phase is DrainPhase.SERVING

    def start(self, now: float) -> None:
        """Start the drain; has no effect if it was started before."""
        if self._phase is DrainPhase.SERVING:
            self._started_at = now
            self._phase = DrainPhase.DRAINING

    def accepts_new_requests(self, now: float) -> bool:
        """Return whether new requests and transactions are served.

        They are served for a second after the start, as the load balancer still sends callers.
        After that they are rejected with ``NOT_RUN``, so that the drain ends even under a steady
        load.
        """
        if self._phase is DrainPhase.DRAINED:
            return False
        return now < self._started_at + _NOTICE_SECONDS

    def begin_request(self) -> None:
        """Count the start of a request."""
        self._request_count += 1

    def end_request(self) -> None:
        """Count the end of a request."""
        self._request_count -= 1

    def begin_transaction(self) -> None:
        """Count the start of an interactive transaction."""
        self._transaction_count += 1

    def end_transaction(self) -> None:
        """Count the end of an interactive transaction."""
        self._transaction_count -= 1

    def tick(self, now: float) -> DrainPhase:
        """Return the phase; ends the drain when nothing is in progress, or after 30 s."""
        if self._phase is DrainPhase.DRAINING and self._is_finished(now):
            self._phase = DrainPhase.DRAINED
        return self._phase

    def _is_finished(self, now: float) -> bool:
        elapsed = now - self._started_at
        if elapsed >= _TIMEOUT_SECONDS:
            return True
        return self.in_progress_count == 0 and elapsed >= _NOTICE_SECONDS
