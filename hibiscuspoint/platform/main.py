"""Entry point of the daemon of one instance on the platform."""

from __future__ import annotations

import asyncio
import faulthandler
import logging
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from hibiscuspoint.daemon.session_node import SessionNode
from hibiscuspoint.daemon.session_ports import Ports, SessionNodeSettings
from hibiscuspoint.daemon.status import DaemonStatus
from hibiscuspoint.errors import ConfigurationError
from hibiscuspoint.platform.authority import PlatformAuthority
from hibiscuspoint.platform.configuration import parse_routing_table
from hibiscuspoint.platform.control_api import ControlApi, ReadinessApi
from hibiscuspoint.platform.database import DatabaseDriver
from hibiscuspoint.platform.frontend import Frontend
from hibiscuspoint.platform.settings import PATH_VARIABLE, ProcessSettings
from hibiscuspoint.telemetry import catalogue, log_event, setup_logging
from hibiscuspoint.telemetry.bounded import BoundedHandler
from hibiscuspoint.util.clock import suspend_aware

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hibiscuspoint.components.configuration import ConfigurationService
    from hibiscuspoint.components.sessions import SessionService
    from hibiscuspoint.daemon.session_ports import OuterPort
    from hibiscuspoint.wire import peer_pb2

__all__ = ["main"]

logger = logging.getLogger(__name__)


def main(started_at: float) -> int:
    """Run the daemon and return its exit code.

    :param started_at: start time of the process in seconds, on the suspend-aware clock.
    """
    faulthandler.enable()
    handler = BoundedHandler(sys.stdout.fileno(), suspend_aware)
    try:
        settings = _read_settings()
    except ConfigurationError as error:
        setup_logging("error", None, "unknown", handler=handler)
        log_event(logger, catalogue.SETTINGS_REFUSED, reason=error.message)
        return DaemonStatus.SETTINGS_REFUSED
    setup_logging("info", None, settings.name, handler=handler)
    node = SessionNode(
        _node_settings(settings),
        _ports(settings),
        handler,
        lambda: _node_settings(_read_settings()),
        started_at,
    )
    return asyncio.run(node.run())


def _read_settings() -> ProcessSettings:
    return ProcessSettings.from_file(Path(os.environ.get(PATH_VARIABLE, "")))


def _node_settings(settings: ProcessSettings) -> SessionNodeSettings:
    return SessionNodeSettings(
        instance=settings.instance,
        availability_zone=settings.availability_zone,
        founders=settings.founders,
        seeds=settings.seeds,
        metrics_address=settings.metrics_address,
        data_directory=settings.data_directory,
        tolerated_losses=settings.tolerated_losses,
        grace_seconds=settings.grace_seconds,
        scheduling=settings.scheduling,
        ranking=settings.ranking,
        quota_bounds=settings.quota_bounds,
    )


def _ports(settings: ProcessSettings) -> Ports:
    def make_callers(service: SessionService) -> Frontend:
        return Frontend(settings.callers_address, service)

    def make_others(
        announce: Callable[[peer_pb2.Announcement], Awaitable[bool]],
        configuration: ConfigurationService,
        is_ready: Callable[[], bool],
    ) -> list[OuterPort]:
        return [
            ControlApi(settings.control_address, announce, configuration),
            ReadinessApi(settings.readiness_address, is_ready),
        ]

    return Ports(
        driver=DatabaseDriver(),
        authority=PlatformAuthority(settings.authority_address, settings.name),
        parse=parse_routing_table,
        make_callers=make_callers,
        make_others=make_others,
    )
