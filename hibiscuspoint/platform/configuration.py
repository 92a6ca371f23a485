"""Conversion of the configuration that operators submit to a routing table."""

from __future__ import annotations

import hashlib
import json
from typing import Any

from hibiscuspoint.core.sessions import DatabaseRoute, GroupLimits, ReadMode, RoutingTable
from hibiscuspoint.errors import ConfigurationError
from hibiscuspoint.ids import GroupId
from hibiscuspoint.platform.fields import read_flag, read_text, read_whole
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


def parse_routing_table(text: str) -> RoutingTable:
    """Parse a configuration.

    :param text: JSON text of the configuration.
    :raises ConfigurationError: the text is malformed, lacks a field or is inconsistent.
    """
    try:
        fields = json.loads(text)
        return _routing_table(fields, hashlib.sha256(text.encode()).hexdigest())
    except ConfigurationError:
        raise
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise ConfigurationError(f"the configuration cannot be read: {error!r}") from error


def _routing_table(fields: dict[str, Any], digest: str) -> RoutingTable:
    groups = {}
    for service in fields["services"]:
        group = GroupId(read_text(service["name"]))
        groups[group] = GroupLimits(group, read_whole(service["max_conns"]))
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
    idle_ms = fields["limits"].get("txn_idle_ms", 3000)
    return RoutingTable(
        number=read_whole(fields["version"]),
        digest=digest,
        routes=routes,
        groups=groups,
        transaction_idle_seconds=read_whole(idle_ms) / MILLISECONDS_PER_SECOND,
        organisations=parse_tenants(fields),
    )


def _route(item: dict[str, Any]) -> DatabaseRoute:
    name = read_text(item["name"])
    timeout_ms = read_whole(item["timeout_ms"])
    if timeout_ms <= 0:
        raise ConfigurationError(f"route {name!r} has no timeout")
    return DatabaseRoute(
        name=name,
        database=read_text(item["host"]),
        group=GroupId(read_text(item["service"])),
        mode=_READ_MODES[item["kind"]],
        timeout_seconds=timeout_ms / MILLISECONDS_PER_SECOND,
        objective_seconds=read_whole(item["slo_ms"]) / MILLISECONDS_PER_SECOND,
        priority=read_whole(item["priority"]),
        max_attempts=read_whole(item.get("max_attempts", DEFAULT_MAX_ATTEMPTS)),
        max_age_seconds=read_whole(item.get("max_staleness_ms", 0)) / MILLISECONDS_PER_SECOND,
        is_public=read_flag(item.get("public", False)),
    )
