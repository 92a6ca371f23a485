"""Detection of a failed primary from polls by control and the traffic of entries."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from hibiscuspoint.core.control.detector import STALL_SECONDS

if TYPE_CHECKING:
    from hibiscuspoint.ids import InstanceId, TargetId

__all__ = ["PrimaryFailure", "PrimaryFailureDetector"]

#: Time without a reply to control or entries after which a primary counts as failed. Polls are
#: 0.5 s apart and time out after 0.4 s, so that at least one of them has failed by then.
PRIMARY_SILENCE_SECONDS = 1.0

#: Time of refused connections, without a reply to any entry, after which the process of the primary
#: counts as stopped.
REFUSAL_SECONDS = 0.3

#: Time from the first report of a commit that timed out, while no commit succeeds, until the
#: primary counts as partitioned from its replicas. Entries report a commit as timed out after
#: 0.6 s; it only waits until a replica has received it, which takes some milliseconds.
COMMIT_STALL_SECONDS = 0.6

#: Time for which an entry must fail to reach the primary before it counts against the primary.
UNREACHABLE_SECONDS = 2.0

#: Age after which the last report of an entry about the primary is outdated.
OBSERVATION_MAX_AGE_SECONDS = 1.0


class PrimaryFailure(Enum):
    """Reason for replacing a primary."""

    SILENT = "the primary answers neither control nor entries"
    REFUSED = "the address of the primary refuses connections"
    STEPPED_DOWN = "the target no longer acts as primary"
    STALLED = "the primary acknowledges no commit"
    UNREACHABLE = "most entries do not reach the primary"

    @property
    def is_reversible(self) -> bool:
        """Whether the primary is kept if it replies to control again before it is replaced."""
        return self in (PrimaryFailure.SILENT, PrimaryFailure.REFUSED)


@dataclass
class _EntryObservation:
    """Latest results of the requests of one entry; times in monotonic seconds.

    :param failing_since: time of the first failure after the last success.
    """

    failing_since: float = math.inf
    failed_at: float = -math.inf
    succeeded_at: float = -math.inf


class PrimaryFailureDetector:
    """Detects the failure of the primary of one group.

    :param primary: the monitored target.
    :param now: monotonic time in seconds at which monitoring starts.
    """

    def __init__(self, primary: TargetId, now: float) -> None:
        self._primary = primary
        self._started_at = now
        self._last_tick = now
        self._poll_replied_at = now
        self._request_succeeded_at = -math.inf
        self._refused_since = math.inf
        self._stepped_down = False
        self._observations: dict[InstanceId, _EntryObservation] = {}
        self._committed_at = now
        self._commits_failing_since = math.inf
        self._commit_timed_out_at = -math.inf

    @property
    def primary(self) -> TargetId:
        """The monitored target."""
        return self._primary

    def record_poll_reply(self, is_primary: bool, now: float) -> None:
        """Record a reply of the target to control.

        :param is_primary: whether it still acts as primary.
        """
        self._poll_replied_at = now
        self._refused_since = math.inf
        self._stepped_down = not is_primary

    def record_connection_refusal(self, now: float) -> None:
        """Record that the address of the primary refused a connection from control."""
        self._refused_since = min(self._refused_since, now)

    def record_requests(self, entry: InstanceId, successes: int, failures: int, now: float) -> None:
        """Record the results of the requests of an entry since its last report."""
        observation = self._observations.setdefault(entry, _EntryObservation())
        if successes:
            self._request_succeeded_at = now
            self._observations[entry] = _EntryObservation(succeeded_at=now)
        elif failures:
            observation.failing_since = min(observation.failing_since, now)
            observation.failed_at = now

    def record_commits(self, commits: int, timeouts: int, now: float) -> None:
        """Record the acknowledged and the timed out commits in a report of an entry."""
        if commits:
            self._committed_at = now
            self._commits_failing_since = math.inf
        elif timeouts:
            self._commits_failing_since = min(self._commits_failing_since, now)
            self._commit_timed_out_at = now

    def failure(self, now: float) -> PrimaryFailure | None:
        """Return why the primary must be replaced; ``None`` while it works."""
        self._discount_stall(now)
        if self._stepped_down:
            return PrimaryFailure.STEPPED_DOWN
        request_succeeded_at = self._request_succeeded_at
        if (
            now - self._refused_since >= REFUSAL_SECONDS
            and request_succeeded_at < self._refused_since
        ):
            return PrimaryFailure.REFUSED
        if now - max(self._poll_replied_at, request_succeeded_at) >= PRIMARY_SILENCE_SECONDS:
            return PrimaryFailure.SILENT
        has_recent_timeout = now - self._commit_timed_out_at < OBSERVATION_MAX_AGE_SECONDS
        if has_recent_timeout and now - self._commits_failing_since >= COMMIT_STALL_SECONDS:
            return PrimaryFailure.STALLED
        if self._is_unreachable(now):
            return PrimaryFailure.UNREACHABLE
        return None

    def _is_unreachable(self, now: float) -> bool:
        """Tell whether more entries have failed to reach the primary for long than reach it.

        Entries without a recent request are left out.
        """
        failing = succeeding = 0
        for observation in self._observations.values():
            if now - observation.succeeded_at < OBSERVATION_MAX_AGE_SECONDS:
                succeeding += 1
            elif now - observation.failed_at < OBSERVATION_MAX_AGE_SECONDS:
                failing += now - observation.failing_since >= UNREACHABLE_SECONDS
        return failing > succeeding

    def _discount_stall(self, now: float) -> None:
        """Discount time in which this process did not run, as it could not receive replies then."""
        stalled_seconds = now - self._last_tick
        self._last_tick = now
        if stalled_seconds < STALL_SECONDS:
            return
        self._poll_replied_at = min(now, self._poll_replied_at + stalled_seconds)
        self._refused_since += stalled_seconds
        self._commits_failing_since += stalled_seconds
        for observation in self._observations.values():
            observation.failing_since += stalled_seconds
