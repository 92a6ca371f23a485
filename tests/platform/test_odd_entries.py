"""Tests of entries that another writer left: too deeply nested, or with numbers out of range."""

from __future__ import annotations

import asyncio
import json

import pytest

from hibiscuspoint.drivers.errors import ConnectError
from hibiscuspoint.errors import ConfigurationError
from hibiscuspoint.ids import GroupId, TargetId
from hibiscuspoint.platform import wire
from hibiscuspoint.platform.configuration import parse_routing_table
from hibiscuspoint.platform.database import DatabaseDriver
from hibiscuspoint.platform.fields import MAX_DEPTH, parse_json
from hibiscuspoint.platform.heartbeats import HeartbeatError, departure, parse_heartbeat
from hibiscuspoint.platform.settings import ProcessSettings
from tests.platform.builders import (
    configuration_fields,
    heartbeat_fields,
    route_fields,
    settings_fields,
)

HUGE = 10**400

#: Nesting at which the parser itself gives up, and one that it accepts on a shallow stack only.
DEPTHS = [100_000, 900, MAX_DEPTH + 1]


def _nested(depth: int) -> str:
    return "[" * depth + "]" * depth


def _with(fields: dict[str, object], text: str) -> str:
    """Return a document with one more field, given as text."""
    return json.dumps(fields)[:-1] + f', "other": {text}' + "}"


@pytest.mark.parametrize("depth", DEPTHS)
def test_deeply_nested_documents_are_refused(depth):
    """Guards against an instance that ends, or reads what another one cannot, because of one entry.

    The configuration is also read by instances that got it through another one.
    """
    with pytest.raises(HeartbeatError):
        parse_heartbeat("i-1", _with(heartbeat_fields(), _nested(depth)).encode())
    with pytest.raises(ConfigurationError):
        parse_routing_table(_with(configuration_fields(), _nested(depth)))
    assert departure("i-1", _nested(depth).encode()).incarnation == 0


def test_settings_that_cannot_be_read_are_refused(tmp_path):
    """Guards against a reader of the settings file that ends with an unexpected error."""
    path = tmp_path / "settings.json"
    bounds = {"grace_s": HUGE}
    for text in (_nested(100_000), json.dumps(settings_fields(bounds=bounds)), "[]", "{}"):
        path.write_text(text)
        with pytest.raises(ConfigurationError):
            ProcessSettings.from_file(path)


@pytest.mark.parametrize("odd", ["10.1.0.8:99999", "10.1.0.8", "", 7, None, [[]], "x" * 5000])
def test_odd_seed_leaves_the_others_in_force(odd, tmp_path):
    """Guards against a process that ends again and again because of one entry of its list."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(settings_fields(seeds=["10.2.0.6:8782", odd, "10.3.0.7:8782"])))
    assert ProcessSettings.from_file(path).seeds == ("10.2.0.6:7440", "10.3.0.7:7440")


@pytest.mark.parametrize(
    "changes",
    [{"born": 2**62}, {"born": -1}, {"born": HUGE}, {"seq_no": 2**62}, {"slots": 2**31},
     {"slots": 0}, {"addr": "10.128.0.9:65536"}, {"addr": f"10.128.0.9:{HUGE}"},
     {"service": "s" * 5000}, {"zone": "\ud800"}],
)  # fmt: skip
def test_heartbeat_with_a_value_out_of_range_is_refused(changes):
    """Guards against a heartbeat of another writer that hides the later ones of a database."""
    with pytest.raises(HeartbeatError):
        parse_heartbeat("i-1", json.dumps(heartbeat_fields(**changes)).encode())


@pytest.mark.parametrize("field", ["timeout_ms", "slo_ms", "priority", "max_staleness_ms"])
def test_route_with_a_huge_number_is_bounded_or_refused(field):
    """Guards against a configuration that is accepted and then breaks each statement."""
    table = parse_routing_table(
        json.dumps(configuration_fields(routes=[route_fields(**{field: 2**60})]))
    )
    route = table.routes["lepu270"]
    milliseconds = [route.timeout_seconds * 1000, route.objective_seconds * 1000, route.priority]
    assert all(value < 2**31 for value in milliseconds)
    with pytest.raises(ConfigurationError):
        parse_routing_table(
            json.dumps(configuration_fields(routes=[route_fields(**{field: HUGE})]))
        )


def test_name_that_is_no_unicode_text_is_refused():
    """Guards against a configuration whose names no message between instances can carry."""
    with pytest.raises(ConfigurationError):
        parse_routing_table(json.dumps(configuration_fields(routes=[route_fields(host="\ud800")])))


@pytest.mark.parametrize("text", [f"1.{2**64}", f"{HUGE}.1", "-1.2"])
def test_log_position_out_of_range_is_refused(text):
    """Guards against updates of the control leader that fail because of one answer."""
    with pytest.raises(wire.ProtocolError):
        wire.parse_position(text)


def test_limits_of_the_parser_do_not_touch_usual_documents():
    """Guards against a refusal of documents that other deployments send."""
    assert parse_json(_nested(MAX_DEPTH))


def test_driver_has_a_connection_error_for_an_address_that_is_none():
    """Guards against polls that end for good because of one address."""
    with pytest.raises(ConnectError):
        asyncio.run(DatabaseDriver().connect(GroupId("g"), TargetId("i-1"), "10.0.0.1:0", 0.1))
