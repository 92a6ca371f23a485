"""The component that runs requests for the groups that this instance holds."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

from circuits import Component, handler

from hibiscuspoint.components.events import report_due
from hibiscuspoint.components.holder import GroupHolder, HolderContext
from hibiscuspoint.core.lease import lease_end_at_holder
from hibiscuspoint.errors import NoHolderError
from hibiscuspoint.ids import GroupId, TargetId
from hibiscuspoint.telemetry import catalogue, log_event
from hibiscuspoint.util.tasks import spawn
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND, NANOSECONDS_PER_SECOND
from hibiscuspoint.wire import peer_pb2

if TYPE_CHECKING:
    from hibiscuspoint.components.entry_state import EntryState
    from hibiscuspoint.components.holder import GroupRequest, GroupResult
    from hibiscuspoint.components.holder.lane import TargetPool
    from hibiscuspoint.components.holder.transactions import OpenTransaction
    from hibiscuspoint.core.entry.routes import Route
    from hibiscuspoint.ids import InstanceId

__all__ = ["LocalHolder"]

logger = logging.getLogger(__name__)

#: Interval in seconds between two purges of expired request ids.
PURGE_INTERVAL_SECONDS = 600.0


class LocalHolder(Component):
    """Runs requests at the targets of the groups that control assigned to this instance."""

    channel = "holders"

    def __init__(self, context: HolderContext, state: EntryState) -> None:
        super().__init__()
        self._context = context
        self._state = state
        self._groups: dict[GroupId, GroupHolder] = {}
        self._purge_at = context.clock.monotonic() + PURGE_INTERVAL_SECONDS

    @property
    def instance(self) -> InstanceId:
        """Identifier of this instance."""
        return self._context.instance

    def is_holder(self, group: GroupId) -> bool:
        """Tell whether control lists this instance as a holder of a group."""
        return any(instance == self.instance for instance, _ in self._state.holders(group))

    async def execute(self, request: GroupRequest) -> GroupResult:
        """Run a request at a target of its group.

        :raises NoHolderError: this instance is not a holder of the group.
        :raises HibiscusError: the request failed; the error carries its verdict.
        """
        return await self._require_group(request.group).execute(request)

    async def begin(self, request: GroupRequest) -> OpenTransaction:
        """Open an interactive transaction.

        :raises NoHolderError: this instance is not a holder of the group.
        :raises HibiscusError: the transaction was not opened; the verdict is ``NOT_RUN``.
        """
        return await self._require_group(request.group).transactions.begin(request)

    @handler("update_received", channel="*")
    def _on_update(self, update: peer_pb2.ControlUpdate) -> None:
        """Apply the document, the routes and the shares of an update."""
        previous_number = self._state.document_number
        if not self._state.accept_update(update) or self._state.document is None:
            return
        if self._state.document_number != previous_number:
            self._apply_document()
        for group, holder in self._groups.items():
            if not self.is_holder(group):
                holder.refuse_waiting_requests()
        changed = self._state.revoke_routes(update) + self._state.apply_routes(update)
        for group in changed:
            holder = self._group_holder(group)
            if holder is not None:
                holder.set_route(self._state.routes.route(group))
        target_pools = self._target_pools()
        for share in update.shares:
            pool = target_pools.get(TargetId(share.target))
            if pool is not None:
                requested_at = update.echo_sent_at_ns / NANOSECONDS_PER_SECOND
                lease_ends_at = lease_end_at_holder(
                    requested_at, share.lease_ms / MILLISECONDS_PER_SECOND
                )
                pool.set_share(share.connections, lease_ends_at, share.sequence)

    def tick(self, now: float) -> None:
        """Run the periodic work: timeouts of the groups, purges, expired leases, idle groups.

        :param now: monotonic time in seconds.
        """
        for holder in self._groups.values():
            holder.tick(now)
        if now >= self._purge_at:
            self._purge_at = now + PURGE_INTERVAL_SECONDS
            self._purge_request_ids()
        for route in self._state.routes.pop_expired_routes(now):
            self._log_expiry(route)
        self._report_idle_groups(now)

    def _report_idle_groups(self, now: float) -> None:
        """Request a report when a paused group is idle, so that its switchover can proceed."""
        for group in self._groups:
            if self._state.routes.leased_route(group, now) and self._may_return_lease(group, now):
                self.fire(report_due(), "*")
                self.flush()
                return

    def fill_report(self, report: peer_pb2.EntryReport, now: float) -> None:
        """Add observations, shares and returned leases to a report that is sent at ``now``."""
        for target, pool in self._target_pools().items():
            self._add_target(report, target, pool)
        for group in self._state.routes.groups:
            if self._may_return_lease(group, now):
                # The reply to this report may grant the lease again, those to earlier ones may not.
                term = self._state.routes.release_lease(group, math.nextafter(now, 0.0))
                report.released.append(peer_pb2.RouteRelease(group=group, term=term))

    def release_all(self) -> None:
        """Close the connections to all targets, so that control can grant the shares to others."""
        for pool in self._target_pools().values():
            pool.close()

    def close(self) -> None:
        """Close all connections and watch streams."""
        for holder in self._groups.values():
            holder.close()

    def _require_group(self, group: GroupId) -> GroupHolder:
        holder = self._group_holder(group) if self.is_holder(group) else None
        if holder is None:
            raise NoHolderError(f"instance {self.instance} is not a holder of group {group}")
        return holder

    def _group_holder(self, group: GroupId) -> GroupHolder | None:
        holder = self._groups.get(group)
        document = self._state.document
        if holder is None and group in document.groups:
            holder = GroupHolder(self._context, group, document, document.groups[group])
            self._groups[group] = holder
        return holder

    def _purge_request_ids(self) -> None:
        """Purge the request ids of the groups that list this instance as their first holder."""
        for group, holder in self._groups.items():
            listed = self._state.holders(group)
            if listed and listed[0][0] == self.instance:
                spawn(holder.purge_request_ids(), f"purge of request ids of {group}")

    def _apply_document(self) -> None:
        document = self._state.document
        for group, holder in self._groups.items():
            if group in document.groups:
                holder.set_document(document, document.groups[group])

    def _target_pools(self) -> dict[TargetId, TargetPool]:
        return {
            target: pool
            for holder in self._groups.values()
            for target, pool in holder.target_pools.items()
        }

    def _log_expiry(self, route: Route) -> None:
        # A lease that was returned or never granted has no expiry to log.
        if route.lease_ends_at == -math.inf:
            return
        self._context.metrics.lease_expiries.labels(route.group).inc()
        log_event(logger, catalogue.LEASE_EXPIRED, group=route.group, term=route.term)

    def _may_return_lease(self, group: GroupId, now: float) -> bool:
        """Tell whether a lease is no longer needed: it expired, or control paused an idle group."""
        route = self._state.routes.leased_route(group, now)
        if route is None:
            return True
        holder = self._groups.get(group)
        return route.paused and (holder is None or holder.is_idle_at_primary)

    def _add_target(self, report: peer_pb2.EntryReport, target: TargetId, pool: TargetPool) -> None:
        observations = pool.take_observations()
        if observations.successes or observations.refusals or observations.timeouts:
            report.observations.append(
                peer_pb2.TargetObservation(
                    target=target,
                    successes=observations.successes,
                    refusals=observations.refusals,
                    timeouts=observations.timeouts,
                )
            )
        report.shares.append(
            peer_pb2.ShareUse(
                target=target,
                open_connections=pool.pool_state.open_connections,
                demand=pool.pool_state.demand,
                allowance=pool.pool_state.share,
                sequence=pool.share_sequence,
            )
        )
        metrics = self._context.metrics
        metrics.open_connections.labels(target).set(pool.pool_state.open_connections)
        metrics.connection_share.labels(target).set(pool.pool_state.share)
