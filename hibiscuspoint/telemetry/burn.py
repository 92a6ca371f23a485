"""Burn rates of service levels, computed from samples of counters."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hibiscuspoint.document import Document, GroupModel
    from hibiscuspoint.telemetry.samples import GroupCounters, Sample

__all__ = [
    "WINDOWS",
    "BurnReport",
    "Level",
    "LevelReport",
    "Series",
    "WindowBurn",
    "levels_of",
    "report",
]

#: Windows in seconds by their printed name.
WINDOWS = {"5m": 300.0, "30m": 1_800.0, "1h": 3_600.0, "6h": 21_600.0, "3d": 259_200.0}
#: The period of the error budget to which the thresholds below refer.
BUDGET_SECONDS = 30 * 86_400.0
# Multi-window, multi-burn-rate alerts of the Site Reliability Workbook (Google, 2018), chapter 5
# "Alerting on SLOs": 14.4 spends 2% of a 30-day budget in 1 h, 6 spends 5% in 6 h. The short
# window ends the page soon after the cause is gone.
PAGE_RULES = ((14.4, "1h", "5m"), (6.0, "6h", "30m"))


#: Time, good and total events.
Point = tuple[float, float, float]


@dataclass(frozen=True)
class Level:
    """One service level of one group."""

    group: str
    name: str
    #: Share of events that must be good.
    objective: float
    #: Good and total events of a sample.
    count: Callable[[GroupCounters], tuple[float, float]]


@dataclass(frozen=True)
class WindowBurn:
    """Events of a service level in one window."""

    window: str
    good: float
    total: float
    #: Seconds between the samples used; less than the window when samples are missing.
    covered_seconds: float
    #: Speed at which the error budget is spent; 1 spends it exactly. ``None`` without samples.
    rate: float | None


@dataclass(frozen=True)
class LevelReport:
    """Burn rates of one service level."""

    group: str
    level: str
    objective: float
    windows: tuple[WindowBurn, ...]
    #: Share of the 30-day error budget that the longest window spent.
    budget_spent: float | None
    pages: bool

    def window(self, name: str) -> WindowBurn:
        """Return the window of a name such as ``1h``."""
        return next(window for window in self.windows if window.window == name)


@dataclass(frozen=True)
class BurnReport:
    """Burn rates of every service level of a document."""

    environment: str
    #: Unix time in seconds of the end of the windows.
    at: float
    levels: tuple[LevelReport, ...]

    @property
    def pages(self) -> bool:
        """Tell whether any service level would page."""
        return any(level.pages for level in self.levels)


class Series:
    """Good and total events of one service level over time, summed over the entries.

    A restart of an entry is recognized by its start time or by a falling counter. The events
    between the last sample and the restart are not in any sample and are missing from the sum.
    """

    def __init__(self, level: Level, samples: Iterable[Sample]) -> None:
        self._points: dict[str, list[Point]] = {}
        self._last: dict[str, Point] = {}
        for sample in samples:
            counters = sample.groups.get(level.group)
            good, total = level.count(counters) if counters is not None else (0.0, 0.0)
            self._add(sample, good, total)

    def _add(self, sample: Sample, good: float, total: float) -> None:
        last = self._last.get(sample.source)
        self._last[sample.source] = (sample.started, good, total)
        points = self._points.setdefault(sample.source, [])
        if last is None:
            # All counters are zero at the start of the process. The two times come from two
            # clocks, so the start can seem to be later than the sample.
            started = min(sample.started, sample.at)
            baseline = (started, 0.0, 0.0) if started else (sample.at, good, total)
            points.append(baseline)
            points.append((sample.at, good, total))
            return
        _, sum_good, sum_total = points[-1]
        restarted = sample.started != last[0] or good < last[1] or total < last[2]
        before_good, before_total = (0.0, 0.0) if restarted else last[1:]
        points.append((sample.at, sum_good + good - before_good, sum_total + total - before_total))

    def burn(self, level: Level, window: str, at: float) -> WindowBurn:
        """Return the events within a window that ends at a time."""
        start = at - WINDOWS[window]
        good = total = covered = 0.0
        for points in self._points.values():
            bounds = _bounds(points, start, at)
            if bounds is None:
                continue
            first, last = bounds
            good += last[1] - first[1]
            total += last[2] - first[2]
            covered = max(covered, min(last[0] - first[0], WINDOWS[window]))
        rate = None
        if covered:
            bad_share = (total - good) / total if total else 0.0
            rate = max(bad_share, 0.0) / (1.0 - level.objective)
        return WindowBurn(window, good, total, covered, rate)


def _bounds(points: list[Point], start: float, end: float) -> tuple[Point, Point] | None:
    """Return the points whose difference holds the events of a window.

    The window is widened to the sample before its start, so that no event is missed. An interval
    longer than the window says nothing about the window, and its events are left out.
    """
    first = max(bisect_right(points, start, key=_time_of) - 1, 0)
    last = bisect_right(points, end, key=_time_of) - 1
    if first < last and points[first][0] < start:
        interval = points[first + 1][0] - points[first][0]
        first += interval > end - start
    return (points[first], points[last]) if first < last else None


def _time_of(point: Point) -> float:
    return point[0]


def levels_of(document: Document) -> list[Level]:
    """Return the service levels that a document states."""
    return [level for group in document.model.group for level in _levels_of_group(group)]


def _levels_of_group(group: GroupModel) -> list[Level]:
    stated = group.service_levels
    levels = []
    if stated.write_availability is not None:
        levels.append(
            Level(
                group.name,
                "write_availability",
                stated.write_availability,
                lambda counters: (counters.writes_good, counters.writes_total),
            )
        )
    if stated.read_latency_ms is not None and stated.read_in_time is not None:
        bound = stated.read_latency_ms / MILLISECONDS_PER_SECOND
        levels.append(
            Level(
                group.name,
                "read_in_time",
                stated.read_in_time,
                lambda counters: (_within(counters, bound), counters.reads_total),
            )
        )
    if stated.freshness is not None:
        levels.append(
            Level(
                group.name,
                "freshness",
                stated.freshness,
                lambda counters: (counters.fresh_met, counters.fresh_total),
            )
        )
    return levels


def _within(counters: GroupCounters, bound: float) -> float:
    """Return the reads within the largest bucket that does not exceed the bound."""
    fitting = [
        (float(upper), count)
        for upper, count in counters.reads_within.items()
        if float(upper) <= bound
    ]
    return max(fitting, default=(0.0, 0.0))[1]


def report(document: Document, samples: list[Sample], at: float) -> BurnReport:
    """Compute the burn rates of all service levels.

    :param samples: samples in order of time.
    :param at: Unix time in seconds at which the windows end.
    """
    levels = tuple(_report_level(level, samples, at) for level in levels_of(document))
    return BurnReport(document.environment, at, levels)


def _report_level(level: Level, samples: list[Sample], at: float) -> LevelReport:
    series = Series(level, samples)
    windows = {name: series.burn(level, name, at) for name in WINDOWS}
    longest = windows["3d"]
    spent = None
    if longest.rate is not None:
        spent = longest.rate * longest.covered_seconds / BUDGET_SECONDS
    return LevelReport(
        level.group,
        level.name,
        level.objective,
        tuple(windows.values()),
        spent,
        any(
            _exceeds(windows[long], threshold) and _exceeds(windows[short], threshold)
            for threshold, long, short in PAGE_RULES
        ),
    )


def _exceeds(window: WindowBurn, threshold: float) -> bool:
    return window.rate is not None and window.rate > threshold
