"""Component that runs the Raft node of this instance with its disk and its streams to peers."""

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
from hibiscuspoint.components.proposals import PendingProposals
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

#: Bounds of the interval between two ticks of the node.
TICK_INTERVAL_MIN_SECONDS = 0.005
TICK_INTERVAL_MAX_SECONDS = 0.1

#: Interval between two steps of a repair.
REPAIR_POLL_INTERVAL_SECONDS = 0.02


class ReplicatedLog(Component):
    """Replicated log of one member of the control group.

    Fires ``leadership_gained(term)``, ``leadership_lost()`` and ``control_log_failed(error)``.

    :param instance: this instance.
    :param peers: addresses ("ip:port") of all control instances, including this one.
    :param data_directory: directory of the disk log.
    :param state_machine: applies committed commands.
    :param channel_factory: creates a channel like ``grpc.aio.insecure_channel``.
    :param channel_generation: returns a number; when it changes, the channels are replaced.
    :param clock: returns seconds of a monotonic clock.
    :param compaction_entries: number of applied entries after which a snapshot replaces them.
    :param dynamic_membership: whether the id of an instance is its address and voters are added
        and replaced by :meth:`advance_voter_change`; ``peers`` are then only the instances that
        form the group.
    :param started_at: time of the process start on ``clock``, after which no predecessor of the
        process had contact with a leader. The time of :meth:`start` by default.
    :param timing: timeouts of the control group; ``None`` for the default ones.
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
        self._proposals = PendingProposals()
        self._inbox: list[Message] = []
        self._node: Node | None = None
        self._disk: ControlDisk | None = None
        self._runner: EffectRunner | None = None
        self._tick_task: asyncio.Task[None] | None = None
        self._processing_handle: asyncio.Handle | None = None
        self._queued_effects: list[Effect] = []
        self._save_task: asyncio.Task[None] | None = None
        # Only this thread writes to the disk, so that a slow disk does not block the event loop.
        self._disk_executor = ThreadPoolExecutor(1, "control log")
        self._was_leader = False
        super().__init__()

    @property
    def servicer(self) -> ExchangeServicer:
        """Servicer to register with the gRPC server."""
        return self._transport.servicer

    @property
    def is_leader(self) -> bool:
        """Whether this instance holds the leadership lease and has applied all earlier commits."""
        node = self._node
        if node is None or not node.is_leader(self._clock()):
            return False
        # Committed entries of earlier terms may still wait for the disk before they are applied.
        return self._runner.applied_index >= node.term_start_index

    def is_leader_for(self, seconds: float) -> bool:
        """Tell whether this instance holds the leadership lease for some time to come.

        :param seconds: time from now; no other instance leads before its end.
        """
        return self.is_leader and self._node.is_leader(self._clock() + seconds)

    def lease_left(self) -> float:
        """Return the seconds for which no other instance leads; 0 unless this one does."""
        return self._node.lease_left(self._clock()) if self.is_leader else 0.0

    @property
    def control_term(self) -> int:
        """Current term of this member; 0 while the log is not running."""
        return self._node.term if self._node else 0

    @property
    def leader(self) -> InstanceId | None:
        """Instance that leads the control group, or ``None`` when it is unknown."""
        return self._node.leader if self._node else None

    @property
    def leader_address(self) -> str:
        """Address of the leader; empty when it is unknown."""
        leader = self.leader
        if leader is None:
            return ""
        return leader if self._dynamic_membership else self._peers.get(leader, "")

    @property
    def voter_addresses(self) -> list[str]:
        """Sorted addresses of the voters; empty without ``dynamic_membership``."""
        if self._node is None or not self._dynamic_membership:
            return []
        return sorted(voter.instance for voter in self._node.configuration.all_voters)

    @property
    def disk_id(self) -> str:
        """Identity of the disk; empty before :meth:`start` and after an error."""
        return self._node.me.disk if self._node is not None else ""

    @property
    def voter_contacts(self) -> list[VoterContact]:
        """Voters with the time of the leader's last contact; only the leader has contact times."""
        if self._node is None:
            return []
        node = self._node
        contacts = []
        for voter in sorted(node.configuration.voters):
            progress = node.progress_of(voter)
            peer_contact_at = progress.last_contact_at if progress is not None else float("-inf")
            last_contact_at = self._clock() if voter == node.me else peer_contact_at
            contacts.append(VoterContact(voter.instance, voter.disk, last_contact_at))
        return contacts

    @property
    def is_changing_voters(self) -> bool:
        """Whether the configuration is joint, so that a change of the voters is in progress."""
        return self._node is not None and self._node.configuration.is_joint

    async def start(self) -> None:
        """Open the disk, recover the state from it and start the node.

        :raises DiskInUseError: another process uses the data directory.
        :raises OSError: the data directory cannot be read or written.
        """
        self._disk = ControlDisk(self._data_directory)
        log = self._disk.log
        self._runner = EffectRunner(
            log, self._transport.send, self._state_machine, self._proposals.resolve_applied
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
        self._tick_task = asyncio.create_task(self._tick_forever())

    async def stop(self) -> None:
        """Stop the node and close the disk; the configuration keeps this member."""
        if self._tick_task is not None:
            self._tick_task.cancel()
            await asyncio.gather(self._tick_task, return_exceptions=True)
            self._tick_task = None
        if self._save_task is not None:
            await asyncio.gather(self._save_task, return_exceptions=True)
        self._close()
        self._disk_executor.shutdown(wait=True)
        await self._transport.stop()

    async def propose(self, command: record_pb2.Command) -> int:
        """Propose a command, wait until it is applied and return its index.

        :raises NotLeaderError: with verdict ``NOT_RUN`` when the command was not appended, or
            ``MAY_HAVE_RUN`` when leadership was lost before it was committed.
        """
        if not self.is_leader:
            raise self._not_leader()
        future = self._proposals.add(command.SerializeToString())
        self._schedule_processing()
        return await future

    def members(self) -> list[MemberStatus]:
        """Return the status of each control instance, sorted by instance."""
        if self._node is None:
            return []
        instances = frozenset(self._peers)
        if self._dynamic_membership:
            instances = frozenset(member.instance for member in self._node.configuration.members)
        return member_statuses(self._node, instances, self._clock())

    def advance_voter_change(
        self, instance: InstanceId, replaced: InstanceId | None, since: float
    ) -> RepairPhase:
        """Perform the next step of the change that makes the disk of an instance a voter.

        :param replaced: instance whose voter it replaces; ``None`` adds a voter.
        :param since: time at which the change was decided, on the clock of the log.
        :raises NotLeaderError: this instance does not lead.
        :raises RequestError: the instance is this one.
        """
        if self._node is None:
            raise self._not_leader()
        if self._node.disk_of(instance) is None:
            self._transport.send(self._node.make_probe(instance))
        progress, effects = self._node.advance_voter_change(
            instance, replaced, since, self._clock()
        )
        self._run_step(lambda _: effects)
        return progress.phase

    def update_peers(self, candidates: Collection[InstanceId]) -> None:
        """Keep streams to exactly the members of the group and the candidates.

        :param candidates: instances that may become voters.
        """
        if self._node is None:
            return
        members = {member.instance for member in self._node.configuration.members}
        self._transport.update_peers((members | set(candidates)) - {self._instance})

    async def repair(self, instance: InstanceId) -> AsyncIterator[RepairProgress]:
        """Replace the lost disk of an instance with its new one and yield each change of progress.

        The last progress has phase ``DONE``. Another call continues a repair that was interrupted,
        also at a new leader.

        :raises NotLeaderError: this instance does not lead, or lost leadership during the repair.
        :raises RequestError: the instance is this one or no control instance.
        """
        since = self._clock()
        latest: RepairProgress | None = None
        while latest is None or latest.phase is not RepairPhase.DONE:
            progress = self._advance_repair(instance, since, has_started=latest is not None)
            if progress != latest:
                yield progress
            latest = progress
            await asyncio.sleep(REPAIR_POLL_INTERVAL_SECONDS)

    def _advance_repair(
        self, instance: InstanceId, since: float, *, has_started: bool
    ) -> RepairProgress:
        if self._node is None:
            raise self._not_leader()
        try:
            progress, effects = self._node.advance_repair(instance, since, self._clock())
        except NotLeaderError as error:
            verdict = Verdict.MAY_HAVE_RUN if has_started else Verdict.NOT_RUN
            raise NotLeaderError(error.message, verdict=verdict) from error
        self._run_step(lambda _: effects)
        return progress

    def _not_leader(self) -> NotLeaderError:
        return NotLeaderError(f"instance {self._instance} is not the control leader")

    def _receive(self, message: Message) -> None:
        self._inbox.append(message)
        self._schedule_processing()

    def _schedule_processing(self) -> None:
        """Schedule one pass over the inbox and the proposals in the next loop iteration."""
        if self._processing_handle is None and self._node is not None:
            self._processing_handle = asyncio.get_running_loop().call_soon(self._process_queues)

    def _process_queues(self) -> None:
        self._processing_handle = None
        if self._node is not None:
            self._run_step(self._process_inbox_and_proposals)

    def _process_inbox_and_proposals(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        messages, self._inbox = self._inbox, []
        for message in messages:
            effects += self._node.handle(message, now)
        return effects + self._propose_queued(now)

    def _propose_queued(self, now: float) -> list[Effect]:
        commands = self._proposals.queued_commands()
        if not commands:
            return []
        try:
            proposal = self._node.propose(commands, now)
        except NotLeaderError as error:
            self._proposals.reject_queued(error)
            return []
        self._proposals.record_appended(proposal)
        return proposal.effects

    async def _tick_forever(self) -> None:
        while self._node is not None:
            self._transport.probe_idle_peers(self._node)
            self._run_step(self._node.tick)
            await asyncio.sleep(self._time_to_next_tick())

    def _time_to_next_tick(self) -> float:
        if self._node is None:
            return 0.0
        return min(
            max(self._node.next_deadline - self._clock(), TICK_INTERVAL_MIN_SECONDS),
            TICK_INTERVAL_MAX_SECONDS,
        )

    def _run_step(self, step: Callable[[float], list[Effect]]) -> None:
        """Run a step of the node and its effects.

        An error leaves the state of the member unknown, so that the log stops for good.
        """
        try:
            self._run_effects(step(self._clock()))
        except Exception as error:
            self._fail(error)
            return
        self._after_step()

    def _run_effects(self, effects: list[Effect]) -> None:
        """Perform effects at once, or queue them if they depend on a save to the disk."""
        if self._save_task is None and not any(
            isinstance(effect, SAVE_EFFECTS) for effect in effects
        ):
            self._runner.perform(effects)
            return
        self._queued_effects += effects
        if self._save_task is None:
            self._save_task = asyncio.create_task(self._save_queued_effects())

    async def _save_queued_effects(self) -> None:
        """Save and perform the queued effects in order, with one sync of the disk per batch."""
        loop = asyncio.get_running_loop()
        try:
            while self._queued_effects and self._node is not None:
                effects, self._queued_effects = self._queued_effects, []
                await loop.run_in_executor(self._disk_executor, self._runner.save, effects)
                if self._node is None:
                    return
                self._runner.perform(effects)
                self._queued_effects += self._compact_if_due()
        except Exception as error:
            self._save_task = None
            self._fail(error)
            return
        finally:
            self._save_task = None
        self._after_step()

    def _after_step(self) -> None:
        if self._node is not None and self._node.role is not Role.LEADER:
            self._proposals.reject_appended()
        self._publish_leadership()

    def _fail(self, error: Exception) -> None:
        logger.critical("the control log stops after an error", exc_info=error)
        self._close()
        self._publish(control_log_failed(error))

    def _compact_if_due(self) -> list[Effect]:
        applied_index = self._runner.applied_index
        if applied_index - self._node.log.snapshot.index < self._compaction_entries:
            return []
        return self._node.compact(applied_index, self._state_machine.snapshot())

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
        """Stop the node, reject all proposals and close the disk."""
        self._node = None
        self._inbox.clear()
        self._queued_effects.clear()
        self._proposals.reject_queued(self._not_leader())
        self._proposals.reject_appended()
        if self._disk is not None:
            # The executor closes the disk after a save that is in progress.
            self._disk_executor.submit(self._disk.close)
            self._disk = None
        self._publish_leadership()
