"""Tests of the detection of failed primaries."""

from __future__ import annotations

import pytest

from hibiscuspoint.core.control import PrimarySuspected, Promote, Propose, RouteState
from hibiscuspoint.core.control.detector import FailureDetector, Suspicion
from hibiscuspoint.wire import peer_pb2
from tests.builders_control import GROUP, Control, started_state

HOLDERS = {"e1", "e2"}


def watch_primary(seconds: float, announce: bool = True, **reports: dict) -> Suspicion | None:
    """Return the first suspicion of a primary that is watched in steps of 100 ms.

    :param announce: whether the primary announces itself in each step, not only at the start.
    :param reports: outcomes that each holder reports in every step.
    """
    detector = FailureDetector("a", 0.0)
    detector.record_announcement(True, 0.0)
    found = None
    for step in range(1, round(seconds * 10) + 1):
        now = step / 10
        if announce:
            detector.record_announcement(True, now)
        for holder, outcomes in reports.items():
            values = {"successes": 0, "refusals": 0, "timeouts": 0, **outcomes}
            detector.record_observation(holder, now=now, **values)
        found = found or detector.suspicion(HOLDERS, now)
    return found


TIMED_OUT = {"timeouts": 1}
REFUSED = {"refusals": 1}
SUCCEEDED = {"successes": 1}


@pytest.mark.parametrize(
    ("expected", "seconds", "announce", "reports"),
    [
        (None, 0.5, False, {}),
        (Suspicion.SILENT, 0.7, False, {}),
        (None, 5.0, False, {"e1": SUCCEEDED}),
        (None, 5.0, True, {"e1": TIMED_OUT, "e2": SUCCEEDED}),
        (None, 5.0, True, {"e1": TIMED_OUT}),
        (None, 2.9, True, {"e1": TIMED_OUT, "e2": REFUSED}),
        (Suspicion.UNREACHABLE, 3.2, True, {"e1": TIMED_OUT, "e2": REFUSED}),
        (None, 0.2, False, {"e1": REFUSED, "e2": REFUSED}),
        (Suspicion.REFUSED, 0.3, False, {"e1": REFUSED, "e2": REFUSED}),
        (None, 0.5, False, {"e1": REFUSED, "e2": TIMED_OUT}),
        (None, 2.0, True, {"e1": REFUSED, "e2": REFUSED}),
    ],
)
def test_suspicion(expected, seconds, announce, reports):
    """Guards against a promotion because one entry cannot reach the primary.

    Each sign of a failure counts only after its own time.
    """
    assert watch_primary(seconds, announce, **reports) is expected


def test_new_leader_waits_for_the_first_announcement():
    """Guards against the replacement of a healthy primary after a change of leader.

    Targets and entries take longer to find a new leader than the usual limit of the silence.
    """
    detector = FailureDetector("a", 0.0)
    found = [detector.suspicion(HOLDERS, step / 10) for step in range(1, 22)]
    assert found.index(Suspicion.SILENT) == 19
    detector.record_announcement(True, 2.2)
    found = [detector.suspicion(HOLDERS, 2.2 + step / 10) for step in range(1, 8)]
    assert (
        found.index(Suspicion.SILENT) == 5
    ), "the shorter limit holds after the first announcement"


def test_old_failures_of_idle_holders_do_not_count():
    """Guards against the replacement of a healthy primary hours after a failed request.

    Without traffic, no success clears the failures that the holders reported.
    """
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
    """Guards against a promotion for a probe refused before the last success or announcement."""
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
    """Guards against a promotion after a stall of the control process.

    A process that did not run received no announcement, whatever the targets sent.
    """
    detector = FailureDetector("a", 0.0)
    detector.record_announcement(True, 4.95)
    assert detector.suspicion(set(), 5.0) is None
    for step in range(1, 6):
        assert detector.suspicion(set(), 5.0 + step / 10) is None
    detector.suspicion(set(), 5.61)
    assert detector.suspicion(set(), 5.7) is Suspicion.SILENT, "the stall must not count twice"


def test_stalled_control_process_keeps_the_holders():
    """Guards against the termination of every connection after a stall of the control process.

    All entries appear silent after the stall.
    """
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


def control_after_promotion(term: int = 1) -> Control:
    """Return a leader for which the promotion of the primary has just ended."""
    state = started_state()
    record = state.groups[GROUP]
    phase, record.phase = record.phase, type(record.phase).CHOSEN
    control = Control(state)
    control.step()
    record.phase = phase
    control.effects.clear()
    return control


def test_no_second_promotion_within_the_cooldown():
    """Guards against a group under load that changes its primary back and forth."""
    control = control_after_promotion()
    control.run(0.5)
    del control.targets["a"]
    control.run(4.0)
    assert control.take(PrimarySuspected) == []
    assert control.take(Promote), "a silent primary must be probed"
    control.run(0.7)
    assert [effect.primary for effect in control.take(PrimarySuspected)] == ["a"]


@pytest.mark.parametrize("sign", ["probe", "stepped down"])
def test_certain_failure_is_handled_within_the_cooldown(sign):
    """Guards against an outage for the whole cooldown when the new primary's process ends."""
    control = control_after_promotion()
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
    """Guards against a promotion that waits for leases granted after the first suspicion (D7)."""
    control = Control(started_state())
    control.run(3.0)
    for name in ("e1", "e2"):
        observation = peer_pb2.TargetObservation(target="a", refusals=1)
        control.entries[name]["observations"] = [observation]
    del control.targets["a"]
    control.run(0.4)
    route = control.updates["e1"].routes[0]
    assert route.lease_ms == 0
    assert control.take(PrimarySuspected)
