"""Decisions of the control leader about all groups, entries and targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.core.control.detector import STALL_SECONDS
from hibiscuspoint.core.control.effects import Propose, PublishHolders
from hibiscuspoint.core.control.entries import EntryDirectory, EntryInfo
from hibiscuspoint.core.control.group import GroupController
from hibiscuspoint.core.control.holdings import ConnectionAllocator
from hibiscuspoint.core.control.leases import LeaseLedger
from hibiscuspoint.core.control.route_state import RouteState
from hibiscuspoint.core.control.targets import TargetDirectory, TargetInfo
from hibiscuspoint.core.control.updates import UpdateBuilder
from hibiscuspoint.ids import GroupId, Incarnation, InstanceId, TargetId, Term
from hibiscuspoint.wire import record_pb2

if TYPE_CHECKING:
    from hibiscuspoint.core.control.delivery import DeliveredRoutes
    from hibiscuspoint.core.control.effects import Effect
    from hibiscuspoint.core.control.promotion import MemberReply
    from hibiscuspoint.core.control.state import ControlState
    from hibiscuspoint.document import Document
    from hibiscuspoint.wire import peer_pb2

__all__ = ["ControlLeader"]

#: Seconds after which a proposal that was not applied is made again.
PROPOSAL_RETRY_SECONDS = 1.0


class ControlLeader:
    """Makes the decisions of one leadership for all groups, and holds its soft state.

    A new leader starts without soft state and rebuilds it from announcements and reports. The
    methods return effects, which the caller carries out. All times are monotonic and in seconds.

    :param instance: this instance.
    :param control_term: term of the control group in which this instance leads.
    :param state: replicated state.
    :param now: time at which the leadership starts.
    """

    def __init__(
        self, instance: InstanceId, control_term: int, state: ControlState, now: float
    ) -> None:
        self._state = state
        self._control_term = control_term
        self._targets = TargetDirectory(state)
        self._entries = EntryDirectory()
        self._ledger = LeaseLedger(now)
        self._leader_since = now
        self._last_tick = now
        self._groups: dict[GroupId, GroupController] = {}
        self._allocators: dict[GroupId, ConnectionAllocator] = {}
        self._document: Document | None = None
        self._serving: list[EntryInfo] = []
        self._formation_proposed_at: dict[GroupId, float] = {}
        self._updates = UpdateBuilder(instance, control_term, state, self._targets, self._ledger)

    @property
    def entries(self) -> EntryDirectory:
        """Entries that report."""
        return self._entries

    @property
    def targets(self) -> TargetDirectory:
        """Targets that announce themselves."""
        return self._targets

    @property
    def groups(self) -> dict[GroupId, GroupController]:
        """Controllers of the formed groups."""
        return self._groups

    @property
    def allocators(self) -> dict[GroupId, ConnectionAllocator]:
        """Allocators of the formed groups, which know their holders and shares."""
        return self._allocators

    def set_document(self, document: Document) -> None:
        """Use a document that has come into force."""
        self._document = document
        for group, rules in document.groups.items():
            if group in self._allocators:
                self._allocators[group].set_rules(rules)

    def registration_command(self, message: peer_pb2.Announcement) -> record_pb2.Command | None:
        """Return ``None``: a group's members are fixed when it is formed and never registered."""
        return None

    def route_recipients(self, group: GroupId) -> list[InstanceId]:
        """Return the current and the recorded holders of a group, which need its route at once."""
        record = self._state.groups.get(group)
        recorded = set(record.holders) if record is not None else set()
        return sorted(recorded | set(self.holders(group)))

    def handle_announcement(self, message: peer_pb2.Announcement, now: float) -> list[Effect]:
        """Record an announcement of a target and return the effects."""
        info = TargetInfo.from_message(message, now)
        is_changed = self._targets.record_announcement(info)
        controller = self._groups.get(info.group)
        if controller is None:
            return []
        controller.record_announcement(info, now)
        if not is_changed and not controller.is_active:
            return []
        return self._tick_group(controller, now)

    def handle_report(self, message: peer_pb2.EntryReport, now: float) -> list[Effect]:
        """Record a report of an entry and return the effects; an outdated report has none."""
        info = EntryInfo.from_message(message, now)
        if not self._entries.take_report(info, self._ledger):
            return []
        for released in message.released:
            self._record_release(info, released, message.control_term)
        for share in message.shares:
            self._record_share_use(info.instance, share)
        for observation in message.observations:
            self._record_observation(info.instance, observation, now)
        released_groups = {GroupId(released.group) for released in message.released}
        effects: list[Effect] = []
        for group in released_groups & self._groups.keys():
            effects += self._tick_group(self._groups[group], now)
        return effects

    def handle_seal_reply(self, group: GroupId, reply: MemberReply, now: float) -> list[Effect]:
        """Record the reply of a member to a seal and return the effects."""
        controller = self._groups[group]
        controller.record_seal_reply(reply, now)
        return self._tick_group(controller, now)

    def handle_join_reply(self, group: GroupId, reply: MemberReply, now: float) -> list[Effect]:
        """Record the reply of a member to a promotion or a request to follow."""
        controller = self._groups[group]
        controller.record_join_reply(reply, now)
        return self._tick_group(controller, now)

    def handle_refusal(self, group: GroupId, target: TargetId, now: float) -> list[Effect]:
        """Record that the address of a member refused a connection and return the effects."""
        controller = self._groups[group]
        controller.record_refusal(target, now)
        return self._tick_group(controller, now)

    def record_termination(self, target: TargetId, instance: InstanceId) -> None:
        """Record that a target has closed the connections of an instance."""
        allocator = self._allocator_of(target)
        if allocator is not None:
            allocator.record_termination(target, instance, self._entries)

    def request_switchover(
        self, group: GroupId, requested_successor: TargetId | None, now: float
    ) -> bool:
        """Start a switchover.

        :param requested_successor: member that becomes primary; ``None`` for any.
        :returns: false if the group cannot change its primary now.
        """
        controller = self._groups.get(group)
        return controller is not None and controller.request_switchover(requested_successor, now)

    def is_started(self, group: GroupId) -> bool:
        """Tell whether entries may use the primary of a group."""
        controller = self._groups.get(group)
        return controller is not None and controller.route_state is RouteState.GRANTED

    def tick(self, now: float) -> list[Effect]:
        """Advance all groups and return the effects."""
        if now - self._last_tick >= STALL_SECONDS:
            self._entries.discount_stall(now - self._last_tick, now)
        self._last_tick = now
        self._entries.remove_silent(now)
        effects = self._form_groups(now)
        for group in self._state.groups:
            self._ensure_controller(group, now)
        for controller in self._groups.values():
            effects += self._tick_group(controller, now)
        self._refresh_serving(now)
        for allocator in self._allocators.values():
            effects += allocator.tick(self._entries, self._serving, now)
        self._updates.refresh_recipients(self._allocators, now)
        settled = {
            group: allocator
            for group, allocator in self._allocators.items()
            if allocator.is_settled(self._entries, now)
        }
        if self._updates.refresh_holders(settled, self._serving):
            effects.append(PublishHolders())
        return effects

    def tick_active(self, now: float) -> list[Effect]:
        """Advance the groups with a promotion or a switchover in progress."""
        effects: list[Effect] = []
        for controller in self._groups.values():
            if controller.is_active:
                effects += self._tick_group(controller, now)
        return effects

    def tick_group(self, group: GroupId, now: float) -> list[Effect]:
        """Advance one group, after a command about it was applied."""
        if group not in self._state.groups:
            return []
        self._ensure_controller(group, now)
        return self._tick_group(self._groups[group], now)

    def build_update(
        self, instance: InstanceId, now: float, delivered: DeliveredRoutes | None = None
    ) -> peer_pb2.ControlUpdate:
        """Return the update for an entry and record the leases that it grants.

        :param delivered: not used, as each update carries all routes of the entry.
        """
        entry = self._entries.get(instance)
        return self._updates.build(entry, self._groups, self._allocators, now)

    def holders(self, group: GroupId) -> list[InstanceId]:
        """Return the current holders of a group, the preferred one first."""
        allocator = self._allocators.get(group)
        return allocator.holders if allocator is not None else []

    def _tick_group(self, controller: GroupController, now: float) -> list[Effect]:
        holders = self.holders(controller.record.group)
        live = {holder for holder in holders if self._entries.is_live(holder, now)}
        return controller.tick(live, now)

    def _refresh_serving(self, now: float) -> None:
        """Replace the list of serving entries, only if one joined, left or changed its placement.

        The allocators choose holders again when the list object is another one.
        """
        serving = self._entries.serving(now)
        if [entry.placement for entry in serving] != [entry.placement for entry in self._serving]:
            self._serving = serving

    def _allocator_of(self, target: TargetId) -> ConnectionAllocator | None:
        info = self._targets.get(target)
        return self._allocators.get(info.group) if info is not None else None

    def _ensure_controller(self, group: GroupId, now: float) -> None:
        """Create the controller and the allocator of a formed group that is in the document."""
        rules = self._document.groups.get(group) if self._document else None
        if group in self._groups or rules is None:
            return
        record = self._state.groups[group]
        self._updates.add_recipients(group, record.holders)
        # The control log names instances only.
        self._ledger.expect_inherited(group, dict.fromkeys(record.holders, Incarnation(0)))
        self._groups[group] = GroupController(record, self._targets, self._ledger, now)
        self._allocators[group] = ConnectionAllocator(
            record, rules, self._targets, self._ledger, self._control_term, self._leader_since
        )

    def _form_groups(self, now: float) -> list[Effect]:
        """Propose the groups of the document for which enough targets announced themselves."""
        effects: list[Effect] = []
        for name, rules in (self._document.groups if self._document else {}).items():
            group = GroupId(name)
            announced = self._targets.of_group(group)
            if group in self._state.groups or len(announced) < rules.members:
                continue
            if (
                now - self._formation_proposed_at.get(group, -PROPOSAL_RETRY_SECONDS)
                < PROPOSAL_RETRY_SECONDS
            ):
                continue
            self._formation_proposed_at[group] = now
            members = [info.target for info in announced[: rules.members]]
            body = record_pb2.FormGroup(group=group, members=members, ack_quorum=rules.quorum)
            effects.append(Propose(record_pb2.Command(form_group=body)))
        return effects

    def _record_release(
        self, info: EntryInfo, released: peer_pb2.RouteRelease, control_term: int
    ) -> None:
        group = GroupId(released.group)
        self._ledger.release(group, info.process, Term(released.term), released.until_ns)
        # An entry that has accepted no update of this leader may still accept one of the previous
        # leader, which can grant the lease again.
        if control_term == self._control_term:
            self._ledger.release_inherited(group, info.instance, info.seen_at)

    def _record_share_use(self, instance: InstanceId, share: peer_pb2.ShareUse) -> None:
        allocator = self._allocator_of(TargetId(share.target))
        if allocator is not None:
            allocator.record_share_use(instance, share)

    def _record_observation(
        self, instance: InstanceId, observation: peer_pb2.TargetObservation, now: float
    ) -> None:
        info = self._targets.get(TargetId(observation.target))
        controller = self._groups.get(info.group) if info is not None else None
        if controller is None:
            return
        controller.record_observation(
            instance,
            info.target,
            observation.successes,
            observation.refusals,
            observation.timeouts,
            now,
        )
