"""Tests of planned changes of the primary."""

from __future__ import annotations

import pytest

from hibiscuspoint.core.control import Follow, Promote, RouteState, Seal
from hibiscuspoint.core.control.switchover import Switchover, SwitchoverState
from hibiscuspoint.util.units import NANOSECONDS_PER_SECOND
from hibiscuspoint.wire import peer_pb2
from tests.builders_control import GROUP, Control, member_reply, started_state


@pytest.fixture
def control():
    """Return a leader that knows all leases and granted one to each holder."""
    control = Control(started_state())
    control.run(3.0)
    control.commit()
    control.take(Follow)
    return control


def hand_back(control):
    """Both holders finish their work and hand their leases back."""
    for name in ("e1", "e2"):
        released = [peer_pb2.RouteRelease(group=GROUP, term=1)]
        update = control.report(
            name, released=released, sent_at_ns=int(control.now * NANOSECONDS_PER_SECOND) + 1
        )
        assert update.routes[0].lease_ms == 0


def answer(control, **indexes):
    """Members answer the questions for their positions."""
    for target, index in indexes.items():
        report = member_reply(target, 1, index)
        control.effects += control.leader.handle_join_reply(GROUP, report, control.now)


def test_switchover_waits_for_idle_holders_and_a_replica_that_caught_up(control):
    """A term opened earlier would cut requests in progress off or need the old primary again."""
    assert control.leader.request_switchover(GROUP, None, control.now)
    control.step()
    assert control.group.route_state is RouteState.PAUSED
    update = control.updates["e1"].routes[0]
    assert update.paused
    assert update.lease_ms > 0, "work in progress keeps its lease"
    answer(control, a=9, b=9)
    control.step()
    assert control.commit() == [], "a position from before the last work says nothing"
    hand_back(control)
    control.entries.clear()
    control.step()
    assert control.take(Follow)
    assert control.take(Promote)
    control.now += 0.01
    answer(control, a=9, b=8, c=8)
    control.step()
    assert control.commit() == []
    answer(control, b=9)
    assert "open_term" in control.commit()


def test_long_work_resumes_writes():
    """Work that takes longer than the pause must not block all other writes."""
    switchover = Switchover("a", None, 0.0)
    assert switchover.tick(False, True, 1.9) is SwitchoverState.PAUSED
    assert switchover.tick(False, True, 2.0) is SwitchoverState.RESUMED
    assert switchover.tick(True, True, 2.9) is SwitchoverState.RESUMED
    assert switchover.tick(False, False, 3.0) is SwitchoverState.PAUSED
    assert switchover.tick(True, False, 3.1) is SwitchoverState.PAUSED
    assert switchover.tick(True, True, 3.2) is SwitchoverState.READY


def test_leaving_primary_hands_over_and_is_not_chosen_again(control):
    """A leaving primary that stays primary would get new work until it is gone."""
    control.targets["a"]["leaving"] = True
    control.step()
    assert control.group.switchover.old_primary == "a"
    hand_back(control)
    control.entries.clear()
    control.step()
    control.now += 0.01
    answer(control, a=9, b=9, c=9)
    assert "open_term" in control.commit()
    control.step()
    assert {seal.member.target for seal in control.take(Seal)} == {"a", "b", "c"}
    for target in "abc":
        report = member_reply(target, 1, 9, sealed_term=2)
        control.effects += control.leader.handle_seal_reply(GROUP, report, control.now)
    control.commit()
    assert control.state.groups[GROUP].primary in ("b", "c")


def test_wanted_member_is_preferred_among_equals(control):
    """An operator's choice must not be overruled by the order of the names."""
    control.leader.request_switchover(GROUP, "b", control.now)
    preference = control.group._preference
    assert preference("b") > max(preference("a"), preference("c"))


@pytest.mark.parametrize("wanted", ["a", "x"])
def test_switchover_to_the_primary_or_a_stranger_is_refused(control, wanted):
    """Such a switchover can never finish and would pause writes again and again."""
    assert not control.leader.request_switchover(GROUP, wanted, control.now)
    assert control.group.route_state is RouteState.GRANTED


def test_switchover_ends_when_the_successor_is_gone(control):
    """A successor that never returns would pause writes two of every three seconds."""
    assert control.leader.request_switchover(GROUP, "b", control.now)
    control.step()
    del control.targets["b"]
    control.run(1.2)
    assert control.group.switchover is None
    assert control.group.route_state is RouteState.GRANTED


def test_new_leader_starts_no_switchover_before_it_knows_the_leases():
    """Unknown leases would look like idle holders, and their work would be cut off."""
    control = Control(started_state())
    control.targets["a"]["leaving"] = True
    control.run(2.0)
    assert control.group.switchover is None
    assert not control.leader.request_switchover(GROUP, "b", control.now)
    control.run(1.0)
    assert control.group.switchover is not None


def test_switchover_without_announcement_of_the_primary_does_nothing():
    """The address of the primary is unknown until it announces itself to a new leader."""
    control = Control(started_state())
    del control.targets["a"]
    control.step()
    control.now = 0.5
    control.leader.request_switchover(GROUP, "b", control.now)
    control.step()
    assert control.take(Promote) == []
