"""Carries out failover effects at the control log, the targets and the platform."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from hibiscuspoint.components.leader_effects import LeaderEffects
from hibiscuspoint.core.failover import (
    OverloadSwitchover,
    PauseReplica,
    PrimaryProven,
    PromotionWaiting,
    RequestPromotion,
    ResumeReplica,
    StepDown,
)
from hibiscuspoint.core.ports import PromotionOutcome
from hibiscuspoint.ids import InstanceId
from hibiscuspoint.telemetry import catalogue, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.components.consensus import ReplicatedLog
    from hibiscuspoint.components.control_state import ControlStateMachine
    from hibiscuspoint.components.target_poller import TargetPoller
    from hibiscuspoint.core.control import Effect
    from hibiscuspoint.core.failover import FailoverLeader, GroupFailover, MissingLog
    from hibiscuspoint.core.ports import Clock, PromotionAuthority
    from hibiscuspoint.ids import EntryProcess, GroupId, Term
    from hibiscuspoint.wire import record_pb2

    #: Runs a decision with the leader if this instance still leads.
    Decide = Callable[[Callable[[FailoverLeader], list[Effect]]], None]

__all__ = ["FailoverEffects"]

logger = logging.getLogger(__name__)

#: Longest time in seconds to wait for the platform's answer to a promotion. A repeated request is
#: harmless, so an answer that takes longer is asked for again.
PROMOTION_SECONDS = 1.0


class FailoverEffects(LeaderEffects["FailoverLeader"]):
    """Carries out the effects of one leadership.

    :param on_entry_recorded: called when an entry may get its first lease.
    """

    def __init__(
        self,
        log: ReplicatedLog,
        machine: ControlStateMachine,
        poller: TargetPoller,
        authority: PromotionAuthority,
        decide: Decide,
        clock: Clock,
        on_entry_recorded: Callable[[InstanceId], None],
    ) -> None:
        super().__init__(log, machine, decide, clock)
        self._on_entry_recorded = on_entry_recorded
        self._poller = poller
        self._authority = authority

    def _call_target(self, effect: Effect) -> None:
        match effect:
            case PauseReplica(group, member, term):
                self._start(self._pause(group, member.target, term), "pause of a replica")
            case StepDown(group, member, term):
                self._start(self._step_down(group, member.target, term), "end of a primary")
            case ResumeReplica(group, member):
                self._start(self._resume(group, member.target), "resumption of a replica")
            case OverloadSwitchover(group, primary):
                log_event(
                    logger,
                    catalogue.OVERLOAD_SWITCHOVER,
                    group=group,
                    target=primary,
                    term=self._record(group).term,
                )
            case PrimaryProven():
                _log_proof(effect)
            case PromotionWaiting(group, term, missing, entries):
                log_event(
                    logger,
                    catalogue.PROMOTION_WAITING,
                    group=group,
                    term=term,
                    missing=_missing_texts(missing),
                    entries=_entry_texts(entries),
                )
            case RequestPromotion(group, target, token):
                self._start(self._promote(group, target, token), "promotion")

    def _log_command(self, command: record_pb2.Command) -> None:
        match command.WhichOneof("body"):
            case "start_term":
                body = command.start_term
                primary = self._record(body.group).primary or ""
                log_event(
                    logger, catalogue.TERM_STARTED, group=body.group, target=primary, term=body.term
                )
            case "remove_target":
                body = command.remove_target
                log_event(logger, catalogue.TARGET_REMOVED, group=body.group, target=body.target)
            case "record_entry":
                self._on_entry_recorded(InstanceId(command.record_entry.instance))
            case _:
                super()._log_command(command)

    async def _pause(self, group: GroupId, target: str, term: Term) -> None:
        reply = await self._poller.pause(target, term)
        if reply is None:
            return
        status, source = reply.status, reply.source
        log_event(
            logger,
            catalogue.MEMBER_SEALED,
            group=group,
            target=target,
            term=term,
            position=f"{status.received.term}:{status.received.index}",
        )
        self._tell(
            group,
            lambda controller, now: controller.record_pause(target, status, source, term, now),
        )

    async def _resume(self, group: GroupId, target: str) -> None:
        reply = await self._poller.resume(target)
        if reply is None or reply.status.paused_term:
            return
        log_event(logger, catalogue.REPLICA_RESUMED, group=group, target=target)
        self._tell(group, lambda controller, now: controller.record_resumption(target))

    async def _step_down(self, group: GroupId, target: str, term: Term) -> None:
        reply = await self._poller.step_down(target, term)
        if reply is None:
            outcome = "no answer"
        else:
            outcome = "still a primary" if reply.status.is_primary else "a replica"
        log_event(
            logger,
            catalogue.STEP_DOWN_ORDERED,
            group=group,
            target=target,
            term=term,
            outcome=outcome,
        )
        if reply is not None:
            status = reply.status
            self._tell(
                group,
                lambda controller, now: controller.record_step_down(target, status, term, now),
            )

    async def _promote(self, group: GroupId, target: str, token: int) -> None:

        def may_send(delivery_seconds: float) -> bool:
            is_own = self._log.control_term == token
            return is_own and self._log.is_leader_for(delivery_seconds)

        if not self._log.is_leader:
            return
        outcome = await self._authority.promote(group, target, token, PROMOTION_SECONDS, may_send)
        log_event(
            logger,
            catalogue.PROMOTION_REQUESTED,
            group=group,
            target=target,
            fence=token,
            outcome=outcome.value,
        )
        if outcome is PromotionOutcome.REFUSED:
            self._tell(
                group, lambda controller, now: controller.record_promotion_refusal(target, now)
            )
        elif outcome is PromotionOutcome.UNKNOWN:
            self._tell(group, lambda controller, now: controller.record_promotion_loss(target, now))

    def _tell(self, group: GroupId, act: Callable[[GroupFailover, float], None]) -> None:
        now = self._clock.monotonic()
        self._decide(lambda leader: leader.update_group(group, lambda c: act(c, now), now))


def _log_proof(proven: PrimaryProven) -> None:
    position = proven.position
    log_event(
        logger,
        catalogue.PRIMARY_PROVEN,
        group=proven.group,
        target=proven.target,
        term=proven.term,
        proof=proven.proof.value,
        position=f"{position.term}:{position.index}" if position is not None else "",
        seconds=round(proven.seconds, 3),
        missing=_missing_texts(proven.missing),
        entries=_entry_texts(proven.entries),
    )


def _missing_texts(missing: tuple[MissingLog, ...]) -> list[str]:
    return [f"{log.target} ({log.incarnation}): {log.reason.value}" for log in missing]


def _entry_texts(entries: tuple[EntryProcess, ...]) -> list[str]:
    return [f"{entry.instance} ({entry.incarnation})" for entry in entries]
