"""Metrics and log lines about statements that wait for connections."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.telemetry import catalogue, log_event

if TYPE_CHECKING:
    from hibiscuspoint.ids import GroupId
    from hibiscuspoint.telemetry.metrics import Metrics

__all__ = ["WaitRecords"]

logger = logging.getLogger(__name__)

#: Least seconds between two lines about one group.
LINE_SECONDS = 1.0

#: Priorities from this one on share a label.
LAST_PRIORITY = 9


@dataclass
class _GroupState:
    is_full: bool = False
    logged_at: float = float("-inf")
    refused_at: float = float("-inf")
    refused: int = 0


class WaitRecords:
    """Counts waits and refusals, and tells when a group is full and when it has capacity again.

    :param metrics: ``None`` where nothing is counted.
    """

    def __init__(self, metrics: Metrics | None = None, *, is_logging: bool = False) -> None:
        self._metrics = metrics
        self._is_logging = is_logging
        self._groups: dict[GroupId, _GroupState] = {}

    def record_wait(self, group: GroupId, priority: int, seconds: float, now: float) -> None:
        """Record that a statement got a connection."""
        if self._metrics is not None:
            self._metrics.connection_wait.labels(_label(priority)).observe(seconds)
        state = self._groups.get(group)
        if state is None or not state.is_full or now - state.refused_at < LINE_SECONDS:
            return
        log_event(logger, catalogue.GROUP_HAS_CAPACITY, group=group, refused=state.refused)
        self._groups[group] = _GroupState(logged_at=now)

    def record_refusal(
        self, group: GroupId, priority: int, reason: str, text: str, now: float
    ) -> None:
        """Record that a statement was refused.

        :param reason: value of the label.
        :param text: what the decision was made of.
        """
        if self._metrics is not None:
            self._metrics.connection_refusals.labels(_label(priority), reason).inc()
        if not self._is_logging:
            return
        state = self._groups.setdefault(group, _GroupState())
        state.refused += 1
        state.refused_at = now
        if state.is_full or now - state.logged_at < LINE_SECONDS:
            return
        state.is_full, state.logged_at = True, now
        log_event(logger, catalogue.GROUP_FULL, group=group, priority=priority, reason=text)


def _label(priority: int) -> str:
    return str(min(priority, LAST_PRIORITY))
