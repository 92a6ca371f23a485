"""A holder of one group whose targets are stand-ins in the test process."""

from __future__ import annotations

import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

from hibiscuspoint.components.holder import GroupHolder, GroupRequest, HolderContext
from hibiscuspoint.core.entry import RouteGrant, RouteMember, RouteTable
from hibiscuspoint.core.position import ZERO_POSITION
from hibiscuspoint.ids import (
    AvailabilityZone,
    CallerId,
    Incarnation,
    InstanceId,
    TargetId,
    Term,
)
from hibiscuspoint.telemetry import Metrics
from tests.builders import document, term_history
from tests.builders_entry import GROUP
from tests.standin.harness import DEADLINE_S, open_cluster

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from tests.standin.harness import Cluster

__all__ = ["SystemClock", "group_request", "open_holder"]

_LEASE_SECONDS = 600.0
_SLOTS = 4


class SystemClock:
    """Clocks of the operating system."""

    def monotonic(self) -> float:
        return time.monotonic()

    def unix(self) -> float:
        return time.time()


def group_request(*statements: object, **fields: Any) -> GroupRequest:
    """Return a request whose deadline no passing test reaches."""
    deadline = time.monotonic() + DEADLINE_S
    return GroupRequest(GROUP, CallerId("test"), statements, ZERO_POSITION, deadline, **fields)


@asynccontextmanager
async def open_holder(
    directory: Path, *targets: str, driver: Any = None
) -> AsyncIterator[tuple[GroupHolder, Cluster]]:
    """Start a cluster of stand-ins and a holder with a connection share of each target.

    :param targets: names of the targets; the first one is the primary.
    :param driver: called with the driver of the cluster; returns the one that the holder uses.
    """
    async with open_cluster(directory, *targets) as cluster:
        assert await cluster.promote(targets[0], 1)
        routes = RouteTable()
        members = tuple(
            RouteMember(TargetId(target), server.address, AvailabilityZone("z"), _SLOTS)
            for target, server in cluster.servers.items()
        )
        asked_at = time.monotonic()
        routes.apply(
            RouteGrant(
                GROUP,
                Term(1),
                TargetId(targets[0]),
                members,
                len(targets) // 2 + 1,
                _LEASE_SECONDS,
                asked_at,
                term_history((1, 1)),
            )
        )
        context = HolderContext(
            InstanceId("i"),
            Incarnation(1),
            driver(cluster.driver) if driver else cluster.driver,
            SystemClock(),
            routes,
            Metrics(),
        )
        rules = document()
        holder = GroupHolder(context, GROUP, rules, rules.groups[GROUP])
        holder.set_route(routes.route(GROUP))
        for pool in holder.target_pools.values():
            pool.set_share(_SLOTS, asked_at + _LEASE_SECONDS, 1)
        try:
            yield holder, cluster
        finally:
            holder.close()
