"""The component that runs requests for the groups this entry holds."""

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
    from hibiscuspoint.components.holder.lane import TargetLane
    from hibiscuspoint.components.holder.transactions import OpenTransaction
    from hibiscuspoint.core.entry.routes import Route
    from hibiscuspoint.ids import InstanceId

__all__ = ["LocalHolder"]

logger = logging.getLogger(__name__)

#: Seconds between two deletions of old request ids.
PURGE_INTERVAL_SECONDS = 600.0


class LocalHolder(Component):
    """Holds connections for the groups that control assigned to this instance."""

    channel = "holders"

    def __init__(self, context: HolderContext, state: EntryState) -> None:
        super().__init__()
        self._context = context
        self._state = state
        self._groups: dict[GroupId, GroupHolder] = {}
        self._purge_at = context.clock.monotonic() + PURGE_INTERVAL_SECONDS

    @property
    def instance(self) -> InstanceId:
        """Return this instance."""
        return self._context.instance

    def is_holder(self, group: GroupId) -> bool:
        """Tell whether control lists this instance as holder of a group."""
        return any(instance == self.instance for instance, _ in self._state.holders(group))

    async def execute(self, request: GroupRequest) -> GroupResult:
        """Run a request at a target.

        :raises HibiscusError: with the verdict of the request.
        """
        return await self._require(request.group).execute(request)

    async def begin(self, request: GroupRequest) -> OpenTransaction:
        """Open an interactive transaction.

        :raises HibiscusError: with the verdict ``NOT_RUN``.
        """
        return await self._require(request.group).transactions.begin(request)

    @handler("update_received", channel="*")
    def _on_update(self, update: peer_pb2.ControlUpdate) -> None:
        """Take routes and shares over."""
        known = self._state.document_number
        if not self._state.accept_update(update) or self._state.document is None:
            return
        if self._state.document_number != known:
            self._take_rules()
        for group, holder in self._groups.items():
            if not self.is_holder(group):
                holder.hand_back_waiting()
        changed = self._state.revoke_routes(update) + self._state.apply_routes(update)
        for group in changed:
            holder = self._holder(group)
            if holder is not None:
                holder.set_route(self._state.routes.route(group))
        lanes = self._lanes()
        for share in update.shares:
            lane = lanes.get(TargetId(share.target))
            if lane is not None:
                requested_at = update.echo_sent_at_ns / NANOSECONDS_PER_SECOND
                ends = lease_end_at_holder(requested_at, share.lease_ms / MILLISECONDS_PER_SECOND)
                lane.set_share(share.connections, ends, share.sequence)

    def tick(self, now: float) -> None:
        """Advance the timers of all groups."""
        for holder in self._groups.values():
            holder.tick(now)
        if now >= self._purge_at:
            self._purge_at = now + PURGE_INTERVAL_SECONDS
            self._purge_request_ids()
        for route in self._state.routes.pop_expired_routes(now):
            self._log_expiry(route)
        self._report_idle_groups(now)

    def _report_idle_groups(self, now: float) -> None:
        """Report at once when a paused group has finished its work, so that control can go on."""
        for group in self._groups:
            if self._state.routes.leased_route(group, now) and self._may_hand_back(group, now):
                self.fire(report_due(), "*")
                self.flush()
                return

    def fill_report(self, report: peer_pb2.EntryReport, now: float) -> None:
        """Add observations, shares and handed back leases to a report that is sent now."""
        for target, lane in self._lanes().items():
            self._add_lane(report, target, lane)
        for group in self._state.routes.groups:
            if self._may_hand_back(group, now):
                # The reply to this report may grant the lease again; earlier replies may not.
                term = self._state.routes.release_lease(group, math.nextafter(now, 0.0))
                report.released.append(peer_pb2.RouteRelease(group=group, term=term))

    def release_all(self) -> None:
        """Close the connections to all targets, so that their shares can go to other holders."""
        for lane in self._lanes().values():
            lane.close()

    def close(self) -> None:
        """Close all connections."""
        for holder in self._groups.values():
            holder.close()

    def _require(self, group: GroupId) -> GroupHolder:
        holder = self._holder(group) if self.is_holder(group) else None
        if holder is None:
            raise NoHolderError(f"instance {self.instance} does not hold group {group}")
        return holder

    def _holder(self, group: GroupId) -> GroupHolder | None:
        holder = self._groups.get(group)
        document = self._state.document
        if holder is None and group in document.groups:
            holder = GroupHolder(self._context, group, document, document.groups[group])
            self._groups[group] = holder
        return holder

    def _purge_request_ids(self) -> None:
        """Delete old request ids of the groups of which this instance is the first holder."""
        for group, holder in self._groups.items():
            listed = self._state.holders(group)
            if listed and listed[0][0] == self.instance:
                spawn(holder.purge_request_ids(), f"purge of request ids of {group}")

    def _take_rules(self) -> None:
        document = self._state.document
        for group, holder in self._groups.items():
            if group in document.groups:
                holder.set_rules(document, document.groups[group])

    def _lanes(self) -> dict[TargetId, TargetLane]:
        return {
            target: lane
            for holder in self._groups.values()
            for target, lane in holder.lanes.items()
        }

    def _log_expiry(self, route: Route) -> None:
        # A lease that was handed back or never granted has no end.
        if route.lease_ends_at == -math.inf:
            return
        self._context.metrics.lease_expiries.labels(route.group).inc()
        log_event(logger, catalogue.LEASE_EXPIRED, group=route.group, term=route.term)

    def _may_hand_back(self, group: GroupId, now: float) -> bool:
        """Tell whether a lease is not needed: it has ended or control asked for it."""
        route = self._state.routes.leased_route(group, now)
        if route is None:
            return True
        holder = self._groups.get(group)
        return route.paused and (holder is None or holder.is_idle_at_primary)

    def _add_lane(self, report: peer_pb2.EntryReport, target: TargetId, lane: TargetLane) -> None:
        seen = lane.take_observations()
        if seen.successes or seen.refusals or seen.timeouts:
            report.observations.append(
                peer_pb2.TargetObservation(
                    target=target,
                    successes=seen.successes,
                    refusals=seen.refusals,
                    timeouts=seen.timeouts,
                )
            )
        report.shares.append(
            peer_pb2.ShareUse(
                target=target,
                open_connections=lane.pool.open_connections,
                demand=lane.pool.demand,
                allowance=lane.pool.share,
                sequence=lane.share_sequence,
            )
        )
        metrics = self._context.metrics
        metrics.open_connections.labels(target).set(lane.pool.open_connections)
        metrics.connection_share.labels(target).set(lane.pool.share)
