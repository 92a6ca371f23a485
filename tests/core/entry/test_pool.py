"""Tests of the connection pool."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hibiscuspoint.core.entry import (
    AssignConnection,
    CloseConnection,
    ConnectionPool,
    ConnectionState,
    OpenConnection,
)


class LeasedPool(RuleBasedStateMachine):
    """A target that counts connections, and waiters that each own one.

    Guards the limit of the target (D9), transactions that share a connection (G3) and answers read
    from a connection in unknown state (G4).
    """

    def __init__(self):
        super().__init__()
        self.pool = ConnectionPool()
        self.now, self.share, self.lease_ends, self.waiters = 0.0, 0, 0.0, 0
        self.at_target, self.closing, self.tainted = set(), set(), set()
        self.owners, self.waiting = {}, []
        self.set_share(2, 100.0)

    def _carry_out(self, effects):
        for effect in effects:
            if isinstance(effect, OpenConnection):
                self.at_target.add(effect.connection)
                assert len(self.at_target) <= self.share
                assert self.now < self.lease_ends
            elif isinstance(effect, CloseConnection):
                assert effect.connection not in self.closing | set(self.owners)
                self.closing.add(effect.connection)
            else:
                self._check_lend(effect)

    def _check_lend(self, lend: AssignConnection):
        assert lend.connection in self.at_target - self.closing - self.tainted
        assert lend.connection not in self.owners
        assert self.now < self.lease_ends
        assert lend.waiter == self.waiting.pop(0)
        self.owners[lend.connection] = lend.waiter

    @rule(share=st.integers(0, 4), lease=st.sampled_from([0.0, 1.0, 100.0]))
    def set_share(self, share, lease):
        self.share, self.lease_ends = share, self.now + lease
        self._carry_out(self.pool.set_share(share, self.lease_ends, self.now))
        used = len(self.at_target - self.closing - set(self.owners))
        assert used == 0 or used + len(self.owners) <= share

    @rule()
    def acquire(self):
        self.waiters += 1
        self.waiting.append(self.waiters)
        self._carry_out(self.pool.acquire(self.waiters, self.now))

    @rule(data=st.data(), event=st.sampled_from(["opened", "clean", "unclean", "lost"]))
    def connection_event(self, data, event):
        known = self.owners if event in ("clean", "unclean") else self.at_target
        if not known:
            return
        connection = data.draw(st.sampled_from(sorted(known)))
        if event == "opened":
            self._carry_out(self.pool.handle_opened(connection, self.now))
            return
        self.owners.pop(connection, None)
        if event == "lost":
            self.at_target.discard(connection)
            self.closing.discard(connection)
            self._carry_out(self.pool.handle_lost(connection, self.now))
            return
        if event == "unclean":
            self.tainted.add(connection)
        self._carry_out(self.pool.release(connection, event == "clean", self.now))
        assert event == "clean" or connection in self.closing

    @rule(seconds=st.sampled_from([0.01, 0.2, 5.0, 31.0]))
    def time_passes(self, seconds):
        self.now += seconds
        self._carry_out(self.pool.tick(self.now))
        if self.now >= self.lease_ends:
            assert self.at_target == self.closing | set(self.owners)

    @invariant()
    def counts_match(self):
        assert self.pool.open_connections == len(self.at_target)
        assert self.pool.demand == len(self.owners) + len(self.waiting)


TestLeasedPool = LeasedPool.TestCase


def _pool_with_idle(count):
    pool = ConnectionPool()
    pool.set_share(count, 1000.0, 0.0)
    opened = [effect for i in range(count) for effect in pool.acquire(i, 0.0)]
    for effect in opened:
        pool.handle_opened(effect.connection, 0.0)
    for effect in opened:
        pool.release(effect.connection, True, 0.0)
    return pool, [effect.connection for effect in opened]


def test_connection_of_a_new_term_of_the_lease_is_not_reused():
    """Control may have given the place of a connection that outlived its lease to another."""
    pool, connections = _pool_with_idle(1)
    pool.acquire("w", 0.0)
    pool.tick(1000.0)
    pool.set_share(1, 2000.0, 1001.0)
    assert pool.release(connections[0], True, 1002.0) == [CloseConnection(connections[0])]


def test_unused_connections_are_closed_so_that_the_share_can_be_handed_back():
    """A holder that keeps idle connections would starve the other holders of the group."""
    pool, connections = _pool_with_idle(2)
    pool.acquire("w", 20.0)
    assert pool.tick(29.9) == []
    assert pool.tick(30.0) == [CloseConnection(connections[0])]
    assert pool.state(connections[1]) is ConnectionState.BUSY


def test_smaller_share_closes_the_longest_unused():
    """A share that is not reduced at once keeps the place that control gives to another holder."""
    pool, connections = _pool_with_idle(3)
    assert pool.set_share(2, 1000.0, 1.0) == [CloseConnection(connections[0])]
