"""The burn report as text, JSON and one self-contained HTML page."""

from __future__ import annotations

import dataclasses
import json
from datetime import UTC, datetime
from typing import TYPE_CHECKING

import jinja2
import pygal
from markupsafe import Markup

from hibiscuspoint.telemetry.burn import WINDOWS, Series, levels_of
from hibiscuspoint.util.text import format_table

if TYPE_CHECKING:
    from hibiscuspoint.document import Document
    from hibiscuspoint.telemetry.burn import BurnReport, Level, LevelReport
    from hibiscuspoint.telemetry.samples import Sample

__all__ = ["as_html", "as_json", "as_text"]

PLOT_POINTS = 48

_TEMPLATE = """<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Burn report of {{ report.environment }}</title>
<style>
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; }
th, td { border: 1px solid #999; padding: 0.3em 0.6em; text-align: right; }
.pages { background: #fbb; }
svg { max-width: 60em; }
</style>
</head>
<body>
<h1>Burn report of {{ report.environment }}</h1>
<p>At {{ time }}. {{ "A service level would page." if report.pages else "Nothing would page." }}</p>
<table>
<tr><th>Group</th><th>Service level</th><th>Objective</th>
{% for name in windows %}<th>{{ name }}</th>{% endfor %}<th>30-day budget spent</th></tr>
{% for level in report.levels %}
<tr{% if level.pages %} class="pages"{% endif %}>
<td>{{ level.group }}</td><td>{{ level.level }}</td><td>{{ level.objective }}</td>
{% for window in level.windows %}<td>{{ rate(window.rate) }}</td>{% endfor %}
<td>{{ share(level.budget_spent) }}</td>
</tr>
{% endfor %}
</table>
{% for plot in plots %}
{{ plot }}
{% endfor %}
</body>
</html>
"""


def as_json(report: BurnReport) -> str:
    """Return the report as JSON."""
    data = dataclasses.asdict(report)
    data["pages"] = report.pages
    return json.dumps(data, indent=2)


def as_text(report: BurnReport) -> str:
    """Return the report as a table."""
    header = ["group", "service level", "objective", *WINDOWS, "budget spent", "page"]
    table = format_table(header, [_text_row(level) for level in report.levels])
    return f"Burn rates of {report.environment} at {_time(report.at)}\n{table}"


def _text_row(level: LevelReport) -> list[str]:
    rates = [_rate(window.rate) for window in level.windows]
    page = "yes" if level.pages else "no"
    spent = _share(level.budget_spent)
    return [level.group, level.level, f"{level.objective:g}", *rates, spent, page]


def as_html(report: BurnReport, document: Document, samples: list[Sample]) -> str:
    """Return the report as one page that loads nothing else."""
    environment = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined)
    return environment.from_string(_TEMPLATE).render(
        report=report,
        time=_time(report.at),
        windows=list(WINDOWS),
        rate=_rate,
        share=_share,
        plots=[_plot(level, samples, report.at) for level in levels_of(document)],
    )


def _plot(level: Level, samples: list[Sample], at: float) -> Markup:
    """Draw the burn rate over one hour during the last three days."""
    series = Series(level, samples)
    step = WINDOWS["3d"] / PLOT_POINTS
    times = [at - step * (PLOT_POINTS - 1 - index) for index in range(PLOT_POINTS)]
    # An empty list of scripts keeps pygal from linking to its web site.
    chart = pygal.Line(js=[], height=260, width=900, show_legend=False, x_labels_major_every=8)
    chart.title = f"{level.group}: {level.name}, burn rate over 1 h"
    chart.show_minor_x_labels = False
    chart.x_labels = [_time(time) for time in times]
    chart.add("burn rate", [series.burn(level, "1h", time).rate for time in times])
    return Markup(chart.render(is_unicode=True, disable_xml_declaration=True))


def _rate(rate: float | None) -> str:
    return "no data" if rate is None else f"{rate:.2f}"


def _share(share: float | None) -> str:
    return "no data" if share is None else f"{share:.1%}"


def _time(at: float) -> str:
    return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%d %H:%M:%SZ")
