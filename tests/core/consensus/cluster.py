"""A simulated control group with a fake network, fake disks and clocks of different rates."""

from __future__ import annotations

import json
import random
from dataclasses import replace
from typing import TYPE_CHECKING

from hibiscuspoint.components.effect_runner import EffectRunner
from hibiscuspoint.core.consensus import DiskId, Member, Node, RecoveredState, Role
from hibiscuspoint.core.consensus.effects import SaveEntries, SaveHardState, SaveSnapshot
from hibiscuspoint.errors import NotLeaderError
from hibiscuspoint.ids import InstanceId
from hibiscuspoint.wire import record_pb2
from tests.core.consensus.checker import Checker

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.core.consensus import Entry, Message, RepairProgress
    from hibiscuspoint.core.consensus.effects import Save

STEP_SECONDS = 0.05


class CrashError(Exception):
    """Simulated crash of the process during a sync of its disk."""


class FakeDisk:
    """Disk that keeps synced state over a crash and loses unsynced state."""

    def __init__(self, identity: str) -> None:
        self.identity = DiskId(identity)
        self.recovered = RecoveredState()
        self.crash_at_sync = False
        self._unsynced: list[Save] = []

    def save(self, effect: Save) -> None:
        self._unsynced.append(effect)

    def sync(self) -> None:
        if self.crash_at_sync:
            raise CrashError
        for effect in self._unsynced:
            self.recovered = self._state_after(effect)
        self._unsynced = []

    def crash(self) -> None:
        self._unsynced = []
        self.crash_at_sync = False

    def _state_after(self, effect: Save) -> RecoveredState:
        recovered = self.recovered
        match effect:
            case SaveHardState(hard_state):
                return replace(recovered, hard_state=hard_state)
            case SaveEntries(entries):
                kept = tuple(e for e in recovered.entries if e.index < entries[0].index)
                return replace(recovered, entries=kept + entries)
            case SaveSnapshot(snapshot, hard_state, entries):
                return RecoveredState(hard_state, snapshot, entries)


class RecordingStateMachine:
    """State machine that records the numbers of all commands."""

    def __init__(self) -> None:
        self.numbers: list[int] = []

    def apply(self, index: int, command: record_pb2.Command) -> None:
        self.numbers.append(command.accept_document.number)

    def snapshot(self) -> bytes:
        return json.dumps(self.numbers).encode()

    def restore(self, data: bytes) -> None:
        self.numbers = json.loads(data)


class Server:
    """An instance: a disk, and a process that may be stopped, frozen or isolated.

    :param rate: rate of the instance's clock relative to the time of the cluster.
    """

    def __init__(self, cluster: Cluster, instance: InstanceId, rate: float) -> None:
        self.instance = instance
        self.is_frozen = False
        self.is_isolated = False
        self.node: Node | None = None
        self.machine = RecordingStateMachine()
        self._cluster = cluster
        self._clock_rate = rate
        self._disk_count = 0
        self.wipe()
        self.start()

    @property
    def now(self) -> float:
        return self._cluster.now * self._clock_rate

    @property
    def is_running(self) -> bool:
        return self.node is not None and not self.is_frozen

    @property
    def is_leader(self) -> bool:
        return self.node is not None and self.node.is_leader(self.now)

    def wipe(self) -> None:
        self.stop()
        self._disk_count += 1
        self.disk = FakeDisk(f"{self.instance}-{self._disk_count}")

    def stop(self) -> None:
        self.node = None
        self.is_frozen = False

    def start(self) -> None:
        if self.node is not None:
            return
        self.disk.crash()
        self.machine = RecordingStateMachine()
        recovered = self.disk.recovered
        self.runner = EffectRunner(self.disk, self._cluster.send, self.machine, self._on_applied)
        if recovered.snapshot.index:
            self.runner.restore(recovered.snapshot)
        me = Member(self.instance, self.disk.identity)
        peers = frozenset(self._cluster.instances)
        self.node = Node(me, peers, recovered, self._cluster.random.random, self.now)

    def run(self, step: Callable[[], list]) -> None:
        """Run a step of the node and its effects; a crash at a sync stops the process."""
        try:
            self.runner.run(step())
        except CrashError:
            self.stop()

    def tick(self) -> None:
        self.run(lambda: self.node.tick(self.now))

    def handle(self, message: Message) -> None:
        self.run(lambda: self.node.handle(message, self.now))

    def propose(self, number: int) -> bool:
        command = record_pb2.Command()
        command.accept_document.number = number
        try:
            proposal = self.node.propose([command.SerializeToString()], self.now)
        except NotLeaderError:
            return False
        self._cluster.proposed[proposal.first_index, proposal.term] = number
        self.run(lambda: proposal.effects)
        return True

    def compact(self) -> None:
        index = self.runner.applied_index
        self.run(lambda: self.node.compact(index, self.machine.snapshot()))

    def repair(self, instance: InstanceId, since: float) -> RepairProgress:
        progress, effects = self.node.advance_repair(instance, since * self._clock_rate, self.now)
        self.run(lambda: effects)
        return progress

    def _on_applied(self, entry: Entry) -> None:
        leads = self.node.role is Role.LEADER and entry.term == self.node.term
        acknowledged = self._cluster.proposed.get((entry.index, entry.term)) if leads else None
        self._cluster.checker.record_applied(entry, acknowledged)


class Cluster:
    """Several instances on simulated time, which only the test advances.

    :param rates: rate of the clock of each instance; 1 for all by default.
    """

    def __init__(self, size: int = 3, seed: int = 0, rates: tuple[float, ...] = ()) -> None:
        self.now = 0.0
        self.random = random.Random(seed)
        self.network: list[Message] = []
        self.checker = Checker()
        self.is_lost: Callable[[Message], bool] = lambda message: False
        self.proposed: dict[tuple[int, int], int] = {}
        self.instances = [InstanceId(name) for name in "abcde"[:size]]
        clock_rates = rates or (1.0,) * size
        pairs = zip(self.instances, clock_rates, strict=True)
        self.servers = {instance: Server(self, instance, rate) for instance, rate in pairs}
        self._number = 0

    @property
    def leader(self) -> Server | None:
        return next((s for s in self.servers.values() if s.is_leader and s.is_running), None)

    def send(self, message: Message) -> None:
        if not self.servers[message.source.instance].is_isolated and not self.is_lost(message):
            self.network.append(message)

    def deliver(self, message: Message) -> None:
        target = self.servers[message.target]
        if target.is_running and not target.is_isolated:
            target.handle(message)
        elif target.is_frozen and not target.is_isolated:
            self.network.append(message)

    def isolate(self, instance: InstanceId) -> None:
        self.servers[instance].is_isolated = True
        self.network = [m for m in self.network if instance not in (m.target, m.source.instance)]

    def tick(self, duration: float) -> None:
        self.now += duration
        for server in self.servers.values():
            if server.is_running:
                server.tick()
        self.check()

    def settle(self, duration: float, step: float = STEP_SECONDS) -> None:
        """Advance the time while the network delivers all messages in order.

        :param step: time in seconds that a message is on the way.
        """
        for _ in range(round(duration / step)):
            self.tick(step)
            pending, self.network = self.network, []
            for message in pending:
                self.deliver(message)
            self.check()

    def settle_until(
        self, condition: Callable[[], bool], limit: float = 30.0, step: float = STEP_SECONDS
    ) -> None:
        deadline = self.now + limit
        while not condition():
            assert self.now < deadline, "the group did not reach the expected state"
            self.settle(step, step)

    def elect(self) -> Server:
        self.settle_until(lambda: self.leader is not None)
        return self.leader

    def propose(self, server: Server) -> int | None:
        self._number += 1
        return self._number if server.propose(self._number) else None

    def commit(self) -> int:
        """Commit a command through the leader and return its number."""
        number = self.propose(self.elect())
        assert number is not None
        self.settle_until(lambda: number in self.checker.acknowledged)
        return number

    def repair(self, instance: InstanceId, limit: float = 20.0) -> bool:
        """Repair an instance and return whether it was done within ``limit`` seconds."""
        since = self.now
        while self.now < since + limit:
            leader = self.leader
            if leader and leader.instance != instance:
                if leader.repair(instance, since).phase.name == "DONE":
                    return True
            self.settle(STEP_SECONDS)
        return False

    def check(self) -> None:
        self.checker.check(self.servers.values())
