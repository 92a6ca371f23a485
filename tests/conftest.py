"""Settings of the test runs."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from hypothesis import HealthCheck, settings

from tests import known_red

if TYPE_CHECKING:
    import pytest

# CI must give the same verdict every time, so its examples come from a fixed seed.
settings.register_profile(
    "ci",
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=100,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.register_profile("soak", deadline=None, max_examples=2000, print_blob=True)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests of known faults."""
    known_red.mark(items, known_red.listed())


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests of known faults, and those of them that passed."""
    passed = {report.nodeid for report in terminalreporter.stats.get("xpassed", ())}
    for node_id in known_red.listed():
        outcome = "passed in this run" if node_id in passed else "known fault"
        terminalreporter.write_line(f"KNOWN-RED {node_id}: {outcome}")
