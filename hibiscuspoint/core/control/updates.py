"""Updates that the control leader sends to entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from hibiscuspoint.core.control.leases import LEASE_SECONDS
from hibiscuspoint.core.control.route_state import RouteState
from hibiscuspoint.core.control.state import GroupPhase
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND
from hibiscuspoint.wire import peer_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hibiscuspoint.core.control.entries import EntryInfo
    from hibiscuspoint.core.control.group import GroupController
    from hibiscuspoint.core.control.holdings import ConnectionAllocator
    from hibiscuspoint.core.control.leases import LeaseLedger
    from hibiscuspoint.core.control.state import ControlState, GroupRecord
    from hibiscuspoint.core.control.targets import TargetDirectory
    from hibiscuspoint.ids import GroupId, InstanceId

__all__ = ["UpdateBuilder", "add_document_identity", "add_revocation"]


class UpdateBuilder:
    """Builds the update of one entry; an update carries only what concerns that entry."""

    def __init__(
        self,
        instance: InstanceId,
        control_term: int,
        state: ControlState,
        targets: TargetDirectory,
        ledger: LeaseLedger,
    ) -> None:
        self._instance = instance
        self._control_term = control_term
        self._state = state
        self._targets = targets
        self._ledger = ledger
        self._holders: list[peer_pb2.GroupHolders] = []
        self._holders_version = 0
        self._recipient_groups: dict[InstanceId, set[GroupId]] = {}

    def add_recipients(self, group: GroupId, instances: Iterable[InstanceId]) -> None:
        """Note that a group may concern instances."""
        for instance in instances:
            self._recipient_groups.setdefault(instance, set()).add(group)

    def refresh_recipients(
        self, allocators: dict[GroupId, ConnectionAllocator], now: float
    ) -> None:
        """Recompute which groups may concern which instances.

        Holders change only in the tick that calls this, and leases are granted only to instances
        noted here, so that no group is missed in between.
        """
        self._recipient_groups.clear()
        for group, allocator in allocators.items():
            self.add_recipients(group, allocator.affected_instances)
            self.add_recipients(group, self._ledger.leaseholders(group, now))

    def refresh_holders(
        self, allocators: dict[GroupId, ConnectionAllocator], serving: list[EntryInfo]
    ) -> bool:
        """Compute the holder lists that all entries receive; returns whether they changed.

        :param serving: live entries that are not draining.
        """
        addresses = {entry.instance: entry.address for entry in serving}
        self._holders = [
            _holders_message(group, allocator.ready_holders, addresses)
            for group, allocator in allocators.items()
        ]
        serialized = b"".join(
            message.SerializeToString(deterministic=True) for message in self._holders
        )
        previous = self._holders_version
        self._holders_version = xxhash.xxh64_intdigest(serialized)
        return self._holders_version != previous

    def build(
        self,
        entry: EntryInfo,
        groups: dict[GroupId, GroupController],
        allocators: dict[GroupId, ConnectionAllocator],
        now: float,
    ) -> peer_pb2.ControlUpdate:
        """Return the update for an entry and record the leases in it as granted."""
        update = peer_pb2.ControlUpdate(
            control_term=self._control_term,
            leader=self._instance,
            holders_version=self._holders_version,
        )
        add_document_identity(update, self._state)
        if entry.holders_version != self._holders_version:
            update.holders.extend(self._holders)
        for group in sorted(self._recipient_groups.get(entry.instance, ())):
            allocator = allocators[group]
            if self._is_recipient(group, allocator, entry, now):
                self._add_route(update, groups[group], allocator, entry, now)
                self._add_shares(update, groups[group].record, allocator, entry)
        return update

    def _is_recipient(
        self, group: GroupId, allocator: ConnectionAllocator, entry: EntryInfo, now: float
    ) -> bool:
        is_leased = entry.instance in self._ledger.leaseholders(group, now)
        return is_leased or entry.instance in allocator.affected_instances

    def _add_route(
        self,
        update: peer_pb2.ControlUpdate,
        controller: GroupController,
        allocator: ConnectionAllocator,
        entry: EntryInfo,
        now: float,
    ) -> None:
        record = controller.record
        if record.primary is None or record.phase is not GroupPhase.STARTED:
            add_revocation(update, record)
            return
        state = controller.route_state
        is_holder = entry.instance in allocator.holders
        route = peer_pb2.Route(
            group=record.group,
            term=record.term,
            primary=record.primary,
            ack_quorum=record.ack_quorum,
            paused=state is RouteState.PAUSED or not is_holder,
        )
        if allocator.may_receive_lease(entry.instance) and self._may_use_primary(
            state, is_holder, record, entry, now
        ):
            route.lease_ms = int(LEASE_SECONDS * MILLISECONDS_PER_SECOND)
            self._ledger.grant(record.group, entry.instance, record.term, now)
        self._add_members(route, record)
        for term, start in record.term_starts:
            route.history.append(peer_pb2.TermStart(term=term, start=start))
        update.routes.append(route)

    def _may_use_primary(
        self, state: RouteState, is_holder: bool, record: GroupRecord, entry: EntryInfo, now: float
    ) -> bool:
        """Tell whether an entry gets a lease; a former holder keeps it until it hands it back.

        That includes the holders of the previous leader: their work in progress must not end
        because some entries attach to the new leader before others do.
        """
        if state is RouteState.REVOKED:
            return False
        if state is RouteState.GRANTED and is_holder:
            return True
        if not self._ledger.is_complete(now) and entry.instance in record.holders:
            return True
        return entry.instance in self._ledger.leaseholders(record.group, now)

    def _add_members(self, route: peer_pb2.Route, record: GroupRecord) -> None:
        for member in record.members:
            info = self._targets.get(member)
            if info is not None:
                route.members.append(
                    peer_pb2.RouteMember(
                        target=info.target,
                        address=info.address,
                        availability_zone=info.availability_zone,
                        slots=info.slots,
                        leaving=info.leaving,
                    )
                )

    def _add_shares(
        self,
        update: peer_pb2.ControlUpdate,
        record: GroupRecord,
        allocator: ConnectionAllocator,
        entry: EntryInfo,
    ) -> None:
        for member in record.members:
            connections, sequence = allocator.share(member, entry.instance)
            if sequence:
                update.shares.append(
                    peer_pb2.ShareGrant(
                        target=member,
                        connections=connections,
                        lease_ms=int(LEASE_SECONDS * MILLISECONDS_PER_SECOND),
                        sequence=sequence,
                    )
                )


def add_document_identity(update: peer_pb2.ControlUpdate, state: ControlState) -> None:
    """Name the document in force; its text follows where an entry needs it."""
    document = state.document
    if document is not None:
        update.document_number = document.number
        update.document_digest = document.digest


def add_revocation(update: peer_pb2.ControlUpdate, record: GroupRecord) -> None:
    """Ask for the leases of the last started term, which a promotion under way waits for."""
    if record.term_starts:
        term, _ = record.term_starts[-1]
        update.revoked.append(peer_pb2.RouteRelease(group=record.group, term=term))


def _holders_message(
    group: GroupId, holders: list[InstanceId], addresses: dict[InstanceId, str]
) -> peer_pb2.GroupHolders:
    listed = [
        peer_pb2.Holder(instance=instance, address=addresses[instance])
        for instance in holders
        if instance in addresses
    ]
    return peer_pb2.GroupHolders(group=group, holders=listed)
