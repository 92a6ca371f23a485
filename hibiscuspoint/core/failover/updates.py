"""Routes in the updates for entries: what changed since the last update on the same stream."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from hibiscuspoint.core.control.route_state import RouteState
from hibiscuspoint.core.control.state import GroupPhase
from hibiscuspoint.core.control.updates import add_revocation
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND
from hibiscuspoint.wire import peer_pb2
from hibiscuspoint.wire.position import position_message

if TYPE_CHECKING:
    from hibiscuspoint.core.control.delivery import DeliveredRoutes
    from hibiscuspoint.core.control.entries import EntryInfo
    from hibiscuspoint.core.control.leases import LeaseLedger
    from hibiscuspoint.core.control.state import TargetRecord
    from hibiscuspoint.core.failover.group import GroupFailover
    from hibiscuspoint.ids import EntryProcess, GroupId, TargetId, Term

__all__ = ["RouteContent", "add_routes"]


class RouteContent(NamedTuple):
    """A route as an entry has it, without the end of its lease.

    :param has_lease: whether the entry may use the primary; a lease of unchanged routes is renewed
        with one number for all of them.
    """

    term: Term
    primary: TargetId
    paused: bool
    transactions_paused: bool
    has_lease: bool
    targets: tuple[TargetRecord, ...]

    @classmethod
    def of(
        cls, failover: GroupFailover, process: EntryProcess, ledger: LeaseLedger, now: float
    ) -> RouteContent | None:
        """Return the route that an entry may have now; ``None`` while no term is started."""
        record = failover.record
        if record.primary is None or record.phase is not GroupPhase.STARTED:
            return None
        state = failover.route_state
        is_paused = state is RouteState.PAUSED
        has_lease = state is RouteState.GRANTED or (
            is_paused and process in ledger.leaseholders(record.group, now)
        )
        has_lease = has_lease and not ledger.is_void(record.group, process, record.term)
        targets = tuple(record.targets[target] for target in failover.listed_targets(now))
        return cls(
            record.term,
            record.primary,
            is_paused,
            failover.pauses_transactions,
            has_lease,
            targets,
        )

    def to_message(self, group: GroupId, lease_ms: int) -> peer_pb2.Route:
        """Return the message of the route, with its lease if it has one."""
        return peer_pb2.Route(
            group=group,
            term=self.term,
            primary=self.primary,
            paused=self.paused,
            transactions_paused=self.transactions_paused,
            lease_ms=lease_ms if self.has_lease else 0,
            members=map(_member_message, self.targets),
        )


def add_routes(
    update: peer_pb2.ControlUpdate,
    groups: dict[GroupId, GroupFailover],
    entry: EntryInfo,
    ledger: LeaseLedger,
    delivered: DeliveredRoutes,
    lease_seconds: float,
    now: float,
    *,
    is_recorded: bool = True,
) -> None:
    """Add the routes that changed, renew the leases of the others and record all leases.

    :param entry: last report of the entry, which the update answers.
    :param delivered: what was sent on the stream of the entry before; updated.
    :param now: monotonic time in seconds.
    :param is_recorded: whether later leaders know that the entry may have leases; it gets none
        before.
    """
    lease_ms = int(lease_seconds * MILLISECONDS_PER_SECOND)
    update.all_routes = not delivered.is_started
    update.renewed_lease_ms = lease_ms
    delivered.is_started = True
    for group, failover in groups.items():
        content = RouteContent.of(failover, entry.process, ledger, now)
        if content is None:
            add_revocation(update, failover.record)
            delivered.contents.pop(group, None)
            continue
        if not is_recorded or not lease_ms:
            # A route that was sent with a lease is only renewed, which needs one to begin with.
            content = content._replace(has_lease=False)
        if content.has_lease:
            ledger.grant(group, entry.process, content.term, now, entry.sent_at_ns)
        if delivered.contents.get(group) != content:
            delivered.contents[group] = content
            update.routes.append(content.to_message(group, lease_ms))
        _add_tip(update, failover, delivered, now)


def _add_tip(
    update: peer_pb2.ControlUpdate, failover: GroupFailover, delivered: DeliveredRoutes, now: float
) -> None:
    """Add the last position read at the primary if it was read after the one sent before."""
    if failover.tip is None:
        return
    position, polled_at = failover.tip
    group = failover.record.group
    if delivered.tips.get(group) == polled_at:
        return
    delivered.tips[group] = polled_at
    update.tips.append(
        peer_pb2.GroupTip(
            group=group,
            position=position_message(position),
            age_ms=int((now - polled_at) * MILLISECONDS_PER_SECOND) + 1,
        )
    )


def _member_message(target: TargetRecord) -> peer_pb2.RouteMember:
    return peer_pb2.RouteMember(
        target=target.target,
        address=target.address,
        availability_zone=target.availability_zone,
        slots=target.slots,
        leaving=target.leaving,
    )
