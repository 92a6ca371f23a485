"""Tests that nothing known of one start of an instance or a target is believed of its next one."""

from __future__ import annotations

import pytest

from hibiscuspoint.core.control.delivery import DeliveredRoutes
from hibiscuspoint.core.control.entries import ENTRY_REMOVAL_SECONDS
from hibiscuspoint.core.control.state import ControlState, GroupPhase
from hibiscuspoint.core.failover import WaitReason
from hibiscuspoint.core.failover.leader import LEASE_SECONDS
from hibiscuspoint.core.failover.promotion import REGISTRATION_SECONDS
from hibiscuspoint.ids import EntryProcess, Incarnation, InstanceId, Term
from hibiscuspoint.wire import peer_pb2
from tests.builders_failover import (
    PRIMARY,
    REPLICA_A,
    REPLICA_B,
    known_source,
    position,
    primary_status,
    replica_status,
)
from tests.builders_leader import LeaderSimulation

#: Time at which the leases of an earlier control leader have expired.
LATER = 5.0

#: Time from the start of a leadership until no inherited lease is left and every replica that
#: confirmed a commit is registered.
CERTAIN = 1.1 * LEASE_SECONDS + REGISTRATION_SECONDS

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
    assert not simulation.record.requested
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
    assert not simulation.record.requested


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


def _new_leader() -> LeaderSimulation:
    """Return a new leader that opened a term as the primary was lost, after its predecessor."""
    simulation = LeaderSimulation()
    simulation.record.term, simulation.record.phase = Term(2), GroupPhase.SEALING
    simulation.record.former_primary, simulation.record.primary = PRIMARY, None
    simulation.polled = None
    simulation.lead()
    return simulation


@pytest.mark.parametrize("index", [0, 22], ids=["empty", "part-of-its-log"])
@pytest.mark.parametrize("replied_after", [0.0, CERTAIN])
@pytest.mark.parametrize("registered_after", [0.1, 1.2])
def test_reply_of_a_start_that_is_not_registered_is_no_reply_of_the_former_one(
    index, replied_after, registered_after
):
    """Guards against a promotion without what a replica confirmed before it started again."""
    simulation = _new_leader()
    simulation.pause(REPLICA_B, 24)
    simulation.announce(REPLICA_A)
    simulation.run(replied_after)
    simulation.pause(REPLICA_A, index, connected_at=simulation.now)
    simulation.run(registered_after)
    assert not simulation.record.requested
    simulation.announce(REPLICA_B)
    simulation.announce(REPLICA_A, incarnation=2)
    simulation.run(CERTAIN)
    assert not simulation.record.requested
    reasons = {log.target: log.reason for log in simulation.group._round.paused.missing_logs}
    assert reasons[REPLICA_A] in (WaitReason.NO_REPLY, WaitReason.LOST)


def test_replies_count_once_a_heartbeat_proves_their_start():
    """Guards against a new leader that never chooses, and one that chooses before it is certain."""
    simulation = _new_leader()
    for name in (REPLICA_A, REPLICA_B):
        simulation.pause(name, 24, connected_at=simulation.now)
    simulation.announce(REPLICA_A)
    simulation.run(CERTAIN)
    assert not simulation.record.requested
    for name in (REPLICA_A, REPLICA_B):
        simulation.announce(name)
    simulation.run(GRACE)
    assert simulation.record.requested


def test_choice_by_all_replies_waits_for_inherited_leases():
    """Guards against a commit that an entry acknowledges under a lease of the former leader.

    The replica that confirmed it has just started and is not registered yet.
    """
    simulation = _new_leader()
    for name in (REPLICA_A, REPLICA_B):
        simulation.pause(name, 24)
    simulation.run(LEASE_SECONDS)
    assert not simulation.record.requested
    simulation.run(0.1 * LEASE_SECONDS)
    assert simulation.record.requested


@pytest.mark.parametrize(
    ("incarnation", "control_term", "is_waiting"), [(1, 2, False), (1, 1, True), (2, 1, False)]
)
def test_choice_does_not_wait_for_entries_without_an_inherited_lease(
    incarnation, control_term, is_waiting
):
    """Guards against a promotion that waits for leases of a former leader which nobody has."""
    simulation = _new_leader()
    simulation.state.entries["10.0.0.1:7440"] = Incarnation(1)
    simulation.lead()
    for name in (REPLICA_A, REPLICA_B):
        simulation.pause(name, 24)
    simulation.report(incarnation, control_term=control_term)
    simulation.run(REGISTRATION_SECONDS + GRACE)
    assert bool(simulation.record.requested) is not is_waiting
    awaited = simulation.group._awaited_entries(simulation.now)
    assert awaited == ({EntryProcess("10.0.0.1:7440", 1)} if is_waiting else set())


def test_poll_before_the_end_of_an_inherited_lease_covers_nothing():
    """Guards against a promotion without what a process acknowledged before the next one reported.

    It had its lease from the former leader, and was killed before it reported to the new one.
    """
    simulation = LeaderSimulation()
    simulation.state.entries["10.0.0.1:7440"] = Incarnation(1)
    simulation.polled = None
    simulation.lead()
    polled_at = simulation.now
    simulation.run(0.1)
    simulation.report(2)
    status, source = primary_status(24), known_source()
    simulation.leader.handle_status(PRIMARY, status, source, polled_at, simulation.now)
    assert simulation.group._known_required_position() is None
    simulation.poll_primary(25)
    assert simulation.group._known_required_position() == position(25)


def test_lease_is_granted_only_to_a_recorded_process():
    """Guards against a lease that a later leader does not know of."""
    simulation = LeaderSimulation()
    simulation.run(LATER)
    report = peer_pb2.EntryReport(instance="10.0.0.1:7440", incarnation=1, sent_at_ns=1)
    (proposal,) = simulation.leader.handle_report(report, simulation.now)
    for is_recorded in (False, True):
        update = simulation.leader.build_update(
            InstanceId("10.0.0.1:7440"), simulation.now, DeliveredRoutes()
        )
        assert [bool(route.lease_ms) for route in update.routes] == [is_recorded]
        simulation.state.apply(1, proposal.command)
    restored = ControlState()
    restored.restore(simulation.state.snapshot())
    assert restored.entries == {"10.0.0.1:7440": 1}


def test_switchover_does_not_wait_for_the_proof_of_a_start():
    """Guards against a group without a primary while an idle replica has no proven connection.

    Found by test_leaving_primary_hands_over: the old primary stepped down before the choice.
    """
    simulation = _restarted_entry(0)
    simulation.lose_primary()
    simulation.report(1, released=1)
    for name in (REPLICA_A, REPLICA_B):
        simulation.pause(name, 25, connected_at=simulation.now)
    simulation.run(0.0)
    assert simulation.record.primary is not None


def test_next_leader_does_not_wait_for_the_entry_of_the_former_one():
    """Guards against a promotion that waits for an instance which is lost as a whole."""
    simulation = LeaderSimulation()
    own = simulation.leader_instance = InstanceId("10.0.0.1:7440")
    simulation.state.entries[own] = Incarnation(1)
    simulation.lease_left = 0.4
    simulation.lead()
    simulation.report(1, control_term=1)
    assert own in simulation.state.entries
    update = simulation.report(1, control_term=2, sent_ago=-0.01)
    assert own not in simulation.state.entries
    assert [route.lease_ms for route in update.routes] == [400]
    assert update.renewed_lease_ms == 400


def test_entry_whose_record_is_being_removed_gets_no_lease():
    """Guards against a lease that a later leader does not know of, as its record is removed."""
    simulation = LeaderSimulation()
    simulation.report(1, released=1)
    simulation.run(2 * ENTRY_REMOVAL_SECONDS)
    assert not simulation.leader._ledger._void["ledger"]
    simulation.state.entries["10.0.0.1:7440"] = Incarnation(1)
    removal = simulation.leader.tick(simulation.now)
    assert removal
    report = peer_pb2.EntryReport(instance="10.0.0.1:7440", incarnation=1, sent_at_ns=2**60)
    simulation.leader.handle_report(report, simulation.now)
    update = simulation.leader.build_update(
        InstanceId("10.0.0.1:7440"), simulation.now, DeliveredRoutes()
    )
    assert [route.lease_ms for route in update.routes] == [0]


def test_entry_of_the_leader_gets_a_lease_again_after_one_that_was_too_short():
    """Guards against an instance that leads and serves no write until its routes change."""
    simulation = LeaderSimulation()
    own, delivered = InstanceId("10.0.0.1:7440"), DeliveredRoutes()
    simulation.leader_instance = own
    simulation.lead()
    for seconds, lease_ms in ((0.0001, 0), (0.5, 500)):
        simulation.lease_left = seconds
        simulation.run(0.1)
        simulation.report(1)
        update = simulation.leader.build_update(own, simulation.now, delivered)
        assert [route.lease_ms for route in update.routes] == [lease_ms]


def test_status_over_a_connection_to_a_former_incarnation_is_ignored():
    """Guards against the position of a start that has ended, taken for that of the present one."""
    simulation = LeaderSimulation()
    simulation.announce(REPLICA_A, incarnation=2)
    now = simulation.now
    simulation.leader.handle_status(REPLICA_A, replica_status(20), known_source(1), now, now)
    assert simulation.group._contacts.position_since(REPLICA_A, now - 1.0) is None
    simulation.leader.handle_status(REPLICA_A, replica_status(3), known_source(2), now, now)
    assert simulation.group._contacts.position_since(REPLICA_A, now - 1.0) == position(3)
