"""Updates that the control leader sends to entries: documents, holder lists, routes and shares."""

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
    """Builds the updates for entries.

    An update carries the routes and shares of only those groups whose connections or leases the
    entry may have, and the holder lists of all groups if they differ from those of the entry.

    :param instance: this instance, the control leader.
    :param control_term: term of the control group.
    :param state: replicated state.
    :param targets: targets that announce themselves.
    :param ledger: route leases of all groups.
    """

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
        self._holder_lists: list[peer_pb2.GroupHolders] = []
        #: Hash of the holder lists.
        self._holders_version = 0
        self._groups_by_instance: dict[InstanceId, set[GroupId]] = {}

    def add_recipients(self, group: GroupId, instances: Iterable[InstanceId]) -> None:
        """Record that instances may need the route and the shares of a group."""
        for instance in instances:
            self._groups_by_instance.setdefault(instance, set()).add(group)

    def refresh_recipients(
        self, allocators: dict[GroupId, ConnectionAllocator], now: float
    ) -> None:
        """Recompute which groups each instance may need.

        No group is missed between two calls: holders change only in the tick that makes the call,
        and leases are granted only to the instances recorded here.
        """
        self._groups_by_instance.clear()
        for group, allocator in allocators.items():
            self.add_recipients(group, allocator.affected_instances)
            self.add_recipients(group, self._ledger.leasing_instances(group, now))

    def refresh_holders(
        self, allocators: dict[GroupId, ConnectionAllocator], serving: list[EntryInfo]
    ) -> bool:
        """Rebuild the holder lists that all entries receive and tell whether they changed.

        :param allocators: groups whose holders are to be published.
        :param serving: live entries that are not draining; other holders are not listed.
        """
        addresses = {entry.instance: entry.address for entry in serving}
        self._holder_lists = [
            _holders_message(group, allocator.ready_holders, addresses)
            for group, allocator in allocators.items()
        ]
        serialized = b"".join(
            message.SerializeToString(deterministic=True) for message in self._holder_lists
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
        """Return the update for an entry and record the leases that it grants.

        :param entry: the last report of the entry.
        """
        update = peer_pb2.ControlUpdate(
            control_term=self._control_term,
            leader=self._instance,
            holders_version=self._holders_version,
        )
        add_document_identity(update, self._state)
        if entry.holders_version != self._holders_version:
            update.holders.extend(self._holder_lists)
        for group in sorted(self._groups_by_instance.get(entry.instance, ())):
            allocator = allocators[group]
            if self._is_recipient(group, allocator, entry, now):
                self._add_route(update, groups[group], allocator, entry, now)
                self._add_shares(update, groups[group].record, allocator, entry)
        return update

    def _is_recipient(
        self, group: GroupId, allocator: ConnectionAllocator, entry: EntryInfo, now: float
    ) -> bool:
        is_leased = entry.process in self._ledger.leaseholders(group, now)
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
            self._ledger.grant(record.group, entry.process, record.term, now, entry.sent_at_ns)
        self._add_members(route, record)
        for term, start in record.term_starts:
            route.history.append(peer_pb2.TermStart(term=term, start=start))
        update.routes.append(route)

    def _may_use_primary(
        self, state: RouteState, is_holder: bool, record: GroupRecord, entry: EntryInfo, now: float
    ) -> bool:
        """Tell whether an entry receives a lease.

        A former holder receives leases until it releases its last one, so that it can finish its
        work in progress. The holders of the previous leader do so too: their work must not be
        interrupted because other entries attach to the new leader first.
        """
        if state is RouteState.REVOKED:
            return False
        if state is RouteState.GRANTED and is_holder:
            return True
        if not self._ledger.is_complete(now) and entry.instance in record.holders:
            return True
        return entry.process in self._ledger.leaseholders(record.group, now)

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
    """Add the number and the digest of the document in force, but not its text."""
    document = state.document
    if document is not None:
        update.document_number = document.number
        update.document_digest = document.digest


def add_revocation(update: peer_pb2.ControlUpdate, record: GroupRecord) -> None:
    """Revoke the leases of the last started term, whose release a promotion waits for."""
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
