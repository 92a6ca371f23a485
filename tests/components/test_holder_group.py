"""Tests of the holder of one group."""

from __future__ import annotations

import asyncio
import math
from unittest.mock import MagicMock

from hibiscuspoint.components.holder import GroupHolder, HolderContext
from hibiscuspoint.components.runtime import SystemClock
from hibiscuspoint.core.entry import Route, RouteMember, RouteTable
from hibiscuspoint.core.position import TermHistory
from hibiscuspoint.ids import AvailabilityZone, Incarnation, InstanceId, TargetId, Term
from hibiscuspoint.telemetry import Metrics
from tests.builders import document
from tests.builders_entry import GROUP


def route(term: int, primary: str, *members: str) -> Route:
    """Return a route that lists ``members``, possibly without the primary."""
    listed = tuple(
        RouteMember(TargetId(name), "127.0.0.1:1", AvailabilityZone("z"), slots=2)
        for name in members
    )
    history = TermHistory([(Term(1), 1)])
    return Route(GROUP, Term(term), TargetId(primary), listed, 2, math.inf, history, paused=False)


def test_route_without_the_primary_does_not_block_the_next_one():
    """Guards against a new holder that fails on such a route and refuses all requests for good.

    A new control leader lists only the members that announced themselves to it. A primary that is
    cut off from the leader is missing from the route until the leader replaces it.
    """

    async def scenario():
        context = HolderContext(
            instance=InstanceId("ba-1"),
            incarnation=Incarnation(1),
            driver=MagicMock(),
            clock=SystemClock(),
            routes=RouteTable(),
            metrics=Metrics(),
        )
        rules = document(group=[{"name": GROUP}])
        holder = GroupHolder(context, GROUP, rules, rules.groups[GROUP])
        holder.set_route(route(1, "b", "a", "c"))
        holder.set_route(route(2, "a", "a", "c"))
        assert set(holder.target_pools) == {"a", "c"}
        assert (
            holder.primary_admission.queue.concurrency_limit == holder.target_pools["a"].limit.value
        )
        holder.close()

    asyncio.run(scenario())
