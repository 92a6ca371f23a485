"""Tests of the division of a target's connections among holders."""

from __future__ import annotations

from hibiscuspoint.core.control.shares import ShareLedger


def test_smaller_share_frees_connections_only_when_it_is_reported():
    """Guards against connections above the limit when a holder has not yet applied its new share.

    A report that was sent before the smaller grant arrived says nothing about that grant.
    """
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


def test_inherited_holder_reserves_the_whole_limit_until_it_reports():
    """Guards against connections above the limit after a change of leader.

    A new leader does not know the shares of earlier holders before they report.
    """
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


def test_share_of_a_former_holder_is_withdrawn_by_a_new_leader():
    """Guards against a former holder that keeps its share for ever, as no grant replaces it."""
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


def test_instance_that_returns_is_granted_nothing_until_its_share_is_withdrawn():
    """Guards against connections above the limit when a suspended instance resumes.

    Its connections were closed and granted to others, but it reports its old share.
    """
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


def test_grant_has_a_higher_sequence_than_every_reported_grant():
    """Guards against holders that ignore every grant of a leader.

    A leader that regains its leadership in the same control term starts again with its first
    sequence number. Holders ignored its grants, lost their shares after 2.5 s and refused all
    writes permanently.
    """
    ledger = ShareLedger(8, 100, ("x", "y"))
    ledger.record_report("x", 4, 4, 107)
    ledger.record_report("y", 4, 4, 103)
    ledger.rebalance(["x", "y"])
    assert ledger.current_grant("x")[1] > 107
    assert ledger.current_grant("y")[1] > 103
