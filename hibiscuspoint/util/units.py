"""Conversion factors between units of time; times in the code are float seconds."""

from __future__ import annotations

__all__ = [
    "MICROSECONDS_PER_SECOND",
    "MILLISECONDS_PER_SECOND",
    "NANOSECONDS_PER_SECOND",
    "SECONDS_PER_HOUR",
]

#: For ``*_ms`` fields of messages, settings and documents.
MILLISECONDS_PER_SECOND = 1000

#: For ``*_us`` fields and latency histograms.
MICROSECONDS_PER_SECOND = 1_000_000

#: For ``*_ns`` fields of messages between instances.
NANOSECONDS_PER_SECOND = 1_000_000_000

#: For ``*_hours`` keys of documents.
SECONDS_PER_HOUR = 3600
