"""Detection of a failed primary from polls of control and the traffic of entries."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from hibiscuspoint.core.control.detector import STALL_SECONDS

if TYPE_CHECKING:
    from hibiscuspoint.ids import InstanceId, TargetId

__all__ = ["Loss", "PrimaryFailureDetector"]

#: Seconds without any answer after which a primary is taken for lost. Polls are 0.5 s apart and
#: wait 0.4 s for their answer, so that one of them is unanswered.
SILENCE_SECONDS = 1.0

#: Seconds of refused connections, without an answer to any entry, that prove a stopped process.
REFUSED_SECONDS = 0.3

#: Seconds from the first report of a commit without an answer, while none has one, until the
#: primary is taken for cut off from its replicas. Entries report a commit after 0.6 s; it waits
#: for the receipt at a replica only, which takes some milliseconds.
STALLED_SECONDS = 0.6

#: Seconds in which at least half of the entries reach the primary no more.
UNREACHABLE_SECONDS = 2.0

#: Seconds after which what an entry reported about the primary is out of date.
VIEW_SECONDS = 1.0


class Loss(Enum):
    """Why a primary is replaced."""

    SILENT = "the primary answers neither control nor entries"
    REFUSED = "the address of the primary refuses connections"
    STEPPED_DOWN = "the target no longer acts as primary"
    STALLED = "the primary acknowledges no commit"
    UNREACHABLE = "most entries do not reach the primary"

    @property
    def is_reversible(self) -> bool:
        """Tell whether the primary is kept when it answers control again."""
        return self in (Loss.SILENT, Loss.REFUSED)


@dataclass
class _EntryView:
    """What one entry reported; times in seconds."""

    failing_since: float = math.inf
    failed_at: float = -math.inf
    succeeded_at: float = -math.inf


class PrimaryFailureDetector:
    """Watches the primary of one group.

    :param primary: the watched target.
    :param now: monotonic time in seconds at which watching starts.
    """

    def __init__(self, primary: TargetId, now: float) -> None:
        self._primary = primary
        self._started_at = now
        self._last_tick = now
        self._answered_at = now
        self._served_at = -math.inf
        self._refused_since = math.inf
        self._stepped_down = False
        self._views: dict[InstanceId, _EntryView] = {}
        self._committed_at = now
        self._stalled_since = math.inf
        self._stalled_at = -math.inf

    @property
    def primary(self) -> TargetId:
        """Return the watched target."""
        return self._primary

    def record_poll_reply(self, is_primary: bool, now: float) -> None:
        """Take an answer of the primary to control."""
        self._answered_at = now
        self._refused_since = math.inf
        self._stepped_down = not is_primary

    def record_connection_refusal(self, now: float) -> None:
        """Record that the address of the primary refused a connection of control."""
        self._refused_since = min(self._refused_since, now)

    def record_requests(self, entry: InstanceId, successes: int, failures: int, now: float) -> None:
        """Take what an entry saw at the primary since its last report."""
        view = self._views.setdefault(entry, _EntryView())
        if successes:
            self._served_at = now
            self._views[entry] = _EntryView(succeeded_at=now)
        elif failures:
            view.failing_since = min(view.failing_since, now)
            view.failed_at = now

    def record_commits(self, commits: int, timeouts: int, now: float) -> None:
        """Take the commits that an entry saw acknowledged, and those without an answer in time."""
        if commits:
            self._committed_at = now
            self._stalled_since = math.inf
        elif timeouts:
            self._stalled_since = min(self._stalled_since, now)
            self._stalled_at = now

    def loss(self, now: float) -> Loss | None:
        """Return why the primary must be replaced, or ``None``."""
        self._forgive_stall(now)
        if self._stepped_down:
            return Loss.STEPPED_DOWN
        served_at = self._served_at
        if now - self._refused_since >= REFUSED_SECONDS and served_at < self._refused_since:
            return Loss.REFUSED
        if now - max(self._answered_at, served_at) >= SILENCE_SECONDS:
            return Loss.SILENT
        is_stalling = now - self._stalled_at < VIEW_SECONDS
        if is_stalling and now - self._stalled_since >= STALLED_SECONDS:
            return Loss.STALLED
        if self._is_cut_off(now):
            return Loss.UNREACHABLE
        return None

    def _is_cut_off(self, now: float) -> bool:
        """Tell whether at least half of the entries with an opinion have failed for long."""
        failing = succeeding = 0
        for view in self._views.values():
            if now - view.succeeded_at < VIEW_SECONDS:
                succeeding += 1
            elif now - view.failed_at < VIEW_SECONDS:
                failing += now - view.failing_since >= UNREACHABLE_SECONDS
        return failing > succeeding

    def _forgive_stall(self, now: float) -> None:
        """Leave a time in which this process did not run out of the silence of the primary."""
        stalled = now - self._last_tick
        self._last_tick = now
        if stalled < STALL_SECONDS:
            return
        self._answered_at = min(now, self._answered_at + stalled)
        self._refused_since += stalled
        self._stalled_since += stalled
        for view in self._views.values():
            view.failing_since += stalled
