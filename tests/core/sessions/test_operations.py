"""Tests of what a configuration allows a caller."""

from __future__ import annotations

import pytest

from hibiscuspoint.core.sessions import (
    ANONYMOUS,
    Caller,
    DatabaseRoute,
    Failure,
    GroupLimits,
    ReadMode,
    RoutingTable,
    resolve_operation,
)
from tests.builders_failover import GROUP
from tests.components.sessions.builders import with_keys

_ROUTE = DatabaseRoute("r", "deposits", GROUP, ReadMode.PRIMARY, 0.4, 0.2, 1, 2, 0.0)
_TABLE = RoutingTable(1, "d", {"deposits": _ROUTE}, {GROUP: GroupLimits(GROUP, 16)}, 3.0)


def _resolve(table: RoutingTable | None, key: str, database: str = "deposits"):
    return resolve_operation(table, Caller.from_key(database, key))


@pytest.mark.parametrize("key", ["", "k", "k11", "K1", "k1 ", "x" * 1_000_000])
def test_unknown_keys_are_refused(key):
    """Guards against a key that is accepted as it resembles one, and against one that fails."""
    outcome = _resolve(with_keys(_TABLE, 2, lumen=["k1"]), key)
    assert outcome.failure is Failure.UNAUTHORIZED
    assert outcome.failure.has_not_run
    assert outcome.text == "the key is not known"


def test_public_route_needs_no_key_but_knows_one():
    """Guards against a known key whose operations escape the limit through a public route."""
    table = with_keys(_TABLE, 2, is_public=True, lumen=["k1"])
    assert _resolve(table, "unknown").organisation is ANONYMOUS
    assert _resolve(table, "").organisation is ANONYMOUS
    assert _resolve(table, "k1").organisation.name == "lumen"


def test_without_organisations_any_text_is_accepted():
    """Guards against present deployments whose callers send a name instead of a key."""
    assert _resolve(_TABLE, "any name").organisation is ANONYMOUS
    assert _resolve(_TABLE, "", "other").failure is Failure.UNKNOWN_DATABASE
    assert _resolve(None, "").failure is Failure.UNKNOWN_DATABASE


def test_caller_does_not_show_its_key():
    """Guards against keys in logs."""
    assert "k1" not in repr(Caller.from_key("deposits", "k1"))
