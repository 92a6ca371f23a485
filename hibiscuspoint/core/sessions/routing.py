"""Routes from database names to groups, as an operator configures them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscuspoint.ids import GroupId

__all__ = ["DatabaseRoute", "GroupLimits", "ReadMode", "RoutingTable"]


class ReadMode(Enum):
    """How fresh the reads of a route are."""

    #: Every read sees every commit that was acknowledged before.
    PRIMARY = "primary"
    #: A read sees every commit that is older than the maximum age.
    BOUNDED_STALENESS = "bounded staleness"
    #: As with bounded staleness, and every commit of the same session.
    READ_YOUR_WRITES = "read your writes"


@dataclass(frozen=True, slots=True)
class DatabaseRoute:
    """Where the statements of one database go.

    :param timeout_seconds: longest time of a single statement, in seconds.
    :param objective_seconds: latency objective of a whole operation, in seconds.
    :param priority: 0 is the highest.
    :param max_age_seconds: greatest age of the data of a read, in seconds; 0 with mode ``PRIMARY``.
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

    :param routes: routes by the name of the database.
    :param transaction_idle_seconds: time without a statement after which a transaction is rolled
        back.
    :param environment: as in documents; deployments with a routing table have one environment.
    """

    number: int
    digest: str
    routes: dict[str, DatabaseRoute]
    groups: dict[GroupId, GroupLimits]
    transaction_idle_seconds: float
    environment: str = ""
