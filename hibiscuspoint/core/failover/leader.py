"""Decisions of the control leader for groups whose targets acknowledge commits on their own."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING

from hibiscuspoint.core.control.detector import STALL_SECONDS
from hibiscuspoint.core.control.effects import Propose
from hibiscuspoint.core.control.entries import (
    ENTRY_REMOVAL_SECONDS,
    EntryDirectory,
    EntryInfo,
)
from hibiscuspoint.core.control.leases import LeaseLedger
from hibiscuspoint.core.control.state import TargetRecord
from hibiscuspoint.core.control.updates import add_document_identity
from hibiscuspoint.core.failover.group import GroupFailover
from hibiscuspoint.core.failover.updates import add_routes
from hibiscuspoint.core.sessions import EntryPlace, serving_version
from hibiscuspoint.ids import GroupId, Incarnation, InstanceId, OrganisationId, TargetId, Term
from hibiscuspoint.wire import peer_pb2, record_pb2
from hibiscuspoint.wire.position import position_from

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterator, Mapping

    from hibiscuspoint.core.control.delivery import DeliveredRoutes
    from hibiscuspoint.core.control.effects import Effect
    from hibiscuspoint.core.control.state import ControlState, GroupRecord
    from hibiscuspoint.core.failover.status import StatusSource, TargetStatus
    from hibiscuspoint.core.organisations import RateLimit
    from hibiscuspoint.core.quotas import FeedbackLedger, QuotaBounds, QuotaLedger

__all__ = ["FailoverLeader"]


#: Duration of a route lease. A promotion may have to wait until it expires. It is long enough to
#: bridge the loss of a control leader: an election takes 1.2 s, and finding the next leader
#: takes an entry 0.5 s.
LEASE_SECONDS = 2.0

#: Time after which the record of an entry that was not applied is proposed again.
ENTRY_PROPOSAL_SECONDS = 1.0

#: Time after which a new leader publishes the list of serving entries at the latest. All entries
#: attach to a new leader within a second, and a list that grows meanwhile would move connections
#: back and forth between instances.
SERVING_LIST_DELAY_SECONDS = 1.5

#: Time for which the number of serving entries must be unchanged before their list is published
#: sooner. It is longer than the interval between two reports of an entry, which is 0.25 s.
SERVING_COUNT_STABLE_SECONDS = 0.3


class FailoverLeader:
    """Soft state of one leadership; a new leader starts with an empty one.

    :param instance: the instance that leads.
    :param control_term: term of the control group in which this instance leads; it is the fencing
        token of every promotion.
    :param state: replicated state.
    :param now: monotonic time in seconds at which the leadership began.
    :param lease_left: returns the seconds for which no other instance leads.
    """

    def __init__(
        self,
        instance: InstanceId,
        control_term: int,
        state: ControlState,
        now: float,
        *,
        lease_left: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self._instance = instance
        self._lease_left = lease_left
        self._control_term = control_term
        self._state = state
        self._entries = EntryDirectory()
        self._ledger = LeaseLedger(now, LEASE_SECONDS)
        self._groups: dict[GroupId, GroupFailover] = {}
        # Incarnation and sequence number of the last announcement of each target.
        self._sequences: dict[TargetId, tuple[Incarnation, int]] = {}
        # Last reported disk of each instance, with the time of the report.
        self._disks: dict[InstanceId, tuple[str, float]] = {}
        self._quotas: QuotaLedger | FeedbackLedger | None = None
        self._known_groups: frozenset[GroupId] | None = None
        self._leader_since = now
        self._last_tick = now
        # Processes that may have leases of an earlier leader.
        self._inheriting = dict(state.entries)
        # Incarnation that was proposed last for the record of each entry, and when.
        self._proposed_entries: dict[InstanceId, tuple[Incarnation, float]] = {}
        # Entries whose record is being removed.
        self._removing: set[InstanceId] = set()
        self._serving: list[peer_pb2.ServingEntry] = []
        self._serving_version = 0
        self._listed_places: list[EntryPlace] = []
        self._serving_count = 0
        self._serving_count_changed_at = now
        #: Instances that are voters of the control group; kept up to date by the component.
        self.control_members: list[str] = []

    @property
    def entries(self) -> EntryDirectory:
        """Entries that report to this leader."""
        return self._entries

    @property
    def groups(self) -> dict[GroupId, GroupFailover]:
        """Failover of each registered group."""
        return self._groups

    @property
    def quotas(self) -> QuotaLedger | FeedbackLedger | None:
        """Return the division of limits; ``None`` where the document has no organisations."""
        return self._quotas

    def set_limits(
        self,
        limits: Mapping[OrganisationId, RateLimit | None],
        bounds: QuotaBounds,
        now: float,
        *,
        is_inherited: bool,
    ) -> None:
        """Take over the limits of organisations in the document in force.

        :param is_inherited: the document was in force before this leadership.
        """
        if self._quotas is None:
            if not any(limits.values()):
                return
            # Imported here, as most deployments have no organisations.
            from hibiscuspoint.core.quotas import make_ledger

            self._quotas = make_ledger(bounds)
        self._quotas.set_limits(limits, now, is_inherited=is_inherited)

    def recent_disks(self, now: float, seconds: float) -> dict[InstanceId, str]:
        """Return the disk of each instance that reported one in the last ``seconds``."""
        return {
            instance: disk
            for instance, (disk, seen_at) in self._disks.items()
            if now - seen_at < seconds
        }

    def set_known_groups(self, groups: Collection[GroupId]) -> None:
        """Take over the groups that the document in force names; all others are left alone."""
        self._known_groups = frozenset(groups)
        self._groups = {
            group: failover for group, failover in self._groups.items() if group in groups
        }

    def targets(self) -> list[TargetRecord]:
        """Return all registered targets of the groups in use."""
        return [target for record in self._records() for target in record.targets.values()]

    def urgent_targets(self) -> set[TargetId]:
        """Return the targets whose state must be known soon.

        These are the primaries, all targets of a group from which one has to be removed, and those
        whose address a later target has announced.
        """
        urgent: set[TargetId] = set()
        latest: dict[str, TargetRecord] = {}
        for target in sorted(self.targets(), key=lambda target: target.incarnation):
            if target.address in latest:
                urgent.add(latest[target.address].target)
            latest[target.address] = target
        for failover in self._groups.values():
            if failover.has_ended_targets:
                urgent |= failover.record.targets.keys()
            if failover.record.primary is not None:
                urgent.add(failover.record.primary)
        return urgent

    def route_recipients(self, group: GroupId) -> list[InstanceId] | None:
        """Return the entries that need the routes of a group; ``None`` stands for all."""
        return None

    def objection(self, message: peer_pb2.Announcement) -> str:
        """Return why an announcement is ignored; empty if it is not.

        Another writer may announce any group, id and address. It adds no target to a group that is
        not in use or is not the target's own. It removes none either: whether a target has lost its
        address to another one is asked at that address.
        """
        if message.gone:
            return ""
        announced = TargetRecord.from_message(message)
        if not self._is_known_group(announced.group):
            return f"the configuration names no group {announced.group}"
        registered = self._target_record(announced.target)
        if registered is None:
            is_late = self._is_superseded(announced)
            return "a later target uses its address" if is_late else ""
        if announced.group != registered.group:
            return f"the target belongs to the group {registered.group}"
        return ""

    def registration_command(self, message: peer_pb2.Announcement) -> record_pb2.Command | None:
        """Return the command to commit before an announcement is accepted, if any."""
        announced = TargetRecord.from_message(message)
        registered = self._target_record(announced.target)
        if message.gone:
            return self._departure_command(registered, message)
        if self.objection(message):
            return None
        if registered is None:
            return record_pb2.Command(register_target=announced.to_message())
        if announced.incarnation < registered.incarnation:
            return None
        if announced.incarnation == registered.incarnation:
            if self._is_outdated(message):
                return None
            # An incarnation that has started to leave never serves again.
            announced = replace(announced, leaving=announced.leaving or registered.leaving)
        if announced == registered:
            return None
        return record_pb2.Command(register_target=announced.to_message())

    def handle_announcement(self, message: peer_pb2.Announcement, now: float) -> list[Effect]:
        """Record a heartbeat of a target."""
        target = TargetId(message.target)
        registered = self._target_record(target)
        failover = self._groups.get(registered.group) if registered is not None else None
        if failover is None or self.objection(message):
            return []
        if message.gone:
            if message.incarnation in (0, registered.incarnation):
                failover.record_departure(target, now)
        elif message.incarnation >= registered.incarnation and not self._is_outdated(message):
            self._sequences[target] = (Incarnation(message.incarnation), message.sequence)
            failover.record_heartbeat(target, now)
        return []

    def handle_report(self, message: peer_pb2.EntryReport, now: float) -> list[Effect]:
        """Record a report of an entry and return the resulting effects."""
        info = EntryInfo.from_message(message, now)
        if not self._entries.take_report(info, self._ledger):
            return []
        if self._quotas is not None:
            self._quotas.record_report(info.instance, message, now)
        if message.disk:
            self._disks[info.instance] = (message.disk, now)
        for item in message.acknowledged:
            failover = self._groups.get(GroupId(item.group))
            if failover is not None:
                failover.record_acknowledged_position(position_from(item.position))
        released_groups = set()
        for released in message.released:
            group = GroupId(released.group)
            released_groups.add(group)
            self._ledger.release(group, info.process, Term(released.term), released.until_ns)
        for observation in message.observations:
            failover = self._failover_of(TargetId(observation.target))
            if failover is not None:
                failover.record_observation(info.instance, observation, now)
        has_all_routes = message.control_term == self._control_term and not message.routes_missed
        self._record_inheritance(info, now, has_all_routes=has_all_routes)
        effects = self._record_process(info, now, has_all_routes=has_all_routes)
        for group in released_groups & self._groups.keys():
            effects += self._groups[group].tick(now)
        return effects

    def update_group(
        self, group: GroupId, act: Callable[[GroupFailover], None], now: float
    ) -> list[Effect]:
        """Pass the failover of a group to ``act``, then advance the group.

        :param act: records an event, such as a reply of a target.
        """
        failover = self._groups.get(group)
        if failover is None:
            return []
        act(failover)
        return failover.tick(now)

    def handle_status(
        self,
        target: TargetId,
        status: TargetStatus,
        source: StatusSource,
        polled_at: float,
        now: float,
        read_at: float | None = None,
    ) -> list[Effect]:
        """Record the reply of a target to a poll that was sent at ``polled_at``.

        :param source: connection over which it came; one that was opened to a former incarnation
            tells nothing about the registered one.
        :param read_at: see ``GroupFailover.record_status``.
        """
        failover, registered = self._failover_of(target), self._target_record(target)
        if failover is None or source.incarnation != registered.incarnation:
            return []
        failover.record_status(target, status, polled_at, now, read_at)
        return failover.tick(now) if failover.is_active else []

    def tick(self, now: float) -> list[Effect]:
        """Advance all groups and return the resulting effects."""
        if now - self._last_tick >= STALL_SECONDS:
            self._entries.discount_stall(now - self._last_tick, now)
        self._last_tick = now
        self._entries.remove_silent(now)
        self._update_serving_list(now)
        if self._quotas is not None:
            self._quotas.tick(now)
        self._add_groups(now)
        effects = self._forget_entries(now)
        for failover in self._groups.values():
            effects += failover.tick(now)
        return effects

    def _add_groups(self, now: float) -> None:
        """Begin the failover of groups that are registered and in use."""
        for record in self._records():
            if record.group in self._groups:
                continue
            if self._inheriting:
                self._ledger.expect_inherited(record.group, self._inheriting)
            self._groups[record.group] = GroupFailover(
                record, self._ledger, self._control_term, now
            )

    def _forget_entries(self, now: float) -> list[Effect]:
        """Remove the records of entries that have not reported for long."""
        if now - self._leader_since < ENTRY_REMOVAL_SECONDS:
            return []
        silent = [i for i in self._state.entries if self._entries.get(i) is None]
        self._removing.update(silent)
        for instance in silent:
            self._ledger.forget_releases(instance)
        return [effect for i in silent for effect in self._propose_entry(i, Incarnation(0), now)]

    def _propose_entry(
        self, instance: InstanceId, incarnation: Incarnation, now: float
    ) -> list[Effect]:
        last, proposed_at = self._proposed_entries.get(instance, (None, -math.inf))
        if last == incarnation and now - proposed_at < ENTRY_PROPOSAL_SECONDS:
            return []
        self._proposed_entries[instance] = incarnation, now
        body = record_pb2.RecordEntry(instance=instance, incarnation=incarnation)
        return [Propose(record_pb2.Command(record_entry=body))]

    def _is_recorded(self, info: EntryInfo) -> bool:
        """Tell whether a later leader knows how long an entry may have leases.

        Those of the leader's own entry end with the leadership.
        """
        if info.instance == self._instance:
            return True
        is_removing = info.instance in self._removing
        return not is_removing and self._state.entries.get(info.instance) == info.incarnation

    def _update_serving_list(self, now: float) -> None:
        """Update the list of serving entries, once all of them could attach to a new leader."""
        places = [
            EntryPlace(entry.instance, entry.availability_zone)
            for entry in self._entries.serving(now)
        ]
        if len(places) != self._serving_count:
            self._serving_count, self._serving_count_changed_at = len(places), now
        is_complete = (
            now - self._serving_count_changed_at >= SERVING_COUNT_STABLE_SECONDS
            or now - self._leader_since >= SERVING_LIST_DELAY_SECONDS
        )
        if not places or not is_complete or places == self._listed_places:
            return
        self._listed_places = places
        self._serving_version = serving_version(places)
        self._serving = [
            peer_pb2.ServingEntry(instance=place.instance, availability_zone=place.zone)
            for place in places
        ]

    def tick_active(self, now: float) -> list[Effect]:
        """Advance the groups with a promotion or a switchover in progress."""
        effects: list[Effect] = []
        for failover in self._groups.values():
            if failover.is_active:
                effects += failover.tick(now)
        return effects

    def tick_group(self, group: GroupId, now: float) -> list[Effect]:
        """Advance one group, after a command about it was applied."""
        failover = self._groups.get(group)
        return failover.tick(now) if failover is not None else []

    def build_update(
        self, instance: InstanceId, now: float, delivered: DeliveredRoutes
    ) -> peer_pb2.ControlUpdate:
        """Return the update for an entry and record the leases in it as granted.

        :param delivered: the routes that were sent on the stream of the entry before; updated.
        """
        update = peer_pb2.ControlUpdate(
            control_term=self._control_term,
            leader=self._instance,
            serving_entries=len(self._serving),
            serving_version=self._serving_version,
        )
        self._add_groups(now)
        entry = self._entries.get(instance)
        if entry.serving_version != self._serving_version:
            update.serving.extend(self._serving)
        add_document_identity(update, self._state)
        if delivered.control_members != self.control_members:
            delivered.control_members = list(self.control_members)
            update.control_members.extend(self.control_members)
        add_routes(
            update,
            self._groups,
            entry,
            self._ledger,
            delivered,
            self._lease_seconds(instance),
            now,
            is_recorded=self._is_recorded(entry),
        )
        if self._quotas is not None:
            self._quotas.fill_update(instance, update, now)
        return update

    def _lease_seconds(self, instance: InstanceId) -> float:
        """Return the duration of the leases for an entry.

        Those of the leader's own entry end with the leadership, so that the next leader does not
        have to wait for an instance which is lost or cut off as a whole.
        """
        is_own = instance == self._instance
        return min(LEASE_SECONDS, self._lease_left()) if is_own else LEASE_SECONDS

    def _record_process(self, info: EntryInfo, now: float, *, has_all_routes: bool) -> list[Effect]:
        """Have a process recorded that may get leases.

        The record of the leader's own instance is removed once its leases are all of this leader.
        An entry that returns while its record is being removed is recorded after that.
        """
        if info.instance in self._removing:
            if info.instance in self._state.entries:
                return self._propose_entry(info.instance, Incarnation(0), now)
            self._removing.discard(info.instance)
        if not self._is_recorded(info):
            return self._propose_entry(info.instance, info.incarnation, now)
        if (
            info.instance == self._instance
            and has_all_routes
            and info.instance in self._state.entries
        ):
            return self._propose_entry(info.instance, Incarnation(0), now)
        return []

    def _record_inheritance(self, info: EntryInfo, now: float, *, has_all_routes: bool) -> None:
        """Record that an entry has no lease of an earlier leader any more.

        That is so once it has taken all routes of this leader over: it accepts no update of an
        earlier one, and each group was revoked or granted anew. A later process has none either.
        """
        former = self._inheriting.get(info.instance)
        if former is None or not (has_all_routes or info.incarnation > former):
            return
        del self._inheriting[info.instance]
        for group in self._groups:
            self._ledger.release_inherited(group, info.instance, now)

    def _departure_command(
        self, registered: TargetRecord | None, message: peer_pb2.Announcement
    ) -> record_pb2.Command | None:
        """Return the command that marks a target as leaving after it announced its end."""
        if (
            registered is None
            or registered.leaving
            or message.incarnation not in (0, registered.incarnation)
        ):
            return None
        return record_pb2.Command(register_target=replace(registered, leaving=True).to_message())

    def _is_outdated(self, message: peer_pb2.Announcement) -> bool:
        """Tell whether a later announcement of the same target has arrived before."""
        latest = self._sequences.get(TargetId(message.target))
        return latest is not None and (message.incarnation, message.sequence) < latest

    def _target_record(self, target: TargetId) -> TargetRecord | None:
        record = self._group_record(target)
        return record.targets[target] if record is not None else None

    def _group_record(self, target: TargetId) -> GroupRecord | None:
        return next((record for record in self._records() if target in record.targets), None)

    def _records(self) -> Iterator[GroupRecord]:
        """Yield the groups in use."""
        return (r for r in self._state.groups.values() if self._is_known_group(r.group))

    def _is_known_group(self, group: GroupId) -> bool:
        """Tell whether the document in force names a group; without one, any group is in use."""
        return self._known_groups is None or group in self._known_groups

    def _is_superseded(self, announced: TargetRecord) -> bool:
        """Tell whether a later target is registered at the address of an announced one.

        Such an announcement was delayed, and its sender has ended.
        """
        return any(
            target.address == announced.address and target.incarnation >= announced.incarnation
            for target in self.targets()
        )

    def _failover_of(self, target: TargetId) -> GroupFailover | None:
        record = self._group_record(target)
        return self._groups.get(record.group) if record is not None else None
