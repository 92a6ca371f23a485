"""What one instance knows about the targets of the groups, and its use of the primaries."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.components.sessions.balancing import ReadBalancing
from hibiscuspoint.components.sessions.connection_records import ConnectionRecords
from hibiscuspoint.components.sessions.own_connections import OwnConnections
from hibiscuspoint.components.sessions.pool import TargetPool
from hibiscuspoint.core.balancing import RoundTripSource
from hibiscuspoint.core.entry.retry import RetryBudget
from hibiscuspoint.core.lease import release_time_ns
from hibiscuspoint.core.position import ZERO_POSITION, LogPosition
from hibiscuspoint.core.scheduling import UseTimes
from hibiscuspoint.core.sessions import (
    ConnectionPlan,
    EntryPlace,
    OpeningRules,
    PrimaryLog,
    TargetLoad,
    TipLog,
    choose_holders,
    openings_per_second,
    target_holders,
)
from hibiscuspoint.core.sessions.connection_plan import MINIMUM_LIMIT
from hibiscuspoint.drivers.errors import ConnectError, ConnectFailure
from hibiscuspoint.ids import AvailabilityZone, GroupId, InstanceId, TargetId, Term
from hibiscuspoint.telemetry import catalogue, log_event
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND, NANOSECONDS_PER_SECOND
from hibiscuspoint.wire import peer_pb2
from hibiscuspoint.wire.position import position_from, position_message

if TYPE_CHECKING:
    from hibiscuspoint.components.entry_state import EntryState
    from hibiscuspoint.components.sessions.borrowing import ConnectionBorrowing, HeldRead, HeldReply
    from hibiscuspoint.components.sessions.connection import BorrowedConnection, PooledConnection
    from hibiscuspoint.components.sessions.quotas import QuotaGate
    from hibiscuspoint.components.sessions.wait_records import WaitRecords
    from hibiscuspoint.core.entry.routes import Route, RouteMember
    from hibiscuspoint.core.ports import Clock, SessionDriver
    from hibiscuspoint.core.sessions import ConnectionDemand
    from hibiscuspoint.telemetry.metrics import Metrics

__all__ = ["GroupAccess", "TargetCounts"]

logger = logging.getLogger(__name__)

#: Seconds between two looks for idle connections to close.
POOL_TICK_SECONDS = 0.25

#: Connections of a target that are left to control and to handshakes in progress.
RESERVED_CONNECTIONS = 2

#: Multiple of its share of the connections that one instance may open; the load of the instances
#: differs, and not all have their peak at the same time.
BURST_FACTOR = 3

_NO_INSTANCE = InstanceId("")

#: Holders keep this part of the connections while they are idle. A target counts connections of a
#: machine that lost power for 3 s more, and machines that start again need some meanwhile.
HELD_IDLE_DIVISOR = 2


@dataclass
class TargetCounts:
    """What was seen at a target since the last report.

    :param commit_timeouts: commits and single writes without an answer for long.
    """

    successes: int = 0
    refusals: int = 0
    timeouts: int = 0
    commits: int = 0
    commit_timeouts: int = 0


class GroupAccess:
    """Connections, loads, tips and the use of primaries under leases, for all groups.

    :param state: routes and configuration in force.
    :param instance: this instance, as others know it.
    :param borrowing: borrows connections where there are fewer than instances; ``None`` where each
        instance opens its own.
    :param metrics: counts the connections that are opened and replaced.
    :param scheduling: registered name of the order in which waiting statements are served.
    :param reads: ranks the targets of reads; by their fixed cost if it is not given.
    :param quotas: limiter that exchanges messages with control; ``None`` where there is none.
    """

    def __init__(
        self,
        state: EntryState,
        driver: SessionDriver,
        clock: Clock,
        instance: InstanceId = _NO_INSTANCE,
        borrowing: ConnectionBorrowing | None = None,
        metrics: Metrics | None = None,
        scheduling: str = "priority",
        records: WaitRecords | None = None,
        reads: ReadBalancing | None = None,
        quotas: QuotaGate | None = None,
    ) -> None:
        self._state = state
        self._instance = instance
        self._borrowing = borrowing
        self._connection_records = ConnectionRecords(metrics)
        self._quotas = quotas
        self._driver = driver
        self._clock = clock
        self._pools: dict[TargetId, TargetPool] = {}
        self._pools_due_at = 0.0
        self._counts: dict[TargetId, TargetCounts] = {}
        self._uses: Counter[GroupId] = Counter()
        self._released: dict[GroupId, Term] = {}
        self._acknowledged: dict[GroupId, LogPosition] = {}
        self._changed = asyncio.Event()
        self._logged: dict[GroupId, tuple[object, ...]] = {}
        self._scheduling = scheduling
        self._records = records
        self._retries: dict[GroupId, RetryBudget] = {}
        self.use_times = UseTimes()
        self.loads: dict[TargetId, TargetLoad] = {}
        self.reads = reads if reads is not None else ReadBalancing(AvailabilityZone(""))
        self.tips: dict[GroupId, TipLog] = {}
        self._primary_logs: dict[GroupId, PrimaryLog] = {}
        self.entries = 1
        self._places: tuple[EntryPlace, ...] = ()
        self._places_version = 0
        self._last_places: tuple[int, int, int] | None = None
        self._holders: dict[GroupId, list[EntryPlace]] = {}

    @property
    def pools(self) -> dict[TargetId, TargetPool]:
        """Return the connections by target."""
        return self._pools

    def route(self, group: GroupId) -> Route | None:
        """Return the known route of a group without regard to its lease."""
        return self._state.routes.route(group)

    def primary(self, group: GroupId, *, is_transaction: bool = False) -> Route | None:
        """Return the route of a group if new work may start at its primary now."""
        route = self._state.routes.leased_route(group, self._clock.monotonic())
        if route is None or route.paused or (is_transaction and route.transactions_paused):
            return None
        return route

    async def wait_for_primary(
        self, group: GroupId, deadline: float, *, is_transaction: bool = False
    ) -> Route | None:
        """Return the route once new work may start at the primary; ``None`` at the deadline.

        :param deadline: monotonic time in seconds.
        """
        while True:
            route = self.primary(group, is_transaction=is_transaction)
            remaining = deadline - self._clock.monotonic()
            if route is not None or remaining <= 0:
                return route
            try:
                async with asyncio.timeout(remaining):
                    await self._changed.wait()
            except TimeoutError:
                return self.primary(group, is_transaction=is_transaction)

    def may_have_primary(self, group: GroupId) -> bool:
        """Tell whether the group may get a usable primary soon.

        Without contact with control no lease will come, so that waiting would be in vain.
        """
        has_contact = self._state.has_contact(self._clock.monotonic())
        return self.primary(group) is not None or has_contact

    def is_current(self, group: GroupId, term: Term) -> bool:
        """Tell whether the primary of a term may still be used."""
        return self._state.routes.is_current(group, term, self._clock.monotonic())

    def begin_use(self, group: GroupId) -> None:
        """Count work that starts at the primary."""
        self._uses[group] += 1

    def end_use(self, group: GroupId) -> None:
        """Count the end of work at the primary; the last one hands back a paused route."""
        self._uses[group] -= 1
        self._release_paused(group)

    async def borrow(
        self, group: GroupId, member: RouteMember, demand: ConnectionDemand
    ) -> BorrowedConnection:
        """Return a connection to a target, of this instance or of a holder.

        :raises ConnectError: there is none in time.
        """
        own = None
        if self._has_organisations:
            holders = self._target_holders(group, member)
            own = self._own_connections(group, member)
        else:
            holders = self.holders(group)
        if holders and self._borrowing is not None:
            target_zone = member.zone if self.reads.is_balanced else None
            connection = await self._borrowing.acquire(
                holders, group, member.target, demand, own, target_zone=target_zone
            )
            if connection is not None:
                return connection
        return await self._acquire_own(group, member, demand)

    def runs_reads_at_holders(self, group: GroupId) -> bool:
        """Tell whether holders run reads, rather than lend a connection for each.

        Only where organisations are in force: their connections are kept by few holders, mostly in
        another zone, so that a second exchange would cost as much as the read.
        """
        has_holders = self._has_organisations and bool(self._group_holders(group))
        return has_holders and self._borrowing is not None

    async def run_read(
        self, group: GroupId, member: RouteMember, demand: ConnectionDemand, read: HeldRead
    ) -> HeldReply | None:
        """Have a holder run a read; ``None`` when no holder answers.

        :raises ConnectError: no holder has a connection in time.
        :raises ConnectionLost: there is no whole answer of the target.
        """
        own = self._own_connections(group, member)
        holders = self._target_holders(group, member)
        return await self._borrowing.run_read(holders, group, member.target, demand, read, own)

    def _own_connections(self, group: GroupId, member: RouteMember) -> OwnConnections:
        async def acquire(demand: ConnectionDemand) -> PooledConnection:
            return await self._acquire_own(group, member, demand)

        return OwnConnections(self._instance, acquire)

    def _target_holders(self, group: GroupId, member: RouteMember) -> list[EntryPlace]:
        """Return the holders of one target where organisations are in force."""
        return target_holders(self._group_holders(group), member.zone)

    async def acquire(
        self, group: GroupId, target: TargetId, demand: ConnectionDemand
    ) -> PooledConnection:
        """Return a connection of this instance, to lend it to another one.

        :raises ConnectError: the target is not listed here, or has no connection in time.
        """
        member = self._member(group, target)
        if member is not None:
            return await self._acquire_own(group, member, demand)
        raise ConnectError(ConnectFailure.LIMITED, f"{target} is not listed at {self._instance}")

    async def _acquire_own(
        self, group: GroupId, member: RouteMember, demand: ConnectionDemand
    ) -> PooledConnection:
        """Return a connection of this instance; a new one tells the round trip to its zone."""
        pooled = await self._pool(group, member).acquire(demand)
        seconds = pooled.take_round_trip()
        if seconds is not None:
            now = self._clock.monotonic()
            self.reads.record_round_trip(member.zone, RoundTripSource.TARGET, seconds, now)
        return pooled

    def in_use(self, target: TargetId) -> int:
        """Return the connections of this instance to a target that are in use."""
        pool = self._pools.get(target)
        return pool.use[0] if pool is not None else 0

    def target_load(self, group: GroupId, target: TargetId) -> peer_pb2.TargetLoad:
        """Return what this instance tells an entry to which it lends a connection."""
        route, pool = self._state.routes.route(group), self._pools.get(target)
        members = route.members if route is not None else ()
        targets = {member.target: member.zone for member in members if not member.leaving}
        use = pool.use if pool is not None else (0, 0, 0)
        return self.reads.make_load(target, targets, use, self._clock.monotonic())

    def holders(self, group: GroupId) -> list[EntryPlace]:
        """Return the other instances that hold connections of a group.

        :returns: nothing where this instance has connections of its own.
        """
        holders = self._group_holders(group)
        is_holder = any(place.instance == self._instance for place in holders)
        return [] if is_holder else holders

    def _group_holders(self, group: GroupId) -> list[EntryPlace]:
        """Return all instances that hold connections of a group; empty if every one does."""
        holders = self._holders.get(group)
        if holders is None:
            usable = self._usable_connections(group)
            holders = choose_holders(group, self._places, usable) if usable else []
            self._holders[group] = holders
            if holders:
                subject = ", ".join(place.instance for place in holders)
                log_event(logger, catalogue.HOLDERS_CHANGED, group=group, subject=subject)
        return holders

    @property
    def _has_organisations(self) -> bool:
        document = self._state.document
        return document is not None and document.organisations is not None

    def _member(self, group: GroupId, target: TargetId) -> RouteMember | None:
        route = self._state.routes.route(group)
        members = route.members if route is not None else ()
        return next((member for member in members if member.target == target), None)

    def _pool(self, group: GroupId, member: RouteMember) -> TargetPool:
        """Return the connections of this instance to a target."""
        pool = self._pools.get(member.target)
        if pool is not None and pool.address != member.address:
            pool.close()
            pool = None
        if pool is None:
            pool = TargetPool(
                group,
                member.target,
                member.address,
                self._driver,
                self._clock,
                self._scheduling,
                self._records,
            )
            self._pools[member.target] = pool
            self._set_share(pool)
        return pool

    def _set_share(self, pool: TargetPool) -> None:
        """Divide the connections of a target among the instances that hold some."""
        usable = self._usable_connections(pool.group)
        if not usable:
            return
        member = self._member(pool.group, pool.target)
        if self._has_organisations and member is not None:
            self._set_plan(pool, member, usable)
            return
        pool.rules = None
        if self.holders(pool.group):
            pool.share = 0
        else:
            holders = self._holders[pool.group]
            kept = usable // HELD_IDLE_DIVISOR if holders else usable
            pool.share = kept // (len(holders) or self.entries)
        pool.limit = min(usable, max(MINIMUM_LIMIT, BURST_FACTOR * pool.share))
        slots = member.slots if member is not None else 1
        sharing = len(self._group_holders(pool.group)) or self.entries
        pool.budget.update(openings_per_second(slots, sharing), pool.limit)

    def _set_plan(self, pool: TargetPool, member: RouteMember, usable: int) -> None:
        """Divide the connections of a target where organisations are in force."""
        holders = target_holders(self._group_holders(pool.group), member.zone)
        plan = ConnectionPlan.divide(usable, holders, self._instance, self.entries, member.slots)
        pool.share, pool.limit = plan.kept, plan.limit
        pool.budget.update(plan.openings_per_second, plan.limit)
        if pool.rules is None:
            pool.rules = OpeningRules(plan)
        else:
            pool.rules.update(plan)

    def _usable_connections(self, group: GroupId) -> int:
        """Return the connections that instances may have to one target; 0 when it is not known."""
        limits = self._state.document.groups.get(group) if self._state.document else None
        return max(1, limits.max_connections - RESERVED_CONNECTIONS) if limits is not None else 0

    def retries(self, group: GroupId) -> RetryBudget | None:
        """Return the budget of repeated attempts of a group; ``None`` without a limit."""
        if self._scheduling != "fair":
            return None
        return self._retries.setdefault(group, RetryBudget())

    def load(self, target: TargetId) -> TargetLoad:
        """Return what this instance has seen of a target."""
        return self.loads.setdefault(target, TargetLoad())

    def counts(self, target: TargetId) -> TargetCounts:
        """Return what was seen at a target since the last report."""
        return self._counts.setdefault(target, TargetCounts())

    def tip(self, group: GroupId) -> TipLog:
        """Return the positions read at the primary of a group."""
        return self.tips.setdefault(group, TipLog())

    def primary_log(self, group: GroupId) -> PrimaryLog:
        """Return what is known of the log of the primary of a group."""
        return self._primary_logs.setdefault(group, PrimaryLog())

    def record_acknowledgement(self, group: GroupId, term: Term, position: LogPosition) -> None:
        """Record the position of a commit at the primary of a term that a caller is told of."""
        self.primary_log(group).record(term, position)
        self._acknowledged[group] = max(self._acknowledged.get(group, ZERO_POSITION), position)

    def update(self, update: peer_pb2.ControlUpdate) -> bool:
        """Take the routes of an update over; returns whether it made a lease be handed back.

        The update was already accepted by the fences.
        """
        before = dict(self._released)
        now = self._clock.monotonic()
        leased = {
            GroupId(route.group)
            for route in update.routes
            if self._state.routes.leased_route(GroupId(route.group), now) is not None
        }
        for group in self._state.apply_routes(update):
            self._log_route(group)
        self._update_places(update)
        for group in self._state.revoke_routes(update):
            self._record_release(group)
        for route in update.routes:
            group = GroupId(route.group)
            known = self._released.get(group)
            if known is not None and (route.lease_ms or known < route.term):
                del self._released[group]
            if not route.lease_ms and group in leased:
                # Control ends the lease; it may not be used again before a later grant.
                self._state.routes.release_lease(group, now)
                self._record_release(group)
            self._release_paused(group)
        for group in self._state.renew_routes(update):
            self._released.pop(group, None)
            self._release_paused(group)
        self._record_tips(update)
        if self._quotas is not None:
            self._quotas.update(update)
        if update.routes:
            self._close_unlisted_pools()
        self._changed.set()
        self._changed = asyncio.Event()
        return any(before.get(group) != term for group, term in self._released.items())

    def _record_tips(self, update: peer_pb2.ControlUpdate) -> None:
        """Take over the positions that the control leader has read at the primaries."""
        requested_at = update.echo_sent_at_ns / NANOSECONDS_PER_SECOND
        for tip in update.tips:
            read_at = requested_at - tip.age_ms / MILLISECONDS_PER_SECOND
            group, position = GroupId(tip.group), position_from(tip.position)
            self.tip(group).add(read_at, position)
            self.primary_log(group).record(self._state.routes.term(group), position)

    def _update_places(self, update: peer_pb2.ControlUpdate) -> None:
        """Take over which instances serve; a new control leader does not know it at once."""
        if not update.serving_entries:
            return
        seen = (update.serving_entries, update.serving_version, self._state.document_number)
        if seen == self._last_places:
            return
        self._last_places = seen
        self.entries = update.serving_entries
        if update.serving:
            self._places_version = update.serving_version
            self._places = tuple(
                EntryPlace(InstanceId(entry.instance), AvailabilityZone(entry.availability_zone))
                for entry in update.serving
            )
        self._holders.clear()
        for pool in self._pools.values():
            self._set_share(pool)

    def fill_report(self, report: peer_pb2.EntryReport, now: float) -> None:
        """Add what control needs to know about leases and primaries."""
        report.serving_version = self._places_version
        if self._quotas is not None:
            self._quotas.fill_report(report, now)
        for group, term in self._released.items():
            until_ns = release_time_ns(self._state.routes.released_until(group))
            report.released.append(peer_pb2.RouteRelease(group=group, term=term, until_ns=until_ns))
        for group, position in self._acknowledged.items():
            item = report.acknowledged.add(group=group)
            item.position.CopyFrom(position_message(position))
        for target, pool in self._pools.items():
            if pool.refusals:
                self.counts(target).refusals += pool.refusals
                pool.refusals = 0
        for target, counts in self._counts.items():
            report.observations.append(
                peer_pb2.TargetObservation(
                    target=target,
                    successes=counts.successes,
                    refusals=counts.refusals,
                    timeouts=counts.timeouts,
                    commits=counts.commits,
                    commit_timeouts=counts.commit_timeouts,
                )
            )
        self._counts.clear()

    def release_all(self) -> None:
        """Hand back all leases, as the instance stops."""
        for group in self._state.routes.groups:
            self._state.routes.release_lease(group)
            self._record_release(group)

    def tick(self, now: float) -> None:
        """Close idle connections and log leases that ended."""
        for route in self._state.routes.pop_expired_routes(now):
            if route.group not in self._released:
                log_event(logger, catalogue.LEASE_EXPIRED, group=route.group, term=route.term)
        if now < self._pools_due_at:
            return
        self._pools_due_at = now + POOL_TICK_SECONDS
        for pool in self._pools.values():
            pool.tick(now)
            self._connection_records.record(pool.group, pool.target, pool.take_counts(), now)

    def close(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            pool.close()

    def _release_paused(self, group: GroupId) -> None:
        route = self._state.routes.route(group)
        now = self._clock.monotonic()
        if route is None or not route.paused or self._uses[group] > 0:
            return
        if self._state.routes.leased_route(group, now) is not None:
            self._state.routes.release_lease(group, now)
            self._record_release(group)

    def _record_release(self, group: GroupId) -> None:
        term = self._state.routes.term(group)
        self._released[group] = term
        log_event(logger, catalogue.LEASE_RETURNED, group=group, term=term)

    def _log_route(self, group: GroupId) -> None:
        """Log a route whose primary or members differ from those of the last one."""
        route = self._state.routes.route(group)
        known = (route.term, route.primary, route.members)
        if self._logged.get(group) == known:
            return
        self._logged[group] = known
        members = [f"{m.target}{' (leaving)' if m.leaving else ''}" for m in route.members]
        log_event(
            logger,
            catalogue.ROUTE_CHANGED,
            group=group,
            target=route.primary,
            term=route.term,
            members=members,
        )

    def _close_unlisted_pools(self) -> None:
        """Close the connections to targets that no route lists any more."""
        listed = set()
        for group in self._state.routes.groups:
            route = self._state.routes.route(group)
            listed.update(member.target for member in route.members)
        for target in set(self._pools) - listed:
            self._pools.pop(target).close()
            self._connection_records.forget(target)
            self.loads.pop(target, None)
        self.reads.keep_only(listed)
