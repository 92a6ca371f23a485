"""The replicated log as a component: node, disk and streams on one asyncio loop."""

from __future__ import annotations

import asyncio
import logging
import random
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import grpc
from circuits import Component

from hibiscuspoint.components.consensus_events import (
    control_log_failed,
    leadership_gained,
    leadership_lost,
)
from hibiscuspoint.components.consensus_status import MemberStatus, member_statuses
from hibiscuspoint.components.consensus_transport import Transport
from hibiscuspoint.components.effect_runner import EffectRunner
from hibiscuspoint.components.proposals import Proposals
from hibiscuspoint.core.consensus.effects import SAVE_EFFECTS
from hibiscuspoint.core.consensus.membership import Member, VoterContact
from hibiscuspoint.core.consensus.node import Node
from hibiscuspoint.core.consensus.repair import RepairPhase
from hibiscuspoint.core.consensus.state import Role
from hibiscuspoint.core.consensus.timing import DEFAULT_COMPACTION_ENTRIES
from hibiscuspoint.errors import NotLeaderError
from hibiscuspoint.storage.control_disk import ControlDisk
from hibiscuspoint.util.clock import suspend_aware
from hibiscuspoint.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Collection
    from pathlib import Path

    from hibiscuspoint.components.consensus_servicer import ExchangeServicer
    from hibiscuspoint.components.effect_runner import StateMachine
    from hibiscuspoint.core.consensus.effects import Effect
    from hibiscuspoint.core.consensus.messages import Message
    from hibiscuspoint.core.consensus.repair import RepairProgress
    from hibiscuspoint.core.consensus.timing import Timing
    from hibiscuspoint.ids import InstanceId
    from hibiscuspoint.wire import record_pb2

__all__ = ["ReplicatedLog"]

logger = logging.getLogger(__name__)

#: Bounds of the seconds between ticks of the node.
TICK_MIN = 0.005
TICK_MAX = 0.1

#: Seconds between two looks at the progress of a repair.
REPAIR_INTERVAL = 0.02


class ReplicatedLog(Component):
    """One member of the control group.

    Fires ``leadership_gained(term)``, ``leadership_lost()`` and ``control_log_failed(error)``.

    :param instance: this instance.
    :param peers: addresses ("ip:port") of all control instances, with this one.
    :param data_directory: directory of the disk log.
    :param state_machine: receives committed commands.
    :param channel_factory: creates a channel like ``grpc.aio.insecure_channel``.
    :param channel_generation: returns a number whose change asks for new channels.
    :param clock: returns seconds of a clock that never steps.
    :param compaction_entries: applied entries after which a snapshot replaces them.
    :param timing: times of the control group; the usual ones by default.
    :param started_at: when the process started, on ``clock``: its predecessor heard from no leader
        after that. The time of :meth:`start` by default.
    :param dynamic_membership: the id of an instance is its address, voters are added and replaced
        by :meth:`advance_voter_change`, and ``peers`` are only the instances that form the group.
    """

    channel = "control_log"

    def __init__(
        self,
        instance: InstanceId,
        peers: dict[InstanceId, str],
        data_directory: Path,
        state_machine: StateMachine,
        *,
        channel_factory: Callable[..., grpc.aio.Channel] = grpc.aio.insecure_channel,
        channel_generation: Callable[[], int] = lambda: 0,
        clock: Callable[[], float] = suspend_aware,
        compaction_entries: int = DEFAULT_COMPACTION_ENTRIES,
        dynamic_membership: bool = False,
        started_at: float | None = None,
        timing: Timing | None = None,
    ) -> None:
        self._timing = timing
        self._started_at = started_at
        self._instance = instance
        self._dynamic_membership = dynamic_membership
        self._peers = dict(peers)
        self._data_directory = data_directory
        self._state_machine = state_machine
        self._clock = clock
        self._compaction_entries = compaction_entries
        self._transport = Transport(
            instance,
            peers,
            channel_factory,
            self._receive,
            channel_generation,
            dynamic_membership=dynamic_membership,
        )
        self._proposals = Proposals()
        self._inbox: list[Message] = []
        self._node: Node | None = None
        self._disk: ControlDisk | None = None
        self._runner: EffectRunner | None = None
        self._ticker: asyncio.Task[None] | None = None
        self._pump_handle: asyncio.Handle | None = None
        self._unsaved: list[Effect] = []
        self._saving: asyncio.Task[None] | None = None
        # Only the writer thread touches the disk, so that a slow disk does not stop the loop.
        self._writer = ThreadPoolExecutor(1, "control log")
        self._was_leader = False
        super().__init__()

    @property
    def servicer(self) -> ExchangeServicer:
        """Return the servicer to register with the gRPC server."""
        return self._transport.servicer

    @property
    def is_leader(self) -> bool:
        """Tell whether the leadership lease is valid now and all earlier commits are applied."""
        node = self._node
        if node is None or not node.is_leader(self._clock()):
            return False
        # Entries of earlier terms may be committed and wait for the disk before they are applied.
        return self._runner.applied_index >= node.term_start

    @property
    def control_term(self) -> int:
        """Return the current term of the control group."""
        return self._node.term if self._node else 0

    @property
    def leader(self) -> InstanceId | None:
        """Return the leader as far as this instance knows."""
        return self._node.leader if self._node else None

    @property
    def leader_address(self) -> str:
        """Return the address of the leader; empty when it is unknown."""
        leader = self.leader
        if leader is None:
            return ""
        return leader if self._dynamic_membership else self._peers.get(leader, "")

    @property
    def voter_addresses(self) -> list[str]:
        """Return the addresses of the voters; only with ``dynamic_membership``."""
        if self._node is None or not self._dynamic_membership:
            return []
        return sorted(voter.instance for voter in self._node.configuration.all_voters)

    @property
    def disk_id(self) -> str:
        """Return the identity of the disk; empty before :meth:`start` and after an error."""
        return self._node.me.disk if self._node is not None else ""

    @property
    def voter_contacts(self) -> list[VoterContact]:
        """Return the voters with the time of their last answer, while this instance leads."""
        if self._node is None:
            return []
        node = self._node
        contacts = []
        for voter in sorted(node.configuration.voters):
            progress = node.progress_of(voter)
            contact = progress.contact if progress is not None else float("-inf")
            last_contact_at = self._clock() if voter == node.me else contact
            contacts.append(VoterContact(voter.instance, voter.disk, last_contact_at))
        return contacts

    @property
    def is_changing_voters(self) -> bool:
        """Tell whether a change of the voters is not complete yet."""
        return self._node is not None and self._node.configuration.is_joint

    async def start(self) -> None:
        """Open the disk, recover the state and join the group.

        :raises DiskInUseError: another process uses the data directory.
        :raises OSError: the data directory cannot be read or written.
        """
        self._disk = ControlDisk(self._data_directory)
        log = self._disk.log
        self._runner = EffectRunner(
            log, self._transport.send, self._state_machine, self._proposals.applied
        )
        if log.recovered.snapshot.index:
            self._runner.restore(log.recovered.snapshot)
        self._node = Node(
            me=Member(self._instance, log.identity),
            peers=frozenset(self._peers),
            recovered=log.recovered,
            draw=random.random,
            now=self._clock() if self._started_at is None else self._started_at,
            dynamic_membership=self._dynamic_membership,
            timing=self._timing,
        )
        self._transport.start()
        self._ticker = asyncio.create_task(self._tick_forever())

    async def stop(self) -> None:
        """Leave the group and close the disk."""
        if self._ticker is not None:
            self._ticker.cancel()
            await asyncio.gather(self._ticker, return_exceptions=True)
            self._ticker = None
        if self._saving is not None:
            await asyncio.gather(self._saving, return_exceptions=True)
        self._close()
        self._writer.shutdown(wait=True)
        await self._transport.stop()

    async def propose(self, command: record_pb2.Command) -> int:
        """Commit and apply a command, and return its index.

        :raises NotLeaderError: with verdict ``NOT_RUN`` when the command was never appended, or
            ``MAY_HAVE_RUN`` when leadership was lost before its commit.
        """
        if not self.is_leader:
            raise self._not_leader()
        future = self._proposals.add(command.SerializeToString())
        self._schedule_pump()
        return await future

    def members(self) -> list[MemberStatus]:
        """Return the status of all control instances, sorted by instance."""
        if self._node is None:
            return []
        instances = frozenset(self._peers)
        if self._dynamic_membership:
            instances = frozenset(member.instance for member in self._node.configuration.members)
        return member_statuses(self._node, instances, self._clock())

    def advance_voter_change(
        self, instance: InstanceId, replaced: InstanceId | None, since: float
    ) -> RepairPhase:
        """Perform the next step of making the disk of an instance a voter.

        :param replaced: instance whose voter it replaces; ``None`` adds a voter.
        :param since: when the change was decided, on the clock of the log.
        :raises NotLeaderError: this instance does not lead.
        :raises RequestError: the instance is this one.
        """
        if self._node is None:
            raise self._not_leader()
        if self._node.disk_of(instance) is None:
            self._transport.send(self._node.probe(instance))
        progress, effects = self._node.advance_voter_change(
            instance, replaced, since, self._clock()
        )
        self._step(lambda _: effects)
        return progress.phase

    def update_peers(self, candidates: Collection[InstanceId]) -> None:
        """Keep streams to the members and candidates of the group only."""
        if self._node is None:
            return
        members = {member.instance for member in self._node.configuration.members}
        self._transport.update_peers((members | set(candidates)) - {self._instance})

    async def repair(self, instance: InstanceId) -> AsyncIterator[RepairProgress]:
        """Replace the lost disk of an instance by its new one, yielding each progress.

        The last one has phase ``DONE``. A repair that was interrupted is continued by calling
        this again, also on a new leader.

        :raises NotLeaderError: this instance does not lead, or lost leadership meanwhile.
        :raises RequestError: the instance cannot be repaired by this one.
        """
        since = self._clock()
        latest: RepairProgress | None = None
        while latest is None or latest.phase is not RepairPhase.DONE:
            progress = self._advance_repair(instance, since, is_begun=latest is not None)
            if progress != latest:
                yield progress
            latest = progress
            await asyncio.sleep(REPAIR_INTERVAL)

    def _advance_repair(
        self, instance: InstanceId, since: float, *, is_begun: bool
    ) -> RepairProgress:
        if self._node is None:
            raise self._not_leader()
        try:
            progress, effects = self._node.advance_repair(instance, since, self._clock())
        except NotLeaderError as error:
            verdict = Verdict.MAY_HAVE_RUN if is_begun else Verdict.NOT_RUN
            raise NotLeaderError(error.message, verdict=verdict) from error
        self._step(lambda _: effects)
        return progress

    def _not_leader(self) -> NotLeaderError:
        return NotLeaderError(f"instance {self._instance} is not the control leader")

    def _receive(self, message: Message) -> None:
        self._inbox.append(message)
        self._schedule_pump()

    def _schedule_pump(self) -> None:
        """Process the inbox and the proposals after the events of this loop iteration."""
        if self._pump_handle is None and self._node is not None:
            self._pump_handle = asyncio.get_running_loop().call_soon(self._pump)

    def _pump(self) -> None:
        self._pump_handle = None
        if self._node is not None:
            self._step(self._process_queued)

    def _process_queued(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        messages, self._inbox = self._inbox, []
        for message in messages:
            effects += self._node.handle(message, now)
        return effects + self._propose_queued(now)

    def _propose_queued(self, now: float) -> list[Effect]:
        commands = self._proposals.queued()
        if not commands:
            return []
        try:
            proposal = self._node.propose(commands, now)
        except NotLeaderError as error:
            self._proposals.reject_queued(error)
            return []
        self._proposals.appended(proposal)
        return proposal.effects

    async def _tick_forever(self) -> None:
        while self._node is not None:
            self._transport.probe_idle_peers(self._node)
            self._step(self._node.tick)
            await asyncio.sleep(self._time_to_next_tick())

    def _time_to_next_tick(self) -> float:
        if self._node is None:
            return 0.0
        return min(max(self._node.next_deadline - self._clock(), TICK_MIN), TICK_MAX)

    def _step(self, step: Callable[[float], list[Effect]]) -> None:
        """Perform the effects of a step of the node.

        An error leaves the state unknown, so it stops the log for good.
        """
        try:
            self._run(step(self._clock()))
        except Exception as error:
            self._fail(error)
            return
        self._stepped()

    def _run(self, effects: list[Effect]) -> None:
        """Perform effects now, or after the disk when something must be durable first."""
        if self._saving is None and not any(isinstance(effect, SAVE_EFFECTS) for effect in effects):
            self._runner.perform(effects)
            return
        self._unsaved += effects
        if self._saving is None:
            self._saving = asyncio.create_task(self._save_unsaved())

    async def _save_unsaved(self) -> None:
        """Save and perform the waiting effects in order, as many as there are at a time."""
        loop = asyncio.get_running_loop()
        try:
            while self._unsaved and self._node is not None:
                effects, self._unsaved = self._unsaved, []
                await loop.run_in_executor(self._writer, self._runner.save, effects)
                if self._node is None:
                    return
                self._runner.perform(effects)
                self._unsaved += self._compaction()
        except Exception as error:
            self._saving = None
            self._fail(error)
            return
        finally:
            self._saving = None
        self._stepped()

    def _stepped(self) -> None:
        if self._node is not None and self._node.role is not Role.LEADER:
            self._proposals.reject_appended()
        self._publish_leadership()

    def _fail(self, error: Exception) -> None:
        logger.critical("control log stopped after an error", exc_info=error)
        self._close()
        self._publish(control_log_failed(error))

    def _compaction(self) -> list[Effect]:
        applied = self._runner.applied_index
        if applied - self._node.log.snapshot.index < self._compaction_entries:
            return []
        return self._node.compact(applied, self._state_machine.snapshot())

    def _publish_leadership(self) -> None:
        is_leader = self.is_leader
        if is_leader == self._was_leader:
            return
        self._was_leader = is_leader
        self._publish(leadership_gained(self.control_term) if is_leader else leadership_lost())

    def _publish(self, event: leadership_gained | leadership_lost | control_log_failed) -> None:
        self.fire(event)
        self.flush()

    def _close(self) -> None:
        """Stop acting as a member; the disk is closed and callers are told."""
        self._node = None
        self._inbox.clear()
        self._unsaved.clear()
        self._proposals.reject_queued(self._not_leader())
        self._proposals.reject_appended()
        if self._disk is not None:
            # After the save in progress, if there is one.
            self._writer.submit(self._disk.close)
            self._disk = None
        self._publish_leadership()
