"""Metrics over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from hibiscuspoint.components.http_port import HttpPort

if TYPE_CHECKING:
    from hibiscuspoint.telemetry.metrics import Metrics

__all__ = ["MetricsServer"]


class MetricsServer(HttpPort):
    """Serves ``/metrics``.

    :param address: "ip:port".
    :param routes: further routes of the port.
    """

    def __init__(self, address: str, metrics: Metrics, *routes: web.RouteDef) -> None:
        super().__init__(address, [web.get("/metrics", self._serve_metrics), *routes])
        self._metrics = metrics

    async def _serve_metrics(self, request: web.Request) -> web.Response:
        body = generate_latest(self._metrics.registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})
