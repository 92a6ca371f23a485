"""Tests of the parser of the configuration that operators submit."""

from __future__ import annotations

import json

import pytest

from hibiscuspoint.core.sessions import ReadMode
from hibiscuspoint.errors import ConfigurationError
from hibiscuspoint.platform.configuration import parse_routing_table
from tests.platform.builders import configuration_fields, route_fields


def _parse(**changes: object):
    return parse_routing_table(json.dumps({**configuration_fields(), **changes}))


def test_fields_are_decoded_into_the_terms_of_the_product():
    """Guards against milliseconds read as seconds, and against routes keyed by the wrong field."""
    table = _parse()
    route = table.routes["lepu270"]
    assert table.number == 7
    assert route.mode is ReadMode.READ_YOUR_WRITES
    assert (route.timeout_seconds, route.objective_seconds, route.max_age_seconds) == (
        1.0,
        0.2,
        2.5,
    )
    assert table.transaction_idle_seconds == 3.0
    assert table.groups[route.group].max_connections == 16


@pytest.mark.parametrize(
    "changes",
    [
        {"routes": [route_fields(timeout_ms=0)]},
        {"routes": [route_fields(service="unknown")]},
        {"routes": [route_fields(), route_fields(name="r-2")]},
        {"routes": [route_fields(kind="other")]},
        {"routes": [{"name": "r-1"}]},
        {"routes": None},
        {"version": "7"},
        {"services": [{"name": "s"}]},
        *(
            {
                "services": [{"name": name, "max_conns": 16}],
                "routes": [route_fields(service=name)],
            }
            for name in ("a b", "a ", "a\r\nQUERY - RESET")
        ),
    ],
)
def test_invalid_configurations_are_refused(changes):
    """Guards against an inconsistent or incomplete configuration that takes effect.

    A service whose name is no single word would change the startup message to its databases.
    """
    with pytest.raises(ConfigurationError):
        _parse(**changes)


def test_text_that_is_cut_short_is_refused():
    """Guards against a truncated configuration that takes effect."""
    text = json.dumps(configuration_fields())
    with pytest.raises(ConfigurationError):
        parse_routing_table(text[: len(text) // 2])


def test_unknown_fields_are_ignored():
    """Guards against the rejection of a configuration to which the platform added a field."""
    assert _parse(other=1).number == 7
