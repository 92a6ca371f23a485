"""Detection of failed primaries from their announcements and the requests of holders."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscuspoint.ids import InstanceId, TargetId

__all__ = ["FailureDetector", "Suspicion"]

#: Seconds without an announcement and without a successful request after which a primary is
#: suspected.
SILENCE_SECONDS = 0.6

#: The same time for a primary that has not announced itself to this leader yet. It is longer, as a
#: new leader is found late: entries leave a silent leader only after 1 s, and a target allows each
#: instance that it tries 0.3 s to forward its announcement to the leader.
FIRST_SILENCE_SECONDS = 2.0

#: Seconds without an announcement after which a primary is suspected if connections to it are
#: refused.
SHORT_SILENCE_SECONDS = 0.25

#: Seconds in which the requests of every holder fail, after which a primary is suspected although
#: it announces itself.
UNREACHABLE_SECONDS = 3.0

#: Seconds between two ticks that show a stall of this process. The silence that it measured then
#: says nothing about the targets.
STALL_SECONDS = 0.3


class Suspicion(Enum):
    """Why a primary is considered failed."""

    SILENT = "no announcement and no successful request"
    REFUSED = "no announcement and its address refuses connections"
    UNREACHABLE = "no holder reaches the primary"
    STEPPED_DOWN = "the target no longer acts as primary"


@dataclass
class _HolderFailures:
    """Failed requests of one holder since its last success; times are monotonic and in seconds."""

    refused_at: float = -math.inf
    first_failed_at: float = math.inf
    last_failed_at: float = -math.inf


class FailureDetector:
    """Detects the failure of the primary of one group.

    All times are monotonic and in seconds.

    :param primary: target to watch.
    :param now: time at which the watch starts.
    """

    def __init__(self, primary: TargetId, now: float) -> None:
        self._primary = primary
        self._announced_at = now
        self._succeeded_at = now
        self._ticked_at = now
        self._has_announced = False
        self._has_stepped_down = False
        self._probe_refused_at = -math.inf
        self._failures: dict[InstanceId, _HolderFailures] = {}

    @property
    def primary(self) -> TargetId:
        """Target that is watched."""
        return self._primary

    def record_announcement(self, is_primary: bool, now: float) -> None:
        """Record an announcement of the primary.

        :param is_primary: whether it announces that it acts as primary.
        """
        self._announced_at = now
        self._has_announced = True
        self._has_stepped_down = not is_primary

    def record_observation(
        self, holder: InstanceId, successes: int, refusals: int, timeouts: int, now: float
    ) -> None:
        """Record the outcomes of a holder's requests to the primary since its last report.

        :param successes: requests that succeeded.
        :param refusals: connections that the primary's address refused.
        :param timeouts: requests without an answer in time.
        """
        failures = self._failures.setdefault(holder, _HolderFailures())
        if successes:
            self._succeeded_at = now
            self._failures[holder] = _HolderFailures()
        elif refusals or timeouts:
            failures.refused_at = now if refusals else -math.inf
            failures.first_failed_at = min(failures.first_failed_at, now)
            failures.last_failed_at = now

    def needs_probe(self, now: float) -> bool:
        """Tell whether the primary is silent, so that control should call it."""
        return now - self._announced_at >= SHORT_SILENCE_SECONDS

    def record_probe_refusal(self, now: float) -> None:
        """Record that the address of the primary refused a connection of control."""
        self._probe_refused_at = now

    def suspicion(self, holders: set[InstanceId], now: float) -> Suspicion | None:
        """Return why the primary is considered failed, or ``None`` if it is not.

        :param holders: live holders of the group.
        """
        self._discount_stall(now)
        silence = now - self._announced_at
        if self._has_stepped_down:
            return Suspicion.STEPPED_DOWN
        limit = SILENCE_SECONDS if self._has_announced else FIRST_SILENCE_SECONDS
        if silence >= limit and now - self._succeeded_at >= limit:
            return Suspicion.SILENT
        if silence >= SHORT_SILENCE_SECONDS and self._is_probe_refused(now):
            return Suspicion.REFUSED
        reported_failures = [
            self._failures[holder] for holder in holders if holder in self._failures
        ]
        if not reported_failures or len(reported_failures) < len(holders):
            return None
        # A refusal before the last announcement does not explain the silence after it.
        is_refused_by_all = all(
            failures.refused_at >= self._announced_at for failures in reported_failures
        )
        if silence >= SHORT_SILENCE_SECONDS and is_refused_by_all:
            return Suspicion.REFUSED
        if all(self._is_failing(failures, now) for failures in reported_failures):
            return Suspicion.UNREACHABLE
        return None

    def _is_failing(self, failures: _HolderFailures, now: float) -> bool:
        """Tell whether the requests of a holder have failed for long, the last one recently."""
        is_trying = now - failures.last_failed_at < UNREACHABLE_SECONDS
        return is_trying and now - failures.first_failed_at >= UNREACHABLE_SECONDS

    def _is_probe_refused(self, now: float) -> bool:
        """Tell whether a probe was refused recently and no request has succeeded since."""
        refused_at = self._probe_refused_at
        return now - refused_at < SILENCE_SECONDS and self._succeeded_at < refused_at

    def _discount_stall(self, now: float) -> None:
        """Deduct a stall of this process from the silence of the primary."""
        stalled = now - self._ticked_at
        self._ticked_at = now
        if stalled < STALL_SECONDS:
            return
        self._announced_at = min(now, self._announced_at + stalled)
        self._succeeded_at = min(now, self._succeeded_at + stalled)
        for failures in self._failures.values():
            failures.first_failed_at += stalled
