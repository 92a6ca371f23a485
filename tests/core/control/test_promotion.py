"""Tests of promotions, their resumption by a new leader, and the replicated state."""

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


def opened(term: int = 2, chosen: str = "", **group: object) -> Control:
    """Return a new leader over a promotion that its predecessor began."""
    state = started_state()
    state.apply(9, command(open_term=record_pb2.OpenTerm(group=GROUP, term=term)))
    if chosen:
        body = record_pb2.ChoosePrimary(group=GROUP, term=term, primary=chosen)
        state.apply(10, command(choose_primary=body))
    control = Control(state, **group)
    control.targets = {name: {"term": 1} for name in MEMBERS}
    control.step()
    return control


def seal(control: Control, **indexes: int) -> None:
    """Members answer that they are sealed at the present term."""
    term = control.state.groups[GROUP].term
    for target, index in indexes.items():
        answer = member_reply(target, 1, index, sealed_term=term)
        control.effects += control.leader.handle_seal_reply(GROUP, answer, control.now)


def test_new_leader_resumes_sealing_and_chooses_the_longest_log():
    """A candidate that lacks an acknowledged record would lose it (G2)."""
    control = opened()
    assert {effect.member.target for effect in control.take(Seal)} == set(MEMBERS)
    seal(control, b=7)
    control.run(0.3)
    assert control.commit() == [], "one sealed member does not meet every quorum"
    assert {effect.member.target for effect in control.take(Seal)} == {"a", "c"}
    seal(control, c=8)
    control.run(0.2)
    assert control.commit() == ["choose_primary"]
    assert control.state.groups[GROUP].primary == "c"


def test_answers_of_other_terms_do_not_count():
    """A member sealed at a lower term still accepts the log of the old primary."""
    control = opened(term=3)
    for target in MEMBERS:
        answer = member_reply(target, 1, 7, sealed_term=2)
        control.effects += control.leader.handle_seal_reply(GROUP, answer, control.now)
    control.run(0.3)
    assert control.commit() == []
    ahead = member_reply("a", 1, 7, sealed_term=8, accepted=False)
    control.effects += control.leader.handle_seal_reply(GROUP, ahead, control.now)
    assert control.commit() == ["open_term"]
    assert control.state.groups[GROUP].term == 9


def test_seal_meets_the_quorum_of_entries_with_an_earlier_document():
    """Entries of a document with W = 2 acknowledge on two members while control counts W = 3."""
    control = opened(ack_quorum=3)
    seal(control, b=7)
    control.run(0.5)
    assert control.commit() == []
    seal(control, c=7)
    control.run(0.2)
    assert control.commit() == ["choose_primary"]


def join(control: Control, target: str, index: int) -> None:
    """A member answers that it holds the first record of term 2."""
    answer = member_reply(target, 2, index, sealed_term=2)
    control.effects += control.leader.handle_join_reply(GROUP, answer, control.now)


def test_new_leader_resumes_a_chosen_primary_and_waits_for_old_leases():
    """Leases of the predecessor may be in use until 2.55 s after it lost its leadership."""
    control = opened(chosen="b")
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


def test_new_leader_takes_the_leases_of_the_old_term_back_at_once():
    """Writes would wait 2.55 s for leases that entries can hand back (measure 1)."""
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


def hand_back(control: Control, name: str, control_term: int) -> None:
    """An entry that accepted an update of a control term hands its lease of term 1 back."""
    assert [(r.group, r.term) for r in control.updates[name].revoked] == [(GROUP, 1)]
    released = [peer_pb2.RouteRelease(group=GROUP, term=1)]
    control.entries[name] = {"released": released, "control_term": control_term}


def test_new_leader_waits_only_for_entries_that_keep_a_lease():
    """A term that starts while one entry uses the old primary would lose its writes (G2)."""
    control = opened(chosen="b")
    control.step()
    hand_back(control, "e1", control_term=1)
    for target in ("b", "c"):
        join(control, target, 8)
    control.run(0.5)
    assert control.commit() == []
    hand_back(control, "e2", control_term=1)
    control.run(0.2)
    assert control.commit() == ["start_term"]


def test_entry_that_accepted_no_update_of_the_new_leader_may_keep_its_lease():
    """An update of the previous leader, still on its way, could grant the lease again (G2)."""
    control = opened(chosen="b")
    control.step()
    for name in ("e1", "e2"):
        hand_back(control, name, control_term=0)
    while control.now < 2.5:
        for target in ("b", "c"):
            join(control, target, 8)
        control.step()
        assert control.commit() == []
    control.run(0.2)
    assert control.commit() == ["start_term"]


def test_term_starts_only_when_the_quorum_holds_its_first_record():
    """A second failure would otherwise remove what the new primary acknowledged."""
    control = opened(chosen="b")
    for _ in range(30):
        join(control, "b", 8)
        control.step()
    assert control.commit() == []
    join(control, "c", 8)
    assert control.commit() == ["start_term"]


def test_chosen_primary_that_does_not_answer_is_replaced():
    """A promotion must not wait for ever for a member that died in it."""
    control = opened(chosen="b")
    control.run(0.9)
    assert control.commit() == []
    control.run(0.3)
    assert control.commit() == ["open_term"]


def test_primary_learns_of_a_member_that_appears_later():
    """The primary ships only to the members it was told, so a late one would never catch up."""
    control = Control(started_state())
    late = control.targets.pop("c")
    control.step()
    listed = [{m.target for m in effect.members} for effect in control.take(Promote)]
    assert listed == [{"a", "b"}], "a list without a quorum would stop the writes"
    control.run(1.0)
    control.targets["c"] = late
    control.step()
    assert {m.target for m in control.take(Promote)[-1].members} == set(MEMBERS)


def test_answer_to_an_earlier_list_of_members_does_not_count_for_a_later_one():
    """A primary that missed the later list would never ship its log to the member in it."""
    control = Control(started_state())
    late = control.targets.pop("c")
    control.step()
    earlier = control.take(Promote)[-1]
    control.targets["c"] = late
    control.step()
    assert len(control.take(Promote)[-1].members) == 3
    answer = member_reply("a", 1, 1, listed_members=earlier.members)
    control.effects += control.leader.handle_join_reply(GROUP, answer, control.now)
    control.run(1.0)
    again = control.take(Promote)
    assert again, "the list with the late member had no answer"
    answer = member_reply("a", 1, 1, listed_members=again[-1].members)
    control.effects += control.leader.handle_join_reply(GROUP, answer, control.now)
    control.run(1.0)
    assert control.take(Promote) == []


def test_member_of_a_lower_term_is_told_to_follow():
    """A member that missed the promotion would otherwise stay outside of the quorum."""
    control = Control(started_state(term=3))
    control.targets["c"] = {"term": 2}
    control.run(0.4)
    assert [(e.member.target, e.term) for e in control.take(Follow)] == [("c", 3)]


def test_commands_that_no_longer_fit_change_nothing():
    """Commands of an earlier leader may be applied late; terms only grow."""
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
    """A member that restarts from a snapshot must decide as the others do."""
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
    """Two operators with equal numbers must not overwrite each other (D13)."""
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
    """A promotion could miss a write that a smaller quorum acknowledged (G2)."""
    with pytest.raises(ConfigurationError):
        check_formed_groups(started_state(), document(group=[{"name": GROUP, **changes}]))
