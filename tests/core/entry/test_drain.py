"""Tests of the planned stop."""

from __future__ import annotations

from hibiscuspoint.core.entry import DrainPhase, DrainState


def test_stop_waits_for_work_and_transactions():
    """A stop that ends early would interrupt requests in progress (guarantee G8)."""
    drain = DrainState()
    drain.begin_request()
    drain.begin_transaction()
    drain.start(10.0)
    assert not drain.is_ready
    assert drain.accepts_new_requests(10.9)
    assert not drain.accepts_new_requests(11.0)
    drain.end_request()
    assert drain.tick(12.0) is DrainPhase.DRAINING
    assert drain.phase is DrainPhase.DRAINING
    drain.end_transaction()
    assert drain.tick(12.0) is DrainPhase.DRAINED
    assert drain.phase is DrainPhase.DRAINED


def test_stop_ends_after_its_limit():
    """A forgotten open transaction must not keep the process running."""
    drain = DrainState()
    drain.begin_transaction()
    drain.start(0.0)
    assert drain.tick(29.9) is DrainPhase.DRAINING
    assert drain.tick(30.0) is DrainPhase.DRAINED
