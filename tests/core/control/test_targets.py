"""Tests of the drain of targets by an operator."""

from __future__ import annotations

from hibiscuspoint.core.control import ControlState
from hibiscuspoint.core.control.state import DRAIN_LIMIT
from hibiscuspoint.wire import record_pb2
from tests.builders_control import GROUP, Control, command, restored, started_state


def drain(state: ControlState, target: str, incarnation: int = 1) -> None:
    """Apply the command that an operator's drain proposes."""
    body = record_pb2.DrainTarget(group=GROUP, target=target, incarnation=incarnation)
    state.apply(0, command(drain_target=body))


def drained_control(**incarnations: int) -> Control:
    """Return a new leader after the target ``b`` was drained in incarnation 1.

    :param incarnations: incarnation that a target announces; 1 if it is not given.
    """
    state = started_state()
    drain(state, "b")
    control = Control(restored(state))
    for target in control.targets:
        control.targets[target]["incarnation"] = incarnations.get(target, 1)
    control.run(0.2)
    return control


def test_new_leader_keeps_a_drain():
    """Guards against new work at a drained target after an election of control."""
    control = drained_control()
    assert control.leader.targets.get("b").leaving
    members = {member.target: member for member in control.updates["e1"].routes[0].members}
    assert members["b"].leaving
    assert not members["a"].leaving


def test_drain_ends_when_the_target_is_restarted():
    """Guards against a target that is never used again after its maintenance."""
    control = drained_control(b=2)
    assert not control.leader.targets.get("b").leaving
    drain(control.state, "b", 2)
    control.targets["b"]["incarnation"] = 2
    control.step()
    assert control.leader.targets.get("b").leaving, "it can be drained again"


def test_new_leader_starts_the_switchover_of_a_drained_primary():
    """Guards against a drained primary that stays primary when an election interrupts the drain."""
    control = drained_control()
    drain(control.state, "a")
    control.run(3.0)
    assert control.group.switchover.old_primary == "a"


def test_number_of_drains_is_bounded():
    """Guards against a state that grows with each drained target that never returns."""
    state = ControlState()
    drain(state, "first")
    for number in range(DRAIN_LIMIT - 1):
        drain(state, f"t{number}")
    drain(state, "first", 2)
    drain(state, "last")
    assert not state.is_drained("t0", 1)
    assert state.is_drained("first", 2), "a repeated drain is the latest one"
    assert restored(state).is_drained("last", 1)
    assert len(record_pb2.Snapshot.FromString(state.snapshot()).drains) == DRAIN_LIMIT
