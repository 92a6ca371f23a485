"""Log lines and metrics about answers that were not accepted, and connections that they ended."""

from __future__ import annotations

import logging
from collections import Counter
from typing import TYPE_CHECKING

from hibiscuspoint.core.sessions import EndReason, Match
from hibiscuspoint.telemetry import catalogue, log_event

if TYPE_CHECKING:
    from hibiscuspoint.core.ports import Clock
    from hibiscuspoint.core.sessions import Question
    from hibiscuspoint.ids import TargetId
    from hibiscuspoint.telemetry.metrics import Metrics

__all__ = ["AnswerMonitor"]

logger = logging.getLogger(__name__)

#: Shortest time in seconds between two lines about one target.
LOG_SECONDS = 5.0

_EVENTS = {
    Match.REPEATED: catalogue.ANSWER_REPEATED,
    Match.UNCLEAR: catalogue.ANSWER_UNCLEAR,
}


class AnswerMonitor:
    """Counts answers that were not accepted, and connections that ended for one, by target."""

    def __init__(self, clock: Clock, metrics: Metrics | None = None) -> None:
        self._clock = clock
        self._metrics = metrics
        self._logged_at: dict[tuple[TargetId, Match | EndReason], float] = {}
        self._counts: Counter[tuple[TargetId, Match | EndReason]] = Counter()

    def record(self, target: TargetId, event: Match | EndReason, question: Question | None) -> None:
        """Record an answer that was not accepted, or the end of a connection.

        :param question: question that was in progress, if any.
        """
        self._count(event)
        key, now = (target, event), self._clock.monotonic()
        self._counts[key] += 1
        if now - self._logged_at.get(key, float("-inf")) < LOG_SECONDS:
            return
        self._forget_old(now)
        self._logged_at[key] = now
        count = self._counts.pop(key)
        if isinstance(event, EndReason):
            log_event(
                logger,
                catalogue.CONNECTIONS_ENDED,
                target=target,
                reason=event.value,
                count=count,
            )
            return
        log_event(
            logger,
            _EVENTS[event],
            target=target,
            in_progress=question.name.lower() if question is not None else "",
            count=count,
        )

    def _count(self, event: Match | EndReason) -> None:
        if self._metrics is None:
            return
        if isinstance(event, EndReason):
            self._metrics.connections_ended.labels(event.value).inc()
        else:
            self._metrics.answers_rejected.labels(event.name.lower()).inc()

    def _forget_old(self, now: float) -> None:
        """Forget targets that were quiet since their last line."""
        for key, logged_at in list(self._logged_at.items()):
            if now - logged_at >= LOG_SECONDS and not self._counts[key]:
                del self._logged_at[key]
                del self._counts[key]
