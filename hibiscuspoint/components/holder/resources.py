"""Queues, connections and log positions of one group at a holder."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from hibiscuspoint.components.holder.lane import TargetLane
from hibiscuspoint.components.holder.progress import GroupProgress
from hibiscuspoint.components.holder.turns import Turns
from hibiscuspoint.core.entry.retry import RetryBudget
from hibiscuspoint.errors import NoHolderError, NoPrimaryError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hibiscuspoint.components.holder.context import HolderContext
    from hibiscuspoint.core.entry.routes import Route, RouteMember
    from hibiscuspoint.document import Document
    from hibiscuspoint.document.model import GroupModel
    from hibiscuspoint.ids import GroupId, TargetId

__all__ = ["GroupResources"]

#: Reads admitted at once for each slot of a replica. More than one, as a read also waits for a
#: replica to catch up while it occupies no slot.
READS_PER_SLOT = 4


class GroupResources:
    """What the requests of one group share; see ``GroupHolder`` for what runs them.

    :param rules: the group in the document in force.
    """

    def __init__(
        self, context: HolderContext, group: GroupId, document: Document, rules: GroupModel
    ) -> None:
        self._context = context
        self._group = group
        self._rules = rules
        self._lanes: dict[TargetId, TargetLane] = {}
        self._primary: TargetId | None = None
        self._primary_work = 0
        self._progress = GroupProgress(context, group)
        self._primary_turns = Turns(context.clock, document.limits.queue_length, 1)
        self._read_turns = Turns(context.clock, document.limits.queue_length, 1)
        self._primary_turns.set_paused(True)
        context.metrics.queue_length.labels(group).set_function(self._waiting)
        self._retries = RetryBudget(document.limits.retry_ratio)

    @property
    def context(self) -> HolderContext:
        """Return what all groups use."""
        return self._context

    @property
    def group(self) -> GroupId:
        """Return the group."""
        return self._group

    @property
    def progress(self) -> GroupProgress:
        """Return what is known about the logs of the members."""
        return self._progress

    @property
    def primary_turns(self) -> Turns:
        """Return the turns at the primary."""
        return self._primary_turns

    @property
    def read_turns(self) -> Turns:
        """Return the turns of reads."""
        return self._read_turns

    @property
    def retries(self) -> RetryBudget:
        """Return the budget of retries."""
        return self._retries

    @property
    def lanes(self) -> dict[TargetId, TargetLane]:
        """Return the connections by target."""
        return self._lanes

    @property
    def _primary_lane(self) -> TargetLane | None:
        """Return the connections to the primary.

        ``None`` without a route, and for a primary that the control leader has not heard yet: the
        route then lacks its address.
        """
        return self._lanes.get(self._primary)

    @property
    def is_idle_at_primary(self) -> bool:
        """Tell whether no request or transaction is in progress at the primary."""
        return self._primary_work == 0

    def set_rules(self, document: Document, rules: GroupModel) -> None:
        """Take the rules of a new document over."""
        self._rules = rules
        self._primary_turns.set_max_length(document.limits.queue_length)
        self._read_turns.set_max_length(document.limits.queue_length)
        self._retries.set_ratio(document.limits.retry_ratio)

    def set_route(self, route: Route) -> None:
        """Follow the route that control sent."""
        for member in route.members:
            lane = self._lanes.get(member.target)
            if lane is None:
                lane = TargetLane(self._context, member.target, member.address)
                self._lanes[member.target] = lane
            lane.set_address(member.address)
        former = self._primary_lane
        if former is not None and self._primary != route.primary:
            former.refuse_waiters(
                NoPrimaryError(f"target {self._primary} is no longer the primary")
            )
        self._primary = route.primary
        self._progress.set_route(route)
        self._set_slots(route)
        self.refresh_pause()

    def hand_back_waiting(self) -> None:
        """Refuse the requests of which nothing was sent, so that a present holder runs them.

        The share of this instance goes to others, so a connection that a request waits for may
        never come, and until its deadline it would hold up the return of the lease.
        """
        error = NoHolderError(f"this instance no longer holds group {self._group}")
        self._primary_turns.refuse_all(error)
        for lane in self._lanes.values():
            lane.refuse_waiters(error)

    def refresh_pause(self) -> None:
        """Hold the queue of the primary while no lease is valid or control asked for a pause."""
        route = self._context.routes.leased_route(self._group, self._context.clock.monotonic())
        self._primary_turns.set_paused(route is None or route.paused)

    def tick(self, now: float) -> None:
        """Advance timers."""
        self.refresh_pause()
        self._primary_turns.tick(now)
        self._read_turns.tick(now)
        self._progress.tick(now)
        for lane in self._lanes.values():
            lane.tick(now)

    def require_route(self) -> Route:
        """Return the route under a valid lease.

        :raises NoPrimaryError: there is none; nothing was sent.
        :raises NoHolderError: this holder has no connections to the primary; nothing was sent.
        """
        route = self._context.routes.leased_route(self._group, self._context.clock.monotonic())
        lane = None if route is None else self._lanes.get(route.primary)
        if lane is None:
            raise NoPrimaryError(f"group {self._group} has no primary under a valid lease")
        if lane.pool.share == 0:
            raise NoHolderError(f"this holder has no connections to target {route.primary} yet")
        return route

    @contextmanager
    def primary_work(self) -> Iterator[None]:
        """Count work in progress at the primary, which delays a switchover."""
        self._primary_work += 1
        try:
            yield
        finally:
            self._primary_work -= 1

    def close(self) -> None:
        """Close all connections and streams."""
        self._progress.close()
        for lane in self._lanes.values():
            lane.close()

    def refresh_concurrency(self) -> None:
        """Let as many requests run as the limits of the targets allow."""
        primary = self._primary_lane
        replicas = (lane.limit.value for lane in self._lanes.values() if lane is not primary)
        if primary is not None:
            self._primary_turns.set_concurrency(primary.limit.value)
        self._read_turns.set_concurrency(READS_PER_SLOT * max(1, sum(replicas)))

    def _waiting(self) -> int:
        return len(self._primary_turns.queue) + len(self._read_turns.queue)

    def _set_slots(self, route: Route) -> None:
        for member in route.members:
            self._lanes[member.target].limit.set_slots(self._slots(member))
        self.refresh_concurrency()

    def _slots(self, member: RouteMember) -> int:
        """Return how many statements may run at a member at once."""
        share = self._lanes[member.target].pool.share or member.slots
        return max(1, min(member.slots, self._rules.slots or member.slots, share))
