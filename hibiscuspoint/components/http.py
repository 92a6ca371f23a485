"""Metrics and health over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.components.http_messages import HttpResponse, HttpRoute
from hibiscuspoint.components.metrics_server import MetricsServer

if TYPE_CHECKING:
    from hibiscuspoint.components.entry import Entry
    from hibiscuspoint.components.http_messages import HttpRequest
    from hibiscuspoint.telemetry.metrics import Metrics

__all__ = ["HttpServer"]


class HttpServer(MetricsServer):
    """Serves ``/metrics``, ``/healthz`` and ``/readyz``.

    :param address: "ip:port".
    """

    def __init__(self, address: str, entry: Entry, metrics: Metrics) -> None:
        health = HttpRoute("GET", "/healthz", self._serve_health)
        readiness = HttpRoute("GET", "/readyz", self._serve_readiness)
        super().__init__(address, metrics, health, readiness)
        self._entry = entry

    async def _serve_health(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(body=b"ok\n")

    async def _serve_readiness(self, request: HttpRequest) -> HttpResponse:
        if self._entry.is_ready:
            return HttpResponse(body=b"ready\n")
        return HttpResponse(503, b"not ready\n")
