"""Tests that nothing known of one start of an instance or a target is believed of its next one."""

from __future__ import annotations

import pytest

from hibiscuspoint.core.control.state import GroupPhase
from tests.builders_failover import REPLICA_A, REPLICA_B
from tests.builders_leader import LeaderSimulation

#: Time at which the leases of an earlier control leader have expired.
LATER = 5.0

#: Time for further replies once those received suffice for a choice.
GRACE = 0.3


def _restarted_entry(starts: int, *, is_stopped: bool = False) -> LeaderSimulation:
    """Return a leader whose entry acknowledged commit 25 and started again before it reported it.

    The primary does not answer from that commit on.

    :param starts: how often it started again.
    :param is_stopped: whether it handed back its lease first, as in a planned stop; the commit was
        reported with that.
    """
    simulation = LeaderSimulation()
    simulation.run(LATER)
    simulation.report(1)
    simulation.poll_primary(24)
    simulation.polled = None
    if is_stopped:
        simulation.run(0.05)
        simulation.report(1, released=1, acknowledged=25)
    for start in range(starts):
        simulation.run(0.1)
        simulation.report(2 + start)
    return simulation


@pytest.mark.parametrize("starts", [1, 2, 3])
def test_release_of_the_next_process_does_not_count_for_the_former_one(starts):
    """Guards against a promotion without what an entry acknowledged before it was killed."""
    simulation = _restarted_entry(starts)
    simulation.lose_primary()
    simulation.report(1 + starts, released=1)
    simulation.pause(REPLICA_B, 24)
    simulation.run(GRACE)
    assert simulation.record.phase is GroupPhase.SEALING
    simulation.pause(REPLICA_A, 25)
    simulation.run(GRACE)
    assert simulation.record.primary == REPLICA_A


@pytest.mark.parametrize("is_stopped", [True, False])
def test_restart_of_an_entry_delays_no_promotion_once_the_primary_was_polled(is_stopped):
    """Guards against a promotion that waits although all acknowledged commits are known."""
    simulation = _restarted_entry(1, is_stopped=is_stopped)
    if not is_stopped:
        simulation.run(0.1)
        simulation.poll_primary(25)
    simulation.lose_primary()
    simulation.report(2, released=1)
    simulation.pause(REPLICA_A, 25)
    simulation.run(GRACE)
    assert simulation.record.primary == REPLICA_A


def test_late_report_of_the_former_process_releases_nothing():
    """Guards against a release that arrives on a stream of the former process."""
    simulation = _restarted_entry(1)
    simulation.lose_primary()
    simulation.report(1, released=1)
    simulation.pause(REPLICA_B, 24)
    simulation.run(GRACE)
    assert simulation.record.phase is GroupPhase.SEALING


def test_repeated_release_does_not_cover_a_later_lease():
    """Guards against a promotion without what an entry acknowledged under a lease on its way.

    The entry repeats a release until the next lease arrives, which answers an earlier report.
    """
    simulation = LeaderSimulation()
    simulation.run(LATER)
    released_at = simulation.now
    simulation.run(0.1)
    simulation.report(1, released=1, until=released_at)
    simulation.poll_primary(24)
    simulation.run(0.1)
    simulation.report(1, released=1, until=released_at, sent_ago=0.05)
    leaseholders = simulation.leader._ledger.leaseholders("ledger", simulation.now)
    assert len(leaseholders) == 1
