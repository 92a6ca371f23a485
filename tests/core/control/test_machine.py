"""State machine test of control leaders, members and entries under faults."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from hibiscuspoint.core.control import judge_submission
from hibiscuspoint.errors import ConfigurationConflictError
from hibiscuspoint.ids import TargetId
from tests.builders_control import GROUP, MEMBERS
from tests.core.control.actors import Entry
from tests.core.control.world import LIMIT, World

RATES = [0.9925, 1.0, 1.0, 1.0075]
ENTRIES = st.sampled_from(["e0", "e1", "e2"])
TARGETS = st.sampled_from(MEMBERS)
NUMBERS = st.integers(0, 10_000)


class ControlMachine(RuleBasedStateMachine):
    """Guards G2, D7, D9 and D13 against faults of the network and of every process.

    Messages are delayed, lost, repeated and reordered; members, entries and leaders crash, entries
    freeze, and clocks run at rates that differ by up to 1.5%.
    """

    @initialize(rates=st.permutations(RATES), seconds=st.sampled_from([0.5, 1.0, 4.0]))
    def form(self, rates, seconds):
        self.world = World(tuple(rates))
        self.world.settle(seconds)

    @rule(seconds=st.sampled_from([0.3, 1.0, 3.0]))
    def settle(self, seconds):
        self.world.settle(seconds)

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.1, 2.6]), beat=st.booleans())
    def time_passes(self, seconds, beat):
        self.world.now += seconds
        if beat:
            self.world.beat()

    @rule(entry=ENTRIES)
    def report(self, entry):
        if not self.world.entries[entry].is_frozen:
            self.world.report(self.world.entries[entry])

    @rule(entry=ENTRIES, count=st.integers(1, 3), settle=st.booleans())
    def write(self, entry, count, settle):
        for _ in range(count):
            self.world.write(self.world.entries[entry])
        if settle:
            self.world.settle(0.3)

    @rule(behind=TARGETS)
    def lose_primary_with_a_member_behind(self, behind):
        """The write is acknowledged by two members; only one of them remains."""
        self.world.members[behind].is_behind = True
        self.write("e0", 1, True)
        self.write("e1", 1, True)
        record = self.world.state.groups.get(GROUP)
        if record is not None and record.primary not in (None, behind):
            self.world.members[record.primary].crash()
        self.world.settle(1.0)

    @precondition(lambda self: self.world.network)
    @rule(numbers=st.lists(NUMBERS, min_size=1, max_size=10), repeat=st.booleans())
    def deliver_some(self, numbers, repeat):
        for number in numbers:
            if self.world.network:
                message = self.world.network.pop(number % len(self.world.network))
                if repeat and message.is_repeatable:
                    self.world.network.append(message)
                message.arrive()
                self.world.check()

    @precondition(lambda self: self.world.network)
    @rule(keep=st.integers(0, 10))
    def lose(self, keep):
        self.world.network = self.world.network[:keep]

    @precondition(lambda self: self.world.network)
    @rule(numbers=st.lists(NUMBERS, min_size=1, max_size=4))
    def hold(self, numbers):
        """Requests of the driver end with their timeout, so their answers are not held."""
        network = self.world.network
        for number in numbers:
            message = network[number % len(network)]
            if message.is_repeatable:
                self.world.held.append(message)

    @precondition(lambda self: self.world.held)
    @rule(number=NUMBERS)
    def deliver_held(self, number):
        self.world.held.pop(number % len(self.world.held)).arrive()

    @rule(count=st.integers(1, 3))
    def commit(self, count):
        self.world.commit(count)

    @rule(committed=st.integers(0, 3))
    def new_leader(self, committed):
        self.world.new_leader(committed)

    @rule()
    def old_leader_calls_members(self):
        old = self.world.old_leader
        if old is not None:
            for effect in old.tick(self.world.leader_now):
                if hasattr(effect, "member"):
                    self.world.call(effect, old, self.world.leader_now)

    @rule(member=TARGETS, restart=st.booleans())
    def crash_member(self, member, restart):
        self.world.members[member].crash()
        self.world.members[member].is_running = restart

    @rule(member=TARGETS)
    def restart_member(self, member):
        self.world.members[member].is_running = True

    @rule(member=TARGETS, behind=st.booleans())
    def fall_behind(self, member, behind):
        self.world.members[member].is_behind = behind

    @rule(member=TARGETS, leaving=st.booleans())
    def leave(self, member, leaving):
        self.world.members[member].is_leaving = leaving

    @rule(member=TARGETS)
    def drain_member(self, member):
        self.world.drain(self.world.members[member])

    @rule(member=TARGETS | st.none())
    def switch_over(self, member):
        wanted = TargetId(member) if member else None
        self.world.leader.request_switchover(GROUP, wanted, self.world.leader_now)

    @rule(name=ENTRIES)
    def restart_entry(self, name):
        entry = self.world.entries[name]
        for member in self.world.members.values():
            member.connections = {key for key in member.connections if key[0] != name}
        new = Entry(name, entry.incarnation + 1, entry.rate, self.world)
        self.world.entries[name] = new

    @rule(name=ENTRIES)
    def reattach(self, name):
        self.world.attach(self.world.entries[name])

    @rule(name=ENTRIES, frozen=st.booleans())
    def freeze(self, name, frozen):
        self.world.entries[name].is_frozen = frozen

    @rule(name=ENTRIES, draining=st.booleans())
    def drain(self, name, draining):
        self.world.entries[name].is_draining = draining

    @rule(name=ENTRIES, member=TARGETS)
    def use_connection(self, name, member):
        entry = self.world.entries[name]
        if not entry.is_frozen:
            entry.carry_out(member, entry.pools[member].acquire(object(), entry.now))

    @rule(name=ENTRIES, member=TARGETS)
    def return_connection(self, name, member):
        entry = self.world.entries[name]
        if not entry.is_frozen and entry.busy[member]:
            connection = entry.busy[member].pop()
            entry.carry_out(member, entry.pools[member].release(connection, True, entry.now))

    @rule(holders=st.integers(1, 3), ahead=st.integers(-1, 2))
    def submit(self, holders, ahead):
        """A taken number is refused unless the document is the same one."""
        state = self.world.state
        known = {item.number: item.digest for item in state.documents}
        number = (state.document.number if state.document else 0) + ahead
        accepted = known.get(number)
        if number in known and accepted == str(holders):
            assert judge_submission(state, number, accepted).value == "accepted"
        elif ahead == 1:
            assert judge_submission(state, number, str(holders)).value == "propose"
            self.world.submit(number, holders)
        else:
            with pytest.raises(ConfigurationConflictError):
                judge_submission(state, number, str(holders))

    @invariant()
    def guarantees_hold(self):
        if hasattr(self, "world"):
            self.world.check()

    def teardown(self):
        """When every fault has ended, writes and all connections must be available again."""
        if not hasattr(self, "world"):
            return
        world = self.world
        for member in world.members.values():
            member.is_running, member.is_leaving, member.is_behind = True, False, False
            # A restarted member has another incarnation, which ends its drain.
            member.incarnation += 1
        for entry in world.entries.values():
            entry.is_frozen = entry.is_draining = False
            entry.is_idle = True
        world.settle(16.0)
        before = len(world.acknowledged)
        for entry in world.entries.values():
            world.write(entry)
        world.settle(1.0)
        assert len(world.acknowledged) > before, "no write is acknowledged after the faults"
        for target in MEMBERS:
            shares = {name: entry.pools[target].share for name, entry in world.entries.items()}
            assert sum(shares.values()) == LIMIT, f"connections of {target} are unused: {shares}"


ControlMachine.TestCase.settings = settings(stateful_step_count=30)
TestControlMachine = ControlMachine.TestCase
