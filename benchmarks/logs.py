"""Volume and processor cost of the log of an instance of the platform, up to overload."""

from __future__ import annotations

import logging
import os
import time
from contextlib import contextmanager
from typing import TYPE_CHECKING

from benchmarks.registry import BENCHMARKS, Figures, Options
from hibiscuspoint.telemetry import catalogue, log_event, setup_logging
from hibiscuspoint.telemetry.bounded import BoundedHandler
from hibiscuspoint.util.units import MICROSECONDS_PER_SECOND

if TYPE_CHECKING:
    from collections.abc import Iterator

#: Statements a second: a busy instance, the limit of the handler, and far beyond it.
RATES = {"busy": 100, "limit": 500, "overload": 5_000}

#: Simulated seconds of each rate.
SECONDS = 20
QUICK_SECONDS = 4

KILOBYTE = 1024

#: Bytes that a pipe holds.
PIPE_BYTES = 65_536

logger = logging.getLogger(__name__)


class _Clock:
    """Time that passes with the statements, so that a rate does not depend on the machine."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        """Return seconds."""
        return self.now


@contextmanager
def _root_logger(handler: BoundedHandler) -> Iterator[None]:
    """Let a handler take all lines for a while, formatted as a daemon does."""
    root = logging.getLogger()
    handlers, level = list(root.handlers), root.level
    setup_logging("info", None, "instance-1", handler=handler)
    try:
        yield
    finally:
        root.handlers[:] = handlers
        root.setLevel(level)


def _statements(count: int) -> Iterator[None]:
    """Log statements as the component that answers them does."""
    for number in range(count):
        log_event(
            logger,
            catalogue.STATEMENT_ANSWERED,
            request=f"{number:016x}",
            database="deposits-17",
            kind="read",
            group="ledger",
            target="i-7f3a91c2",
            term=3,
            holder="10.1.0.8:7440",
            required="3.1207",
            position="3.1209",
            configuration=41,
            attempts=1,
            elapsed_ms=14.2,
            outcome="done",
            reason="",
        )
        yield


def _measure(rate: int, seconds: int) -> Figures:
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    clock = _Clock()
    handler = BoundedHandler(writer, clock)
    written = lines = 0
    spent = 0.0
    with _root_logger(handler):
        statements = _statements(rate * seconds)
        for number in range(rate * seconds):
            clock.now = number / rate
            started = time.process_time()
            next(statements)
            spent += time.process_time() - started
            chunk = _drain(reader)
            written += len(chunk)
            lines += chunk.count(b"\n")
    os.close(reader)
    os.close(writer)
    return {
        "statements_per_s": rate,
        "lines_per_s": lines / seconds,
        "kb_per_s": round(written / seconds / KILOBYTE, 1),
        "dropped_per_s": handler.take_dropped() / seconds,
        "microseconds_per_statement": round(MICROSECONDS_PER_SECOND * spent / (rate * seconds), 1),
        "cpu_percent": round(100 * spent / seconds, 2),
    }


def _drain(reader: int) -> bytes:
    try:
        return os.read(reader, PIPE_BYTES)
    except BlockingIOError:
        return b""


@BENCHMARKS.register("logs")
async def run(options: Options) -> Figures:
    """Return lines, kilobytes and share of a core for each rate of statements."""
    seconds = options.choose(SECONDS, QUICK_SECONDS)
    return {name: _measure(rate, seconds) for name, rate in RATES.items()}
