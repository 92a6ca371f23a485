"""Holders of one group and their shares of the connections of its targets."""

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

#: Bits for the sequence of grants within one control term.
SEQUENCE_BITS = 32

#: Seconds after which a proposal or a termination is tried again.
RETRY_SECONDS = 1.0

#: Longest time in seconds that a new leader waits for the holders of its predecessor.
SETTLE_SECONDS = 2.0


@dataclass(frozen=True)
class ConnectionUse:
    """Connections of an entry to a target, as it reported them last.

    :param demand: connections that requests used or waited for.
    """

    open_connections: int = 0
    demand: int = 0


class ConnectionAllocator:
    """Decides which entries hold connections of a group, and how many each.

    An entry is written to the control log before its first share and its first route lease are
    granted, so that a later leader knows whose connections may be open and who may use the primary.

    :param rules: the group in the document.
    :param control_term: term of the control group; orders the sequences of grants.
    :param since: time at which this instance became leader, in seconds.
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
        self._chosen_from: tuple[object, ...] = ()
        self._ledgers: dict[TargetId, ShareLedger] = {}
        self._uses: dict[tuple[TargetId, InstanceId], ConnectionUse] = {}
        self._proposed_at = -RETRY_SECONDS
        self._proposed: list[tuple[InstanceId, ...]] = []
        self._terminated_at: dict[tuple[TargetId, InstanceId], float] = {}

    @property
    def holders(self) -> list[InstanceId]:
        """Return the present holders, preferred first."""
        return self._holders

    @property
    def affected_instances(self) -> set[InstanceId]:
        """Return the instances that are holders or may still have connections.

        An instance that woke up after its connections were closed reports a share that was given
        to others; it must be told, or that share would count for ever.
        """
        charged = {i for ledger in self._ledgers.values() for i in ledger.instances}
        return charged.union(self._holders, self._record.holders)

    @property
    def ready_holders(self) -> list[InstanceId]:
        """Return the holders with connections to every known target, or else all of them.

        A new holder gets its share only after the connections of a lost one have ended.
        """
        ready = [
            holder
            for holder in self._holders
            if all(ledger.current_grant(holder)[0] for ledger in self._ledgers.values())
        ]
        return ready or self._holders

    def may_receive_lease(self, instance: InstanceId) -> bool:
        """Tell whether a later leader would know that an entry has a route lease."""
        return instance in self._recorded_holders()

    def is_settled(self, entries: EntryDirectory, now: float) -> bool:
        """Tell whether holders may change.

        After a change of leader the entries attach one after the other. Holders that are kept
        until then do not lose their connections.
        """
        reported = all(entries.get(instance) is not None for instance in self._inherited_holders)
        # The zones of the targets decide which entries are near, so a few of them mislead.
        announced = len(self._members()) == len(self._record.members)
        return (reported and announced) or now >= self._settled_from

    def set_rules(self, rules: GroupModel) -> None:
        """Take the rules of a new document over."""
        self._rules = rules

    def share(self, target: TargetId, instance: InstanceId) -> tuple[int, int]:
        """Return the granted connections and the sequence of the grant."""
        ledger = self._ledgers.get(target)
        return ledger.current_grant(instance) if ledger is not None else (0, 0)

    def connection_use(self, target: TargetId, instance: InstanceId) -> ConnectionUse:
        """Return what an entry reported last about its connections to a target."""
        return self._uses.get((target, instance), ConnectionUse())

    def is_unused(self, target: TargetId) -> bool:
        """Tell whether no entry reported a request that uses or waits for a connection."""
        return all(not use.demand for (used, _), use in self._uses.items() if used == target)

    def reserved_connections(self, target: TargetId) -> int:
        """Return the connections that all instances may have open at a target."""
        ledger = self._ledgers.get(target)
        return ledger.reserved_connections if ledger is not None else 0

    def record_share_use(self, instance: InstanceId, share: peer_pb2.ShareUse) -> None:
        """Take the report of an entry about its share of a target."""
        ledger = self._ledgers.get(share.target)
        if ledger is not None:
            ledger.record_report(instance, share.allowance, share.open_connections, share.sequence)
            use = ConnectionUse(share.open_connections, share.demand)
            self._uses[TargetId(share.target), instance] = use

    def record_termination(
        self, target: TargetId, instance: InstanceId, entries: EntryDirectory
    ) -> None:
        """Take the confirmation that a target closed the connections of an instance.

        It frees nothing if the instance reported since the request, as it may have opened new ones.
        """
        ledger = self._ledgers.get(target)
        asked_at = self._terminated_at.get((target, instance))
        entry = entries.get(instance)
        has_returned = entry is not None and asked_at is not None and entry.seen_at >= asked_at
        if ledger is not None and not has_returned:
            ledger.record_termination(instance)
            self._uses.pop((target, instance), None)

    def tick(self, entries: EntryDirectory, serving: list[EntryInfo], now: float) -> list[Effect]:
        """Choose holders, divide connections and return the effects.

        :param serving: live entries that are not draining; the same list until one comes, goes or
            moves.
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
            self._chosen_from = ()
            return
        zones = {info.availability_zone for info in members}
        # Hashing every entry for every group was the largest part of a tick.
        chosen_from = (serving, zones, self._rules.holders)
        if self._chosen_from and self._chosen_from[0] is serving:
            if self._chosen_from[1:] == chosen_from[1:]:
                return
        self._chosen_from = chosen_from
        self._holders = choose_holders(self._record.group, serving, zones, self._rules.holders)

    def _tick_target(self, info: TargetInfo, entries: EntryDirectory, now: float) -> list[Effect]:
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
        """Return the entries that are in the control log and that no open proposal removes."""
        if self._record.holders in self._proposed:
            applied = self._proposed.index(self._record.holders)
            del self._proposed[: applied + 1]
        return set(self._record.holders).intersection(*self._proposed)

    def _record_holders(self, now: float) -> list[Effect]:
        charged = {i for ledger in self._ledgers.values() for i in ledger.instances}
        leased = self._leases.possible_leaseholders(self._record.group, now)
        wanted = set(self._holders) | ((charged | leased) & set(self._record.holders))
        if len(self._ledgers) < len(self._record.members):
            wanted |= set(self._record.holders)
        if wanted == set(self._record.holders) or now - self._proposed_at < RETRY_SECONDS:
            return []
        self._proposed_at = now
        self._proposed.append(tuple(sorted(wanted)))
        body = record_pb2.SetHolders(group=self._record.group, instances=self._proposed[-1])
        return [Propose(record_pb2.Command(set_holders=body))]

    def _members(self) -> list[TargetInfo]:
        infos = self._targets.of_group(self._record.group)
        return [info for info in infos if info.target in self._record.members]
