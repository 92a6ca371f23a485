"""Metrics over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from hibiscuspoint.util.address import parse_address

if TYPE_CHECKING:
    from hibiscuspoint.telemetry.metrics import Metrics

__all__ = ["MetricsServer", "metrics_response"]


def metrics_response(metrics: Metrics) -> web.Response:
    """Return the metrics as text."""
    body = generate_latest(metrics.registry)
    return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})


class MetricsServer:
    """Serves ``/metrics``.

    :param address: "ip:port".
    """

    def __init__(self, address: str, metrics: Metrics) -> None:
        self._host, self._port = parse_address(address)
        self._metrics = metrics
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen.

        :raises OSError: the address is in use.
        """
        app = web.Application()
        app.router.add_get("/metrics", self._serve)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self._port).start()

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _serve(self, request: web.Request) -> web.Response:
        return metrics_response(self._metrics)
