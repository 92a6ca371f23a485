"""Tests of the failover of one group."""

from __future__ import annotations

import pytest

from hibiscuspoint.core.control.effects import PrimarySuspected
from hibiscuspoint.core.control.leases import LEASE_SECONDS
from hibiscuspoint.core.control.route_state import RouteState
from hibiscuspoint.core.control.state import ControlState, GroupPhase
from hibiscuspoint.core.failover import (
    MissingLog,
    PromotionWaiting,
    RequestPromotion,
    ResumeReplica,
    StepDown,
    TargetStatus,
    WaitReason,
)
from hibiscuspoint.core.failover.group import COOLDOWN_SECONDS, LEAVING_LIMIT_SECONDS
from hibiscuspoint.core.failover.promotion import (
    CHOSEN_SILENCE_SECONDS,
    REGISTRATION_SECONDS,
    SETTLEMENT_SECONDS,
)
from hibiscuspoint.core.failover.watch import COMMIT_STALL_SECONDS, PRIMARY_SILENCE_SECONDS
from hibiscuspoint.ids import Incarnation, TargetId, Term
from hibiscuspoint.wire import peer_pb2, record_pb2
from tests.builders_failover import (
    ENTRY,
    GROUP,
    PRIMARY,
    REPLICA_A,
    REPLICA_B,
    TOKEN,
    GroupSimulation,
    known_source,
    position,
    primary_status,
    replica_status,
    started_group,
    target,
)

#: Seconds after which no commit is acknowledged any more under a lease of a lost primary, and a
#: replica that confirmed one is registered.
CERTAIN_SECONDS = LEASE_SECONDS + REGISTRATION_SECONDS

#: A replica that joins the group in a test.
NEW = TargetId("i-new")

#: Time at which all leases of an earlier control leader have expired.
LATER = 10.0


def _lose_primary(simulation: GroupSimulation, now: float) -> float:
    """Let the primary reply once and then stay silent; return when its failure is detected."""
    simulation.poll({PRIMARY: primary_status(20)}, now)
    simulation.record_heartbeats(now)
    simulation.tick(now)
    lost_at = now + PRIMARY_SILENCE_SECONDS + 0.01
    # The control leader ticks all the time; otherwise the silence would be discounted as its stall.
    steps = 20
    for step in range(1, steps + 1):
        simulation.tick(now + (lost_at - now) * step / steps)
    return lost_at


def test_lost_primary_is_replaced_by_the_replica_with_the_longest_log():
    """Guards against the promotion of a replica that lacks an acknowledged commit."""
    simulation = GroupSimulation()
    now = _lose_primary(simulation, LATER)
    simulation.record_pause(REPLICA_A, 19, now)
    simulation.tick(now)
    assert simulation.record.phase is GroupPhase.SEALING
    simulation.record_pause(REPLICA_B, 20, now)
    simulation.tick(now)
    assert simulation.record.primary == REPLICA_B
    assert RequestPromotion(GROUP, REPLICA_B, TOKEN) in simulation.effects


def _sealing_with_paused_replica() -> tuple[GroupSimulation, float]:
    """Return a group with a lost primary and one paused replica, and the current time."""
    simulation = GroupSimulation()
    simulation.ledger.grant(GROUP, ENTRY, Term(1), LATER)
    now = _lose_primary(simulation, LATER)
    status = replica_status(20, paused_term=simulation.record.term)
    simulation.group.record_pause(REPLICA_A, status, known_source(), simulation.record.term, now)
    return simulation, now


def _become_certain(simulation: GroupSimulation, now: float, **indexes: int) -> float:
    """Let the time pass in which entries may acknowledge commits; paused replicas answer polls."""
    now += CERTAIN_SECONDS
    term = simulation.record.term
    names = {"a": REPLICA_A, "b": REPLICA_B}
    simulation.poll(
        {names[n]: replica_status(i, paused_term=term) for n, i in indexes.items()}, now
    )
    simulation.tick(now)
    return now


def test_replica_that_was_replaced_after_its_pause_does_not_count_as_paused():
    """Guards against the promotion of a replica that lost its log in a restart."""
    simulation, now = _sealing_with_paused_replica()
    simulation.record.targets[REPLICA_A] = target(REPLICA_A, incarnation=2)
    simulation.record_pause(REPLICA_B, 19, now)
    simulation.tick(now)
    assert simulation.record.phase is GroupPhase.SEALING


@pytest.mark.parametrize("restarted", [{"index": 21}, {"index": 5, "paused_term": 2}])
def test_replica_that_is_no_longer_paused_is_paused_again(restarted):
    """Guards against commits that a restarted, no longer paused replica confirms meanwhile."""
    simulation, now = _sealing_with_paused_replica()
    simulation.poll({REPLICA_A: replica_status(**restarted)}, now + 0.3)
    simulation.record_pause(REPLICA_B, 19, now + 0.3)
    simulation.effects.clear()
    simulation.tick(now + 0.3)
    assert simulation.record.phase is GroupPhase.SEALING
    assert simulation.effect_names().count("PauseReplica") == 1


def test_reply_to_a_poll_sent_before_the_pause_is_ignored():
    """Guards against a choice that is delayed by poll replies sent before the pause."""
    simulation, now = _sealing_with_paused_replica()
    simulation.group.record_status(REPLICA_A, replica_status(20), now - 0.1, now + 0.01)
    simulation.record_pause(REPLICA_B, 19, now + 0.01)
    _become_certain(simulation, now, a=20, b=19)
    assert simulation.record.primary == REPLICA_A


def test_single_replica_is_not_promoted_while_the_acknowledged_position_is_unknown():
    """Guards against the loss of commits that only the unreachable replica holds."""
    simulation = GroupSimulation()
    simulation.ledger.grant(GROUP, ENTRY, Term(1), LATER)
    now = _lose_primary(simulation, LATER)
    simulation.record_pause(REPLICA_A, 20, now)
    simulation.tick(now + 1.0)
    assert simulation.record.phase is GroupPhase.SEALING


def test_single_replica_is_promoted_once_every_entry_reported_what_it_acknowledged():
    """Guards against an outage while the other replica cannot be reached."""
    simulation = GroupSimulation()
    simulation.ledger.grant(GROUP, ENTRY, Term(1), LATER)
    now = _lose_primary(simulation, LATER)
    simulation.group.record_acknowledged_position(position(21))
    simulation.ledger.release(GROUP, ENTRY, Term(1))
    simulation.record_pause(REPLICA_A, 20, now)
    simulation.tick(now + 0.2)
    assert simulation.record.phase is GroupPhase.SEALING
    simulation.record_pause(REPLICA_A, 21, now + 0.3)
    simulation.tick(now + 0.4)
    simulation.tick(now + 0.6)
    assert simulation.record.primary == REPLICA_A


def _resumed_targets(effects: list[object]) -> list[TargetId]:
    """Return the replicas that are ordered to resume."""
    return [effect.member.target for effect in effects if isinstance(effect, ResumeReplica)]


def test_paused_replica_is_resumed_until_it_confirms():
    """Guards against a replica that stays paused because the order to resume was lost.

    Such a replica served no reads for the rest of a day, which overloaded the primary of its group
    (trouble-1 of pluma-viva-grown).
    """
    simulation, now = _sealing_with_paused_replica()
    simulation.record_pause(REPLICA_B, 19, now)
    now = _become_certain(simulation, now, a=20, b=19)
    chosen = simulation.record.primary
    simulation.ledger.release(GROUP, ENTRY, Term(1))
    orders = 0
    for step in range(1, 31):
        time = now + 0.1 * step
        simulation.poll({chosen: primary_status(20, term=2)}, time)
        orders += _resumed_targets(simulation.tick(time)).count(REPLICA_B)
    assert simulation.record.phase is GroupPhase.STARTED
    assert orders >= 3
    simulation.group.record_resumption(REPLICA_B)
    assert REPLICA_B not in _resumed_targets(simulation.tick(now + 4.0))
    # A replica that an earlier control leader paused is resumed as well.
    simulation.poll({REPLICA_B: replica_status(20, paused_term=2)}, now + 5.0)
    assert REPLICA_B in _resumed_targets(simulation.tick(now + 5.0))


def test_term_starts_only_when_no_entry_can_use_the_former_primary():
    """Guards against stale reads at the former primary while the new one accepts commits."""
    chosen, now = REPLICA_A, LATER
    record = started_group(
        phase=GroupPhase.CHOSEN, term=Term(2), primary=chosen, former_primary=PRIMARY
    )
    simulation = GroupSimulation(record)
    simulation.ledger.grant(GROUP, ENTRY, Term(1), now)
    simulation.tick(now)
    simulation.poll({chosen: primary_status(20, term=2)}, now + 0.5)
    simulation.tick(now + 0.5)
    assert simulation.record.phase is GroupPhase.CHOSEN
    simulation.ledger.release(GROUP, ENTRY, Term(1))
    simulation.poll({chosen: primary_status(20, term=2)}, now + 1.5)
    simulation.tick(now + 1.6)
    assert simulation.record.phase is GroupPhase.STARTED


def test_primary_that_answers_again_is_kept():
    """Guards against a promotion after a short network failure between control and primary."""
    simulation = GroupSimulation()
    now = _lose_primary(simulation, LATER)
    simulation.poll({PRIMARY: primary_status(22)}, now + 0.1)
    simulation.tick(now + 0.1)
    simulation.tick(now + 0.2)
    assert simulation.record.primary == PRIMARY
    assert "RequestPromotion" not in simulation.effect_names()


def test_new_leader_replaces_a_primary_that_was_never_reachable_for_it():
    """Guards against a new control leader that waits for a cooldown although none is running.

    A control leader froze when the primary was cut off, and the next leader suspected the primary
    only 4 s after its election (trouble-1 of kovacik-zaloha).
    """
    simulation = GroupSimulation(since=LATER)
    simulation.record_heartbeats(LATER)
    now = LATER
    while now < LATER + PRIMARY_SILENCE_SECONDS + 0.2:
        now += 0.1
        simulation.tick(now)
    assert PRIMARY_SILENCE_SECONDS + 0.2 < COOLDOWN_SECONDS
    assert any(isinstance(effect, PrimarySuspected) for effect in simulation.effects)


def test_primary_that_serves_entries_is_kept_although_control_does_not_reach_it():
    """Guards against a promotion when only the network between control and primary fails."""
    simulation = GroupSimulation()
    observation = _observation(successes=3)
    now = LATER
    simulation.record_heartbeats(now)
    while now < LATER + 3 * PRIMARY_SILENCE_SECONDS:
        now += 0.1
        simulation.group.record_observation(ENTRY, observation, now)
        simulation.tick(now)
    assert simulation.group.route_state is RouteState.GRANTED


def test_primary_that_acknowledges_no_commit_is_replaced():
    """Guards against commits that hang while the primary is partitioned from its replicas.

    Reads still succeed, so the primary looks healthy; detection once took 3 s (scale-1 of
    kovacik-zaloha).
    """
    simulation = GroupSimulation()
    now = LATER
    simulation.record_heartbeats(now)
    while now < LATER + COMMIT_STALL_SECONDS + 0.3:
        now += 0.05
        simulation.poll({PRIMARY: primary_status(20)}, now)
        stalled = int(now > LATER + 0.1)
        simulation.group.record_observation(
            ENTRY, _observation(successes=3, commit_timeouts=stalled), now
        )
        simulation.tick(now)
    assert simulation.group.route_state is RouteState.REVOKED


def test_single_slow_commit_among_others_causes_no_promotion():
    """Guards against a promotion because of a single commit that times out."""
    simulation = GroupSimulation()
    now = LATER
    simulation.record_heartbeats(now)
    while now < LATER + 3 * COMMIT_STALL_SECONDS:
        now += 0.05
        simulation.poll({PRIMARY: primary_status(20)}, now)
        simulation.group.record_observation(ENTRY, _observation(commits=1), now)
        simulation.group.record_observation(ENTRY, _observation(commit_timeouts=1), now)
        simulation.tick(now)
    assert simulation.group.route_state is RouteState.GRANTED


def test_leaving_primary_is_replaced_although_transactions_never_end():
    """Guards against new work for a leaving primary up to its end.

    Transactions longer than the pause of a switchover overlap, so that it is never idle.
    """
    simulation = GroupSimulation()
    simulation.record.targets[PRIMARY] = target(PRIMARY, leaving=True)
    states, now = [], LATER
    while (
        now < LATER + LEAVING_LIMIT_SECONDS + 0.15 and simulation.record.phase is GroupPhase.STARTED
    ):
        now += 0.1
        simulation.ledger.grant(GROUP, ENTRY, Term(1), now)
        simulation.record_heartbeats(now)
        statuses = {PRIMARY: primary_status(20), REPLICA_A: replica_status(20)}
        simulation.poll({**statuses, REPLICA_B: replica_status(20)}, now)
        simulation.tick(now)
        states.append((simulation.group.route_state, simulation.group.pauses_transactions))
    assert simulation.record.phase is GroupPhase.SEALING
    assert (RouteState.GRANTED, True) in states
    assert (RouteState.GRANTED, False) not in states


def test_switchover_from_a_leaving_primary_waits_for_the_last_lease():
    """Guards against a switchover that interrupts transactions or loses commits."""
    simulation = GroupSimulation()
    simulation.record.targets[PRIMARY] = target(PRIMARY, leaving=True)
    simulation.ledger.grant(GROUP, ENTRY, Term(1), LATER)
    simulation.poll({PRIMARY: primary_status(20)}, LATER)
    simulation.record_heartbeats(LATER)
    simulation.tick(LATER)
    assert simulation.group.route_state is RouteState.PAUSED
    simulation.ledger.release(GROUP, ENTRY, Term(1))
    simulation.tick(LATER + 0.1)
    statuses = {PRIMARY: primary_status(20), REPLICA_A: replica_status(19)}
    simulation.poll({**statuses, REPLICA_B: replica_status(20)}, LATER + 0.2)
    simulation.tick(LATER + 0.25)
    assert simulation.record.phase is GroupPhase.SEALING
    simulation.poll(statuses, LATER + 0.3)
    simulation.tick(LATER + 0.3)
    assert any(isinstance(effect, StepDown) for effect in simulation.effects)
    for name, index in ((REPLICA_A, 19), (REPLICA_B, 20)):
        simulation.record_pause(name, index, LATER + 0.4)
    simulation.tick(LATER + 0.4)
    assert simulation.record.primary == REPLICA_B


def test_primary_that_stepped_down_proves_commits_only_up_to_its_end():
    """Guards against a switchover that leaves out what an unregistered replica confirmed.

    It started at the leaving primary after the other replicas were paused.
    """
    simulation = GroupSimulation()
    simulation.record.targets[PRIMARY] = target(PRIMARY, leaving=True)
    now = LATER
    while simulation.record.phase is GroupPhase.STARTED:
        now += 0.1
        simulation.ledger.grant(GROUP, ENTRY, Term(1), now)
        simulation.record_heartbeats(now)
        simulation.tick(now)
    simulation.record_pause(REPLICA_A, 20, now)
    simulation.record_pause(REPLICA_B, 20, now)
    simulation.poll({PRIMARY: primary_status(21)}, now + 0.1)
    simulation.group.record_step_down(
        PRIMARY, replica_status(22), simulation.record.term, now + 0.2
    )
    simulation.tick(now + 0.3)
    assert simulation.record.phase is GroupPhase.SEALING
    simulation.register(NEW)
    simulation.record_pause(NEW, 22, now + 0.5)
    simulation.tick(now + 0.5)
    assert simulation.record.primary == NEW


def _step_down(reply: TargetStatus) -> tuple[GroupSimulation, float]:
    """Return a group whose leaving primary answers the order to step down, and the time.

    One replica is paused with a shorter log, and the other one is lost.
    """
    simulation = GroupSimulation(started_group(primary_term=Term(1)))
    simulation.record.targets[PRIMARY] = target(PRIMARY, leaving=True)
    now = LATER
    while simulation.record.phase is GroupPhase.STARTED:
        now += 0.1
        simulation.ledger.grant(GROUP, ENTRY, Term(1), now)
        simulation.record_heartbeats(now)
        simulation.poll({PRIMARY: primary_status(20)}, now)
        simulation.tick(now)
    simulation.poll({PRIMARY: primary_status(21)}, now + 0.1)
    simulation.record_pause(REPLICA_A, 20, now + 0.1)
    simulation.group.record_step_down(PRIMARY, reply, simulation.record.term, now + 0.2)
    simulation.tick(now + 0.2)
    return simulation, now + 0.2


@pytest.mark.parametrize(("name", "is_recorded"), [(PRIMARY, True), (PRIMARY, False), (NEW, True)])
def test_former_primary_that_stepped_down_counts_after_a_change_of_the_leader(name, is_recorded):
    """Guards against a service without a primary for good while the former one runs as a replica.

    A later leader waited for the lost replica. The former primary may come back under a new id.
    """
    simulation, now = _step_down(replica_status(22))
    if not is_recorded:
        simulation.record.former_end = None
    simulation.lead_again(now)
    simulation.tick(now + 0.1)
    simulation.record_pause(REPLICA_A, 20, now + 0.1)
    if name == NEW:
        simulation.register(NEW)
        simulation.record_pause(NEW, 22, now + 0.1)
    for step in range(2, 6):
        simulation.poll({name: replica_status(22, paused_term=2)}, now + step / 10)
        simulation.tick(now + step / 10)
    assert simulation.record.primary == name


@pytest.mark.parametrize(
    ("reply", "later"),
    [
        (replica_status(0, term=0), replica_status(0, term=0)),
        (replica_status(22), replica_status(0, term=0)),
        (replica_status(22), primary_status(23)),
    ],
)
def test_former_primary_without_its_end_proves_nothing(reply, later):
    """Guards against a choice that rests on a log that was lost, or that goes on.

    The former primary starts again empty under its id, or acts as primary again.
    """
    simulation, now = _step_down(reply)
    simulation.lead_again(now)
    simulation.group.record_acknowledged_position(position(20))
    for step in range(1, 6):
        time = now + step / 10
        simulation.record_pause(REPLICA_A, 22 if later.is_primary else 20, time)
        simulation.poll({PRIMARY: later}, time)
        simulation.tick(time)
    assert simulation.record.phase is GroupPhase.SEALING
    if later.is_primary:
        assert simulation.record.former_end == position(22)
        simulation.poll({PRIMARY: replica_status(24)}, time + 0.1)
        simulation.tick(time + 0.1)
        assert simulation.record.former_end == position(24)


def test_former_primary_that_stepped_down_leads_again_only_after_its_leases():
    """Guards against commits beyond the end of a former primary that is promoted again."""
    simulation, now = _step_down(replica_status(22))
    lease_end = now + LEASE_SECONDS
    promoted_at = None
    while promoted_at is None and now < lease_end + 1.0:
        now += 0.1
        simulation.poll({PRIMARY: replica_status(22)}, now)
        if any(isinstance(effect, RequestPromotion) for effect in simulation.tick(now)):
            promoted_at = now
    assert simulation.record.primary == PRIMARY
    assert promoted_at >= lease_end - 0.3


@pytest.mark.parametrize("known_term", [1, 2])
def test_returned_primary_of_an_ended_term_steps_down(known_term):
    """Guards against a round that waits for the pause of a target that acts as primary.

    It is the last primary under a new id, or an earlier one; the leader of the next term is lost.
    """
    simulation = GroupSimulation(started_group(primary_term=Term(known_term)))
    simulation.register(NEW, incarnation=2)
    now = _lose_primary(simulation, LATER)
    follower = TargetStatus(False, Term(2), position(20))
    for _ in range(2):
        # The first round opens a term above those that the targets report.
        now += 0.1
        simulation.poll({NEW: primary_status(21), REPLICA_A: follower}, now)
        simulation.tick(now)
    ordered = [e.member.target for e in simulation.effects if isinstance(e, StepDown)]
    assert ordered == [NEW]
    term = simulation.record.term
    simulation.group.record_step_down(NEW, replica_status(22), term, now + 0.1)
    simulation.tick(now + 0.1)
    assert simulation.record.former_end == (position(22) if known_term == 1 else None)


def test_end_of_a_former_primary_counts_for_its_term_only():
    """Guards against a choice that rests on the end of a primary before the last one."""
    simulation, _ = _step_down(replica_status(22))
    state, record = simulation.state, simulation.record
    restored = ControlState()
    restored.restore(state.snapshot())
    assert restored.groups[GROUP].former_end == position(22)
    record_end = record_pb2.RecordFormerEnd(group=GROUP, started_term=1)
    choice = record_pb2.ChoosePrimary(group=GROUP, term=record.term, primary=REPLICA_A)
    start = record_pb2.StartTerm(group=GROUP, term=record.term, target_term=2)
    late = record_pb2.Command(record_former_end=record_end)
    opening = record_pb2.OpenTerm(group=GROUP, term=record.term + 1)
    for command in (
        record_pb2.Command(choose_primary=choice),
        record_pb2.Command(start_term=start),
        late,
        record_pb2.Command(open_term=opening),
        late,
    ):
        state.apply(1, command)
    assert record.phase is GroupPhase.SEALING
    assert record.former_end is None


@pytest.mark.parametrize(("index", "is_removed"), [(19, False), (20, True)])
def test_lost_replica_is_removed_only_when_another_one_has_the_whole_log(index, is_removed):
    """Guards against the removal of the only replica that holds an acknowledged commit."""
    simulation = GroupSimulation()
    simulation.poll({PRIMARY: primary_status(18)}, LATER)
    simulation.record_heartbeats(LATER)
    simulation.group.record_departure(REPLICA_A, LATER)
    now = LATER
    while now < LATER + 1.0:
        now += 0.1
        statuses = {PRIMARY: primary_status(20), REPLICA_B: replica_status(index)}
        simulation.poll(statuses, now)
        simulation.tick(now)
    assert (REPLICA_A not in simulation.record.targets) is is_removed


def test_replica_that_has_just_registered_is_not_removed():
    """Guards against a promotion that does not pause a replica that confirms commits.

    The leader had no message of it before, for longer than a lost replica stays a member.
    """
    simulation = GroupSimulation()
    now = LATER + 20.0
    simulation.record_heartbeats(now)
    simulation.poll({PRIMARY: primary_status(20), REPLICA_A: replica_status(20)}, now)
    simulation.record.targets[NEW] = target(NEW)
    simulation.tick(now + 0.1)
    assert NEW in simulation.record.targets


@pytest.mark.parametrize(("index", "is_removed"), [(19, False), (20, True)])
def test_replica_whose_address_was_taken_over_is_removed_with_proof(index, is_removed):
    """Guards against the removal of a log because of what a later heartbeat says of its address."""
    simulation = GroupSimulation()
    simulation.record_heartbeats(LATER)
    simulation.record.targets[NEW] = target(NEW, incarnation=2)
    simulation.group.record_replacement(REPLICA_A, LATER)
    assert REPLICA_A not in simulation.group.listed_targets(LATER)
    for step in range(1, 15):
        now = LATER + step / 10
        simulation.group.record_heartbeat(REPLICA_A, now)
        simulation.poll({PRIMARY: primary_status(20), NEW: replica_status(index)}, now)
        simulation.tick(now)
    assert (REPLICA_A not in simulation.record.targets) is is_removed


def test_replica_that_answers_keeps_its_place():
    """Guards against the removal of a replica after one wrong answer on its address."""
    simulation = GroupSimulation()
    simulation.group.record_replacement(REPLICA_A, LATER)
    for step in range(1, 15):
        now = LATER + step / 10
        simulation.poll({PRIMARY: primary_status(20), REPLICA_A: replica_status(20)}, now)
        simulation.tick(now)
    assert REPLICA_A in simulation.record.targets


def test_order_to_pause_that_was_ignored_does_not_count():
    """Guards against the promotion of a replica although another one went on confirming commits.

    A database ignores an order to pause whose term it has already, and answers with its status.
    """
    simulation = GroupSimulation()
    now = _lose_primary(simulation, LATER)
    term = simulation.record.term
    simulation.record_pause(REPLICA_A, 19, now)
    simulation.group.record_pause(REPLICA_B, replica_status(19), known_source(), term, now)
    simulation.tick(now)
    assert simulation.record.phase is GroupPhase.SEALING
    simulation.poll({REPLICA_B: replica_status(20, term=term)}, now)
    simulation.tick(now)
    assert simulation.record.term > term


@pytest.mark.parametrize(("restarted_first", "primary"), [(True, None), (False, REPLICA_B)])
def test_log_of_a_replica_that_started_again_empty_is_not_left_out(restarted_first, primary):
    """Guards against the promotion of a replica that received nothing (review, sixth fault).

    What the other replica had confirmed was gone with its restart under its id.
    """
    simulation = GroupSimulation()
    simulation.ledger.grant(GROUP, ENTRY, Term(1), LATER)
    if restarted_first:
        simulation.register(REPLICA_A, incarnation=2)
    now = _lose_primary(simulation, LATER)
    simulation.record_pause(REPLICA_A, 0, now)
    simulation.record_pause(REPLICA_B, 15, now)
    _become_certain(simulation, now, a=0, b=15)
    assert simulation.record.primary == primary


def test_lost_log_is_forgotten_once_a_replica_has_caught_up():
    """Guards against promotions that wait for a log that is held elsewhere."""
    simulation = GroupSimulation()
    simulation.record_heartbeats(LATER)
    simulation.register(REPLICA_A, incarnation=2)
    statuses = {PRIMARY: primary_status(20), REPLICA_A: replica_status(0)}
    for step, index in enumerate((19, 20), 1):
        simulation.poll({**statuses, REPLICA_B: replica_status(index)}, LATER + step)
        simulation.tick(LATER + step)
        assert bool(simulation.record.lost_logs) is (index == 19)
    assert REPLICA_A in simulation.record.targets


def _choose_replica() -> tuple[GroupSimulation, float]:
    """Return a group that has lost its primary and chosen a replica, and the time."""
    simulation = GroupSimulation()
    now = _lose_primary(simulation, LATER)
    simulation.record_pause(REPLICA_A, 20, now)
    simulation.record_pause(REPLICA_B, 19, now)
    simulation.tick(now)
    assert simulation.record.primary == REPLICA_A
    return simulation, now


def _give_up_chosen() -> tuple[GroupSimulation, float]:
    """Return a group whose chosen replica was lost before its term started, and the time."""
    simulation, now = _choose_replica()
    now += CHOSEN_SILENCE_SECONDS
    simulation.tick(now)
    assert simulation.record.phase is GroupPhase.SEALING
    return simulation, now


def test_replica_that_was_only_chosen_still_counts():
    """Guards against a promotion that leaves out the replica that was chosen for its log."""
    simulation, now = _give_up_chosen()
    assert simulation.record.former_primary == PRIMARY
    simulation.record_pause(REPLICA_B, 19, now)
    simulation.tick(now)
    assert simulation.record.phase is GroupPhase.SEALING


def test_chosen_replica_that_started_again_empty_is_not_promoted():
    """Guards against a promotion that loses acknowledged commits (soak, seed 54).

    The chosen database ended before its promotion took effect and came back under its id with
    nothing of before. A later control leader requested its promotion again.
    """
    simulation, now = _choose_replica()
    simulation.register(REPLICA_A, incarnation=2)
    simulation.effects.clear()
    simulation.poll({REPLICA_A: replica_status(0)}, now + 1.2)
    simulation.tick(now + 1.2)
    assert RequestPromotion(GROUP, REPLICA_A, TOKEN) not in simulation.effects


@pytest.mark.parametrize("has_new_leader", [False, True])
def test_chosen_replica_that_is_not_registered_again_is_not_promoted(has_new_leader):
    """Guards against a promotion of a start that has not the log for which its id was chosen."""
    simulation, now = _choose_replica()
    assert simulation.record.chosen_position == position(20)
    if has_new_leader:
        simulation.lead_again(now)
    simulation.effects.clear()
    simulation.tick(now + 0.1)
    simulation.poll({REPLICA_A: replica_status(7)}, now + 0.2)
    for seconds in (0.2, 0.6, 1.0, 1.4):
        simulation.tick(now + seconds)
    token = TOKEN + 1 if has_new_leader else TOKEN
    assert RequestPromotion(GROUP, REPLICA_A, token) not in simulation.effects


def test_new_leader_requests_the_promotion_of_a_chosen_replica_with_its_log():
    """Guards against a promotion that ends with the leader that chose."""
    simulation, now = _choose_replica()
    simulation.lead_again(now)
    simulation.tick(now + 0.1)
    simulation.poll({REPLICA_A: replica_status(20, paused_term=2)}, now + 0.2)
    simulation.tick(now + 0.2)
    assert RequestPromotion(GROUP, REPLICA_A, TOKEN + 1) in simulation.effects


def test_term_starts_only_when_no_other_promotion_can_take_effect():
    """Guards against a late promotion that takes acknowledged commits back."""
    simulation, now = _give_up_chosen()
    started_at = None
    while started_at is None and now < LATER + 20.0:
        simulation.poll({PRIMARY: primary_status(22)}, now)
        simulation.tick(now)
        if simulation.record.phase is GroupPhase.STARTED:
            started_at = now
        now += 0.1
    assert simulation.record.primary == PRIMARY
    assert started_at >= LATER + CHOSEN_SILENCE_SECONDS + SETTLEMENT_SECONDS


@pytest.mark.parametrize(
    ("known_term", "replies", "primary"),
    [
        (1, {REPLICA_A: 1, REPLICA_B: 1}, NEW),
        (1, {}, NEW),
        (1, {REPLICA_A: 2}, None),
        (2, {REPLICA_A: 1}, None),
    ],
)
def test_former_primary_under_a_new_id_is_adopted(known_term, replies, primary):
    """Guards against a group without a primary for good (review/3), and against a deposed one.

    It acts as primary and is not paused. It is known by its term, as another replica may be
    replaced at the same time (seed 3 of the soak).
    """
    simulation = GroupSimulation(started_group(primary_term=Term(known_term)))
    simulation.register(NEW, incarnation=2)
    now = _lose_primary(simulation, LATER)
    statuses = {name: replica_status(20, term=term) for name, term in replies.items()}
    simulation.poll({NEW: primary_status(20), **statuses}, now + 0.1)
    simulation.tick(now + 0.1)
    assert simulation.record.primary == primary


def test_primary_that_returned_under_a_new_id_leads_until_it_is_adopted():
    """Guards against a service without a primary for good after a change of the leader (soak, 3).

    Control made the returned primary step down before its old id was suspected. A later leader
    could not tell that it has the whole log, and waited for a replica that was replaced.
    """
    simulation = GroupSimulation(started_group(term=Term(2), primary_term=Term(1)))
    simulation.register(NEW, incarnation=2)
    statuses = {NEW: primary_status(20), REPLICA_A: replica_status(20)}
    simulation.poll(statuses, LATER)
    simulation.tick(LATER)
    assert "StepDown" not in simulation.effect_names()
    simulation.lead_again(LATER + 0.1)
    now = LATER + 0.1
    while simulation.record.term == 2 and now < LATER + 5.0:
        now += 0.1
        simulation.group.record_replacement(PRIMARY, now)
        simulation.group.record_replacement(REPLICA_B, now)
        simulation.poll(statuses, now)
        simulation.tick(now)
    simulation.poll(statuses, now + 0.1)
    simulation.tick(now + 0.1)
    assert "StepDown" not in simulation.effect_names()
    assert simulation.record.primary == NEW


def test_replica_that_registers_late_is_paused_before_a_choice():
    """Guards against a promotion without a replica that started at a cut-off primary (review/1).

    An entry that is cut off as well acknowledges what it confirms, until its lease ends.
    """
    simulation = GroupSimulation()
    now = _lose_primary(simulation, LATER)
    simulation.ledger.grant(GROUP, ENTRY, Term(1), now - 1.0)
    simulation.record_pause(REPLICA_A, 20, now)
    simulation.record_pause(REPLICA_B, 20, now)
    simulation.tick(now + 0.5)
    assert simulation.record.phase is GroupPhase.SEALING
    simulation.register(NEW)
    simulation.tick(now + CERTAIN_SECONDS)
    assert simulation.record.phase is GroupPhase.SEALING
    simulation.record_pause(NEW, 25, now + CERTAIN_SECONDS)
    simulation.tick(now + CERTAIN_SECONDS)
    assert simulation.record.primary == NEW


def test_promotion_that_takes_effect_after_the_next_one_opens_a_term():
    """Guards against a term that starts while another target leads a later one."""
    record = started_group(phase=GroupPhase.CHOSEN, term=Term(3), primary=REPLICA_A)
    simulation = GroupSimulation(record)
    simulation.tick(LATER)
    simulation.poll(
        {REPLICA_A: primary_status(20, term=3), REPLICA_B: primary_status(20, term=4)}, LATER + 0.1
    )
    simulation.tick(LATER + 0.1)
    assert simulation.record.phase is GroupPhase.SEALING


def test_choice_that_waits_is_reported():
    """Guards against a group without a primary whose operator sees no cause."""
    simulation = GroupSimulation()
    simulation.ledger.grant(GROUP, ENTRY, Term(1), LATER)
    now = _lose_primary(simulation, LATER)
    simulation.record_pause(REPLICA_A, 20, now)
    simulation.tick(now + 4.9)
    assert "PromotionWaiting" not in simulation.effect_names()
    simulation.tick(now + 5.1)
    term = simulation.record.term
    missing = MissingLog(REPLICA_B, Incarnation(1), WaitReason.NO_REPLY)
    assert PromotionWaiting(GROUP, term, (missing,), (ENTRY,)) in simulation.effects


def test_choice_below_an_acknowledged_position_waits():
    """Guards against a promotion before the replica that confirmed a commit is registered."""
    simulation = GroupSimulation()
    now = _lose_primary(simulation, LATER)
    simulation.group.record_acknowledged_position(position(21))
    simulation.record_pause(REPLICA_A, 20, now)
    simulation.record_pause(REPLICA_B, 20, now)
    simulation.tick(now)
    assert simulation.record.phase is GroupPhase.SEALING
    simulation.register(NEW)
    simulation.record_pause(NEW, 21, now)
    simulation.tick(now)
    assert simulation.record.primary == NEW


def test_running_primary_of_a_new_group_is_adopted():
    """Guards against an outage when the system is started in front of running targets."""
    record = started_group(term=Term(0), phase=GroupPhase.FORMED, primary=None, term_starts=[])
    simulation = GroupSimulation(record)
    statuses = {PRIMARY: primary_status(7, term=4), REPLICA_A: replica_status(7, term=4)}
    simulation.poll(statuses, LATER)
    simulation.tick(LATER)
    simulation.poll(statuses, LATER + 0.1)
    simulation.tick(LATER + 0.1)
    assert simulation.record.primary == PRIMARY
    assert simulation.record.phase is GroupPhase.STARTED
    assert "PauseReplica" not in simulation.effect_names()


def _observation(**fields: int) -> peer_pb2.TargetObservation:
    return peer_pb2.TargetObservation(target=PRIMARY, **fields)
