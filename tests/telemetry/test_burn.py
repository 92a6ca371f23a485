"""Tests of samples and burn rates."""

from __future__ import annotations

import json
import re
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st
from prometheus_client import generate_latest

from hibiscuspoint.telemetry import Metrics
from hibiscuspoint.telemetry.burn import WINDOWS, report
from hibiscuspoint.telemetry.page import as_html, as_json, as_text
from hibiscuspoint.telemetry.samples import GroupCounters, Sample, SampleFile, parse_metrics
from tests.builders import document

NOW = 1_800_000_000.0
SERVICE_LEVELS = {
    "write_availability": 0.99,
    "read_latency_ms": 150,
    "read_in_time": 0.9,
    "freshness": 0.95,
}
DOCUMENT = document(group=[{"name": "ledger", "service_levels": SERVICE_LEVELS}])


def _sample(age: float, good: float, total: float, *, source="10.0.0.1:7401", started=0.0):
    """Return a sample of writes taken ``age`` seconds ago; ``started`` is an age as well."""
    counters = GroupCounters(writes_good=good, writes_total=total)
    start = NOW - started if started else 0.0
    return Sample(at=NOW - age, source=source, started=start, groups={"ledger": counters})


def _writes(*samples: Sample):
    return report(DOCUMENT, sorted(samples, key=lambda sample: sample.at), NOW).levels[0]


def test_metrics_become_good_and_total_events():
    """Guards against callers' mistakes in the service level and against late reads as good."""
    metrics = Metrics()
    for kind, verdict, code, count in (
        ("write", "DONE", "", 90),
        ("transaction", "DONE", "HP2008", 5),
        ("write", "NOT_RUN", "HP2004", 3),
        ("transaction", "MAY_HAVE_RUN", "HP2007", 2),
        ("write", "NOT_RUN", "HP2001", 50),
        ("read", "DONE", "", 3),
        ("read", "NOT_RUN", "HP2005", 1),
    ):
        metrics.requests.labels("ledger", kind, verdict, code).inc(count)
    for seconds in (0.05, 0.1, 0.18):
        metrics.latency.labels("ledger", "read").observe(seconds)
    metrics.latency.labels("ledger", "write").observe(0.01)
    metrics.freshness.labels("ledger", "true").inc(19)
    metrics.freshness.labels("ledger", "false").inc(1)
    sample = parse_metrics(generate_latest(metrics.registry).decode(), "10.0.0.1:7401", NOW)
    assert sample.started > 0
    sample = sample.model_copy(update={"started": NOW - 60})
    levels = {level.level: level for level in report(DOCUMENT, [sample], NOW).levels}
    events = {
        name: (level.windows[0].good, level.windows[0].total) for name, level in levels.items()
    }
    # 150 ms lies between the buckets of 100 and 200 ms; the lower one counts.
    assert events == {
        "write_availability": (95, 100),
        "read_in_time": (2, 4),
        "freshness": (19, 20),
    }
    assert levels["write_availability"].windows[0].rate == pytest.approx(5.0)


def test_restart_keeps_the_events_on_both_sides():
    """Guards against negative or lost events when an entry restarts."""
    level = _writes(
        _sample(200, 1000, 1000, started=9e6),
        _sample(150, 1090, 1100, started=9e6),
        _sample(100, 40, 50, started=120),
        # The counter passed its value before the restart; only the start time tells.
        _sample(50, 1200, 1200, started=80),
    )
    window = level.window("5m")
    assert (window.good, window.total) == (90 + 40 + 1200, 100 + 50 + 1200)


def test_restart_without_start_time_is_seen_from_a_falling_counter():
    """Guards against a negative burn rate with metrics that lack the start time."""
    window = _writes(_sample(200, 90, 100), _sample(100, 5, 5)).window("5m")
    assert (window.good, window.total) == (5, 5)


def test_entry_whose_clock_is_ahead_is_counted():
    """Guards against "no data" because the start seems later than the first sample."""
    level = _writes(_sample(20, 9, 10, started=5), _sample(10, 18, 20, started=5))
    assert level.window("5m").total == 20
    assert level.window("5m").rate == pytest.approx(10.0)


def test_entries_are_summed():
    """Guards against a burn rate of one entry only."""
    other = "10.0.0.2:7401"
    level = _writes(
        _sample(250, 0, 0),
        _sample(10, 50, 50),
        _sample(250, 0, 0, source=other),
        _sample(10, 40, 50, source=other),
    )
    assert level.window("5m").rate == pytest.approx(10.0)


def test_events_of_a_long_gap_are_not_moved_into_a_short_window():
    """Guards against a page for errors of last week after the first scrape of today."""
    level = _writes(_sample(0, 50, 100, started=10 * 86_400))
    assert level.window("3d").rate is None
    level = _writes(_sample(20_000, 0, 0), _sample(0, 50, 100))
    assert level.window("1h").rate is None
    assert level.window("6h").rate == pytest.approx(50.0)


@pytest.mark.parametrize(
    ("bad_now", "bad_before", "pages"),
    [(0, 0, False), (20, 20, True), (0, 20, False), (7, 7, True), (5, 5, False), (20, 0, False)],
)
def test_paging_needs_a_long_and_a_short_window(bad_now, bad_before, pages):
    """Guards against pages for a short burst, and for a cause that is gone.

    Each rate is bad writes of 100 per minute; at an objective of 0.99 it equals the burn rate.
    """
    samples, good, total = [], 0.0, 0.0
    for minute in range(420, -1, -1):
        samples.append(_sample(minute * 60, good, total))
        bad = bad_now if minute <= 30 else bad_before
        good, total = good + 100 - bad, total + 100
    level = _writes(*samples)
    assert level.pages is pages


def test_without_samples_nothing_is_claimed():
    """Guards against a report that shows a healthy service because nothing was measured."""
    level = _writes()
    assert all(window.rate is None for window in level.windows)
    assert level.budget_spent is None
    assert "no data" in as_text(report(DOCUMENT, [], NOW))


@given(
    st.lists(
        st.tuples(st.integers(0, 50), st.integers(0, 50), st.booleans()), min_size=2, max_size=30
    )
)
def test_window_holds_exactly_the_events_between_its_samples(steps):
    """Guards against events that are counted twice or dropped around restarts."""
    samples, good, total, started = [], 0, 0, 9e6
    for index, (more_good, more_bad, restart) in enumerate(steps):
        age = 10 * (len(steps) - index)
        if restart:
            good, total, started = 0, 0, age + 5
        good, total = good + more_good, total + more_good + more_bad
        samples.append(_sample(age, good, total, started=started))
    window = _writes(*samples).window("5m")
    first_at = NOW - WINDOWS["5m"]
    counted = [
        step for step, (_, sample) in zip(steps[1:], pairwise(samples), strict=True)
        if sample.at > first_at
    ]  # fmt: skip
    first_known = steps[:1] if steps[0][2] and samples[0].at > first_at else []
    counted += first_known
    assert window.good == sum(step[0] for step in counted)
    assert window.total == sum(step[0] + step[1] for step in counted)


def test_samples_survive_a_torn_line(tmp_path):
    """Guards against a file that is useless after a crash during a write."""
    file = SampleFile(tmp_path / "samples.jsonl")
    file.append([_sample(20, 1, 1), _sample(10, 2, 2)])
    with (tmp_path / "samples.jsonl").open("a") as raw:
        raw.write('{"at": 1')
    file.append([_sample(0, 3, 3)])
    assert [sample.at for sample in file.read()] == [NOW - 20, NOW - 10, NOW]
    assert file.skipped == 1
    assert file.read(since=NOW - 15)[0].at == NOW - 10


def test_page_is_self_contained_and_escaped():
    """Guards against a page that needs the network."""
    samples = [_sample(3000, 0, 0), _sample(100, 80, 100)]
    burn = report(DOCUMENT, samples, NOW)
    page = as_html(burn, DOCUMENT, samples)
    assert page.count("<svg") == 3
    assert not re.search(r"(src|href)=[\"']?(https?:)?//", page)
    assert not re.search(r"@import|url\(", page)
    assert json.loads(as_json(burn))["levels"][0]["windows"][2]["rate"] == pytest.approx(20.0)
