"""One HTTP port."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from hibiscuspoint.util.address import parse_address

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["HttpPort"]

#: Greatest size of a request body in bytes, unless the port states another one.
DEFAULT_BODY_BYTES = 1_048_576


class HttpPort:
    """Serves routes on one address.

    :param address: "ip:port".
    :param routes: routes as the functions of ``aiohttp.web`` make them.
    :param body_bytes: greatest size of a request body.
    """

    def __init__(
        self,
        address: str,
        routes: Iterable[web.RouteDef],
        body_bytes: int = DEFAULT_BODY_BYTES,
    ) -> None:
        self._host, self._port = parse_address(address)
        self._routes = list(routes)
        self._body_bytes = body_bytes
        self._runner: web.AppRunner | None = None

    @property
    def port(self) -> int:
        """Return the port number."""
        return self._port

    async def start(self) -> None:
        """Listen.

        :raises OSError: the address is in use.
        """
        app = web.Application(client_max_size=self._body_bytes)
        app.router.add_routes(self._routes)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self._port).start()

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()
