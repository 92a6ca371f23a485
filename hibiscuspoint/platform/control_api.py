"""HTTP interfaces for databases, operators and the load balancer."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from hibiscuspoint.components.http_messages import HttpResponse, HttpRoute, json_response
from hibiscuspoint.components.http_port import HttpPort
from hibiscuspoint.errors import ConfigurationError, NotLeaderError
from hibiscuspoint.platform.configuration import parse_routing_table
from hibiscuspoint.platform.heartbeats import HeartbeatError, departure, parse_heartbeat
from hibiscuspoint.util.address import parse_address

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hibiscuspoint.components.configuration import ConfigurationService
    from hibiscuspoint.components.http_messages import HttpRequest
    from hibiscuspoint.wire import peer_pb2

__all__ = ["ControlApi", "ReadinessApi"]

logger = logging.getLogger(__name__)

#: Maximum size of a request body in bytes; it holds a configuration of several thousand routes.
MAX_BODY_BYTES = 4_194_304

#: Time limit in seconds for the commit of a configuration. Clients try another node after 1 s.
SUBMIT_TIMEOUT_SECONDS = 0.9


class ControlApi(HttpPort):
    """HTTP interface for the heartbeats of databases and the configuration calls of operators.

    :param address: "ip:port" to listen on.
    :param announce: records an announcement and returns whether it is durable.
    :param configuration: commits and returns configurations.
    """

    def __init__(
        self,
        address: str,
        announce: Callable[[peer_pb2.Announcement], Awaitable[bool]],
        configuration: ConfigurationService,
    ) -> None:
        routes = [
            HttpRoute("POST", "/-/Instances.Heartbeat/{target}", self._heartbeat),
            HttpRoute("POST", "/-/Instances.Deregister/{target}", self._deregister),
            HttpRoute("POST", "/-/Config.Put", self._put_configuration),
            HttpRoute("GET", "/-/Config.Get", self._get_configuration),
        ]
        super().__init__(address, routes, MAX_BODY_BYTES)
        self._announce = announce
        self._configuration = configuration

    async def _heartbeat(self, request: HttpRequest) -> HttpResponse:
        return await self._handle_announcement(request, parse_heartbeat)

    async def _deregister(self, request: HttpRequest) -> HttpResponse:
        return await self._handle_announcement(request, departure)

    async def _handle_announcement(
        self, request: HttpRequest, parse: Callable[[str, bytes], peer_pb2.Announcement]
    ) -> HttpResponse:
        try:
            announcement = parse(request.arguments["target"], request.body)
        except HeartbeatError as error:
            logger.warning("%s", error)
            return json_response({}, status=400)
        accepted = await self._announce(announcement)
        return json_response({}, status=200 if accepted else 503)

    async def _put_configuration(self, request: HttpRequest) -> HttpResponse:
        try:
            text = request.body.decode()
            table = parse_routing_table(text)
        except (ConfigurationError, UnicodeDecodeError) as error:
            self._configuration.log_refusal(str(error))
            return json_response({"error": str(error)}, status=400)
        redirect = self._redirect(request)
        if redirect is not None:
            return redirect
        try:
            async with asyncio.timeout(SUBMIT_TIMEOUT_SECONDS):
                await self._configuration.submit(table.number, table.digest, text)
        except (NotLeaderError, TimeoutError) as error:
            logger.warning("configuration %d was not committed: %r", table.number, error)
            return json_response({}, status=503)
        return json_response({})

    async def _get_configuration(self, request: HttpRequest) -> HttpResponse:
        redirect = self._redirect(request)
        if redirect is not None:
            return redirect
        text = self._configuration.current_text()
        if text is None:
            return json_response({}, status=503)
        return HttpResponse(body=text.encode(), content_type="application/json")

    def _redirect(self, request: HttpRequest) -> HttpResponse | None:
        """Return a redirect to the control leader, or status 503 when no leader is known.

        Returns ``None`` at the leader itself.
        """
        if self._configuration.is_leader:
            return None
        leader = self._configuration.known_leader
        if not leader:
            return json_response({}, status=503)
        host, _ = parse_address(leader)
        location = f"http://{host}:{self.port}{request.target}"
        return json_response({}, status=307, headers=(("Location", location),))


class ReadinessApi(HttpPort):
    """HTTP interface for the readiness probes of the load balancer.

    :param address: "ip:port" to listen on.
    :param is_ready: returns whether the instance accepts new callers.
    """

    def __init__(self, address: str, is_ready: Callable[[], bool]) -> None:
        super().__init__(address, [HttpRoute("GET", "/-/readyz", self._serve_readiness)])
        self._is_ready = is_ready

    async def _serve_readiness(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(status=200 if self._is_ready() else 503)
