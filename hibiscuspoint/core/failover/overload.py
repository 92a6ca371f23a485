"""Detection of an overloaded primary whose replicas are too far behind to serve reads."""

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

#: Remaining lag in seconds from which a change of primary pays: it interrupts writes for about a
#: second, and reads accept data that is up to 2.5 s old.
LAG_SECONDS = 5.0

#: Seconds in which every poll finds all slots of the primary in use: three polls, 0.5 s apart.
OVERLOAD_SECONDS = 1.5

#: Seconds between two attempts. One that finds no moment without a transaction pauses writes for
#: 2 s.
RETRY_SECONDS = 10.0


@dataclass(frozen=True)
class _Reading:
    """What a replica said about itself.

    :param lag: seconds until it has applied what it has received.
    :param receives: whether it had received what the primary had written before.
    """

    lag: float
    read_at: float
    receives: bool


class OverloadDetector:
    """Tells when a group gains from a new primary although the present one is healthy.

    A replica that has received the whole log and applies it late serves no reads, so that the
    primary carries them all. As a primary it serves at once, and the former primary, which lacks
    nothing, becomes a replica that serves reads.
    """

    def __init__(self) -> None:
        self._full_since = math.inf
        self._tried_at = -math.inf
        self._written: LogPosition = ZERO_POSITION
        self._replicas: dict[TargetId, _Reading] = {}

    def reset_primary(self) -> None:
        """Forget the load of the former primary."""
        self._full_since = math.inf

    def record_primary_status(self, status: TargetStatus, slots: int, now: float) -> None:
        """Take the state of the primary.

        :param slots: statements that it runs at the same time.
        :param now: monotonic time in seconds.
        """
        self._written = status.received
        if status.in_use >= slots:
            self.record_primary_full(now)
        else:
            self._full_since = math.inf

    def record_primary_full(self, now: float) -> None:
        """Record that the primary had no room to tell its state."""
        self._full_since = min(self._full_since, now)

    def record_replica_status(self, target: TargetId, status: TargetStatus, now: float) -> None:
        """Take the state of a replica."""
        self._replicas[target] = _Reading(status.lag_seconds, now, status.received >= self._written)

    def is_due(self, replicas: Collection[TargetId], now: float) -> bool:
        """Tell whether the primary is overloaded and no replica can serve reads soon.

        :param replicas: replicas that may become primary.
        """
        is_overloaded = now - self._full_since >= OVERLOAD_SECONDS
        if not is_overloaded or now - self._tried_at < RETRY_SECONDS:
            return False
        return bool(replicas) and all(self._is_far_behind(replica, now) for replica in replicas)

    def record_attempt(self, now: float) -> None:
        """Record an attempt to change the primary."""
        self._tried_at = now
        self._full_since = math.inf

    def _is_far_behind(self, replica: TargetId, now: float) -> bool:
        reading = self._replicas.get(replica)
        if reading is None or not reading.receives:
            return False
        return reading.lag - (now - reading.read_at) >= LAG_SECONDS
