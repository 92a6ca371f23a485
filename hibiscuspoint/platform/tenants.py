"""Conversion of the tenants of a configuration to organisations."""

from __future__ import annotations

from typing import Any

from hibiscuspoint.core.organisations import Organisation, OrganisationDirectory, RateLimit
from hibiscuspoint.errors import ConfigurationError
from hibiscuspoint.ids import OrganisationId
from hibiscuspoint.platform.fields import read_bounded, read_number

__all__ = ["parse_tenants"]

#: Largest priority, and largest rate and burst in operations, that are told apart.
MAX_PRIORITY = 2**31 - 1
MAX_RATE = 1e9


def parse_tenants(fields: dict[str, Any]) -> OrganisationDirectory | None:
    """Return the organisations of a configuration; ``None`` where it has no tenants.

    No error text contains a key.

    :param fields: fields of the configuration.
    :raises ConfigurationError: a tenant is invalid or contradicts another one.
    """
    if "tenants" not in fields:
        return None
    items = fields["tenants"]
    if not isinstance(items, list) or not all(isinstance(item, dict) for item in items):
        raise ConfigurationError("tenants is not a list of objects")
    try:
        return OrganisationDirectory.from_keys((_organisation(item), _keys(item)) for item in items)
    except UnicodeEncodeError:
        # A lone surrogate; the error itself would quote the text, which may be a key.
        raise ConfigurationError("a tenant has a name or key that is no Unicode text") from None


def _organisation(item: dict[str, Any]) -> Organisation:
    name = item.get("name")
    # The name is one word of the startup message to a database.
    if not isinstance(name, str) or name.split() != [name]:
        raise ConfigurationError("a tenant has no name, or one with blanks")
    name.encode()
    priority = read_bounded(item.get("priority", 0), MAX_PRIORITY)
    return Organisation(OrganisationId(name), priority, _limit(item, name))


def _limit(item: dict[str, Any], name: str) -> RateLimit | None:
    burst = _read_number(item, "burst", name)
    if "rate_per_s" not in item:
        return None
    return RateLimit(_read_number(item, "rate_per_s", name), burst)


def _read_number(item: dict[str, Any], field: str, name: str) -> float:
    number = read_number(item.get(field, 0))
    if number < 0:
        raise ConfigurationError(f"{field} of tenant {name!r} is negative")
    return min(number, MAX_RATE)


def _keys(item: dict[str, Any]) -> list[str]:
    keys = item.get("api_keys")
    if not isinstance(keys, list) or not all(isinstance(key, str) and key for key in keys):
        raise ConfigurationError(
            f"api_keys of tenant {item['name']!r} is no list, or one with an item that is no key"
        )
    return keys
