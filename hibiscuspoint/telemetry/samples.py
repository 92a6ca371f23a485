"""Samples of the counters behind service levels, scraped from entries and kept as JSON lines."""

from __future__ import annotations

import os
import urllib.request
from collections import defaultdict
from typing import TYPE_CHECKING, BinaryIO

from prometheus_client.parser import text_string_to_metric_families
from pydantic import ValidationError

from hibiscuspoint.errors import (
    ConfigurationError,
    IdempotencyConflictError,
    IdempotencyExpiredError,
    LimitError,
    RequestError,
    StatementError,
    TokenError,
    TransactionStateError,
)
from hibiscuspoint.util.address import parse_address
from hibiscuspoint.util.schema import StrictModel
from hibiscuspoint.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from prometheus_client.samples import Sample as MetricSample

__all__ = ["CALLER_FAULTS", "GroupCounters", "Sample", "SampleFile", "parse_metrics", "scrape"]

#: Longest time in seconds to fetch the metrics of one address.
SCRAPE_TIMEOUT = 5.0
MAX_SCRAPE_BYTES = 16 * 1024 * 1024

#: Codes of requests that the caller must correct; they say nothing about the service.
CALLER_FAULTS = frozenset(
    error.code
    for error in (
        RequestError,
        TokenError,
        IdempotencyConflictError,
        IdempotencyExpiredError,
        TransactionStateError,
        LimitError,
        StatementError,
    )
)
#: Created together with the process, so its creation time is the start of the process.
_STARTED = "hibiscuspoint_event_loop_lag_seconds_created"


class GroupCounters(StrictModel):
    """Counters of one group since the start of the process."""

    writes_good: float = 0.0
    writes_total: float = 0.0
    reads_total: float = 0.0
    #: Answered reads by upper bound of their time in seconds.
    reads_within: dict[str, float] = {}
    fresh_met: float = 0.0
    fresh_total: float = 0.0


class Sample(StrictModel):
    """Counters of one entry at one time."""

    #: Unix time in seconds.
    at: float
    #: Address that was scraped.
    source: str
    #: Unix time of the start of the process; 0 when unknown.
    started: float = 0.0
    groups: dict[str, GroupCounters] = {}


def scrape(address: str, at: float) -> Sample:
    """Read the counters of one entry.

    :param address: "ip:port" of the entry's HTTP address.
    :param at: Unix time in seconds that the sample carries.
    :raises ConfigurationError: the address is not valid.
    :raises OSError: the entry does not answer with metrics.
    """
    try:
        parse_address(address)
    except ValueError as error:
        raise ConfigurationError(f"{address!r} is not an address: {error}") from None
    url = f"http://{address}/metrics"
    # Addresses are those of the system itself; a proxy of the user's shell must not see them.
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    with opener.open(url, timeout=SCRAPE_TIMEOUT) as reply:
        text = reply.read(MAX_SCRAPE_BYTES).decode("utf-8", "replace")
    try:
        return parse_metrics(text, address, at)
    except ValueError as error:
        raise OSError(f"{address} answered with something other than metrics: {error}") from None


def parse_metrics(text: str, source: str, at: float) -> Sample:
    """Extract a sample from the text of ``/metrics``.

    :raises ValueError: the text is not in the exposition format.
    """
    counters: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))
    within: dict[str, dict[str, float]] = defaultdict(dict)
    started = 0.0
    for family in text_string_to_metric_families(text):
        for item in family.samples:
            if item.name == _STARTED:
                started = item.value
            elif item.name == "hibiscuspoint_requests_total":
                _count_request(counters[item.labels["group"]], item)
            elif item.name == "hibiscuspoint_read_freshness_total":
                _count_freshness(counters[item.labels["group"]], item)
            elif item.name == "hibiscuspoint_request_seconds_bucket":
                if item.labels["kind"] == "read":
                    within[item.labels["group"]][item.labels["le"]] = item.value
    groups = {
        name: GroupCounters(reads_within=within.get(name, {}), **counters.get(name, {}))
        for name in sorted(counters.keys() | within.keys())
    }
    return Sample(at=at, source=source, started=started, groups=groups)


def _count_request(counters: dict[str, float], item: MetricSample) -> None:
    done = item.labels["verdict"] == Verdict.DONE.name
    if not done and item.labels["code"] in CALLER_FAULTS:
        return
    if item.labels["kind"] == "read":
        counters["reads_total"] += item.value
        return
    counters["writes_total"] += item.value
    counters["writes_good"] += item.value if done else 0.0


def _count_freshness(counters: dict[str, float], item: MetricSample) -> None:
    counters["fresh_total"] += item.value
    counters["fresh_met"] += item.value if item.labels["met"] == "true" else 0.0


class SampleFile:
    """Samples as JSON lines, oldest first.

    :param path: file to append to; created when absent.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        #: Lines that the last :meth:`read` could not use, such as one cut off by a crash.
        self.skipped = 0

    def append(self, samples: Iterable[Sample]) -> None:
        """Append samples.

        :raises OSError: the file cannot be written.
        """
        lines = "".join(sample.model_dump_json(exclude_defaults=True) + "\n" for sample in samples)
        with self._path.open("a+b") as file:
            file.write(self._end_of_torn_line(file) + lines.encode())

    @staticmethod
    def _end_of_torn_line(file: BinaryIO) -> bytes:
        """Return a line end when a crash cut off the last line, so that only that one is lost."""
        if file.seek(0, os.SEEK_END) == 0:
            return b""
        file.seek(-1, os.SEEK_END)
        return b"" if file.read(1) == b"\n" else b"\n"

    def read(self, since: float = 0.0) -> list[Sample]:
        """Return the samples in order of time.

        :param since: Unix time in seconds; older samples are left out.
        :raises OSError: the file cannot be read.
        """
        self.skipped = 0
        samples = []
        with self._path.open(encoding="utf-8", errors="replace") as file:
            for line in file:
                try:
                    sample = Sample.model_validate_json(line)
                except ValidationError:
                    self.skipped += 1
                    continue
                if sample.at >= since:
                    samples.append(sample)
        return sorted(samples, key=lambda sample: sample.at)
