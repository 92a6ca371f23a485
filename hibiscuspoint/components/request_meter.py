"""Metrics of the requests that callers send to this entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from hibiscuspoint.telemetry.samples import CALLER_FAULTS
from hibiscuspoint.wire import common_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.telemetry.metrics import Metrics
    from hibiscuspoint.wire import caller_pb2

__all__ = ["RequestMeter"]


class RequestMeter:
    """Counts each request once, when it ends.

    The children of the metrics are cached, because looking one up by its labels takes longer than
    counting.

    :param is_known: returns whether a group exists. All other groups share one label, because
        callers could otherwise create any number of time series.
    """

    def __init__(self, metrics: Metrics, is_known: Callable[[str], bool]) -> None:
        self._metrics = metrics
        self._is_known = is_known
        self._children: dict[tuple, Any] = {}

    def record_request(
        self,
        group: str,
        kind: str,
        reply: caller_pb2.ExecuteReply,
        seconds: float,
        *,
        states_age: bool = False,
    ) -> None:
        """Count a request that has ended.

        :param group: group that the caller named.
        :param kind: read, write or transaction.
        :param reply: the last reply to the request.
        :param seconds: time since the arrival of the request.
        :param states_age: true for a read with a maximum age.
        """
        label = group if self._is_known(group) else "unknown"
        verdict, code = reply.verdict, reply.error.code
        key = (label, kind, verdict, code)
        child = self._children.get(key)
        if child is None:
            name = common_pb2.Verdict.Name(verdict)
            child = self._metrics.requests.labels(label, kind, name, code)
            self._children[key] = child
        child.inc()
        if verdict == common_pb2.DONE:
            self._child(self._metrics.latency, label, kind).observe(seconds)
        if states_age and code not in CALLER_FAULTS:
            met = "true" if verdict == common_pb2.DONE else "false"
            self._child(self._metrics.freshness, label, met).inc()

    def _child(self, metric: Any, *labels: str) -> Any:
        key = (metric, *labels)
        child = self._children.get(key)
        if child is None:
            child = self._children[key] = metric.labels(*labels)
        return child
