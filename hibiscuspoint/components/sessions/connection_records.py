"""Log lines and metrics about connections that pools opened, replaced or were refused."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.telemetry import catalogue, log_event

if TYPE_CHECKING:
    from hibiscuspoint.ids import GroupId, TargetId
    from hibiscuspoint.telemetry.metrics import Metrics

__all__ = ["ConnectionCounts", "ConnectionRecords"]

logger = logging.getLogger(__name__)

#: Shortest time in seconds between two lines about one target.
LOG_SECONDS = 5.0


@dataclass(frozen=True)
class ConnectionCounts:
    """What became of connections to one target.

    :param replaced: closed for a statement of another organisation.
    :param refused: refused by the target, which had no room.
    """

    opened: int = 0
    replaced: int = 0
    refused: int = 0


class ConnectionRecords:
    """Adds what pools count to the metrics, and logs targets that refuse connections."""

    def __init__(self, metrics: Metrics | None = None) -> None:
        self._metrics = metrics
        self._logged_at: dict[TargetId, float] = {}
        self._unlogged: dict[TargetId, ConnectionCounts] = {}

    def record(
        self, group: GroupId, target: TargetId, counts: ConnectionCounts, now: float
    ) -> None:
        """Record what became of connections since the last call for the target."""
        if counts == ConnectionCounts():
            return
        if self._metrics is not None:
            self._metrics.connections_opened.labels(group).inc(counts.opened)
            self._metrics.connections_replaced.labels(group).inc(counts.replaced)
            self._metrics.connections_refused.labels(group).inc(counts.refused)
        known = self._unlogged.pop(target, ConnectionCounts())
        opened, refused = known.opened + counts.opened, known.refused + counts.refused
        if not refused or now - self._logged_at.get(target, float("-inf")) < LOG_SECONDS:
            self._unlogged[target] = ConnectionCounts(opened=opened, refused=refused)
            return
        self._logged_at[target] = now
        log_event(
            logger, catalogue.CONNECTIONS_REFUSED, target=target, refused=refused, opened=opened
        )

    def forget(self, target: TargetId) -> None:
        """Forget a target that is not listed any more."""
        self._logged_at.pop(target, None)
        self._unlogged.pop(target, None)
