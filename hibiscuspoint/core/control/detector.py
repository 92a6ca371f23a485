"""Detection of failed primaries from announcements and the traffic of holders."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscuspoint.ids import InstanceId, TargetId

__all__ = ["FailureDetector", "Suspicion"]

#: Silence in seconds after which a primary without successful requests is suspected.
SILENCE_SECONDS = 0.6

#: Silence in seconds after which a primary is suspected that has not announced itself to this
#: leader. A new leader is found late: entries leave a silent leader after 1 s, and a target gives
#: each instance that it tries 0.3 s to pass its announcement on.
FIRST_SILENCE_SECONDS = 2.0

#: Silence in seconds that is enough when every holder is refused.
SHORT_SILENCE_SECONDS = 0.25

#: Time in seconds without any successful request at an announcing primary.
UNREACHABLE_SECONDS = 3.0

#: Gap between two ticks after which the process itself was stopped, so that its silence
#: measurements say nothing about the targets.
STALL_SECONDS = 0.3


class Suspicion(Enum):
    """Why a primary is considered failed."""

    SILENT = "no announcement and no successful request"
    REFUSED = "no announcement and its address refuses connections"
    UNREACHABLE = "no holder reaches the primary"
    STEPPED_DOWN = "the target no longer acts as primary"


@dataclass
class _HolderView:
    """Failures of one holder since its last success; times in seconds."""

    refused_at: float = -math.inf
    failing_since: float = math.inf
    failed_at: float = -math.inf


class FailureDetector:
    """Watches the primary of one group.

    :param primary: the watched target.
    :param now: monotonic time in seconds at which watching starts.
    """

    def __init__(self, primary: TargetId, now: float) -> None:
        self._primary = primary
        self._last_announcement = now
        self._last_success = now
        self._last_tick = now
        self._has_announced = False
        self._stepped_down = False
        self._probe_refused_at = -math.inf
        self._holders: dict[InstanceId, _HolderView] = {}

    @property
    def primary(self) -> TargetId:
        """Return the watched target."""
        return self._primary

    def record_announcement(self, is_primary: bool, now: float) -> None:
        """Take an announcement of the watched target."""
        self._last_announcement = now
        self._has_announced = True
        self._stepped_down = not is_primary

    def record_observation(
        self, holder: InstanceId, successes: int, refusals: int, timeouts: int, now: float
    ) -> None:
        """Take what a holder saw on its connections since its last report."""
        view = self._holders.setdefault(holder, _HolderView())
        if successes:
            self._last_success = now
            self._holders[holder] = _HolderView()
        elif refusals or timeouts:
            view.refused_at = now if refusals else -math.inf
            view.failing_since = min(view.failing_since, now)
            view.failed_at = now

    def needs_probe(self, now: float) -> bool:
        """Tell whether control should call the primary itself, as it stopped announcing."""
        return now - self._last_announcement >= SHORT_SILENCE_SECONDS

    def record_probe_refusal(self, now: float) -> None:
        """Record that the address of the primary refused a call of control."""
        self._probe_refused_at = now

    def suspicion(self, holders: set[InstanceId], now: float) -> Suspicion | None:
        """Return why the primary is considered failed, or ``None``.

        :param holders: live holders of the group.
        """
        self._discount_stall(now)
        silence = now - self._last_announcement
        if self._stepped_down:
            return Suspicion.STEPPED_DOWN
        limit = SILENCE_SECONDS if self._has_announced else FIRST_SILENCE_SECONDS
        if silence >= limit and now - self._last_success >= limit:
            return Suspicion.SILENT
        if silence >= SHORT_SILENCE_SECONDS and self._is_probe_refused(now):
            return Suspicion.REFUSED
        views = [self._holders[holder] for holder in holders if holder in self._holders]
        if not views or len(views) < len(holders):
            return None
        # A refusal before the last announcement says nothing about the silence since.
        refused = all(view.refused_at >= self._last_announcement for view in views)
        if silence >= SHORT_SILENCE_SECONDS and refused:
            return Suspicion.REFUSED
        if all(self._is_stuck(view, now) for view in views):
            return Suspicion.UNREACHABLE
        return None

    def _is_stuck(self, view: _HolderView, now: float) -> bool:
        """Tell whether a holder has failed for long and still tries."""
        is_trying = now - view.failed_at < UNREACHABLE_SECONDS
        return is_trying and now - view.failing_since >= UNREACHABLE_SECONDS

    def _is_probe_refused(self, now: float) -> bool:
        """Tell whether a probe was refused lately and no request succeeded since."""
        refused_at = self._probe_refused_at
        return now - refused_at < SILENCE_SECONDS and self._last_success < refused_at

    def _discount_stall(self, now: float) -> None:
        stalled = now - self._last_tick
        self._last_tick = now
        if stalled < STALL_SECONDS:
            return
        self._last_announcement = min(now, self._last_announcement + stalled)
        self._last_success = min(now, self._last_success + stalled)
        for view in self._holders.values():
            view.failing_since += stalled
