"""Control of one group: when to promote another primary, and how entries may use the primary."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.core.control.detector import FailureDetector, Suspicion
from hibiscuspoint.core.control.effects import (
    Follow,
    PrimarySuspected,
    Promote,
    PublishRoutes,
)
from hibiscuspoint.core.control.promotion import PromotionSteps
from hibiscuspoint.core.control.route_state import RouteState
from hibiscuspoint.core.control.state import GroupPhase
from hibiscuspoint.core.control.switchover import Switchover, SwitchoverState

if TYPE_CHECKING:
    from hibiscuspoint.core.control.effects import Effect, MemberAddress
    from hibiscuspoint.core.control.leases import LeaseLedger
    from hibiscuspoint.core.control.promotion import MemberReply
    from hibiscuspoint.core.control.state import GroupRecord
    from hibiscuspoint.core.control.targets import TargetDirectory, TargetInfo
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.ids import InstanceId, TargetId

__all__ = ["GroupController"]

#: Seconds after a promotion in which the primary is replaced only if it refuses connections or has
#: stepped down, so that a group does not change its primary back and forth.
PROMOTION_COOLDOWN_SECONDS = 5.0

#: Seconds between two probes of a primary that does not announce itself.
PROBE_INTERVAL_SECONDS = 0.1

#: Seconds between two requests for the log positions of the members during a switchover.
CATCH_UP_POLL_SECONDS = 0.03

#: Seconds between two requests to follow the primary, to a member that has missed its promotion.
REJOIN_RETRY_SECONDS = 0.5

#: Seconds between two attempts to send the member addresses to the primary.
MEMBER_LIST_RETRY_SECONDS = 0.5


@dataclass(frozen=True)
class _SharedState:
    """State of the control leader that the controllers of all groups read."""

    targets: TargetDirectory
    ledger: LeaseLedger


class GroupController:
    """Watches the primary of a group and carries out promotions and switchovers.

    All times are monotonic and in seconds.

    :param record: durable record of the group; changes as commands are applied.
    :param targets: targets that announce themselves.
    :param ledger: route leases of all groups.
    :param now: time at which the controller starts.
    """

    def __init__(
        self,
        record: GroupRecord,
        targets: TargetDirectory,
        ledger: LeaseLedger,
        now: float,
    ) -> None:
        self._record = record
        self._shared = _SharedState(targets, ledger)
        self._promotion = PromotionSteps(record, now)
        self._detector: FailureDetector | None = None
        self._suspected_term = 0
        self._suspected_primary: TargetId | None = None
        self._promoted_at = -math.inf
        self._switchover: Switchover | None = None
        self._idle_since: float | None = None
        #: Last position of each member that replied, and the time of the reply.
        self._positions: dict[TargetId, tuple[LogPosition, float]] = {}
        self._polled_at = 0.0
        self._probed_at = -math.inf
        self._rejoin_requested_at: dict[TargetId, float] = {}
        self._published_route: tuple[int, RouteState] | None = None
        self._sent_members: tuple[MemberAddress, ...] = ()
        self._members_sent_at = -math.inf
        self._confirmed_members: tuple[MemberAddress, ...] = ()

    @property
    def record(self) -> GroupRecord:
        """Durable record of the group."""
        return self._record

    @property
    def switchover(self) -> Switchover | None:
        """Switchover in progress; ``None`` if there is none."""
        return self._switchover

    @property
    def is_active(self) -> bool:
        """Whether a promotion or a switchover is in progress."""
        return self.route_state is not RouteState.GRANTED

    @property
    def route_state(self) -> RouteState:
        """How entries may use the primary."""
        return RouteState.of(self._record, self._suspected_term, self._switchover)

    def request_switchover(self, requested_successor: TargetId | None, now: float) -> bool:
        """Start a switchover.

        A new leader starts none until all leases of its predecessor have expired, because it could
        not tell whether the entries that hold them have finished their work.

        :param requested_successor: member that becomes primary; ``None`` for any live member that
            is not leaving.
        :returns: false if the group has no started primary, another change is in progress, no
            successor is live, or leases of the predecessor may still be valid.
        """
        if self._switchover is not None or self.route_state is not RouteState.GRANTED:
            return False
        if not self._shared.ledger.is_complete(now) or not self._successors(
            requested_successor, now
        ):
            return False
        self._switchover = Switchover(self._record.primary, requested_successor, now)
        self._idle_since = None
        return True

    def record_announcement(self, info: TargetInfo, now: float) -> None:
        """Record an announcement of a member."""
        detector = self._detector
        if detector is None or detector.primary != info.target:
            return
        if info.term >= self._record.term:
            detector.record_announcement(info.is_primary, now)

    def record_observation(
        self,
        holder: InstanceId,
        target: TargetId,
        successes: int,
        refusals: int,
        timeouts: int,
        now: float,
    ) -> None:
        """Record the outcomes of a holder's requests to a member since its last report."""
        detector = self._detector
        if detector is not None and detector.primary == target:
            detector.record_observation(holder, successes, refusals, timeouts, now)

    def record_seal_reply(self, reply: MemberReply, now: float) -> None:
        """Record the reply of a member to a seal."""
        self._promotion.record_seal_reply(reply, now)

    def record_join_reply(self, reply: MemberReply, now: float) -> None:
        """Record the reply of a member to a promotion or a request to follow."""
        self._promotion.record_join_reply(reply, now)
        if reply.accepted:
            self._positions[reply.target] = (reply.last_position, now)
        if reply.accepted and reply.target == self._record.primary and reply.listed_members:
            self._confirmed_members = reply.listed_members

    def record_refusal(self, target: TargetId, now: float) -> None:
        """Record that the address of a member refused a connection of this instance."""
        if self._detector is not None and self._detector.primary == target:
            self._detector.record_probe_refusal(now)

    def tick(self, holders: set[InstanceId], now: float) -> list[Effect]:
        """Advance the promotion or the switchover and return the effects.

        :param holders: live holders of the group.
        """
        effects = self._advance(holders, now)
        return effects + self._publish_changed_route()

    def _advance(self, holders: set[InstanceId], now: float) -> list[Effect]:
        phase = self._record.phase
        if phase is GroupPhase.STARTED:
            return self._watch(holders, now)
        self._detector = None
        self._promoted_at = now
        if phase is GroupPhase.FORMED:
            return self._promotion.open_term(self._highest_announced_term(), now)
        if phase is GroupPhase.SEALING:
            return self._promotion.seal_members(
                self._addresses(), self._promotion_preference, self._live_members(now), now
            )
        return self._promotion.promote_primary(
            self._addresses(), self._has_no_older_lease(now), now
        )

    def _watch(self, holders: set[InstanceId], now: float) -> list[Effect]:
        """Check the started primary and open a new term if it is suspected."""
        record = self._record
        if self._suspected_term == record.term:
            return self._promotion.open_term(0, now)
        if self._detector is None:
            self._start_watching(now)
        suspicion = self._detector.suspicion(holders, now)
        if suspicion is not None and self._may_replace(suspicion, now):
            self._suspected_term = record.term
            self._suspected_primary = record.primary
            suspected = PrimarySuspected(record.group, record.primary, suspicion)
            return [suspected, *self._promotion.open_term(0, now)]
        effects = self._probe(now) + self._send_member_list(now)
        return effects + self._advance_switchover(now) + self._rejoin_members(now)

    def _probe(self, now: float) -> list[Effect]:
        """Call a silent primary; a refused connection proves that its process has ended."""
        if not self._detector.needs_probe(now) or now - self._probed_at < PROBE_INTERVAL_SECONDS:
            return []
        self._probed_at = now
        return self._repeat_promotion(now)

    def _send_member_list(self, now: float) -> list[Effect]:
        """Send the member list to the primary until it confirms the current one.

        The primary ships its log only to members on the list, so it needs the members that join
        later and the ones whose address changes.
        """
        members = tuple(info.member_address for info in self._members())
        if members == self._confirmed_members:
            return []
        is_new = members != self._sent_members
        if not is_new and now - self._members_sent_at < MEMBER_LIST_RETRY_SECONDS:
            return []
        return self._repeat_promotion(now)

    def _start_watching(self, now: float) -> None:
        self._detector = FailureDetector(self._record.primary, now)
        self._sent_members = self._confirmed_members = ()
        self._switchover = None
        self._suspected_primary = None
        self._idle_since = None

    def _may_replace(self, suspicion: Suspicion, now: float) -> bool:
        """Tell whether the cooldown permits a promotion for a suspicion."""
        if suspicion in (Suspicion.REFUSED, Suspicion.STEPPED_DOWN):
            return True
        return now - self._promoted_at >= PROMOTION_COOLDOWN_SECONDS

    def _advance_switchover(self, now: float) -> list[Effect]:
        """Advance the switchover in progress, or start one if the primary is leaving."""
        primary = self._shared.targets.get(self._record.primary)
        if primary is None:
            return []
        if primary.leaving:
            self.request_switchover(None, now)
        if self._switchover is None:
            return []
        successors = self._successors(self._switchover.requested_successor, now)
        if not successors:
            # Without a live successor the switchover cannot finish, and its pauses would delay
            # writes until one returns.
            self._switchover = None
            return []
        self._update_idle_since(now)
        caught_up = self._idle_since is not None and self._has_successor_caught_up(successors)
        state = self._switchover.tick(self._idle_since is not None, caught_up, now)
        if state is SwitchoverState.READY:
            return self._promotion.open_term(0, now)
        return self._poll_positions(now) if self._idle_since is not None else []

    def _update_idle_since(self, now: float) -> None:
        """Record since when no entry has a lease to use the primary."""
        if not self._is_primary_idle(now):
            self._idle_since = None
        elif self._idle_since is None:
            self._idle_since = now

    def _poll_positions(self, now: float) -> list[Effect]:
        """Repeat the requests of the current term; the replies carry the members' positions."""
        if now - self._polled_at < CATCH_UP_POLL_SECONDS:
            return []
        self._polled_at = now
        primary = self._shared.targets.get(self._record.primary)
        group, term = self._record.group, self._record.term
        followers = [info for info in self._members() if info.target != primary.target]
        effects: list[Effect] = [
            Follow(group, info.member_address, term, primary.member_address) for info in followers
        ]
        return [*effects, *self._repeat_promotion(now)]

    def _rejoin_members(self, now: float) -> list[Effect]:
        """Request that members in a lower term follow the primary."""
        primary = self._shared.targets.get(self._record.primary)
        if primary is None:
            return []
        effects: list[Effect] = []
        for info in self._members():
            if info.term >= self._record.term or not self._is_rejoin_due(info.target, now):
                continue
            group, term = self._record.group, self._record.term
            effects.append(Follow(group, info.member_address, term, primary.member_address))
        return effects

    def _repeat_promotion(self, now: float) -> list[Effect]:
        """Repeat the promotion in the same term, which updates the primary's member list.

        The primary ships its log only to members on the list, so a new leader waits until enough
        members for the acknowledgement quorum have announced themselves.
        """
        record = self._record
        primary = self._shared.targets.get(record.primary) if record.primary else None
        if primary is None or record.phase is not GroupPhase.STARTED:
            return []
        members = tuple(info.member_address for info in self._members())
        if len(members) < self._record.ack_quorum:
            return []
        self._sent_members = members
        self._members_sent_at = now
        return [Promote(record.group, primary.member_address, record.term, members)]

    def _publish_changed_route(self) -> list[Effect]:
        """Publish the route if its term or state changed since the last time."""
        current = (self._record.term, self.route_state)
        if current == self._published_route:
            return []
        self._published_route = current
        return [PublishRoutes(self._record.group)]

    def _members(self) -> list[TargetInfo]:
        infos = self._shared.targets.of_group(self._record.group)
        return [info for info in infos if info.target in self._record.members]

    def _addresses(self) -> dict[TargetId, MemberAddress]:
        return {info.target: info.member_address for info in self._members()}

    def _live_members(self, now: float) -> set[TargetId]:
        """Return the members that announce themselves, without the suspected primary."""
        targets = self._shared.targets
        return {
            member
            for member in self._record.members
            if member != self._suspected_primary and targets.is_live(member, now)
        }

    def _has_no_older_lease(self, now: float) -> bool:
        """Tell whether no entry can still use a primary of an earlier term."""
        record = self._record
        return not record.term_starts or self._shared.ledger.has_no_lease_before(
            record.group, record.term, now
        )

    def _is_primary_idle(self, now: float) -> bool:
        return not self._shared.ledger.leaseholders(self._record.group, now)

    def _has_successor_caught_up(self, successors: list[TargetId]) -> bool:
        """Tell whether a successor holds every record that the primary had once it was idle."""
        primary = self._fresh_position(self._record.primary)
        return primary is not None and any(
            position is not None and position >= primary
            for position in map(self._fresh_position, successors)
        )

    def _fresh_position(self, target: TargetId) -> LogPosition | None:
        """Return the position of a member if it replied after the last lease was released."""
        position, replied_at = self._positions.get(target, (None, -math.inf))
        return position if self._idle_since is not None and replied_at > self._idle_since else None

    def _successors(self, requested_successor: TargetId | None, now: float) -> list[TargetId]:
        live = self._live_members(now) - {self._record.primary}
        return [
            info.target
            for info in self._members()
            if info.target in live
            and not info.leaving
            and requested_successor in (None, info.target)
        ]

    def _promotion_preference(self, target: TargetId) -> tuple[int, ...]:
        """Return the sort key of a member among members with equal logs."""
        info = self._shared.targets.get(target)
        switchover = self._switchover
        is_requested = switchover is not None and target == switchover.requested_successor
        is_old_primary = switchover is not None and target == switchover.old_primary
        is_leaving = info is not None and info.leaving
        return (not is_old_primary, is_requested, not is_leaving)

    def _is_rejoin_due(self, target: TargetId, now: float) -> bool:
        """Tell whether a request to follow may be sent again, and record that it is."""
        requested_at = self._rejoin_requested_at.get(target)
        if requested_at is not None and now - requested_at < REJOIN_RETRY_SECONDS:
            return False
        self._rejoin_requested_at[target] = now
        return True

    def _highest_announced_term(self) -> int:
        return max((info.term for info in self._members()), default=0)
