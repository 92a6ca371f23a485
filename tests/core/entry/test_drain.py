"""Tests of the drain of an entry."""

from __future__ import annotations

from hibiscuspoint.core.entry import DrainPhase, DrainState


def test_drain_waits_for_requests_and_transactions():
    """Guards against a drain that ends early and interrupts requests (guarantee G8)."""
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


def test_drain_ends_after_its_timeout():
    """Guards against an abandoned open transaction that keeps the process from stopping."""
    drain = DrainState()
    drain.begin_transaction()
    drain.start(0.0)
    assert drain.tick(29.9) is DrainPhase.DRAINING
    assert drain.tick(30.0) is DrainPhase.DRAINED
