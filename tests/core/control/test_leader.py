"""Tests of reports, leases, holders and updates at the control leader."""

from __future__ import annotations

from hibiscuspoint.core.control import Promote, Propose, RouteState, Terminate
from hibiscuspoint.core.control.holders import choose_holders
from hibiscuspoint.wire import peer_pb2
from tests.builders_control import (
    GROUP,
    Control,
    accept_document,
    announcement,
    command,
    report,
    share,
    started_state,
)


def release(term: int) -> list[peer_pb2.RouteRelease]:
    """Return what a report says about a lease that is handed back."""
    return [peer_pb2.RouteRelease(group=GROUP, term=term)]


def running_control(**group: object) -> Control:
    """Return a leader that knows all leases and shares."""
    control = Control(started_state(), **group)
    control.run(3.0)
    control.commit()
    return control


def test_late_or_repeated_report_does_not_take_a_newer_lease_back():
    """A report of a stream that the entry gave up arrives after the lease was granted again."""
    control = running_control()
    ledger = control.leader._ledger
    late = report("e1", control.now - 0.05, released=release(1))
    assert "e1" in ledger.held_by(GROUP, control.now)
    control.leader.reported(late, control.now)
    assert "e1" in ledger.held_by(GROUP, control.now)
    handed_back = report("e1", control.now + 0.01, released=release(1))
    control.leader.reported(handed_back, control.now)
    assert "e1" not in ledger.held_by(GROUP, control.now)
    assert control.leader.update_for("e1", control.now).routes[0].lease_ms > 0
    control.leader.reported(handed_back, control.now)
    assert "e1" in ledger.held_by(GROUP, control.now)


def test_report_of_an_earlier_process_is_ignored():
    """An entry that was restarted must not lose its lease to its former process."""
    control = running_control()
    control.report("e1", incarnation=2)
    control.report("e1", incarnation=1, released=release(1), sent_at_ns=10**18)
    assert "e1" in control.leader._ledger.held_by(GROUP, control.now)
