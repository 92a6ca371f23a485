"""Metrics and health over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from hibiscuspoint.components.metrics_server import metrics_response

if TYPE_CHECKING:
    from hibiscuspoint.components.entry import Entry
    from hibiscuspoint.telemetry.metrics import Metrics

__all__ = ["HttpServer"]


class HttpServer:
    """Serves ``/metrics``, ``/healthz`` and ``/readyz``.

    :param address: "ip:port".
    """

    def __init__(self, address: str, entry: Entry, metrics: Metrics) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._entry = entry
        self._metrics = metrics
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen.

        :raises OSError: the address is in use.
        """
        app = web.Application()
        app.router.add_get("/metrics", self._serve_metrics)
        app.router.add_get("/healthz", self._serve_health)
        app.router.add_get("/readyz", self._serve_readiness)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host.strip("[]"), self._port).start()

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _serve_metrics(self, request: web.Request) -> web.Response:
        return metrics_response(self._metrics)

    async def _serve_health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _serve_readiness(self, request: web.Request) -> web.Response:
        if self._entry.is_ready:
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")
