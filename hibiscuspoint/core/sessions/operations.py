"""What an operation of a caller may use, as the configuration in force states it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hibiscuspoint.core.organisations import Organisation, hash_key
from hibiscuspoint.core.sessions.statements import Failure
from hibiscuspoint.ids import NO_ORGANISATION

if TYPE_CHECKING:
    from hibiscuspoint.core.organisations import KeyHash
    from hibiscuspoint.core.sessions.routing import DatabaseRoute, RoutingTable

__all__ = ["ANONYMOUS", "Caller", "OperationGrant", "OperationRefusal", "resolve_operation"]

#: Stands for callers that belong to no organisation; no limit applies to them.
ANONYMOUS = Organisation(NO_ORGANISATION)


@dataclass(frozen=True, slots=True)
class Caller:
    """What a caller stated when it opened its session.

    :param key_hash: hash of its key; the key itself is not kept.
    """

    database: str
    key_hash: KeyHash = field(repr=False)

    @classmethod
    def from_key(cls, database: str, key: str) -> Caller:
        """Return the caller that presents a key, which may be empty."""
        return cls(database, hash_key(key))


@dataclass(frozen=True, slots=True)
class OperationGrant:
    """Route and organisation of one operation.

    :param organisation: ``ANONYMOUS`` where callers are not authenticated, and for a caller of a
        public route without a known key.
    """

    route: DatabaseRoute
    organisation: Organisation = ANONYMOUS


@dataclass(frozen=True, slots=True)
class OperationRefusal:
    """Reason why a caller may not run an operation."""

    failure: Failure
    text: str


def resolve_operation(
    table: RoutingTable | None, caller: Caller
) -> OperationGrant | OperationRefusal:
    """Return what the configuration in force allows a caller.

    :param table: configuration in force, if any.
    """
    route = table.routes.get(caller.database) if table is not None else None
    if route is None:
        return OperationRefusal(Failure.UNKNOWN_DATABASE, "the database has no route")
    if table.organisations is None:
        return OperationGrant(route)
    organisation = table.organisations.find(caller.key_hash)
    if organisation is not None:
        return OperationGrant(route, organisation)
    if route.is_public:
        return OperationGrant(route)
    return OperationRefusal(Failure.UNAUTHORIZED, "the key is not known")
