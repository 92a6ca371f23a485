"""Base component of the control leader, independent of the failover strategy of the groups."""

from __future__ import annotations

import asyncio
import itertools
import logging
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

from circuits import Component, handler

from hibiscuspoint.core.control import DocumentDelivery, PublishHolders, PublishRoutes
from hibiscuspoint.errors import NotLeaderError
from hibiscuspoint.telemetry import catalogue, log_event
from hibiscuspoint.util.tasks import spawn

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.components.consensus import ReplicatedLog
    from hibiscuspoint.components.control_state import ControlStateMachine
    from hibiscuspoint.core.control import ControlState, DeliveredState, Effect
    from hibiscuspoint.core.control.delivery import DeliveredRoutes
    from hibiscuspoint.core.control.entries import EntryDirectory
    from hibiscuspoint.core.ports import Clock
    from hibiscuspoint.ids import EntryProcess, GroupId, InstanceId
    from hibiscuspoint.telemetry.metrics import Metrics
    from hibiscuspoint.wire import peer_pb2, record_pb2

__all__ = ["EffectExecutor", "GroupLeader", "LeaderComponent"]

logger = logging.getLogger(__name__)

#: Seconds between two ticks of the groups that change their primary.
TICK_SECONDS = 0.02

#: Every so many ticks, all groups are advanced instead of the active ones only.
FULL_TICK_INTERVAL = 5


class GroupLeader(Protocol):
    """Makes the decisions of one leadership."""

    @property
    def entries(self) -> EntryDirectory:
        """Return the directory of the entries that report to this leader."""

    def registration_command(self, message: peer_pb2.Announcement) -> record_pb2.Command | None:
        """Return the command that must be committed before an announcement is accepted."""

    def handle_announcement(self, message: peer_pb2.Announcement, now: float) -> list[Effect]:
        """Record an announcement of a target and return the effects."""

    def handle_report(self, message: peer_pb2.EntryReport, now: float) -> list[Effect]:
        """Record a report of an entry and return the effects."""

    def route_recipients(self, group: GroupId) -> list[InstanceId] | None:
        """Return the entries that need the routes of a group; ``None`` for all."""

    def tick(self, now: float) -> list[Effect]:
        """Advance all groups."""

    def tick_active(self, now: float) -> list[Effect]:
        """Advance the groups that change their primary."""

    def tick_group(self, group: GroupId, now: float) -> list[Effect]:
        """Advance one group."""

    def build_update(
        self, instance: InstanceId, now: float, delivered: DeliveredRoutes
    ) -> peer_pb2.ControlUpdate:
        """Return the update for an entry, given the routes that were sent on its stream."""


class EffectExecutor(Protocol):
    """Executes the effects of the decisions."""

    def run(self, effect: Effect) -> None:
        """Start to execute an effect."""

    def cancel(self) -> None:
        """Cancel all calls in progress."""


LeaderT = TypeVar("LeaderT", bound=GroupLeader)


class LeaderComponent(Component, Generic[LeaderT]):
    """Runs the decisions of the control leader; does nothing on other instances."""

    channel = "control"

    def __init__(
        self,
        instance: InstanceId,
        log: ReplicatedLog,
        machine: ControlStateMachine,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._instance = instance
        self._log = log
        self._machine = machine
        self._clock = clock
        self._metrics = metrics
        self._leader: LeaderT | None = None
        self._runner = self._make_runner()
        self._streams: dict[InstanceId, Callable[[], None]] = {}
        self._draining: set[InstanceId] = set()
        self._delivery = DocumentDelivery()
        self._leader_known = asyncio.Event()
        self._task: asyncio.Task | None = None

    @property
    def leader(self) -> LeaderT | None:
        """The leader object; ``None`` unless this instance holds a valid leadership lease."""
        return self._leader if self._log.is_leader else None

    @property
    def log(self) -> ReplicatedLog:
        """Return the replicated log."""
        return self._log

    @property
    def state(self) -> ControlState:
        """Return the replicated state."""
        return self._machine.state

    @property
    def clock(self) -> Clock:
        """Return the clock."""
        return self._clock

    def start(self) -> None:
        """Start the timer."""
        self._task = spawn(self._tick_forever(), "control leader timer")

    async def stop(self) -> None:
        """Stop the timer and the calls in progress."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._runner.cancel()

    async def wait_for_known_leader(self, timeout: float) -> None:
        """Wait until this instance knows who leads, for ``timeout`` seconds at most."""
        try:
            async with asyncio.timeout(timeout):
                await self._leader_known.wait()
        except TimeoutError:
            return

    def attach(self, instance: InstanceId, wake: Callable[[], None]) -> None:
        """Register the stream of an entry; calling ``wake`` makes it send an update."""
        self._streams[instance] = wake

    def detach(self, instance: InstanceId, wake: Callable[[], None]) -> None:
        """Remove the stream of an entry unless a newer one has replaced it."""
        if self._streams.get(instance) is wake:
            del self._streams[instance]

    def request_drain(self, instance: InstanceId) -> None:
        """Request an entry to drain with its next update."""
        self._draining.add(instance)
        self._wake([instance])

    def build_update(
        self, process: EntryProcess, delivered: DeliveredState
    ) -> peer_pb2.ControlUpdate | None:
        """Return the update for an entry.

        :param process: start of the instance whose stream the update is for.
        :param delivered: what was sent on the stream of the entry; updated.
        :returns: ``None`` when this instance does not lead or a later start has reported.
        """
        leader = self.leader
        entry = leader.entries.get(process.instance) if leader is not None else None
        if entry is None or entry.process != process:
            return None
        now = self._clock.monotonic()
        update = leader.build_update(process.instance, now, delivered.routes)
        update.drain = process.instance in self._draining
        self._delivery.add_to_update(update, entry.document_number, delivered.document, now)
        return update

    def later_incarnation(self, process: EntryProcess) -> int:
        """Return the incarnation of a later start that has reported; 0 if there is none."""
        leader = self.leader
        entry = leader.entries.get(process.instance) if leader is not None else None
        is_later = entry is not None and entry.incarnation > process.incarnation
        return entry.incarnation if is_later else 0

    def handle_report(self, report: peer_pb2.EntryReport) -> bool:
        """Handle a report of an entry; return false when this instance does not lead."""
        leader = self.leader
        if leader is None:
            return False
        self._run(leader.handle_report(report, self._clock.monotonic()))
        return True

    async def handle_announcement(self, announcement: peer_pb2.Announcement) -> bool:
        """Handle an announcement of a target; return false when this instance does not lead.

        State that must survive this leader is committed before the announcement is accepted.
        """
        leader = self.leader
        if leader is None:
            return False
        command = leader.registration_command(announcement)
        if command is not None:
            try:
                await self._log.propose(command)
            except NotLeaderError:
                return False
            self._registered(command)
        if self.leader is not leader:
            return False
        self._run(leader.handle_announcement(announcement, self._clock.monotonic()))
        return True

    def run_decision(self, decide: Callable[[LeaderT], list[Effect]]) -> None:
        """Run a decision on a late answer if this instance still leads."""
        leader = self.leader
        if leader is not None:
            self._run(decide(leader))

    def _make_runner(self) -> EffectExecutor:
        """Return the executor of the effects."""
        raise NotImplementedError

    def _make_leader(self, term: int, now: float) -> LeaderT:
        """Return the leader object of a new leadership."""
        raise NotImplementedError

    def _registered(self, command: record_pb2.Command) -> None:
        """React to a committed command that an announcement required."""

    def _take_document(self) -> None:
        """Pass the document in force to the leader object."""

    def _holders_published(self) -> None:
        """React to changed holder lists."""

    @handler("leadership_gained", channel="*")
    def _on_leadership_gained(self, term: int) -> None:
        self._leader = self._make_leader(term, self._clock.monotonic())
        self._metrics.leader.set(1)
        log_event(logger, catalogue.LEADERSHIP_GAINED, term=term)
        # A document restored from a snapshot has fired no event of an applied command.
        self._delivery.set_document(self.state.document)
        self._take_document()

    @handler("leadership_lost", channel="*")
    def _on_leadership_lost(self) -> None:
        if self._leader is None:
            return
        self._leader = None
        self._draining.clear()
        self._runner.cancel()
        self._metrics.leader.set(0)
        term = self._log.control_term
        log_event(logger, catalogue.LEADERSHIP_LOST, term=term, reason="lease ended")
        self._wake(list(self._streams))

    @handler("command_applied", channel="*")
    def _on_command_applied(self, name: str, group: GroupId | None) -> None:
        if name == "accept_document":
            # Followers keep the texts too, to send differences between documents once they lead.
            self._delivery.set_document(self.state.document)
        leader = self._leader
        if leader is None:
            return
        if name == "accept_document":
            self._take_document()
            self._wake(list(self._streams))
        if group is not None and self._log.is_leader:
            self._run(leader.tick_group(group, self._clock.monotonic()))

    async def _tick_forever(self) -> None:
        for count in itertools.count():
            leader = self.leader
            if leader is not None:
                is_full = count % FULL_TICK_INTERVAL == 0
                tick = leader.tick if is_full else leader.tick_active
                self._run(tick(self._clock.monotonic()))
            self._note_known_leader()
            await asyncio.sleep(TICK_SECONDS)

    def _note_known_leader(self) -> None:
        """Release those that wait for a leader; an own leadership counts once it may act."""
        if self._log.leader_address and (self._log.leader != self._instance or self._log.is_leader):
            self._leader_known.set()
        else:
            self._leader_known.clear()

    def _run(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, PublishRoutes):
                recipients = self._leader.route_recipients(effect.group) if self._leader else None
                self._wake(list(self._streams) if recipients is None else recipients)
            elif isinstance(effect, PublishHolders):
                self._holders_published()
                self._wake(list(self._streams))
            else:
                self._runner.run(effect)

    def _wake(self, instances: list[InstanceId]) -> None:
        for instance in instances:
            wake = self._streams.get(instance)
            if wake is not None:
                wake()
