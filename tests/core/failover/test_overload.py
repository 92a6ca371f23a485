"""Tests of the switchover from an overloaded primary whose replicas lag far behind.

All replicas of a group apply the log tens of seconds late, while callers send more reads than the
primary has slots for. No component fails, but a fifth of the statements are refused until the
replicas have caught up.
"""

from __future__ import annotations

import pytest

from hibiscuspoint.core.control.route_state import RouteState
from hibiscuspoint.core.control.state import GroupPhase
from hibiscuspoint.core.control.switchover import PAUSE_LIMIT_SECONDS
from hibiscuspoint.core.failover import OverloadSwitchover, RequestPromotion
from hibiscuspoint.core.failover.overload import (
    ATTEMPT_INTERVAL_SECONDS,
    MIN_LAG_SECONDS,
    OVERLOAD_SECONDS,
)
from hibiscuspoint.ids import Term
from tests.builders_failover import (
    ENTRY,
    GROUP,
    PRIMARY,
    REPLICA_A,
    REPLICA_B,
    TOKEN,
    GroupSimulation,
    known_source,
    primary_status,
    replica_status,
    target,
)

#: Time at which all leases of an earlier control leader have expired.
LATER = 10.0
POLL_SECONDS = 0.5
#: Number of statements that run or wait at an overloaded primary with two slots.
OVERLOADED = 9


class LaggingGroup(GroupSimulation):
    """A group with lagging replicas that is polled every 0.5 s."""

    def __init__(self) -> None:
        super().__init__()
        self.now = LATER
        self.in_use = OVERLOADED
        self.lags = {REPLICA_A: 40.0, REPLICA_B: 20.0}
        self.received = {REPLICA_A: 20, REPLICA_B: 20}

    def run(self, seconds: float) -> None:
        """Advance the time by ``seconds`` with polls, heartbeats and ticks."""
        for _ in range(round(seconds / POLL_SECONDS)):
            self.now += POLL_SECONDS
            self.record_heartbeats(self.now)
            self.poll({PRIMARY: primary_status(20, in_use=self.in_use)}, self.now)
            for name, lag in self.lags.items():
                self.poll({name: replica_status(self.received[name], lag=lag)}, self.now)
            self.tick(self.now)

    @property
    def is_paused(self) -> bool:
        """Whether entries start no new work at the primary."""
        return self.group.route_state is RouteState.PAUSED


def test_overloaded_primary_is_replaced_by_a_replica_that_has_received_the_whole_log():
    """Guards against a primary that serves all reads of a group until the replicas catch up."""
    group = LaggingGroup()
    # The first poll precedes the monitoring of the primary, the last one follows the pause.
    group.run(OVERLOAD_SECONDS + 3 * POLL_SECONDS)
    assert OverloadSwitchover(GROUP, PRIMARY) in group.effects
    assert group.record.phase is GroupPhase.SEALING
    term = group.record.term
    for name in (REPLICA_A, REPLICA_B):
        status = replica_status(20, paused_term=term)
        group.group.record_pause(name, status, known_source(), term, group.now)
    group.tick(group.now)
    assert group.record.primary in (REPLICA_A, REPLICA_B)
    assert RequestPromotion(GROUP, group.record.primary, TOKEN) in group.effects


@pytest.mark.parametrize(
    "change",
    [
        pytest.param({"in_use": 1}, id="the primary has free slots"),
        pytest.param({"lags": {REPLICA_A: 40.0, REPLICA_B: 0.2}}, id="a replica serves reads"),
        pytest.param(
            {"lags": {REPLICA_A: MIN_LAG_SECONDS - 1, REPLICA_B: 40.0}}, id="a replica serves soon"
        ),
        pytest.param({"received": {REPLICA_A: 20, REPLICA_B: 3}}, id="a replica does not receive"),
    ],
)
def test_primary_is_kept_if_a_switchover_gains_nothing(change: dict):
    """Guards against a needless switchover, which interrupts writes for about a second."""
    group = LaggingGroup()
    for name, value in change.items():
        setattr(group, name, value)
    group.run(5.0)
    assert not group.is_paused
    assert group.record.term == 1


def test_failed_switchover_is_not_repeated_at_once():
    """Guards against repeated pauses of writes while callers keep transactions open."""
    group = LaggingGroup()
    group.ledger.grant(GROUP, ENTRY, Term(1), group.now)
    paused = 0
    for _ in range(round(ATTEMPT_INTERVAL_SECONDS / POLL_SECONDS)):
        group.ledger.grant(GROUP, ENTRY, Term(1), group.now)
        group.run(POLL_SECONDS)
        paused += group.is_paused
    assert 0 < paused <= PAUSE_LIMIT_SECONDS / POLL_SECONDS + 1
    assert group.record.term == 1


def test_leaving_replica_does_not_become_primary():
    """Guards against a switchover to a target that must be replaced at once."""
    group = LaggingGroup()
    for name in (REPLICA_A, REPLICA_B):
        group.record.targets[name] = target(name, leaving=True)
    group.run(5.0)
    assert group.record.term == 1


def test_full_primary_counts_as_overloaded():
    """Guards against a missed overload when the primary has no free slot to report its status."""
    group = LaggingGroup()
    group.in_use = 0
    group.run(POLL_SECONDS)
    for _ in range(round(OVERLOAD_SECONDS / POLL_SECONDS) + 2):
        group.now += POLL_SECONDS
        group.record_heartbeats(group.now)
        group.group.record_busy_reply(PRIMARY, group.now)
        group.tick(group.now)
    assert OverloadSwitchover(GROUP, PRIMARY) in group.effects


def test_overload_of_the_former_primary_does_not_count_for_the_new_one():
    """Guards against a second switchover after a promotion, before the new primary is polled."""
    group = LaggingGroup()
    group.run(OVERLOAD_SECONDS)
    group.record.primary, group.record.term = REPLICA_A, Term(2)
    group.now += POLL_SECONDS
    for name in (PRIMARY, REPLICA_B):
        group.poll({name: replica_status(20, term=2, lag=40.0)}, group.now)
    group.record_heartbeats(group.now)
    group.tick(group.now)
    assert not any(isinstance(effect, OverloadSwitchover) for effect in group.effects)
