"""Routes from databases to groups, as configured by the operator."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscuspoint.core.organisations import OrganisationDirectory, RateLimit
    from hibiscuspoint.ids import GroupId, OrganisationId

__all__ = ["DatabaseRoute", "GroupLimits", "ReadMode", "RoutingTable", "table_limits"]


class ReadMode(Enum):
    """Consistency of the reads of a route."""

    #: A read sees every commit that was acknowledged before it.
    PRIMARY = "primary"
    #: A read sees every commit that is older than the maximum age.
    BOUNDED_STALENESS = "bounded staleness"
    #: As with bounded staleness; a read also sees every commit of its own session.
    READ_YOUR_WRITES = "read your writes"


@dataclass(frozen=True, slots=True)
class DatabaseRoute:
    """Group and limits for the statements of one database.

    :param timeout_seconds: time limit of a single statement.
    :param objective_seconds: latency objective of a whole operation.
    :param priority: priority of its statements; 0 is the highest.
    :param max_attempts: greatest number of times that targets run one read.
    :param max_age_seconds: greatest age of the data of a read; 0 with mode ``PRIMARY``.
    :param is_public: whether callers need no key.
    """

    name: str
    database: str
    group: GroupId
    mode: ReadMode
    timeout_seconds: float
    objective_seconds: float
    priority: int
    max_attempts: int
    max_age_seconds: float
    is_public: bool = False


@dataclass(frozen=True, slots=True)
class GroupLimits:
    """Limits of the targets of a group.

    :param max_connections: connections that one target accepts from all instances together.
    """

    group: GroupId
    max_connections: int


@dataclass(frozen=True)
class RoutingTable:
    """One version of the configuration.

    :param number: version number of the configuration.
    :param digest: digest of its text.
    :param routes: routes by database name.
    :param transaction_idle_seconds: time without a statement after which an open transaction is
        rolled back.
    :param environment: environment as named in documents; empty, as a deployment with a routing
        table has only one.
    :param organisations: organisations that callers may belong to; ``None`` where callers are not
        authenticated.
    """

    number: int
    digest: str
    routes: dict[str, DatabaseRoute]
    groups: dict[GroupId, GroupLimits]
    transaction_idle_seconds: float
    environment: str = ""
    organisations: OrganisationDirectory | None = None


def table_limits(table: RoutingTable) -> dict[OrganisationId, RateLimit | None]:
    """Return the limit of each organisation; nothing where callers are not authenticated."""
    directory = table.organisations
    if directory is None:
        return {}
    return {name: directory.get(name).limit for name in directory.names}
