"""Holders of one group and their shares of the connections to its targets."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.core.control.effects import Propose, Terminate
from hibiscuspoint.core.control.holders import choose_holders
from hibiscuspoint.core.control.shares import ShareLedger
from hibiscuspoint.ids import TargetId
from hibiscuspoint.wire import record_pb2

if TYPE_CHECKING:
    from hibiscuspoint.core.control.effects import Effect
    from hibiscuspoint.core.control.entries import EntryDirectory, EntryInfo
    from hibiscuspoint.core.control.leases import LeaseLedger
    from hibiscuspoint.core.control.state import GroupRecord
    from hibiscuspoint.core.control.targets import TargetDirectory, TargetInfo
    from hibiscuspoint.document.model import GroupModel
    from hibiscuspoint.ids import InstanceId
    from hibiscuspoint.wire import peer_pb2

__all__ = ["ConnectionAllocator", "ConnectionUse"]

#: Low bits of a grant's sequence number, which count the grants of one control term. The bits above
#: hold the control term, so that the grants of a later term have higher numbers.
SEQUENCE_BITS = 32

#: Seconds after which a proposal or a termination is sent again.
RETRY_SECONDS = 1.0

#: Longest time in seconds that a new leader waits for reports of its predecessor's holders.
SETTLE_SECONDS = 2.0


@dataclass(frozen=True)
class ConnectionUse:
    """Connections of an entry to a target, from its last report.

    :param open_connections: connections that are open.
    :param demand: connections that requests used or waited for.
    """

    open_connections: int = 0
    demand: int = 0


class ConnectionAllocator:
    """Chooses the holders of a group and allocates the connections to its targets among them.

    An entry is recorded in the control log as a holder before its first share and its first route
    lease are granted. A later leader therefore knows every entry that may have connections open or
    may use the primary.

    All times are monotonic and in seconds.

    :param record: durable record of the group; changes as commands are applied.
    :param rules: the group in the document.
    :param targets: targets that announce themselves.
    :param leases: route leases of all groups.
    :param control_term: term of the control group; the high part of the sequence numbers of grants.
    :param since: time at which this instance became leader.
    """

    def __init__(
        self,
        record: GroupRecord,
        rules: GroupModel,
        targets: TargetDirectory,
        leases: LeaseLedger,
        control_term: int,
        since: float,
    ) -> None:
        self._record = record
        self._rules = rules
        self._targets = targets
        self._first_sequence = control_term << SEQUENCE_BITS
        self._leases = leases
        self._settled_from = since + SETTLE_SECONDS
        self._inherited_holders = record.holders
        self._holders: list[InstanceId] = []
        #: Arguments of the last choice of holders, which is repeated only when one of them changes.
        self._choice_inputs: tuple[object, ...] = ()
        self._ledgers: dict[TargetId, ShareLedger] = {}
        self._uses: dict[tuple[TargetId, InstanceId], ConnectionUse] = {}
        self._proposed_at = -RETRY_SECONDS
        #: Proposed holder lists that were not applied yet, oldest first.
        self._proposed_holders: list[tuple[InstanceId, ...]] = []
        self._terminated_at: dict[tuple[TargetId, InstanceId], float] = {}

    @property
    def holders(self) -> list[InstanceId]:
        """Current holders, the preferred one first."""
        return self._holders

    @property
    def affected_instances(self) -> set[InstanceId]:
        """Instances that are or were holders, or that may still have connections.

        An instance that was suspended while its connections were closed resumes and reports a
        share that now belongs to others. It has to receive a smaller grant, because otherwise its
        share would remain reserved for ever.
        """
        reserving = {instance for ledger in self._ledgers.values() for instance in ledger.instances}
        return reserving.union(self._holders, self._record.holders)

    @property
    def ready_holders(self) -> list[InstanceId]:
        """Holders with connections to every known target, or all holders if there is none such.

        A new holder is not ready while the connections of a failed one are still reserved.
        """
        ready = [
            holder
            for holder in self._holders
            if all(ledger.current_grant(holder)[0] for ledger in self._ledgers.values())
        ]
        return ready or self._holders

    def may_receive_lease(self, instance: InstanceId) -> bool:
        """Tell whether an entry is recorded, so that a later leader expects its route lease."""
        return instance in self._recorded_holders()

    def is_settled(self, entries: EntryDirectory, now: float) -> bool:
        """Tell whether this leader may choose other holders than the previous leader.

        It waits until all holders of the previous leader have reported and all members have
        announced themselves, or for :data:`SETTLE_SECONDS`. Entries attach to a new leader one
        after the other; an earlier choice would close connections of holders that attach later.
        """
        has_reports = all(entries.get(instance) is not None for instance in self._inherited_holders)
        # A choice by the zones of only some targets would be changed by the next announcement.
        has_announcements = len(self._members()) == len(self._record.members)
        return (has_reports and has_announcements) or now >= self._settled_from

    def set_rules(self, rules: GroupModel) -> None:
        """Use the rules of a new document."""
        self._rules = rules

    def share(self, target: TargetId, instance: InstanceId) -> tuple[int, int]:
        """Return the granted connections of an instance and the sequence number of the grant."""
        ledger = self._ledgers.get(target)
        return ledger.current_grant(instance) if ledger is not None else (0, 0)

    def connection_use(self, target: TargetId, instance: InstanceId) -> ConnectionUse:
        """Return the connections to a target that an entry reported last."""
        return self._uses.get((target, instance), ConnectionUse())

    def is_unused(self, target: TargetId) -> bool:
        """Tell whether no entry reported requests that use or wait for a connection."""
        return all(not use.demand for (used, _), use in self._uses.items() if used == target)

    def reserved_connections(self, target: TargetId) -> int:
        """Return the connections that all instances together may have open at a target."""
        ledger = self._ledgers.get(target)
        return ledger.reserved_connections if ledger is not None else 0

    def record_share_use(self, instance: InstanceId, share: peer_pb2.ShareUse) -> None:
        """Record the share of a target that an entry reports to use."""
        ledger = self._ledgers.get(share.target)
        if ledger is not None:
            ledger.record_report(instance, share.allowance, share.open_connections, share.sequence)
            use = ConnectionUse(share.open_connections, share.demand)
            self._uses[TargetId(share.target), instance] = use

    def record_termination(
        self, target: TargetId, instance: InstanceId, entries: EntryDirectory
    ) -> None:
        """Free the share of an instance whose connections a target has closed.

        Nothing is freed if the instance has reported since the termination was sent, because it
        may have opened new connections.
        """
        ledger = self._ledgers.get(target)
        requested_at = self._terminated_at.get((target, instance))
        entry = entries.get(instance)
        has_returned = (
            entry is not None and requested_at is not None and entry.seen_at >= requested_at
        )
        if ledger is not None and not has_returned:
            ledger.record_termination(instance)
            self._uses.pop((target, instance), None)

    def tick(self, entries: EntryDirectory, serving: list[EntryInfo], now: float) -> list[Effect]:
        """Choose holders, allocate connections and return the effects.

        :param entries: entries that report.
        :param serving: live entries that are not draining. The caller passes the same list object
            until an entry joins, leaves or changes its placement.
        """
        members = self._members()
        self._choose(entries, serving, members, now)
        effects: list[Effect] = []
        for info in members:
            effects += self._tick_target(info, entries, now)
        return effects + self._record_holders(now)

    def _choose(
        self,
        entries: EntryDirectory,
        serving: list[EntryInfo],
        members: list[TargetInfo],
        now: float,
    ) -> None:
        if not self.is_settled(entries, now):
            self._holders = list(self._inherited_holders)
            self._choice_inputs = ()
            return
        zones = {info.availability_zone for info in members}
        # Hashing every entry for every group was the largest part of a tick, so the choice is
        # repeated only when its inputs change.
        inputs = (serving, zones, self._rules.holders)
        if self._choice_inputs and self._choice_inputs[0] is serving:
            if self._choice_inputs[1:] == inputs[1:]:
                return
        self._choice_inputs = inputs
        self._holders = choose_holders(self._record.group, serving, zones, self._rules.holders)

    def _tick_target(self, info: TargetInfo, entries: EntryDirectory, now: float) -> list[Effect]:
        """Divide the connections of a target and terminate those of failed instances."""
        ledger = self._ledger_of(info)
        recorded = self._recorded_holders()
        ledger.rebalance([holder for holder in self._holders if holder in recorded])
        effects: list[Effect] = []
        for instance in ledger.instances:
            if not self._is_lost(instance, entries, now):
                continue
            key = (info.target, instance)
            if now - self._terminated_at.get(key, -RETRY_SECONDS) < RETRY_SECONDS:
                continue
            self._terminated_at[key] = now
            entry = entries.get(instance)
            incarnation = entry.incarnation if entry is not None else 0
            effects.append(Terminate(info.target, info.address, instance, incarnation))
        return effects

    def _is_lost(self, instance: InstanceId, entries: EntryDirectory, now: float) -> bool:
        """Tell whether an instance has been silent until every lease of it has expired."""
        if not self._leases.is_complete(now):
            return False
        return entries.has_no_valid_lease(instance, now)

    def _ledger_of(self, info: TargetInfo) -> ShareLedger:
        limit = min(info.max_connections, self._rules.connections or info.max_connections)
        ledger = self._ledgers.get(info.target)
        if ledger is None:
            ledger = ShareLedger(limit, self._first_sequence, self._inherited_holders)
            self._ledgers[info.target] = ledger
        ledger.set_limit(limit)
        return ledger

    def _recorded_holders(self) -> set[InstanceId]:
        """Return the holders in the control log that no pending proposal removes."""
        if self._record.holders in self._proposed_holders:
            applied = self._proposed_holders.index(self._record.holders)
            del self._proposed_holders[: applied + 1]
        return set(self._record.holders).intersection(*self._proposed_holders)

    def _record_holders(self, now: float) -> list[Effect]:
        """Propose the holder list for the control log if it differs from the recorded one.

        Former holders stay in it while they may have connections or a route lease.
        """
        reserving = {instance for ledger in self._ledgers.values() for instance in ledger.instances}
        leased = self._leases.possible_leaseholders(self._record.group, now)
        holders = set(self._holders) | ((reserving | leased) & set(self._record.holders))
        if len(self._ledgers) < len(self._record.members):
            # The connections to a target that has not announced itself are unknown.
            holders |= set(self._record.holders)
        if holders == set(self._record.holders) or now - self._proposed_at < RETRY_SECONDS:
            return []
        self._proposed_at = now
        self._proposed_holders.append(tuple(sorted(holders)))
        body = record_pb2.SetHolders(group=self._record.group, instances=self._proposed_holders[-1])
        return [Propose(record_pb2.Command(set_holders=body))]

    def _members(self) -> list[TargetInfo]:
        infos = self._targets.of_group(self._record.group)
        return [info for info in infos if info.target in self._record.members]
