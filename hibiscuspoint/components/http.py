"""Metrics and health over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from hibiscuspoint.components.metrics_server import MetricsServer

if TYPE_CHECKING:
    from hibiscuspoint.components.entry import Entry
    from hibiscuspoint.telemetry.metrics import Metrics

__all__ = ["HttpServer"]


class HttpServer(MetricsServer):
    """Serves ``/metrics``, ``/healthz`` and ``/readyz``.

    :param address: "ip:port".
    """

    def __init__(self, address: str, entry: Entry, metrics: Metrics) -> None:
        health = web.get("/healthz", self._serve_health)
        readiness = web.get("/readyz", self._serve_readiness)
        super().__init__(address, metrics, health, readiness)
        self._entry = entry

    async def _serve_health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _serve_readiness(self, request: web.Request) -> web.Response:
        if self._entry.is_ready:
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")
