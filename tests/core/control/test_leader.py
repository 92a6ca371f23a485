"""Tests of reports, leases, holders and updates at the control leader."""

from __future__ import annotations

from hibiscuspoint.core.control import Propose, Terminate
from hibiscuspoint.core.control.holders import choose_holders
from hibiscuspoint.wire import peer_pb2
from tests.builders_control import (
    GROUP,
    Control,
    accept_document,
    report,
    share,
    started_state,
)


def release(term: int) -> list[peer_pb2.RouteRelease]:
    """Return the field of a report that releases the lease of a term."""
    return [peer_pb2.RouteRelease(group=GROUP, term=term)]


def running_control(**group: object) -> Control:
    """Return a leader without inherited leases and with known shares."""
    control = Control(started_state(), **group)
    control.run(3.0)
    control.commit()
    return control


def test_late_or_repeated_report_does_not_release_a_newer_lease():
    """Guards against a promotion that ignores a valid lease.

    A report on a stream that the entry has abandoned may arrive after the lease that it releases
    was granted again.
    """
    control = running_control()
    ledger = control.leader._ledger
    late = report("e1", control.now - 0.05, released=release(1))
    assert "e1" in ledger.leasing_instances(GROUP, control.now)
    control.leader.handle_report(late, control.now)
    assert "e1" in ledger.leasing_instances(GROUP, control.now)
    releasing = report("e1", control.now + 0.01, released=release(1))
    control.leader.handle_report(releasing, control.now)
    assert "e1" not in ledger.leasing_instances(GROUP, control.now)
    assert control.leader.build_update("e1", control.now).routes[0].lease_ms > 0
    control.leader.handle_report(releasing, control.now)
    assert "e1" in ledger.leasing_instances(GROUP, control.now)


def test_report_of_an_earlier_process_is_ignored():
    """Guards against the release of a restarted entry's lease by a report of its former process."""
    control = running_control()
    control.now += 0.01
    control.report("e1", incarnation=2)
    late = report("e1", control.now + 1.0, incarnation=1, released=release(1))
    control.leader.handle_report(late, control.now)
    assert "e1" in control.leader._ledger.leasing_instances(GROUP, control.now)


def lose_holder(control: Control) -> Terminate:
    """Silence the entry ``e1`` and return the termination of its connections to ``a``."""
    control.entries["e3"] = {}
    del control.entries["e1"]
    for _ in range(40):
        control.step()
        control.commit()
        for effect in control.take(Terminate):
            if effect.target == "a":
                return effect
    raise AssertionError("no connections are terminated")


def test_share_of_a_silent_holder_is_free_only_after_its_termination():
    """Guards against connections above the limit when a holder is suspended.

    A suspended process does not close its connections when its lease expires.
    """
    control = running_control()
    terminate = lose_holder(control)
    assert (terminate.instance, terminate.incarnation) == ("e1", 1)
    control.run(5.0)
    control.commit()
    assert control.allocator.share("a", "e3")[0] == 0
    control.leader.record_termination("a", "e1")
    control.run(0.2)
    assert control.allocator.share("a", "e3")[0] == 4


def test_late_termination_reply_does_not_free_new_connections():
    """Guards against connections above the limit when a suspended entry resumes.

    It may have opened connections after the target closed the old ones.
    """
    control = running_control()
    lose_holder(control)
    control.now += 0.1
    control.report("e1", shares=[share("a", 4, 0, 4)])
    control.leader.record_termination("a", "e1")
    assert "e1" in control.allocator._ledgers["a"].instances


def test_holder_is_recorded_before_its_share_and_its_lease():
    """Guards against connections and leases that a later leader does not expect."""
    control = Control(started_state(holders=()))
    control.step()
    assert [p.command.set_holders.instances for p in control.take(Propose)] == [["e1", "e2"]]
    control.run(0.5)
    assert control.allocator.reserved_connections("a") == 0
    assert not any(route.lease_ms for route in control.updates["e1"].routes)
    control.run(1.0)
    control.commit()
    control.run(0.2)
    assert control.allocator.reserved_connections("a") == 8


def test_holder_with_a_pending_removal_receives_no_share_and_no_lease():
    """Guards against a holder that a later leader does not expect.

    A removal that is proposed but not applied would take effect after the grant.
    """
    control = running_control()
    control.entries["e2"] = {"draining": True, "released": release(1)}
    control.run(1.5)
    removal = control.take(Propose)
    assert [list(p.command.set_holders.instances) for p in removal] == [["e1"]] * len(removal)
    assert removal
    control.entries["e2"] = {}
    control.run(0.5)
    assert control.allocator.share("a", "e2")[0] == 0
    assert control.updates["e2"].routes[0].lease_ms == 0
    control.state.apply(0, removal[0].command)
    control.run(1.5)
    assert control.commit() == ["set_holders"]
    control.run(0.5)
    assert control.allocator.share("a", "e2")[0] == 4
    assert control.updates["e2"].routes[0].lease_ms > 0


def test_former_holder_is_recorded_until_it_releases_its_lease():
    """Guards against a new term while a former holder uses the old primary (G2).

    A new leader waits only for the leases of recorded holders.
    """
    control = running_control()
    control.entries["e2"]["draining"] = True
    control.run(4.0)
    assert control.commit() == []
    control.entries["e2"]["released"] = release(1)
    control.run(1.5)
    control.commit()
    assert control.state.groups[GROUP].holders == ("e1",)


def test_rendezvous_hashing_moves_few_groups():
    """Guards against a hash that changes the holders of most groups when one entry leaves."""
    control = Control(started_state())
    control.entries = {f"e{number}": {} for number in range(12)}
    control.entries["e3"]["availability_zone"] = "far"
    control.step()
    entries = control.leader.entries.all
    groups = [f"g{number}" for number in range(200)]
    before = {group: choose_holders(group, entries, {"z1"}, 2) for group in groups}
    remaining = [entry for entry in entries if entry.instance != "e5"]
    after = {group: choose_holders(group, remaining, {"z1"}, 2) for group in groups}
    for group in groups:
        assert "e3" not in before[group], "entries in the zones of the targets come first"
        assert set(before[group]) - {"e5"} <= set(after[group])
    held = [instance for holders in before.values() for instance in holders]
    assert all(held.count(f"e{number}") >= 15 for number in range(12) if number != 3)


def test_new_leader_keeps_the_holders_until_they_report():
    """Guards against connections that move with each entry that attaches to a new leader."""
    control = Control(started_state(holders=("e1", "e2")))
    control.entries = {"e3": {}, "e4": {}, "e1": {}}
    control.run(1.5)
    assert control.leader.holders(GROUP) == ["e1", "e2"]
    control.run(1.0)
    assert "e2" not in control.leader.holders(
        GROUP
    ), "a holder that does not return must not be waited for"


def test_update_carries_holder_lists_only_when_they_changed():
    """Guards against updates that exhaust the bandwidth of a node at full deployment size."""
    control = running_control()
    control.state.apply(1, accept_document(1))
    control.step()
    version = control.updates["e1"].holders_version
    update = control.report("e1", document_number=0, holders_version=0, sent_at_ns=10**11)
    assert (update.document_number, len(update.holders)) == (1, 1)
    changes = {"document_number": 1, "holders_version": version, "sent_at_ns": 10**11 + 1}
    update = control.report("e1", **changes)
    assert (update.document_number, len(update.holders)) == (1, 0)
    control.entries["e2"]["address"] = "e2:2"
    control.now += 200.0
    control.run(0.2)
    assert control.updates["e1"].holders_version != version


def test_former_holder_is_paused_until_it_releases_its_lease():
    """Guards against a former holder that never releases its lease.

    Its work in progress keeps the lease, so it must not start new work.
    """
    control = running_control()
    control.entries["e2"]["draining"] = True
    control.entries["e3"] = {}
    control.run(0.3)
    route = control.updates["e2"].routes[0]
    assert route.paused
    assert route.lease_ms > 0
    now = control.now + 0.05
    control.leader.handle_report(report("e2", now, draining=True, released=release(1)), now)
    route = control.leader.build_update("e2", now).routes[0]
    assert (route.paused, route.lease_ms) == (True, 0)
    assert not control.updates["e1"].routes[0].paused


def test_update_carries_only_groups_of_the_entry():
    """Guards against updates that exceed the bandwidth of a node at full deployment size."""
    control = running_control()
    control.entries["x"] = {"draining": True}
    control.run(0.5)
    assert control.updates["e1"].routes
    assert control.updates["e1"].shares
    assert not control.updates["x"].routes
    assert not control.updates["x"].shares


def test_share_that_was_granted_to_others_is_withdrawn():
    """Guards against a reservation that remains for ever.

    An instance that resumes after the termination of its connections still reports its share.
    """
    control = running_control()
    assert control.allocator.reserved_connections("a") == 8
    control.entries["x"] = {"draining": True, "shares": [share("a", 4, 1)]}
    control.run(0.3)
    withdrawn = [item for item in control.updates["x"].shares if item.target == "a"]
    assert [item.connections for item in withdrawn] == [0]
    control.entries["x"]["shares"] = [share("a", 0, withdrawn[0].sequence)]
    control.run(0.3)
    assert control.allocator.reserved_connections("a") == 8


def test_holders_accept_the_shares_of_a_leader_that_regained_its_leadership():
    """Guards against holders without connections after their leader lost its leadership briefly."""
    first = running_control()
    second = Control(first.state, first.now)
    # The first leadership granted higher sequence numbers than the second one begins with.
    reported = {key: (share, sequence + 7) for key, (share, sequence) in first.shares.items()}
    second.shares = dict(reported)
    second.run(3.0)
    assert {key[0] for key in reported} == {"e1", "e2"}
    for key, (_, sequence) in reported.items():
        assert second.shares[key][1] > sequence
