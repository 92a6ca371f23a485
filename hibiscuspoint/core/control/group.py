"""The control leader's view of one group: when to promote, and which route entries may use."""

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

#: Seconds after a promotion in which only a refusing or demoted primary is replaced, so that a
#: group does not change its primary back and forth.
PROMOTION_COOLDOWN_SECONDS = 5.0

#: Seconds between two calls to a primary that does not announce itself.
PROBE_INTERVAL_SECONDS = 0.1

#: Seconds between two questions for the positions of members during a switchover.
CATCH_UP_POLL_SECONDS = 0.03

#: Seconds between two requests to a member that does not follow the primary.
REJOIN_RETRY_SECONDS = 0.5

#: Seconds between two attempts to tell the primary the addresses of the members.
TELL_RETRY_SECONDS = 0.5


@dataclass(frozen=True)
class _Surroundings:
    """What a group controller reads but does not own."""

    targets: TargetDirectory
    ledger: LeaseLedger


class GroupController:
    """Watches the primary of a group and leads promotions and switchovers.

    :param record: durable record of the group; changes as commands are applied.
    :param now: monotonic time in seconds.
    """

    def __init__(
        self,
        record: GroupRecord,
        targets: TargetDirectory,
        ledger: LeaseLedger,
        now: float,
    ) -> None:
        self._record = record
        self._around = _Surroundings(targets, ledger)
        self._steps = PromotionSteps(record, now)
        self._detector: FailureDetector | None = None
        self._suspected_term = 0
        self._suspect: TargetId | None = None
        self._promoted_at = -math.inf
        self._switchover: Switchover | None = None
        self._idle_since: float | None = None
        self._reports: dict[TargetId, tuple[LogPosition, float]] = {}
        self._poll_at = 0.0
        self._probed_at = -math.inf
        self._rejoin_attempts: dict[TargetId, float] = {}
        self._published: tuple[int, RouteState] | None = None
        self._sent_members: tuple[MemberAddress, ...] = ()
        self._sent_members_at = -math.inf
        self._told_members: tuple[MemberAddress, ...] = ()

    @property
    def record(self) -> GroupRecord:
        """Return the durable record."""
        return self._record

    @property
    def switchover(self) -> Switchover | None:
        """Return the switchover in progress."""
        return self._switchover

    @property
    def is_active(self) -> bool:
        """Tell whether a promotion or a switchover is in progress."""
        return self.route_state is not RouteState.GRANTED

    @property
    def route_state(self) -> RouteState:
        """Return what entries may do with the primary."""
        return RouteState.of(self._record, self._suspected_term, self._switchover)

    def request_switchover(self, requested_successor: TargetId | None, now: float) -> bool:
        """Start a switchover.

        A new leader starts none while entries may hold leases of its predecessor, as it could not
        tell whether they have finished their work.

        :returns: false when no primary is in force, another change is in progress, no successor
            is live, or this instance became leader a moment ago.
        """
        if self._switchover is not None or self.route_state is not RouteState.GRANTED:
            return False
        if not self._around.ledger.is_complete(now) or not self._successors(
            requested_successor, now
        ):
            return False
        self._switchover = Switchover(self._record.primary, requested_successor, now)
        self._idle_since = None
        return True

    def record_announcement(self, info: TargetInfo, now: float) -> None:
        """Take an announcement of a member."""
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
        """Take what a holder saw at a member."""
        detector = self._detector
        if detector is not None and detector.primary == target:
            detector.record_observation(holder, successes, refusals, timeouts, now)

    def record_seal_reply(self, reply: MemberReply, now: float) -> None:
        """Take the answer of a member to a seal."""
        self._steps.record_seal_reply(reply, now)

    def record_join_reply(self, reply: MemberReply, now: float) -> None:
        """Take the answer of a member to a promotion or to following."""
        self._steps.record_join_reply(reply, now)
        if reply.accepted:
            self._reports[reply.target] = (reply.last_position, now)
        if reply.accepted and reply.target == self._record.primary and reply.listed_members:
            self._told_members = reply.listed_members

    def record_refusal(self, target: TargetId, now: float) -> None:
        """Record that the address of a member refused a call of control."""
        if self._detector is not None and self._detector.primary == target:
            self._detector.record_probe_refusal(now)

    def tick(self, holders: set[InstanceId], now: float) -> list[Effect]:
        """Advance and return the effects.

        :param holders: live holders of the group.
        """
        effects = self._advance(holders, now)
        return effects + self._publish()

    def _advance(self, holders: set[InstanceId], now: float) -> list[Effect]:
        phase = self._record.phase
        if phase is GroupPhase.STARTED:
            return self._watch(holders, now)
        self._detector = None
        self._promoted_at = now
        if phase is GroupPhase.FORMED:
            return self._steps.open_term(self._highest_announced_term(), now)
        if phase is GroupPhase.SEALING:
            return self._steps.seal_members(
                self._addresses(), self._preference, self._live_members(now), now
            )
        return self._steps.promote_primary(self._addresses(), self._leases_clear(now), now)

    def _watch(self, holders: set[InstanceId], now: float) -> list[Effect]:
        record = self._record
        if self._suspected_term == record.term:
            return self._steps.open_term(0, now)
        if self._detector is None:
            self._begin_watching(now)
        suspicion = self._detector.suspicion(holders, now)
        if suspicion is not None and self._may_replace(suspicion, now):
            self._suspected_term = record.term
            self._suspect = record.primary
            suspected = PrimarySuspected(record.group, record.primary, suspicion)
            return [suspected, *self._steps.open_term(0, now)]
        effects = self._probe(now) + self._tell_members(now)
        return effects + self._hand_over(now) + self._rejoin_members(now)

    def _probe(self, now: float) -> list[Effect]:
        """Call a silent primary, because a refused call is proof that its process is gone."""
        if not self._detector.needs_probe(now) or now - self._probed_at < PROBE_INTERVAL_SECONDS:
            return []
        self._probed_at = now
        return self._promote_again(now)

    def _tell_members(self, now: float) -> list[Effect]:
        """Tell the primary about members that appeared or moved, as it ships its log to them."""
        members = tuple(info.member_address for info in self._members())
        if members == self._told_members:
            return []
        is_new = members != self._sent_members
        if not is_new and now - self._sent_members_at < TELL_RETRY_SECONDS:
            return []
        return self._promote_again(now)

    def _begin_watching(self, now: float) -> None:
        self._detector = FailureDetector(self._record.primary, now)
        self._sent_members = self._told_members = ()
        self._switchover = None
        self._suspect = None
        self._idle_since = None

    def _may_replace(self, suspicion: Suspicion, now: float) -> bool:
        if suspicion in (Suspicion.REFUSED, Suspicion.STEPPED_DOWN):
            return True
        return now - self._promoted_at >= PROMOTION_COOLDOWN_SECONDS

    def _hand_over(self, now: float) -> list[Effect]:
        primary = self._around.targets.get(self._record.primary)
        if primary is None:
            return []
        if primary.leaving:
            self.request_switchover(None, now)
        if self._switchover is None:
            return []
        successors = self._successors(self._switchover.requested_successor, now)
        if not successors:
            # Pauses for a successor that is gone would delay writes for as long as it is away.
            self._switchover = None
            return []
        self._note_idle(now)
        caught_up = self._idle_since is not None and self._has_caught_up(successors)
        state = self._switchover.tick(self._idle_since is not None, caught_up, now)
        if state is SwitchoverState.READY:
            return self._steps.open_term(0, now)
        return self._poll_positions(now) if self._idle_since is not None else []

    def _note_idle(self, now: float) -> None:
        if not self._holders_idle(now):
            self._idle_since = None
        elif self._idle_since is None:
            self._idle_since = now

    def _poll_positions(self, now: float) -> list[Effect]:
        if now - self._poll_at < CATCH_UP_POLL_SECONDS:
            return []
        self._poll_at = now
        primary = self._around.targets.get(self._record.primary)
        group, term = self._record.group, self._record.term
        followers = [info for info in self._members() if info.target != primary.target]
        effects: list[Effect] = [
            Follow(group, info.member_address, term, primary.member_address) for info in followers
        ]
        return [*effects, *self._promote_again(now)]

    def _rejoin_members(self, now: float) -> list[Effect]:
        primary = self._around.targets.get(self._record.primary)
        if primary is None:
            return []
        effects: list[Effect] = []
        for info in self._members():
            if info.term >= self._record.term or not self._may_retry_rejoin(info.target, now):
                continue
            group, term = self._record.group, self._record.term
            effects.append(Follow(group, info.member_address, term, primary.member_address))
        return effects

    def _promote_again(self, now: float) -> list[Effect]:
        """Repeat the promotion: it tells the primary the addresses of the members.

        The primary ships its log to these members only, so a new leader waits until it knows
        enough of them for the quorum.
        """
        record = self._record
        primary = self._around.targets.get(record.primary) if record.primary else None
        if primary is None or record.phase is not GroupPhase.STARTED:
            return []
        members = tuple(info.member_address for info in self._members())
        if len(members) < self._record.ack_quorum:
            return []
        self._sent_members = members
        self._sent_members_at = now
        return [Promote(record.group, primary.member_address, record.term, members)]

    def _publish(self) -> list[Effect]:
        current = (self._record.term, self.route_state)
        if current == self._published:
            return []
        self._published = current
        return [PublishRoutes(self._record.group)]

    def _members(self) -> list[TargetInfo]:
        infos = self._around.targets.of_group(self._record.group)
        return [info for info in infos if info.target in self._record.members]

    def _addresses(self) -> dict[TargetId, MemberAddress]:
        return {info.target: info.member_address for info in self._members()}

    def _live_members(self, now: float) -> set[TargetId]:
        targets = self._around.targets
        return {
            member
            for member in self._record.members
            if member != self._suspect and targets.is_live(member, now)
        }

    def _leases_clear(self, now: float) -> bool:
        record = self._record
        return not record.term_starts or self._around.ledger.has_no_lease_before(
            record.group, record.term, now
        )

    def _holders_idle(self, now: float) -> bool:
        return not self._around.ledger.leaseholders(self._record.group, now)

    def _has_caught_up(self, successors: list[TargetId]) -> bool:
        """Tell whether a successor holds all that the primary held after the last work ended."""
        primary = self._fresh_position(self._record.primary)
        return primary is not None and any(
            position is not None and position >= primary
            for position in map(self._fresh_position, successors)
        )

    def _fresh_position(self, target: TargetId) -> LogPosition | None:
        position, at = self._reports.get(target, (None, -math.inf))
        return position if self._idle_since is not None and at > self._idle_since else None

    def _successors(self, requested_successor: TargetId | None, now: float) -> list[TargetId]:
        live = self._live_members(now) - {self._record.primary}
        return [
            info.target
            for info in self._members()
            if info.target in live
            and not info.leaving
            and requested_successor in (None, info.target)
        ]

    def _preference(self, target: TargetId) -> tuple[int, ...]:
        info = self._around.targets.get(target)
        switchover = self._switchover
        is_requested = switchover is not None and target == switchover.requested_successor
        handing_over = switchover is not None and target == switchover.old_primary
        leaving = info is not None and info.leaving
        return (not handing_over, is_requested, not leaving)

    def _may_retry_rejoin(self, target: TargetId, now: float) -> bool:
        last = self._rejoin_attempts.get(target)
        if last is not None and now - last < REJOIN_RETRY_SECONDS:
            return False
        self._rejoin_attempts[target] = now
        return True

    def _highest_announced_term(self) -> int:
        return max((info.term for info in self._members()), default=0)
