"""Tests of the hand-over of an overloaded primary whose replicas are far behind.

The load: all replicas of a group apply the log tens of seconds late, while callers bring more reads
than the primary has slots for. Nothing fails, but a fifth of the statements are refused until the
replicas have caught up.
"""

from __future__ import annotations

import pytest

from hibiscuspoint.core.control.route_state import RouteState
from hibiscuspoint.core.control.state import GroupPhase
from hibiscuspoint.core.control.switchover import PAUSE_LIMIT_SECONDS
from hibiscuspoint.core.failover import OverloadSwitchover, RequestPromotion
from hibiscuspoint.core.failover.overload import LAG_SECONDS, OVERLOAD_SECONDS, RETRY_SECONDS
from hibiscuspoint.ids import Term
from tests.builders_failover import (
    ENTRY,
    GROUP,
    PRIMARY,
    REPLICA_A,
    REPLICA_B,
    TOKEN,
    GroupWorld,
    primary_status,
    replica_status,
    target,
)

#: Seconds after which leases of an earlier leader have ended.
LATER = 10.0
POLL_SECONDS = 0.5
#: Statements that run or wait at a primary with two slots.
OVERLOADED = 9


class LaggingGroup(GroupWorld):
    """A group that is polled every 0.5 s."""

    def __init__(self) -> None:
        super().__init__()
        self.now = LATER
        self.in_use = OVERLOADED
        self.lags = {REPLICA_A: 40.0, REPLICA_B: 20.0}
        self.received = {REPLICA_A: 20, REPLICA_B: 20}

    def run(self, seconds: float) -> None:
        """Let time pass with polls and ticks."""
        for _ in range(round(seconds / POLL_SECONDS)):
            self.now += POLL_SECONDS
            self.hear_all(self.now)
            self.poll({PRIMARY: primary_status(20, in_use=self.in_use)}, self.now)
            for name, lag in self.lags.items():
                self.poll({name: replica_status(self.received[name], lag=lag)}, self.now)
            self.tick(self.now)

    @property
    def is_paused(self) -> bool:
        """Tell whether entries start no new work at the primary."""
        return self.group.route_state is RouteState.PAUSED


def test_overloaded_primary_hands_over_to_a_replica_that_has_received_everything():
    """Guards against one target that carries a whole group for the rest of the lag."""
    group = LaggingGroup()
    # The first poll comes before the primary is watched, the last one after the pause.
    group.run(OVERLOAD_SECONDS + 3 * POLL_SECONDS)
    assert OverloadSwitchover(GROUP, PRIMARY) in group.effects
    assert group.record.phase is GroupPhase.SEALING
    term = group.record.term
    for name in (REPLICA_A, REPLICA_B):
        group.group.record_pause(name, replica_status(20, paused_term=term), term, group.now)
    group.tick(group.now)
    assert group.record.primary in (REPLICA_A, REPLICA_B)
    assert RequestPromotion(GROUP, group.record.primary, TOKEN) in group.effects


@pytest.mark.parametrize(
    "change",
    [
        pytest.param({"in_use": 1}, id="the primary has free slots"),
        pytest.param({"lags": {REPLICA_A: 40.0, REPLICA_B: 0.2}}, id="a replica serves reads"),
        pytest.param(
            {"lags": {REPLICA_A: LAG_SECONDS - 1, REPLICA_B: 40.0}}, id="a replica serves soon"
        ),
        pytest.param({"received": {REPLICA_A: 20, REPLICA_B: 3}}, id="a replica does not receive"),
    ],
)
def test_primary_stays_where_a_change_gains_nothing(change: dict):
    """Each change of the primary interrupts writes for about a second."""
    group = LaggingGroup()
    for name, value in change.items():
        setattr(group, name, value)
    group.run(5.0)
    assert not group.is_paused
    assert group.record.term == 1


def test_hand_over_waits_for_open_transactions_only_once_in_a_while():
    """Callers that rest inside transactions must not make a group pause again and again."""
    group = LaggingGroup()
    group.ledger.grant(GROUP, ENTRY, Term(1), group.now)
    paused = 0
    for _ in range(round(RETRY_SECONDS / POLL_SECONDS)):
        group.ledger.grant(GROUP, ENTRY, Term(1), group.now)
        group.run(POLL_SECONDS)
        paused += group.is_paused
    assert 0 < paused <= PAUSE_LIMIT_SECONDS / POLL_SECONDS + 1
    assert group.record.term == 1


def test_replica_that_leaves_does_not_take_over():
    """Guards against a change of primary that must be repeated at once."""
    group = LaggingGroup()
    for name in (REPLICA_A, REPLICA_B):
        group.record.targets[name] = target(name, leaving=True)
    group.run(5.0)
    assert group.record.term == 1


def test_full_primary_counts_as_overloaded():
    """A primary without a slot for the question itself answers that it is busy."""
    group = LaggingGroup()
    group.in_use = 0
    group.run(POLL_SECONDS)
    for _ in range(round(OVERLOAD_SECONDS / POLL_SECONDS) + 2):
        group.now += POLL_SECONDS
        group.hear_all(group.now)
        group.group.record_busy_reply(PRIMARY, group.now)
        group.tick(group.now)
    assert OverloadSwitchover(GROUP, PRIMARY) in group.effects


def test_overload_of_a_former_primary_says_nothing_about_the_new_one():
    """Guards against a second change of primary right after a promotion, before the first poll."""
    group = LaggingGroup()
    group.run(OVERLOAD_SECONDS)
    group.record.primary, group.record.term = REPLICA_A, Term(2)
    group.now += POLL_SECONDS
    for name in (PRIMARY, REPLICA_B):
        group.poll({name: replica_status(20, term=2, lag=40.0)}, group.now)
    group.hear_all(group.now)
    group.tick(group.now)
    assert not any(isinstance(effect, OverloadSwitchover) for effect in group.effects)
