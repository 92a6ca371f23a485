"""Carries out the effects of the control leader at the log and the targets."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from hibiscuspoint.components.leader_effects import LeaderEffects
from hibiscuspoint.core.control import (
    Follow,
    MemberReply,
    Promote,
    Seal,
    Terminate,
)
from hibiscuspoint.drivers import AdminError
from hibiscuspoint.ids import Term
from hibiscuspoint.telemetry import catalogue, log_event
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND
from hibiscuspoint.wire import target_pb2
from hibiscuspoint.wire.position import position_from

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from hibiscuspoint.components.consensus import ReplicatedLog
    from hibiscuspoint.components.control_state import ControlStateMachine
    from hibiscuspoint.core.control import ControlLeader, Effect, MemberAddress
    from hibiscuspoint.core.ports import Clock, TargetDriver
    from hibiscuspoint.ids import GroupId
    from hibiscuspoint.wire import record_pb2

    #: Runs a decision with the leader if this instance still leads.
    Decide = Callable[[Callable[[ControlLeader], list[Effect]]], None]

__all__ = ["ControlEffects"]

logger = logging.getLogger(__name__)

#: Longest time in seconds to wait for the answer of a target.
CALL_SECONDS = 0.5


class ControlEffects(LeaderEffects["ControlLeader"]):
    """Carries out the effects of one leadership."""

    def __init__(
        self,
        log: ReplicatedLog,
        machine: ControlStateMachine,
        driver: TargetDriver,
        decide: Decide,
        clock: Clock,
    ) -> None:
        super().__init__(log, machine, decide, clock)
        self._opened_at: dict[GroupId, float] = {}
        self._driver = driver

    def _call_target(self, effect: Effect) -> None:
        match effect:
            case Seal(group, member, term):
                work = self._seal(group, member, term)
            case Promote(group, member, term, members):
                work = self._promote(group, member, term, members)
            case Follow(group, member, term, primary):
                work = self._follow(group, member, term, primary)
            case Terminate():
                work = self._terminate(effect)
            case _:
                return
        self._start(_without_answer(work), "call to a target")

    def _log_command(self, command: record_pb2.Command) -> None:
        match command.WhichOneof("body"):
            case "form_group":
                body = command.form_group
                members = list(body.members)
                log_event(logger, catalogue.GROUP_FORMED, group=body.group, members=members)
            case "open_term":
                body = command.open_term
                self._opened_at[body.group] = self._clock.monotonic()
                super()._log_command(command)
            case "start_term":
                body = command.start_term
                log_event(
                    logger,
                    catalogue.ROUTES_GRANTED,
                    group=body.group,
                    target=self._record(body.group).primary or "",
                    term=body.term,
                    elapsed_ms=self._elapsed_ms(body.group),
                )
            case _:
                super()._log_command(command)

    def _elapsed_ms(self, group: GroupId) -> int:
        """Return the time since the term was opened; 0 when an earlier leader opened it."""
        now = self._clock.monotonic()
        return int((now - self._opened_at.pop(group, now)) * MILLISECONDS_PER_SECOND)

    async def _seal(self, group: GroupId, member: MemberAddress, term: Term) -> None:
        admin = self._driver.admin
        reply = await admin.seal(member.address, term, timeout=CALL_SECONDS)
        report = MemberReply(
            member.target, reply.sealed, Term(reply.sealed_term), position_from(reply.last)
        )
        if reply.sealed:
            log_event(
                logger,
                catalogue.MEMBER_SEALED,
                group=group,
                target=member.target,
                term=term,
                position=f"{reply.last.term}:{reply.last.index}",
            )
        now = self._clock.monotonic()
        self._decide(lambda leader: leader.handle_seal_reply(group, report, now))

    async def _promote(
        self,
        group: GroupId,
        member: MemberAddress,
        term: Term,
        members: tuple[MemberAddress, ...],
    ) -> None:
        listed = [target_pb2.Member(target=m.target, address=m.address) for m in members]
        admin = self._driver.admin
        try:
            state = await admin.promote(member.address, term, listed, timeout=CALL_SECONDS)
        except AdminError as error:
            if error.is_refused:
                now = self._clock.monotonic()
                self._decide(lambda leader: leader.handle_refusal(group, member.target, now))
            raise
        if state.accepted:
            log_event(
                logger, catalogue.PRIMARY_PROMOTED, group=group, target=member.target, term=term
            )
        self._joined(group, member, state, members)

    async def _follow(
        self, group: GroupId, member: MemberAddress, term: Term, primary: MemberAddress
    ) -> None:
        followed = target_pb2.Member(target=primary.target, address=primary.address)
        admin = self._driver.admin
        state = await admin.follow(member.address, term, followed, timeout=CALL_SECONDS)
        self._joined(group, member, state)

    def _joined(
        self,
        group: GroupId,
        member: MemberAddress,
        state: target_pb2.MemberState,
        listed: tuple[MemberAddress, ...] = (),
    ) -> None:
        sealed_term, last = Term(state.sealed_term), position_from(state.received)
        report = MemberReply(member.target, state.accepted, sealed_term, last, listed)
        now = self._clock.monotonic()
        self._decide(lambda leader: leader.handle_join_reply(group, report, now))

    async def _terminate(self, effect: Terminate) -> None:
        admin = self._driver.admin
        closed = await admin.terminate(
            effect.address, effect.instance, effect.incarnation, timeout=CALL_SECONDS
        )
        log_event(
            logger,
            catalogue.SHARE_TERMINATED,
            subject=effect.instance,
            target=effect.target,
            connections=closed,
        )

        def confirm(leader: ControlLeader) -> list[Effect]:
            leader.record_termination(effect.target, effect.instance)
            return []

        self._decide(confirm)


async def _without_answer(work: Coroutine) -> None:
    """Run a call whose failure needs no action, because the decision asks again."""
    try:
        await work
    except AdminError as error:
        logger.debug("call to a target failed: %s", error)
