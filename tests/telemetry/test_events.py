"""Tests of the log events."""

from __future__ import annotations

import json
import logging

import pytest

from hibiscuspoint.telemetry import EVENTS, catalogue, define_event, log_event, setup_logging

logger = logging.getLogger("hibiscuspoint.test")


@pytest.fixture(autouse=True)
def _root_logger():
    """Restore the root logger, which the tests replace."""
    root = logging.getLogger()
    handlers, level = list(root.handlers), root.level
    root.handlers.clear()
    yield
    for handler in root.handlers:
        handler.close()
    root.handlers[:] = handlers
    root.setLevel(level)


def test_event_is_one_json_line(tmp_path):
    """Guards against lines that a log collector cannot assign to an event and an instance."""
    setup_logging("info", tmp_path / "log", "ba-1")
    log_event(logger, catalogue.CONNECTION_OPENED, target="ledger-1")
    log_event(logger, catalogue.REQUEST_REFUSED, group="ledger", code="HP2005", verdict="NOT_RUN")
    lines = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
    assert len(lines) == 1
    assert lines[0]["number"] == 501
    assert (lines[0]["instance"], lines[0]["code"]) == ("ba-1", "HP2005")
    assert lines[0]["message"] == "A request was refused with HP2005 and verdict NOT_RUN."


@pytest.mark.parametrize("fields", [{}, {"term": 1, "extra": 2}, {"tern": 1}])
def test_fields_are_checked_even_below_the_level(fields):
    """Guards against a wrong field that only shows when someone lowers the log level."""
    logger.setLevel(logging.CRITICAL)
    with pytest.raises(ValueError, match="leadership-gained"):
        log_event(logger, catalogue.LEADERSHIP_GAINED, **fields)
    logger.setLevel(logging.NOTSET)


@pytest.mark.parametrize("field", ["sql", "parameters", "token", "message", "name"])
def test_fields_that_leak_or_collide_are_refused(field):
    """Guards against statement text in the log and against fields that logging overwrites."""
    with pytest.raises(ValueError, match="not allowed"):
        define_event(999, "leaking", logging.INFO, "Text.", field)
    assert 999 not in EVENTS


def test_numbers_and_names_are_unique():
    """Guards against two events that share a number."""
    with pytest.raises(ValueError, match="twice"):
        define_event(101, "another", logging.INFO, "Text.")
    with pytest.raises(ValueError, match="twice"):
        define_event(998, "daemon-started", logging.INFO, "Text.")
    with pytest.raises(ValueError, match="undeclared"):
        define_event(998, "another", logging.INFO, "Text {field}.")
