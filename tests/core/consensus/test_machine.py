"""Stateful test of the safety properties of the control group under faults.

The rules delay, lose, repeat and reorder messages, crash and freeze processes, isolate instances
and wipe one disk at a time. The invariants guard against two leaders, changed committed entries,
lost acknowledged commands and commits of isolated instances. At the end, the group must commit
again with all processes running.
"""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from hibiscuspoint.core.consensus.timing import LEASE_SECONDS
from tests.core.consensus.cluster import Cluster

SERVERS = st.integers(0, 2)
MESSAGES = st.integers(0, 10_000)


class ControlGroupMachine(RuleBasedStateMachine):
    """Delayed, lost, repeated and reordered messages, crashes, wiped disks and frozen nodes."""

    @initialize(seed=st.integers(0, 2**16), rates=st.permutations([0.97, 1.0, 1.03]))
    def form(self, seed: int, rates: list[float]) -> None:
        self.cluster = Cluster(3, seed, tuple(rates))
        self.cluster.elect()
        self.lost: set[int] = set()
        self.isolated_at: dict[int, tuple[float, int]] = {}

    def server(self, number: int):
        return self.cluster.servers[self.cluster.instances[number]]

    def take(self, number: int):
        return self.cluster.network.pop(number % len(self.cluster.network))

    @precondition(lambda self: self.cluster.network)
    @rule(numbers=st.lists(MESSAGES, min_size=1, max_size=8))
    def deliver_some(self, numbers: list[int]) -> None:
        for number in numbers:
            if self.cluster.network:
                self.cluster.deliver(self.take(number))
                self.cluster.check()

    @precondition(lambda self: self.cluster.network)
    @rule(number=MESSAGES)
    def repeat(self, number: int) -> None:
        message = self.take(number)
        self.cluster.network += [message, message]

    @precondition(lambda self: self.cluster.network)
    @rule(keep=st.integers(0, 3))
    def lose(self, keep: int) -> None:
        self.cluster.network = self.cluster.network[:keep]

    @rule(duration=st.sampled_from([0.01, 0.15, 0.5, 1.0, 2.1]))
    def pass_time(self, duration: float) -> None:
        self.cluster.tick(duration)

    @rule(duration=st.sampled_from([0.3, 1.0, 3.0]))
    def settle(self, duration: float) -> None:
        self.cluster.settle(duration)

    @rule(duration=st.sampled_from([0.01, 0.1, 0.5]))
    def settle_fast_network(self, duration: float) -> None:
        self.cluster.settle(duration, 0.002)

    @rule(number=SERVERS, count=st.integers(1, 4))
    def propose(self, number: int, count: int) -> None:
        for _ in range(count):
            if self.server(number).is_running:
                self.cluster.propose(self.server(number))

    @rule(count=st.integers(1, 4))
    def propose_at_leader(self, count: int) -> None:
        for _ in range(count):
            if self.cluster.leader:
                self.cluster.propose(self.cluster.leader)

    @rule(number=SERVERS)
    def compact(self, number: int) -> None:
        if self.server(number).is_running:
            self.server(number).compact()

    @rule(number=SERVERS, at_next_sync=st.booleans())
    def crash(self, number: int, at_next_sync: bool) -> None:
        if at_next_sync:
            self.server(number).disk.crash_at_sync = True
        else:
            self.server(number).stop()

    @rule(number=SERVERS)
    def restart(self, number: int) -> None:
        self.server(number).start()

    @rule(numbers=st.sets(SERVERS, min_size=2))
    def restart_several(self, numbers: set[int]) -> None:
        """Restart voters at the same time; messages that are on the way still arrive."""
        for number in numbers:
            self.server(number).stop()
        for number in sorted(numbers):
            self.server(number).start()

    @rule(number=SERVERS, is_frozen=st.booleans())
    def freeze(self, number: int, is_frozen: bool) -> None:
        self.server(number).is_frozen = is_frozen and self.server(number).node is not None

    @rule(number=SERVERS)
    def isolate(self, number: int) -> None:
        if not self.server(number).is_isolated and self.server(number).node:
            self.cluster.isolate(self.server(number).instance)
            self.isolated_at[number] = self.cluster.now, self.server(number).node.commit_index

    @rule(number=SERVERS)
    def rejoin(self, number: int) -> None:
        self.server(number).is_isolated = False
        self.isolated_at.pop(number, None)

    @precondition(lambda self: not self.lost)
    @rule(number=SERVERS)
    def wipe(self, number: int) -> None:
        self.server(number).wipe()
        self.server(number).start()
        self.lost.add(number)

    @precondition(lambda self: self.lost)
    @rule(limit=st.sampled_from([0.3, 5.0, 15.0]), wiped_next=st.none() | SERVERS)
    def repair(self, limit: float, wiped_next: int | None) -> None:
        number = next(iter(self.lost))
        self.server(number).start()
        if self.cluster.repair(self.server(number).instance, limit):
            self.lost.clear()
            if wiped_next not in (None, number):
                self.wipe(wiped_next)

    @invariant()
    def isolated_instances_commit_nothing(self) -> None:
        for number, (since, commit_index) in self.isolated_at.items():
            server = self.server(number)
            if server.node is None:
                continue
            assert server.node.commit_index <= commit_index
            if self.cluster.now - since > LEASE_SECONDS / 0.97:
                assert not server.is_leader

    @invariant()
    def guarantees_hold(self) -> None:
        if hasattr(self, "cluster"):
            self.cluster.check()

    def teardown(self) -> None:
        """With every process back, the group must serve again and hold all that it acknowledged."""
        if not hasattr(self, "cluster"):
            return
        for number in range(3):
            self.server(number).is_frozen = False
            self.server(number).is_isolated = False
            self.server(number).disk.crash_at_sync = False
            self.server(number).start()
        self.cluster.commit()


ControlGroupMachine.TestCase.settings = settings(
    max_examples=4 * settings().max_examples, stateful_step_count=50
)
TestControlGroup = ControlGroupMachine.TestCase
