"""Tests of the tenants of a configuration."""

from __future__ import annotations

import json
import time

import pytest

from hibiscuspoint.core.organisations import RateLimit, hash_key
from hibiscuspoint.errors import ConfigurationError
from hibiscuspoint.platform.configuration import parse_routing_table
from tests.platform.builders import configuration_fields, route_fields, tenant_fields

SECRET = "key-of-lumen"


def _parse(*tenants: object, **changes: object):
    return parse_routing_table(json.dumps(configuration_fields(tenants=list(tenants), **changes)))


def test_each_key_finds_its_organisation():
    """Guards against a key that finds another organisation because it begins with its key."""
    directory = _parse(
        tenant_fields("lumen", "k1", "k12"), tenant_fields("orca", "k123"), tenant_fields("idle")
    ).organisations
    found = {key: directory.find(hash_key(key)) for key in ("k1", "k12", "k123")}
    assert {key: item.name for key, item in found.items()} == {
        "k1": "lumen",
        "k12": "lumen",
        "k123": "orca",
    }
    assert [directory.find(hash_key(key)) for key in ("", "k", "K1", "k1 ", "k1234")] == [None] * 5


def test_missing_limit_is_none_and_zero_admits_nothing():
    """Guards against an organisation without a limit that is refused, and the reverse."""
    bare = {"name": "lumen", "api_keys": []}
    directory = _parse(bare, {**bare, "name": "orca", "rate_per_s": 0, "burst": 0}).organisations
    assert directory.get("lumen").limit is None
    assert directory.get("orca").limit == RateLimit(0, 0)


def test_limits_may_have_fractions():
    """Guards against a valid configuration that is refused."""
    limit = _parse(tenant_fields("lumen", "k", rate_per_s=1.5, burst=2.5)).organisations.get(
        "lumen"
    )
    assert limit.limit == RateLimit(1.5, 2.5)


def test_without_tenants_nobody_is_authenticated():
    """Guards against a present deployment whose callers are refused."""
    table = parse_routing_table(json.dumps(configuration_fields()))
    assert table.organisations is None
    assert not table.routes["lepu270"].is_public
    assert _parse().organisations is not None


@pytest.mark.parametrize(
    "tenants",
    [
        [tenant_fields("lumen", SECRET), tenant_fields("orca", SECRET)],
        [tenant_fields("lumen", SECRET), tenant_fields("lumen", "other")],
        [tenant_fields("lumen", SECRET, "")],
        [tenant_fields("lumen", SECRET, 7)],
        [tenant_fields("lumen", SECRET, "\ud800")],
        [tenant_fields("lumen", SECRET + "\ud800")],
        [tenant_fields("lumen", api_keys=SECRET)],
        [tenant_fields("lumen", api_keys={SECRET: 1})],
        [tenant_fields("lumen", api_keys=None)],
        *(
            [tenant_fields(name, SECRET)]
            for name in ("", "a b", "a\n", "\t", "a\r\nSTARTUP", "\ud800", 7, None)
        ),
        *(
            [tenant_fields("lumen", SECRET, **{field: value})]
            for field in ("rate_per_s", "burst")
            for value in (-1, -0.5, float("nan"), float("inf"), "1", True, None)
        ),
        [tenant_fields("lumen", SECRET, priority="high")],
        [[SECRET]],
        [SECRET],
        {"lumen": SECRET},
        SECRET,
        None,
    ],
)
def test_invalid_tenants_are_refused_without_their_keys(tenants):
    """Guards against a contradictory configuration that takes effect, and a key in an error."""
    with pytest.raises(ConfigurationError) as caught:
        parse_routing_table(json.dumps(configuration_fields(tenants=tenants)))
    assert SECRET not in str(caught.value)


@pytest.mark.parametrize("value", ["true", 1, None])
def test_public_is_true_or_false(value):
    """Guards against a route that is open to everybody through a value of another type."""
    assert _parse(routes=[route_fields(public=True)]).routes["lepu270"].is_public
    with pytest.raises(ConfigurationError):
        _parse(routes=[route_fields(public=value)])


def test_many_organisations_are_read_fast():
    """Load pattern: 10,000 organisations in 1 MB; the loop must not stand still meanwhile."""
    tenants = [tenant_fields(f"organisation-{n}", f"key-{n:060d}") for n in range(10_000)]
    text = json.dumps(configuration_fields(tenants=tenants))
    assert len(text) > 1_000_000
    started = time.process_time()
    parse_routing_table(text)
    assert time.process_time() - started < 0.5
