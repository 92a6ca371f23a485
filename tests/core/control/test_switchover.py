"""Tests of switchovers: planned changes of the primary."""

from __future__ import annotations

import pytest

from hibiscuspoint.core.control import Follow, Promote, RouteState, Seal
from hibiscuspoint.core.control.switchover import Switchover, SwitchoverState
from hibiscuspoint.util.units import NANOSECONDS_PER_SECOND
from hibiscuspoint.wire import peer_pb2
from tests.builders_control import GROUP, Control, member_reply, started_state


@pytest.fixture
def control():
    """Return a leader without inherited leases that has granted a lease to each holder."""
    control = Control(started_state())
    control.run(3.0)
    control.commit()
    control.take(Follow)
    return control


def release_leases(control):
    """Let both holders finish their work and release their leases."""
    for name in ("e1", "e2"):
        released = [peer_pb2.RouteRelease(group=GROUP, term=1)]
        update = control.report(
            name, released=released, sent_at_ns=int(control.now * NANOSECONDS_PER_SECOND) + 1
        )
        assert update.routes[0].lease_ms == 0


def reply_positions(control, **indexes):
    """Let members reply with their positions.

    :param indexes: index of the last record of each member.
    """
    for target, index in indexes.items():
        reply = member_reply(target, 1, index)
        control.effects += control.leader.handle_join_reply(GROUP, reply, control.now)


def test_switchover_waits_for_idle_holders_and_a_replica_that_caught_up(control):
    """Guards against requests that a switchover interrupts.

    A term that is opened while holders work at the primary ends that work, and one that is opened
    before a replica has caught up has to choose the old primary again.
    """
    assert control.leader.request_switchover(GROUP, None, control.now)
    control.step()
    assert control.group.route_state is RouteState.PAUSED
    update = control.updates["e1"].routes[0]
    assert update.paused
    assert update.lease_ms > 0, "work in progress keeps its lease"
    reply_positions(control, a=9, b=9)
    control.step()
    assert control.commit() == [], "a position from before the primary was idle must not count"
    release_leases(control)
    control.entries.clear()
    control.step()
    assert control.take(Follow)
    assert control.take(Promote)
    control.now += 0.01
    reply_positions(control, a=9, b=8, c=8)
    control.step()
    assert control.commit() == []
    reply_positions(control, b=9)
    assert "open_term" in control.commit()


def test_writes_resume_when_work_exceeds_the_pause():
    """Guards against one long request that blocks all other writes during a switchover."""
    switchover = Switchover("a", None, 0.0)
    assert switchover.tick(False, True, 1.9) is SwitchoverState.PAUSED
    assert switchover.tick(False, True, 2.0) is SwitchoverState.RESUMED
    assert switchover.tick(True, True, 2.9) is SwitchoverState.RESUMED
    assert switchover.tick(False, False, 3.0) is SwitchoverState.PAUSED
    assert switchover.tick(True, False, 3.1) is SwitchoverState.PAUSED
    assert switchover.tick(True, True, 3.2) is SwitchoverState.READY


def test_leaving_primary_is_replaced_and_not_chosen_again(control):
    """Guards against a leaving primary that receives new work until its process ends."""
    control.targets["a"]["leaving"] = True
    control.step()
    assert control.group.switchover.old_primary == "a"
    release_leases(control)
    control.entries.clear()
    control.step()
    control.now += 0.01
    reply_positions(control, a=9, b=9, c=9)
    assert "open_term" in control.commit()
    control.step()
    assert {seal.member.target for seal in control.take(Seal)} == {"a", "b", "c"}
    for target in "abc":
        reply = member_reply(target, 1, 9, sealed_term=2)
        control.effects += control.leader.handle_seal_reply(GROUP, reply, control.now)
    control.commit()
    assert control.state.groups[GROUP].primary in ("b", "c")


def test_requested_successor_is_preferred_among_equal_logs(control):
    """Guards against a choice by target id that overrides the operator's request."""
    control.leader.request_switchover(GROUP, "b", control.now)
    preference = control.group._promotion_preference
    assert preference("b") > max(preference("a"), preference("c"))


@pytest.mark.parametrize("successor", ["a", "x"])
def test_switchover_to_the_primary_or_an_unknown_target_is_refused(control, successor):
    """Guards against a switchover that never finishes and pauses writes again and again."""
    assert not control.leader.request_switchover(GROUP, successor, control.now)
    assert control.group.route_state is RouteState.GRANTED


def test_switchover_ends_when_the_successor_is_lost(control):
    """Guards against writes that pause for two of every three seconds until a successor returns."""
    assert control.leader.request_switchover(GROUP, "b", control.now)
    control.step()
    del control.targets["b"]
    control.run(1.2)
    assert control.group.switchover is None
    assert control.group.route_state is RouteState.GRANTED


def test_new_leader_starts_no_switchover_while_inherited_leases_may_be_valid():
    """Guards against work that is interrupted because its lease is unknown to the new leader."""
    control = Control(started_state())
    control.targets["a"]["leaving"] = True
    control.run(2.0)
    assert control.group.switchover is None
    assert not control.leader.request_switchover(GROUP, "b", control.now)
    control.run(1.0)
    assert control.group.switchover is not None


def test_switchover_without_announcement_of_the_primary_does_nothing():
    """Guards against a call to a primary whose address is unknown.

    A new leader learns the address from the primary's first announcement.
    """
    control = Control(started_state())
    del control.targets["a"]
    control.step()
    control.now = 0.5
    control.leader.request_switchover(GROUP, "b", control.now)
    control.step()
    assert control.take(Promote) == []
