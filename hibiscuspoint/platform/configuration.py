"""Conversion of the configuration that operators submit to a routing table."""

from __future__ import annotations

import hashlib
from typing import Any

from hibiscuspoint.core.sessions import DatabaseRoute, GroupLimits, ReadMode, RoutingTable
from hibiscuspoint.errors import ConfigurationError
from hibiscuspoint.ids import GroupId
from hibiscuspoint.platform.fields import (
    FIELD_ERRORS,
    parse_json,
    read_bounded,
    read_flag,
    read_text,
    read_whole,
    read_word,
)
from hibiscuspoint.platform.tenants import parse_tenants
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND

__all__ = ["parse_routing_table"]

_READ_MODES = {
    "primary": ReadMode.PRIMARY,
    "bounded_staleness": ReadMode.BOUNDED_STALENESS,
    "read_your_writes": ReadMode.READ_YOUR_WRITES,
}

#: Attempts of a read when its route specifies no number.
DEFAULT_MAX_ATTEMPTS = 1

#: Longest time in milliseconds that is told apart; messages between instances hold it.
MAX_MILLISECONDS = 24 * 3600 * 1000

#: Largest number of connections, attempts and of a priority that is told apart.
MAX_COUNT = 2**31 - 1


def parse_routing_table(text: str) -> RoutingTable:
    """Parse a configuration.

    :param text: JSON text of the configuration.
    :raises ConfigurationError: the text is malformed, lacks a field or is inconsistent.
    """
    try:
        fields = parse_json(text)
        return _routing_table(fields, hashlib.sha256(text.encode()).hexdigest())
    except ConfigurationError:
        raise
    except FIELD_ERRORS as error:
        raise ConfigurationError(f"the configuration cannot be read: {error!r}") from error


def _routing_table(fields: dict[str, Any], digest: str) -> RoutingTable:
    groups = {}
    for service in fields["services"]:
        group = GroupId(read_word(service["name"]))
        groups[group] = GroupLimits(group, read_bounded(service["max_conns"], MAX_COUNT))
    database_paths: set[tuple[str, str]] = set()
    routes: dict[str, DatabaseRoute] = {}
    for item in fields["routes"]:
        database_path = (read_text(item["host"]), read_text(item.get("path_prefix", "/")))
        if database_path in database_paths:
            raise ConfigurationError(f"two routes share the database {database_path[0]!r}")
        database_paths.add(database_path)
        route = _route(item)
        if route.group not in groups:
            raise ConfigurationError(f"route {route.name!r} names an unknown service")
        routes.setdefault(route.database, route)
    idle_seconds = _read_seconds(fields["limits"].get("txn_idle_ms", 3000))
    return RoutingTable(
        number=read_whole(fields["version"]),
        digest=digest,
        routes=routes,
        groups=groups,
        transaction_idle_seconds=idle_seconds,
        organisations=parse_tenants(fields),
    )


def _route(item: dict[str, Any]) -> DatabaseRoute:
    name = read_text(item["name"])
    timeout_seconds = _read_seconds(item["timeout_ms"])
    if timeout_seconds <= 0:
        raise ConfigurationError(f"route {name!r} has no timeout")
    return DatabaseRoute(
        name=name,
        database=read_text(item["host"]),
        group=GroupId(read_text(item["service"])),
        mode=_READ_MODES[item["kind"]],
        timeout_seconds=timeout_seconds,
        objective_seconds=_read_seconds(item["slo_ms"]),
        priority=read_bounded(item["priority"], MAX_COUNT),
        max_attempts=read_bounded(item.get("max_attempts", DEFAULT_MAX_ATTEMPTS), MAX_COUNT),
        max_age_seconds=_read_seconds(item.get("max_staleness_ms", 0)),
        is_public=read_flag(item.get("public", False)),
    )


def _read_seconds(value: object) -> float:
    return read_bounded(value, MAX_MILLISECONDS) / MILLISECONDS_PER_SECOND
