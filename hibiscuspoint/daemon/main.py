"""Command line of ``hibiscuspointd``."""

from __future__ import annotations

import argparse
import asyncio
import faulthandler
import logging
import sys
from typing import TYPE_CHECKING

from hibiscuspoint import __version__
from hibiscuspoint.daemon.node import Node
from hibiscuspoint.daemon.status import DaemonStatus
from hibiscuspoint.errors import ConfigurationError
from hibiscuspoint.settings import NodeSettings
from hibiscuspoint.telemetry import catalogue, log_event, setup_logging

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["main"]

logger = logging.getLogger(__name__)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon and return its exit code."""
    parser = argparse.ArgumentParser(
        prog="hibiscuspointd", description="Runs one instance of the hibiscuspoint proxy."
    )
    parser.add_argument("--settings", required=True, help="settings file of the instance (TOML)")
    parser.add_argument("--version", action="version", version=__version__)
    options = parser.parse_args(arguments)
    # A crash in a native library leaves no other trace.
    faulthandler.enable()
    try:
        settings = NodeSettings.from_file(options.settings)
        node = Node.from_settings(settings)
    except ConfigurationError as error:
        print(f"{error.code}: {error.message}\n{error.hint}", file=sys.stderr)
        setup_logging("error", None, "unknown")
        log_event(logger, catalogue.SETTINGS_REFUSED, reason=error.message)
        return DaemonStatus.SETTINGS_REFUSED
    setup_logging(settings.log.level.value, settings.log.file, settings.node.instance)
    return asyncio.run(node.run())
