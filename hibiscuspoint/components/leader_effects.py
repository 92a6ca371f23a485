"""Carries out the effects of a control leader, as far as they do not depend on its targets."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Generic, TypeVar

from hibiscuspoint.core.control import PrimarySuspected, Propose
from hibiscuspoint.errors import NotLeaderError
from hibiscuspoint.telemetry import catalogue, log_event
from hibiscuspoint.util.tasks import spawn

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable, Coroutine

    from hibiscuspoint.components.consensus import ReplicatedLog
    from hibiscuspoint.components.control_state import ControlStateMachine
    from hibiscuspoint.core.control import Effect, GroupRecord
    from hibiscuspoint.core.ports import Clock
    from hibiscuspoint.ids import GroupId
    from hibiscuspoint.wire import record_pb2

__all__ = ["LeaderEffects"]

logger = logging.getLogger(__name__)

LeaderT = TypeVar("LeaderT")


class LeaderEffects(Generic[LeaderT]):
    """Starts one task for each effect and hands the answers back as decisions.

    :param decide: runs a decision with the leader if this instance still leads.
    """

    def __init__(
        self,
        log: ReplicatedLog,
        machine: ControlStateMachine,
        decide: Callable[[Callable[[LeaderT], list[Effect]]], None],
        clock: Clock,
    ) -> None:
        self._log = log
        self._machine = machine
        self._decide = decide
        self._clock = clock
        self._tasks: set[asyncio.Task] = set()

    def run(self, effect: Effect) -> None:
        """Start to carry out an effect."""
        match effect:
            case Propose(command):
                self._start(self._propose(command), "proposal")
            case PrimarySuspected(group, primary, suspicion):
                log_event(
                    logger,
                    catalogue.PRIMARY_SUSPECTED,
                    group=group,
                    target=primary,
                    term=self._record(group).term,
                    reason=suspicion.value,
                )
            case _:
                self._call_target(effect)

    def cancel(self) -> None:
        """Give up all calls."""
        for task in self._tasks:
            task.cancel()

    def _call_target(self, effect: Effect) -> None:
        """Start to carry out an effect at a target."""
        raise NotImplementedError

    def _record(self, group: GroupId) -> GroupRecord:
        return self._machine.state.groups[group]

    async def _propose(self, command: record_pb2.Command) -> None:
        try:
            await self._log.propose(command)
        except NotLeaderError:
            # The next leader decides anew.
            return
        self._log_command(command)

    def _log_command(self, command: record_pb2.Command) -> None:
        """Log a command that took effect."""
        match command.WhichOneof("body"):
            case "open_term":
                body = command.open_term
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

    def _start(self, work: Coroutine, name: str) -> None:
        task = spawn(work, name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
