"""Metrics over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from hibiscuspoint.components.http_messages import HttpResponse, HttpRoute
from hibiscuspoint.components.http_port import HttpPort

if TYPE_CHECKING:
    from hibiscuspoint.components.http_messages import HttpRequest
    from hibiscuspoint.telemetry.metrics import Metrics

__all__ = ["MetricsServer"]


class MetricsServer(HttpPort):
    """Serves ``/metrics``.

    :param address: "ip:port".
    :param routes: further routes of the port.
    """

    def __init__(self, address: str, metrics: Metrics, *routes: HttpRoute) -> None:
        super().__init__(address, [HttpRoute("GET", "/metrics", self._serve_metrics), *routes])
        self._metrics = metrics

    async def _serve_metrics(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(
            body=generate_latest(self._metrics.registry), content_type=CONTENT_TYPE_LATEST
        )
