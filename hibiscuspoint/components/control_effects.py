"""Carries out the effects of the control leader at the log and the targets."""

from __future__ import annotations

import asyncio
import logging
from functools import partial
from typing import TYPE_CHECKING

from hibiscuspoint.core.control import (
    Follow,
    MemberReport,
    PrimarySuspected,
    Promote,
    Propose,
    Seal,
    Terminate,
)
from hibiscuspoint.core.position import LogPosition
from hibiscuspoint.drivers import AdminError
from hibiscuspoint.errors import NotLeaderError
from hibiscuspoint.ids import Term
from hibiscuspoint.telemetry import catalogue, log_event
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND
from hibiscuspoint.wire import target_pb2

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from hibiscuspoint.components.consensus import ReplicatedLog
    from hibiscuspoint.components.control_state import ControlStateMachine
    from hibiscuspoint.core.control import ControlLeader, Effect, GroupRecord, MemberAddress
    from hibiscuspoint.core.ports import Clock, TargetDriver
    from hibiscuspoint.ids import GroupId
    from hibiscuspoint.wire import record_pb2

    #: Runs a decision with the leader if this instance still leads.
    Decide = Callable[[Callable[[ControlLeader], list[Effect]]], None]

__all__ = ["EffectRunner"]

logger = logging.getLogger(__name__)

#: Longest time in seconds to wait for the answer of a target.
CALL_SECONDS = 0.5


class EffectRunner:
    """Starts one task for each effect and hands the answers back as decisions."""

    def __init__(
        self,
        log: ReplicatedLog,
        machine: ControlStateMachine,
        driver: TargetDriver,
        decide: Decide,
        clock: Clock,
    ) -> None:
        self._log = log
        self._machine = machine
        self._opened_at: dict[GroupId, float] = {}
        self._driver = driver
        self._decide = decide
        self._clock = clock
        self._tasks: set[asyncio.Task] = set()

    def run(self, effect: Effect) -> None:
        """Start to carry out an effect."""
        match effect:
            case Propose(command):
                self._start(self._propose(command))
            case Seal(group, member, term):
                self._start(self._seal(group, member, term))
            case Promote(group, member, term, members):
                self._start(self._promote(group, member, term, members))
            case Follow(group, member, term, primary):
                self._start(self._follow(group, member, term, primary))
            case Terminate():
                self._start(self._terminate(effect))
            case PrimarySuspected(group, primary, suspicion):
                log_event(
                    logger,
                    catalogue.PRIMARY_SUSPECTED,
                    group=group,
                    target=primary,
                    term=self._record(group).term,
                    reason=suspicion.value,
                )

    def cancel(self) -> None:
        """Give up all calls."""
        for task in self._tasks:
            task.cancel()

    async def _propose(self, command: record_pb2.Command) -> None:
        try:
            await self._log.propose(command)
        except NotLeaderError:
            return
        self._log_command(command)

    def _log_command(self, command: record_pb2.Command) -> None:
        match command.WhichOneof("body"):
            case "form_group":
                body = command.form_group
                members = list(body.members)
                log_event(logger, catalogue.GROUP_FORMED, group=body.group, members=members)
            case "open_term":
                body = command.open_term
                self._opened_at[body.group] = self._clock.monotonic()
                log_event(logger, catalogue.TERM_OPENED, group=body.group, term=body.term)
            case "choose_primary":
                body = command.choose_primary
                log_event(
                    logger,
                    catalogue.PRIMARY_CHOSEN,
                    group=body.group,
                    target=body.primary,
                    term=body.term,
                )
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

    def _record(self, group: GroupId) -> GroupRecord:
        return self._machine.state.groups[group]

    def _elapsed_ms(self, group: GroupId) -> int:
        """Return the time since the term was opened; 0 when an earlier leader opened it."""
        now = self._clock.monotonic()
        return int((now - self._opened_at.pop(group, now)) * MILLISECONDS_PER_SECOND)

    async def _seal(self, group: GroupId, member: MemberAddress, term: Term) -> None:
        admin = self._driver.admin
        reply = await admin.seal(member.address, term, timeout=CALL_SECONDS)
        report = MemberReport(
            member.target, reply.sealed, Term(reply.sealed_term), _position(reply.last)
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
        self._decide(lambda leader: leader.sealed(group, report, now))

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
                self._decide(lambda leader: leader.refused(group, member.target, now))
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
        sealed_term, last = Term(state.sealed_term), _position(state.received)
        report = MemberReport(member.target, state.accepted, sealed_term, last, listed)
        now = self._clock.monotonic()
        self._decide(lambda leader: leader.joined(group, report, now))

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
            leader.terminated(effect.target, effect.instance)
            return []

        self._decide(confirm)

    def _start(self, work: Coroutine) -> None:
        task = asyncio.ensure_future(_without_answer(work))
        self._tasks.add(task)
        task.add_done_callback(partial(_forget, self._tasks))


async def _without_answer(work: Coroutine) -> None:
    """Run a call whose failure needs no action, because the decision asks again."""
    try:
        await work
    except AdminError as error:
        logger.debug("call to a target failed: %s", error)


def _forget(tasks: set[asyncio.Task], task: asyncio.Task) -> None:
    tasks.discard(task)
    if not task.cancelled() and task.exception() is not None:
        logger.error("an effect failed", exc_info=task.exception())


def _position(message: object) -> LogPosition:
    return LogPosition(Term(message.term), message.index)
