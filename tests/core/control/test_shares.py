"""Tests of holders and their shares of connections."""

from __future__ import annotations

from hibiscuspoint.core.control.shares import ShareLedger


def test_smaller_share_is_freed_by_its_acknowledgement():
    """A report that was sent before the smaller share arrived must not free connections."""
    ledger = ShareLedger(8)
    ledger.rebalance(["x"])
    first = ledger.current_grant("x")
    assert first[0] == 8
    ledger.rebalance(["x", "y"])
    assert ledger.current_grant("x")[0] == 4
    ledger.record_report("x", 4, 4, first[1])
    ledger.rebalance(["x", "y"])
    assert ledger.current_grant("y")[0] == 0
    ledger.record_report("x", 4, 6, ledger.current_grant("x")[1])
    ledger.rebalance(["x", "y"])
    assert ledger.current_grant("y")[0] == 2, "connections in use beyond the share are not free"
    ledger.record_report("x", 4, 4, ledger.current_grant("x")[1])
    ledger.rebalance(["x", "y"])
    assert ledger.current_grant("y")[0] == 4


def test_earlier_holder_counts_with_the_whole_limit_and_is_granted_nothing():
    """A new leader that grants before all earlier holders reported would exceed the limit."""
    ledger = ShareLedger(8, 100, ("x", "y"))
    ledger.rebalance(["x"])
    assert ledger.current_grant("x") == (0, 0)
    ledger.record_report("x", 4, 4, 17)
    ledger.rebalance(["x"])
    assert ledger.current_grant("x")[0] == 4
    ledger.record_report("y", 4, 4, 18)
    ledger.rebalance(["x"])
    assert ledger.current_grant("x")[0] == 4
    ledger.record_report("y", 0, 0, ledger.current_grant("y")[1])
    ledger.rebalance(["x"])
    assert ledger.current_grant("x")[0] == 8


def test_share_of_an_earlier_leader_is_withdrawn():
    """A former holder that is never told of the change would keep its share for ever."""
    ledger = ShareLedger(8, 100, ("x",))
    ledger.record_report("x", 8, 0, 17)
    ledger.rebalance(["y"])
    connections, sequence = ledger.current_grant("x")
    assert connections == 0
    assert sequence > 100
    ledger.record_report("x", 0, 0, sequence)
    ledger.rebalance(["y"])
    assert ledger.current_grant("y")[0] == 8
    assert ledger.instances == ["y"]


def test_share_of_a_returned_instance_is_no_claim():
    """Its connections were closed and given to others; to grant them again exceeds the limit."""
    ledger = ShareLedger(8)
    ledger.rebalance(["x"])
    old = ledger.current_grant("x")[1]
    ledger.record_termination("x")
    ledger.rebalance(["y"])
    ledger.record_report("x", 8, 0, old)
    ledger.rebalance(["y", "x"])
    connections, sequence = ledger.current_grant("x")
    assert (connections, sequence > old) == (0, True)
    ledger.record_report("x", 8, 0, old)
    ledger.rebalance(["y", "x"])
    assert ledger.current_grant("x")[0] == 0
    ledger.record_report("x", 0, 0, sequence)
    ledger.record_report("y", 4, 4, ledger.current_grant("y")[1])
    ledger.rebalance(["y", "x"])
    assert ledger.current_grant("x")[0] == 4


def test_grant_is_newer_than_every_grant_that_was_reported():
    """A leader that regains its leadership in the same term starts with the sequences of before.

    Holders ignored its grants, lost their shares after 2.5 s and refused all writes for good.
    """
    ledger = ShareLedger(8, 100, ("x", "y"))
    ledger.record_report("x", 4, 4, 107)
    ledger.record_report("y", 4, 4, 103)
    ledger.rebalance(["x", "y"])
    assert ledger.current_grant("x")[1] > 107
    assert ledger.current_grant("y")[1] > 103
