"""Builders of configurations with organisations."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from hibiscuspoint.core.organisations import Organisation, OrganisationDirectory, RateLimit
from hibiscuspoint.ids import OrganisationId

if TYPE_CHECKING:
    from hibiscuspoint.core.sessions import RoutingTable

__all__ = ["organisation", "with_keys"]


def organisation(name: str, rate_per_s: int | None = None) -> Organisation:
    """Return an organisation."""
    limit = RateLimit(rate_per_s, 0) if rate_per_s is not None else None
    return Organisation(OrganisationId(name), limit=limit)


def with_keys(
    table: RoutingTable, number: int, *, is_public: bool = False, **keys: list[str]
) -> RoutingTable:
    """Return a newer configuration with organisations and their keys, by name."""
    listed = [(organisation(name), listed_keys) for name, listed_keys in keys.items()]
    routes = {name: replace(r, is_public=is_public) for name, r in table.routes.items()}
    return replace(
        table,
        number=number,
        routes=routes,
        organisations=OrganisationDirectory.from_keys(listed),
    )
