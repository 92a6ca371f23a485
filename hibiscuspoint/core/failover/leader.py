"""The decisions of the control leader over groups whose targets acknowledge commits themselves."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from hibiscuspoint.core.control.detector import STALL_SECONDS
from hibiscuspoint.core.control.entries import EntryDirectory, EntryInfo
from hibiscuspoint.core.control.leases import LeaseLedger
from hibiscuspoint.core.control.route_state import RouteState
from hibiscuspoint.core.control.state import GroupPhase, TargetRecord
from hibiscuspoint.core.control.updates import add_document_identity, add_revocation
from hibiscuspoint.core.failover.group import GroupFailover
from hibiscuspoint.core.sessions import EntryPlace, serving_version
from hibiscuspoint.ids import GroupId, Incarnation, InstanceId, TargetId, Term
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND
from hibiscuspoint.wire import peer_pb2, record_pb2
from hibiscuspoint.wire.position import position_from, position_message

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.core.control.effects import Effect
    from hibiscuspoint.core.control.state import ControlState, GroupRecord
    from hibiscuspoint.core.failover.status import TargetStatus

__all__ = ["FailoverLeader"]


#: Duration of a route lease in seconds. A promotion may have to wait for its end; it outlasts the
#: loss of a control leader: an election (1.2 s) and the way to the next leader (0.5 s).
LEASE_SECONDS = 2.0

#: Seconds of a leadership after which entries are told which of them serve, or sooner when their
#: number is the same for some reports, which are 0.25 s apart. All entries attach to a new leader
#: within a second; a list that grows meanwhile would move connections back and forth.
SETTLE_SECONDS = 1.5
QUIET_SECONDS = 0.3


class FailoverLeader:
    """Soft state of one leadership; a new leader starts with an empty one.

    :param instance: this instance.
    :param control_term: term of the control group in which this instance leads; it is the fencing
        token of every promotion.
    :param state: replicated state.
    :param now: monotonic time in seconds.
    """

    def __init__(
        self, instance: InstanceId, control_term: int, state: ControlState, now: float
    ) -> None:
        self._instance = instance
        self._control_term = control_term
        self._state = state
        self._entries = EntryDirectory()
        self._ledger = LeaseLedger(now, LEASE_SECONDS)
        self._groups: dict[GroupId, GroupFailover] = {}
        self._sequences: dict[TargetId, tuple[Incarnation, int]] = {}
        self._disks: dict[InstanceId, tuple[str, float]] = {}
        self._since = now
        self._last_tick = now
        self._serving: list[peer_pb2.ServingEntry] = []
        self._serving_version = 0
        self._serving_places: list[EntryPlace] = []
        self._serving_count = 0
        self._counted_at = now
        self.control_members: list[str] = []

    @property
    def entries(self) -> EntryDirectory:
        """Return the entries that report."""
        return self._entries

    @property
    def groups(self) -> dict[GroupId, GroupFailover]:
        """Return the controllers of the known groups."""
        return self._groups

    def recent_disks(self, now: float, seconds: float) -> dict[InstanceId, str]:
        """Return the disks of the instances that reported one in the last ``seconds``."""
        return {
            instance: disk
            for instance, (disk, seen_at) in self._disks.items()
            if now - seen_at < seconds
        }

    def targets(self) -> list[TargetRecord]:
        """Return all registered targets."""
        return [t for record in self._state.groups.values() for t in record.targets.values()]

    def route_recipients(self, group: GroupId) -> list[InstanceId] | None:
        """Return the entries that need the routes of a group; ``None`` for all."""
        return None

    def registration_command(self, message: peer_pb2.Announcement) -> record_pb2.Command | None:
        """Return the command that must be committed before an announcement is accepted."""
        announced = TargetRecord.from_message(message)
        known = self._known(announced.target)
        if message.gone:
            return self._departure(known, message)
        if known is None:
            return record_pb2.Command(register_target=announced.to_message())
        if announced.incarnation < known.incarnation:
            return None
        if announced.incarnation == known.incarnation:
            if self._is_late(message):
                return None
            # One incarnation that has begun to leave does not return.
            announced = replace(announced, leaving=announced.leaving or known.leaving)
        if announced == known:
            return None
        return record_pb2.Command(register_target=announced.to_message())

    def handle_announcement(self, message: peer_pb2.Announcement, now: float) -> list[Effect]:
        """Take a heartbeat of a target."""
        target = TargetId(message.target)
        known = self._known(target)
        controller = self._groups.get(known.group) if known is not None else None
        if controller is None:
            return []
        if message.gone:
            if message.incarnation in (0, known.incarnation):
                controller.record_departure(target)
        elif message.incarnation >= known.incarnation and not self._is_late(message):
            self._sequences[target] = (Incarnation(message.incarnation), message.sequence)
            controller.record_heartbeat(target, now)
        return []

    def handle_report(self, message: peer_pb2.EntryReport, now: float) -> list[Effect]:
        """Take a report of an entry."""
        info = EntryInfo.from_message(message, now)
        if not self._entries.record_report(info):
            return []
        if message.disk:
            self._disks[info.instance] = (message.disk, now)
        for item in message.acknowledged:
            controller = self._groups.get(GroupId(item.group))
            if controller is not None:
                controller.record_acknowledged_position(position_from(item.position))
        touched = set()
        for released in message.released:
            group = GroupId(released.group)
            touched.add(group)
            self._ledger.release(group, info.instance, Term(released.term))
        for observation in message.observations:
            controller = self._controller_of(TargetId(observation.target))
            if controller is not None:
                controller.record_observation(info.instance, observation, now)
        effects: list[Effect] = []
        for group in touched & self._groups.keys():
            effects += self._groups[group].tick(now)
        return effects

    def update_group(
        self, group: GroupId, act: Callable[[GroupFailover], None], now: float
    ) -> list[Effect]:
        """Hand the answer of a target to the controller of its group and advance it."""
        controller = self._groups.get(group)
        if controller is None:
            return []
        act(controller)
        return controller.tick(now)

    def handle_status(
        self, target: TargetId, status: TargetStatus, asked_at: float, now: float
    ) -> list[Effect]:
        """Take the answer of a target to a poll."""
        controller = self._controller_of(target)
        if controller is None:
            return []
        controller.record_status(target, status, asked_at, now)
        return controller.tick(now) if controller.is_active else []

    def tick(self, now: float) -> list[Effect]:
        """Advance all groups and return the effects."""
        if now - self._last_tick >= STALL_SECONDS:
            self._entries.discount_stall(now - self._last_tick, now)
        self._last_tick = now
        self._entries.remove_silent(now)
        self._list_serving(now)
        for group, record in self._state.groups.items():
            if group not in self._groups:
                self._groups[group] = GroupFailover(record, self._ledger, self._control_term, now)
        effects: list[Effect] = []
        for controller in self._groups.values():
            effects += controller.tick(now)
        return effects

    def _list_serving(self, now: float) -> None:
        """List the serving entries; a new leader waits until all had time to attach."""
        places = [
            EntryPlace(entry.instance, entry.availability_zone)
            for entry in self._entries.serving(now)
        ]
        if len(places) != self._serving_count:
            self._serving_count, self._counted_at = len(places), now
        is_settled = now - self._counted_at >= QUIET_SECONDS or now - self._since >= SETTLE_SECONDS
        if not places or not is_settled or places == self._serving_places:
            return
        self._serving_places = places
        self._serving_version = serving_version(places)
        self._serving = [
            peer_pb2.ServingEntry(instance=place.instance, availability_zone=place.zone)
            for place in places
        ]

    def tick_active(self, now: float) -> list[Effect]:
        """Advance the groups with a promotion or a switchover in progress."""
        effects: list[Effect] = []
        for controller in self._groups.values():
            if controller.is_active:
                effects += controller.tick(now)
        return effects

    def tick_group(self, group: GroupId, now: float) -> list[Effect]:
        """Advance one group, after a command about it was applied."""
        controller = self._groups.get(group)
        return controller.tick(now) if controller is not None else []

    def build_update(self, instance: InstanceId, now: float) -> peer_pb2.ControlUpdate:
        """Return the update for an entry; leases in it are recorded as granted."""
        update = peer_pb2.ControlUpdate(
            control_term=self._control_term,
            leader=self._instance,
            control_members=self.control_members,
            serving_entries=len(self._serving),
            serving_version=self._serving_version,
        )
        entry = self._entries.get(instance)
        if entry.serving_version != self._serving_version:
            update.serving.extend(self._serving)
        add_document_identity(update, self._state)
        for controller in self._groups.values():
            self._add_route(update, controller, entry, now)
        return update

    def _add_route(
        self,
        update: peer_pb2.ControlUpdate,
        controller: GroupFailover,
        entry: EntryInfo,
        now: float,
    ) -> None:
        record = controller.record
        if record.primary is None or record.phase is not GroupPhase.STARTED:
            add_revocation(update, record)
            return
        state = controller.route_state
        route = peer_pb2.Route(
            group=record.group,
            term=record.term,
            primary=record.primary,
            paused=state is RouteState.PAUSED,
        )
        is_held = entry.instance in self._ledger.leaseholders(record.group, now)
        if state is RouteState.GRANTED or (state is RouteState.PAUSED and is_held):
            route.lease_ms = int(LEASE_SECONDS * MILLISECONDS_PER_SECOND)
            self._ledger.grant(record.group, entry.instance, record.term, now)
        for target in controller.listed_targets(now):
            route.members.append(_member(record.targets[target]))
        if controller.tip is not None:
            position, asked_at = controller.tip
            route.tip.CopyFrom(position_message(position))
            route.tip_age_ms = int((now - asked_at) * MILLISECONDS_PER_SECOND) + 1
        update.routes.append(route)

    def _departure(
        self, known: TargetRecord | None, message: peer_pb2.Announcement
    ) -> record_pb2.Command | None:
        """Return the command that marks a target that ends as leaving."""
        if known is None or known.leaving or message.incarnation not in (0, known.incarnation):
            return None
        return record_pb2.Command(register_target=replace(known, leaving=True).to_message())

    def _is_late(self, message: peer_pb2.Announcement) -> bool:
        """Tell whether a later announcement of the same target was taken before."""
        latest = self._sequences.get(TargetId(message.target))
        return latest is not None and (message.incarnation, message.sequence) < latest

    def _known(self, target: TargetId) -> TargetRecord | None:
        record = self._record_of(target)
        return record.targets[target] if record is not None else None

    def _record_of(self, target: TargetId) -> GroupRecord | None:
        for record in self._state.groups.values():
            if target in record.targets:
                return record
        return None

    def _controller_of(self, target: TargetId) -> GroupFailover | None:
        record = self._record_of(target)
        return self._groups.get(record.group) if record is not None else None


def _member(target: TargetRecord) -> peer_pb2.RouteMember:
    return peer_pb2.RouteMember(
        target=target.target,
        address=target.address,
        availability_zone=target.availability_zone,
        slots=target.slots,
        leaving=target.leaving,
    )
