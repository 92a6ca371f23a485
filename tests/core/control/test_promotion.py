"""Tests of promotions, their continuation by a new leader, and the replicated state."""

from __future__ import annotations

import pytest

from hibiscuspoint.core.control import (
    ControlState,
    Follow,
    GroupPhase,
    Promote,
    PublishRoutes,
    Seal,
    SubmissionOutcome,
    check_formed_groups,
    judge_submission,
)
from hibiscuspoint.errors import ConfigurationConflictError, ConfigurationError
from hibiscuspoint.wire import peer_pb2, record_pb2
from tests.builders import document
from tests.builders_control import (
    GROUP,
    MEMBERS,
    Control,
    accept_document,
    command,
    member_reply,
    started_state,
)
from tests.core.control.world import World


def control_of_open_term(term: int = 2, chosen: str = "", **group: object) -> Control:
    """Return a new leader of a group whose promotion its predecessor began.

    :param term: term that the predecessor opened.
    :param chosen: primary that it chose; empty if it chose none.
    """
    state = started_state()
    state.apply(9, command(open_term=record_pb2.OpenTerm(group=GROUP, term=term)))
    if chosen:
        body = record_pb2.ChoosePrimary(group=GROUP, term=term, primary=chosen)
        state.apply(10, command(choose_primary=body))
    control = Control(state, **group)
    control.targets = {name: {"term": 1} for name in MEMBERS}
    control.step()
    return control


def seal_members(control: Control, **indexes: int) -> None:
    """Let members reply that they are sealed at the current term.

    :param indexes: index of the last record of each member.
    """
    term = control.state.groups[GROUP].term
    for target, index in indexes.items():
        reply = member_reply(target, 1, index, sealed_term=term)
        control.effects += control.leader.handle_seal_reply(GROUP, reply, control.now)


def test_new_leader_resumes_sealing_and_chooses_the_longest_log():
    """Guards against the loss of an acknowledged record that the new primary lacks (G2)."""
    control = control_of_open_term()
    assert {effect.member.target for effect in control.take(Seal)} == set(MEMBERS)
    seal_members(control, b=7)
    control.run(0.3)
    assert control.commit() == [], "one sealed member does not intersect every quorum"
    assert {effect.member.target for effect in control.take(Seal)} == {"a", "c"}
    seal_members(control, c=8)
    control.run(0.2)
    assert control.commit() == ["choose_primary"]
    assert control.state.groups[GROUP].primary == "c"


def test_seal_replies_of_other_terms_do_not_count():
    """Guards against a choice while members accept records of the old primary.

    A member that is sealed at a lower term still does.
    """
    control = control_of_open_term(term=3)
    for target in MEMBERS:
        reply = member_reply(target, 1, 7, sealed_term=2)
        control.effects += control.leader.handle_seal_reply(GROUP, reply, control.now)
    control.run(0.3)
    assert control.commit() == []
    ahead = member_reply("a", 1, 7, sealed_term=8, accepted=False)
    control.effects += control.leader.handle_seal_reply(GROUP, ahead, control.now)
    assert control.commit() == ["open_term"]
    assert control.state.groups[GROUP].term == 9


def test_sealed_members_intersect_the_quorum_that_the_group_was_formed_with():
    """Guards against the loss of writes when a document changes the quorum W.

    Entries with the earlier document acknowledge with W = 2 while control would count with W = 3.
    """
    control = control_of_open_term(ack_quorum=3)
    seal_members(control, b=7)
    control.run(0.5)
    assert control.commit() == []
    seal_members(control, c=7)
    control.run(0.2)
    assert control.commit() == ["choose_primary"]


def join(control: Control, target: str, index: int) -> None:
    """Let a member reply that it holds the first record of term 2."""
    reply = member_reply(target, 2, index, sealed_term=2)
    control.effects += control.leader.handle_join_reply(GROUP, reply, control.now)


def test_new_leader_promotes_the_chosen_primary_and_waits_for_inherited_leases():
    """Guards against two primaries in use after a change of leader.

    Leases of the predecessor may be valid until 2.55 s after it lost its leadership.
    """
    control = control_of_open_term(chosen="b")
    assert {effect.member.target for effect in control.take(Promote)} == {"b"}
    assert {effect.member.target for effect in control.take(Follow)} == {"a", "c"}
    join(control, "c", 8)
    while control.now < 2.5:
        join(control, "b", 8)
        control.step()
        assert control.commit() == []
    control.run(0.2)
    assert control.commit() == ["start_term"]
    record = control.state.groups[GROUP]
    assert record.phase is GroupPhase.STARTED
    assert record.term_starts[-1] == (2, 8)
    assert control.take(PublishRoutes)


def test_new_leader_revokes_the_leases_of_the_old_term_at_once():
    """Guards against writes that wait 2.55 s for leases that entries can release (measure 1)."""
    world = World((1.0,) * 4)
    world.settle(4.0)
    record = world.state.groups[GROUP]
    opened_term = record.term + 1
    body = record_pb2.OpenTerm(group=GROUP, term=opened_term)
    world.state.apply(0, command(open_term=body))
    world.new_leader(0)
    world.settle(1.0)
    record = world.state.groups[GROUP]
    assert (record.term, record.phase) == (opened_term, GroupPhase.STARTED)


def release_lease(control: Control, name: str, control_term: int) -> None:
    """Let an entry release its lease of term 1.

    :param control_term: highest control term of which the entry has accepted an update.
    """
    assert [(r.group, r.term) for r in control.updates[name].revoked] == [(GROUP, 1)]
    released = [peer_pb2.RouteRelease(group=GROUP, term=1)]
    control.entries[name] = {"released": released, "control_term": control_term}


def test_new_leader_waits_for_every_entry_that_may_have_a_lease():
    """Guards against the loss of writes of an entry that still uses the old primary (G2)."""
    control = control_of_open_term(chosen="b")
    control.step()
    release_lease(control, "e1", control_term=1)
    for target in ("b", "c"):
        join(control, target, 8)
    control.run(0.5)
    assert control.commit() == []
    release_lease(control, "e2", control_term=1)
    control.run(0.2)
    assert control.commit() == ["start_term"]


def test_release_counts_only_after_an_update_of_the_new_leader():
    """Guards against an update of the previous leader that grants a released lease again (G2)."""
    control = control_of_open_term(chosen="b")
    control.step()
    for name in ("e1", "e2"):
        release_lease(control, name, control_term=0)
    while control.now < 2.5:
        for target in ("b", "c"):
            join(control, target, 8)
        control.step()
        assert control.commit() == []
    control.run(0.2)
    assert control.commit() == ["start_term"]


def test_term_starts_only_when_the_quorum_holds_its_first_record():
    """Guards against the loss of records of the new primary in a second failure."""
    control = control_of_open_term(chosen="b")
    for _ in range(30):
        join(control, "b", 8)
        control.step()
    assert control.commit() == []
    join(control, "c", 8)
    assert control.commit() == ["start_term"]


def test_chosen_primary_that_does_not_reply_is_replaced():
    """Guards against a promotion that waits for ever for a member that failed during it."""
    control = control_of_open_term(chosen="b")
    control.run(0.9)
    assert control.commit() == []
    control.run(0.3)
    assert control.commit() == ["open_term"]


def test_primary_receives_the_address_of_a_late_member():
    """Guards against a late member that never catches up, as the primary ships no log to it."""
    control = Control(started_state())
    late = control.targets.pop("c")
    control.step()
    listed = [{m.target for m in effect.members} for effect in control.take(Promote)]
    assert listed == [{"a", "b"}], "a list without a quorum would stop the writes"
    control.run(1.0)
    control.targets["c"] = late
    control.step()
    assert {m.target for m in control.take(Promote)[-1].members} == set(MEMBERS)


def test_reply_to_an_earlier_member_list_does_not_confirm_a_later_one():
    """Guards against a primary that never ships its log to a late member.

    The primary may have missed the list with that member.
    """
    control = Control(started_state())
    late = control.targets.pop("c")
    control.step()
    earlier = control.take(Promote)[-1]
    control.targets["c"] = late
    control.step()
    assert len(control.take(Promote)[-1].members) == 3
    reply = member_reply("a", 1, 1, listed_members=earlier.members)
    control.effects += control.leader.handle_join_reply(GROUP, reply, control.now)
    control.run(1.0)
    again = control.take(Promote)
    assert again, "the list with the late member had no reply"
    reply = member_reply("a", 1, 1, listed_members=again[-1].members)
    control.effects += control.leader.handle_join_reply(GROUP, reply, control.now)
    control.run(1.0)
    assert control.take(Promote) == []


def test_member_in_a_lower_term_is_requested_to_follow():
    """Guards against a member that missed the promotion and never returns to the quorum."""
    control = Control(started_state(term=3))
    control.targets["c"] = {"term": 2}
    control.run(0.4)
    assert [(e.member.target, e.term) for e in control.take(Follow)] == [("c", 3)]


def test_outdated_commands_change_nothing():
    """Guards against a lower term or another primary by a late command of an earlier leader."""
    state = started_state(term=4)
    before = state.snapshot()
    late = [
        {"form_group": record_pb2.FormGroup(group=GROUP, members=["x"])},
        {"open_term": record_pb2.OpenTerm(group=GROUP, term=4)},
        {"choose_primary": record_pb2.ChoosePrimary(group=GROUP, term=4, primary="b")},
        {"start_term": record_pb2.StartTerm(group=GROUP, term=4, start=9)},
        {"start_term": record_pb2.StartTerm(group=GROUP, term=3, start=9)},
        {"accept_document": record_pb2.AcceptDocument(number=2, digest="x")},
    ]
    for body in late:
        state.apply(99, command(**body))
    assert state.snapshot() == before


def test_snapshot_restores_everything():
    """Guards against a state that differs between instances after a restart from a snapshot."""
    state = started_state(term=4)
    for number in range(1, 70):
        state.apply(number, accept_document(number, f"d{number}"))
    restored = ControlState()
    restored.restore(state.snapshot())
    assert restored.groups == state.groups
    assert restored.documents == state.documents
    assert restored.document.number == 69
    assert len(restored.documents) == 64


def test_documents_are_accepted_by_compare_and_set():
    """Guards against two operators that overwrite each other's document (D13).

    Both submit a document with the same number.
    """
    state = ControlState()
    assert judge_submission(state, 1, "x") is SubmissionOutcome.PROPOSE
    state.apply(1, accept_document(1, "x"))
    state.apply(2, accept_document(1, "y"))
    assert state.document.digest == "x"
    state.apply(3, accept_document(2, "y"))
    assert judge_submission(state, 1, "x") is SubmissionOutcome.ACCEPTED
    assert judge_submission(state, 2, "y") is SubmissionOutcome.ACCEPTED
    with pytest.raises(ConfigurationConflictError, match="digest x"):
        judge_submission(state, 1, "y")
    for number in (0, 4):
        with pytest.raises(ConfigurationConflictError):
            judge_submission(state, number, "x")


@pytest.mark.parametrize("changes", [{"ack_quorum": 3}, {"members": 5}])
def test_document_that_changes_a_formed_group_is_refused(changes):
    """Guards against a promotion that misses a write of a smaller quorum (G2)."""
    with pytest.raises(ConfigurationError):
        check_formed_groups(started_state(), document(group=[{"name": GROUP, **changes}]))
