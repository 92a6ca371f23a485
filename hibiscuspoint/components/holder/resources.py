"""Admission, connection pools and log positions of one group at a holder."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from hibiscuspoint.components.holder.lane import TargetPool
from hibiscuspoint.components.holder.progress import GroupProgress
from hibiscuspoint.components.holder.turns import AdmissionController
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

#: Reads admitted at once for each slot of a replica. More than one, because an admitted read
#: occupies no slot while it waits for a replica to catch up.
READS_PER_SLOT = 4


class GroupResources:
    """State that the requests of one group share; ``GroupHolder`` adds the runners.

    :param document: the document in force, with the limits that apply to all groups.
    :param group_model: section of the document that describes this group.
    """

    def __init__(
        self, context: HolderContext, group: GroupId, document: Document, group_model: GroupModel
    ) -> None:
        self._context = context
        self._group = group
        self._group_model = group_model
        self._target_pools: dict[TargetId, TargetPool] = {}
        self._primary: TargetId | None = None
        self._primary_work_count = 0
        self._progress = GroupProgress(context, group)
        self._primary_admission = AdmissionController(
            context.clock, document.limits.queue_length, 1
        )
        self._read_admission = AdmissionController(context.clock, document.limits.queue_length, 1)
        self._primary_admission.set_paused(True)
        context.metrics.queue_length.labels(group).set_function(self._queue_length)
        self._retries = RetryBudget(document.limits.retry_ratio)

    @property
    def context(self) -> HolderContext:
        """Dependencies that all groups of the holder share."""
        return self._context

    @property
    def group(self) -> GroupId:
        """Identifier of the group."""
        return self._group

    @property
    def progress(self) -> GroupProgress:
        """Log positions of the members."""
        return self._progress

    @property
    def primary_admission(self) -> AdmissionController:
        """Admission of the requests for the primary."""
        return self._primary_admission

    @property
    def read_admission(self) -> AdmissionController:
        """Admission of all reads, ahead of the choice of a target."""
        return self._read_admission

    @property
    def retries(self) -> RetryBudget:
        """Budget that limits the share of retries."""
        return self._retries

    @property
    def target_pools(self) -> dict[TargetId, TargetPool]:
        """Connection pools by target."""
        return self._target_pools

    @property
    def _primary_pool(self) -> TargetPool | None:
        """Connection pool of the primary.

        ``None`` without a route, and for a primary that has not announced itself to the control
        leader yet: the route then lacks its address.
        """
        return self._target_pools.get(self._primary)

    @property
    def is_idle_at_primary(self) -> bool:
        """Whether no request and no transaction is in progress at the primary."""
        return self._primary_work_count == 0

    def set_document(self, document: Document, group_model: GroupModel) -> None:
        """Apply the limits and the group section of a new document."""
        self._group_model = group_model
        self._primary_admission.set_max_length(document.limits.queue_length)
        self._read_admission.set_max_length(document.limits.queue_length)
        self._retries.set_ratio(document.limits.retry_ratio)

    def set_route(self, route: Route) -> None:
        """Apply a route that control sent, and fail the waits for a former primary."""
        for member in route.members:
            pool = self._target_pools.get(member.target)
            if pool is None:
                pool = TargetPool(self._context, member.target, member.address)
                self._target_pools[member.target] = pool
            pool.set_address(member.address)
        former = self._primary_pool
        if former is not None and self._primary != route.primary:
            former.fail_waiters(NoPrimaryError(f"target {self._primary} is no longer the primary"))
        self._primary = route.primary
        self._progress.set_route(route)
        self._set_slots(route)
        self.refresh_pause()

    def refuse_waiting_requests(self) -> None:
        """Refuse the requests that were not sent yet, so that a current holder runs them.

        The connection share of this instance moves to other holders, so a waiting request may
        never get a connection, and would delay the return of the lease until its deadline.
        """
        error = NoHolderError(f"this instance no longer holds group {self._group}")
        self._primary_admission.reject_all(error)
        for pool in self._target_pools.values():
            pool.fail_waiters(error)

    def refresh_pause(self) -> None:
        """Pause the queue of the primary while no lease is valid or control requests a pause."""
        route = self._context.routes.leased_route(self._group, self._context.clock.monotonic())
        self._primary_admission.set_paused(route is None or route.paused)

    def tick(self, now: float) -> None:
        """Apply timeouts, and send periodic samples that are due.

        :param now: monotonic time in seconds.
        """
        self.refresh_pause()
        self._primary_admission.tick(now)
        self._read_admission.tick(now)
        self._progress.tick(now)
        for pool in self._target_pools.values():
            pool.tick(now)

    def require_route(self) -> Route:
        """Return the route while its lease is valid and the primary has a connection share.

        :raises NoPrimaryError: no lease is valid or the primary has no address; nothing was sent.
        :raises NoHolderError: this holder has no share of the primary yet; nothing was sent.
        """
        route = self._context.routes.leased_route(self._group, self._context.clock.monotonic())
        pool = None if route is None else self._target_pools.get(route.primary)
        if pool is None:
            raise NoPrimaryError(f"group {self._group} has no primary under a valid lease")
        if pool.pool_state.share == 0:
            raise NoHolderError(
                f"this holder has no connection share of target {route.primary} yet"
            )
        return route

    @contextmanager
    def track_primary_work(self) -> Iterator[None]:
        """Count the body as work in progress at the primary; a switchover waits for its end."""
        self._primary_work_count += 1
        try:
            yield
        finally:
            self._primary_work_count -= 1

    def close(self) -> None:
        """Close all connections and watch streams."""
        self._progress.close()
        for pool in self._target_pools.values():
            pool.close()

    def refresh_concurrency(self) -> None:
        """Set how many requests may run at once from the concurrency limits of the targets."""
        primary = self._primary_pool
        replicas = (pool.limit.value for pool in self._target_pools.values() if pool is not primary)
        if primary is not None:
            self._primary_admission.set_concurrency_limit(primary.limit.value)
        self._read_admission.set_concurrency_limit(READS_PER_SLOT * max(1, sum(replicas)))

    def _queue_length(self) -> int:
        return len(self._primary_admission.queue) + len(self._read_admission.queue)

    def _set_slots(self, route: Route) -> None:
        for member in route.members:
            self._target_pools[member.target].limit.set_slots(self._allowed_slots(member))
        self.refresh_concurrency()

    def _allowed_slots(self, member: RouteMember) -> int:
        """Return how many slots of a member this holder may use."""
        share = self._target_pools[member.target].pool_state.share or member.slots
        return max(1, min(member.slots, self._group_model.slots or member.slots, share))
