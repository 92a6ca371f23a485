"""Tests of the detection of failed primaries."""

from __future__ import annotations

import pytest

from hibiscuspoint.core.control import PrimarySuspected, Promote, Propose, RouteState
from hibiscuspoint.core.control.detector import FailureDetector, Suspicion
from hibiscuspoint.wire import peer_pb2
from tests.builders_control import GROUP, Control, started_state

HOLDERS = {"e1", "e2"}


def watch(seconds: float, announce: bool = True, **reports: dict) -> Suspicion | None:
    """Watch a primary that announced itself once, in steps of 100 ms.

    Each holder reports the same in every step.
    """
    detector = FailureDetector("a", 0.0)
    detector.record_announcement(True, 0.0)
    found = None
    for step in range(1, round(seconds * 10) + 1):
        now = step / 10
        if announce:
            detector.record_announcement(True, now)
        for holder, seen in reports.items():
            values = {"successes": 0, "refusals": 0, "timeouts": 0, **seen}
            detector.record_observation(holder, now=now, **values)
        found = found or detector.suspicion(HOLDERS, now)
    return found


FAILED = {"timeouts": 1}
REFUSED = {"refusals": 1}
WORKS = {"successes": 1}


@pytest.mark.parametrize(
    ("expected", "seconds", "announce", "reports"),
    [
        (None, 0.5, False, {}),
        (Suspicion.SILENT, 0.7, False, {}),
        (None, 5.0, False, {"e1": WORKS}),
        (None, 5.0, True, {"e1": FAILED, "e2": WORKS}),
        (None, 5.0, True, {"e1": FAILED}),
        (None, 2.9, True, {"e1": FAILED, "e2": REFUSED}),
        (Suspicion.UNREACHABLE, 3.2, True, {"e1": FAILED, "e2": REFUSED}),
        (None, 0.2, False, {"e1": REFUSED, "e2": REFUSED}),
        (Suspicion.REFUSED, 0.3, False, {"e1": REFUSED, "e2": REFUSED}),
        (None, 0.5, False, {"e1": REFUSED, "e2": FAILED}),
        (None, 2.0, True, {"e1": REFUSED, "e2": REFUSED}),
    ],
)
def test_suspicion(expected, seconds, announce, reports):
    """A cut between one entry and the primary is no failure; each sign needs its own time."""
    assert watch(seconds, announce, **reports) is expected


def test_new_leader_waits_for_the_first_announcement():
    """Targets and entries find a new leader late; that must not replace a healthy primary."""
    detector = FailureDetector("a", 0.0)
    found = [detector.suspicion(HOLDERS, step / 10) for step in range(1, 22)]
    assert found.index(Suspicion.SILENT) == 19
    detector.record_announcement(True, 2.2)
    found = [detector.suspicion(HOLDERS, 2.2 + step / 10) for step in range(1, 8)]
    assert found.index(Suspicion.SILENT) == 5, "a primary that was heard is found silent sooner"


def test_old_failures_of_idle_holders_are_no_failure():
    """Without traffic nothing clears a failure; it would replace a healthy primary hours later."""
    detector = FailureDetector("a", 0.0)
    for holder in HOLDERS:
        detector.record_observation(holder, 0, 1, 0, 100.0)
    found = set()
    for step in range(1, 100):
        if step % 4 == 0:
            detector.record_announcement(True, 100.0 + step / 10)
        found.add(detector.suspicion(HOLDERS, 100.0 + step / 10))
    assert found == {None}


def test_refused_probe_counts_only_while_silent():
    """A refused call before the last success or announcement must not replace the primary."""
    detector = FailureDetector("a", 0.0)
    assert not detector.needs_probe(0.2)
    detector.suspicion(set(), 0.2)
    assert detector.needs_probe(0.3)
    detector.record_probe_refusal(0.3)
    assert detector.suspicion(set(), 0.3) is Suspicion.REFUSED
    detector.record_observation("e1", 1, 0, 0, 0.31)
    assert detector.suspicion(set(), 0.32) is None
    detector.record_probe_refusal(0.33)
    detector.record_announcement(True, 0.34)
    assert detector.suspicion(set(), 0.4) is None


def test_stalled_control_process_does_not_suspect():
    """Control that did not run for a while has heard nothing, whatever the targets sent."""
    detector = FailureDetector("a", 0.0)
    detector.record_announcement(True, 4.95)
    assert detector.suspicion(set(), 5.0) is None
    for step in range(1, 6):
        assert detector.suspicion(set(), 5.0 + step / 10) is None
    detector.suspicion(set(), 5.61)
    assert detector.suspicion(set(), 5.7) is Suspicion.SILENT, "the stall must not count twice"


def test_stalled_control_process_keeps_the_holders():
    """Otherwise all entries look dead after a stall, and every connection is closed."""
    control = Control(started_state())
    control.run(3.0)
    control.commit()
    before = control.leader.holders(GROUP)
    assert len(before) == 2
    control.now += 1.5
    control.leader.tick(control.now)
    assert control.leader.holders(GROUP) == before
    control.entries.clear()
    control.run(1.2)
    assert control.leader.holders(GROUP) == []


def promoted(term: int = 1) -> Control:
    """Return a leader that has just seen a promotion."""
    state = started_state()
    record = state.groups[GROUP]
    phase, record.phase = record.phase, type(record.phase).CHOSEN
    control = Control(state)
    control.step()
    record.phase = phase
    control.effects.clear()
    return control


def test_no_second_promotion_within_the_cooldown():
    """A group under load must not change its primary back and forth."""
    control = promoted()
    control.run(0.5)
    del control.targets["a"]
    control.run(4.0)
    assert control.take(PrimarySuspected) == []
    assert control.take(Promote), "a silent primary is called"
    control.run(0.7)
    assert [effect.primary for effect in control.take(PrimarySuspected)] == ["a"]


@pytest.mark.parametrize("sign", ["probe", "stepped down"])
def test_certain_failure_is_replaced_within_the_cooldown(sign):
    """A primary whose process is gone serves nobody, however short ago it was promoted."""
    control = promoted()
    control.run(0.5)
    if sign == "probe":
        del control.targets["a"]
        control.run(0.3)
        control.effects += control.leader.handle_refusal(GROUP, "a", control.now)
    else:
        control.targets["a"]["primary"] = False
        control.step()
    assert control.take(PrimarySuspected)
    assert control.group.route_state is RouteState.REVOKED
    names = {proposal.command.WhichOneof("body") for proposal in control.take(Propose)}
    assert "open_term" in names


def test_lease_is_not_renewed_after_the_first_suspicion():
    """Control counts on the end of the leases from the first suspicion on (D7)."""
    control = Control(started_state())
    control.run(3.0)
    for name in ("e1", "e2"):
        seen = peer_pb2.TargetObservation(target="a", refusals=1)
        control.entries[name]["observations"] = [seen]
    del control.targets["a"]
    control.run(0.4)
    route = control.updates["e1"].routes[0]
    assert route.lease_ms == 0
    assert control.take(PrimarySuspected)
