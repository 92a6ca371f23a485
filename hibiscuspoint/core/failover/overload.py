"""Detection of an overloaded primary whose replicas lag too far to serve reads."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.core.position import ZERO_POSITION

if TYPE_CHECKING:
    from collections.abc import Collection

    from hibiscuspoint.core.failover.status import TargetStatus
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.ids import TargetId

__all__ = ["OverloadDetector"]

#: Remaining lag from which a switchover is worth its cost: it interrupts writes for about a second,
#: and reads accept data that is up to 2.5 s old.
MIN_LAG_SECONDS = 5.0

#: Time for which every poll must find all slots of the primary in use. It spans three polls, which
#: are 0.5 s apart.
OVERLOAD_SECONDS = 1.5

#: Interval between two attempts. An attempt during which transactions stay open all the time pauses
#: writes for 2 s in vain.
ATTEMPT_INTERVAL_SECONDS = 10.0


@dataclass(frozen=True)
class _ReplicaReading:
    """Status of a replica at one poll.

    :param lag_seconds: time until it has applied all received records.
    :param read_at: monotonic time in seconds at which the reply arrived.
    :param is_up_to_date: whether it had received the log up to the last known position of the
        primary.
    """

    lag_seconds: float
    read_at: float
    is_up_to_date: bool


class OverloadDetector:
    """Detects when a switchover relieves a group although its primary is healthy.

    A replica that has received the whole log but applies it late serves no reads, so that the
    primary has to serve all of them. As a primary it serves requests at once, and the former
    primary, which has applied the whole log, becomes a replica that serves reads.
    """

    def __init__(self) -> None:
        self._full_since = math.inf
        self._attempted_at = -math.inf
        self._primary_position: LogPosition = ZERO_POSITION
        self._readings: dict[TargetId, _ReplicaReading] = {}

    def reset_primary(self) -> None:
        """Discard the load of the former primary after a change of primary."""
        self._full_since = math.inf

    def record_primary_status(self, status: TargetStatus, slots: int, now: float) -> None:
        """Record a status of the primary.

        :param slots: number of statements that it runs at the same time.
        :param now: monotonic time in seconds.
        """
        self._primary_position = status.received
        if status.in_use >= slots:
            self.record_primary_full(now)
        else:
            self._full_since = math.inf

    def record_primary_full(self, now: float) -> None:
        """Record that all slots of the primary are in use, so that it may not report a status."""
        self._full_since = min(self._full_since, now)

    def record_replica_status(self, target: TargetId, status: TargetStatus, now: float) -> None:
        """Record a status of a replica."""
        self._readings[target] = _ReplicaReading(
            status.lag_seconds, now, status.received >= self._primary_position
        )

    def is_due(self, replicas: Collection[TargetId], now: float) -> bool:
        """Tell whether the primary is overloaded and no replica can serve reads soon.

        :param replicas: replicas that may become primary; without one no switchover is due.
        """
        is_overloaded = now - self._full_since >= OVERLOAD_SECONDS
        if not is_overloaded or now - self._attempted_at < ATTEMPT_INTERVAL_SECONDS:
            return False
        return bool(replicas) and all(self._is_far_behind(replica, now) for replica in replicas)

    def record_attempt(self, now: float) -> None:
        """Record the start of a switchover."""
        self._attempted_at = now
        self._full_since = math.inf

    def _is_far_behind(self, replica: TargetId, now: float) -> bool:
        reading = self._readings.get(replica)
        if reading is None or not reading.is_up_to_date:
            return False
        return reading.lag_seconds - (now - reading.read_at) >= MIN_LAG_SECONDS
