"""Tests of the transaction state."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscuspoint.core.entry import (
    ConnectionDisposition,
    TransactionFailure,
    TransactionPhase,
    TransactionState,
)
from hibiscuspoint.errors import TransactionStateError
from hibiscuspoint.verdict import Verdict

_KEPT = (ConnectionDisposition.REUSE, ConnectionDisposition.RESET)
_ANSWERS = (TransactionFailure.REJECTED, TransactionFailure.STATEMENT_FAILED)
_STEPS = st.lists(st.sampled_from(["answer", "answer", *_ANSWERS]), max_size=4)


@settings(max_examples=500)
@given(_STEPS, st.sampled_from([*TransactionFailure, "roll_back"]), st.booleans(), st.booleans())
def test_verdict_and_connection_fit_what_the_target_may_have_done(steps, end, commits, owes):
    """Guards false verdicts (G5), mixed transactions (G3) and foreign answers (G4).

    Some steps are answered; then one more, perhaps with the commit, is sent and answered or not,
    and the transaction fails or is rolled back.
    """
    state, ran = TransactionState(), False
    for step in steps:
        state.begin_step()
        if step == "answer":
            assert state.handle_step_answer() is ConnectionDisposition.KEEP
        else:
            result = state.handle_failure(step)
            assert not (result.verdict is Verdict.NOT_RUN and ran)
            if step is TransactionFailure.REJECTED:
                assert result.rolled_back
                _refuses_steps(state)
                return
            assert (result.verdict, result.disposition) == (
                Verdict.DONE,
                ConnectionDisposition.KEEP,
            )
        ran = True
    if commits or owes or end in _ANSWERS:
        state.begin_step(commits)
        _refuses_steps(state)
        if not owes and end not in _ANSWERS:
            fate = state.handle_step_answer()
            assert fate is (ConnectionDisposition.RESET if commits else ConnectionDisposition.KEEP)
        ran = ran or end not in _ANSWERS
    _end(state, end, commits, owes, ran)


def _end(state, end, commits, owes, ran):
    if end == "roll_back":
        if commits:
            with pytest.raises(TransactionStateError):
                state.roll_back()
        else:
            assert not (owes and state.roll_back() in _KEPT)
        return
    result = state.handle_failure(end)
    if end in _ANSWERS:
        assert result.rolled_back is (commits or end is TransactionFailure.REJECTED)
        assert not (ran and result.verdict is Verdict.NOT_RUN)
        return
    # What was sent may be executed, even later; an unanswered commit may have taken effect.
    assert result.verdict is (Verdict.MAY_HAVE_RUN if ran else Verdict.NOT_RUN)
    assert result.rolled_back is not commits
    assert not (owes and result.disposition in _KEPT)
    if end is TransactionFailure.CONNECTION_LOST:
        assert result.disposition not in _KEPT
    _refuses_steps(state)


def _refuses_steps(state):
    with pytest.raises(TransactionStateError) as failure:
        state.begin_step()
    assert failure.value.verdict is Verdict.NOT_RUN


def test_commit_counts_only_when_answered_and_acknowledged():
    """Reporting a commit that no quorum holds would lose it with the primary (D3)."""
    state = TransactionState()
    state.begin_step(commit=True)
    with pytest.raises(TransactionStateError):
        state.record_acknowledgement()
    state.handle_step_answer()
    assert state.phase is TransactionPhase.COMMITTING
    state.record_acknowledgement()
    assert state.phase is TransactionPhase.COMMITTED
