"""Log events, metrics and the burn report."""

from __future__ import annotations

from hibiscuspoint.telemetry import catalogue
from hibiscuspoint.telemetry.events import EVENTS, Event, define_event, log_event, setup_logging
from hibiscuspoint.telemetry.metrics import Metrics

__all__ = [
    "EVENTS",
    "Event",
    "Metrics",
    "catalogue",
    "define_event",
    "log_event",
    "setup_logging",
]
