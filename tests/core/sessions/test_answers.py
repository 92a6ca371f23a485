"""Tests of the match between answers and the questions of one connection."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hibiscuspoint.core.position import LogPosition
from hibiscuspoint.core.sessions import (
    Answer,
    AnswerHistory,
    AnswerKind,
    Failure,
    Match,
    Question,
    Reply,
    SessionState,
    Settlement,
)
from hibiscuspoint.core.sessions.answers import MAX_ANSWERS
from hibiscuspoint.ids import Term

IDLE, OPEN = SessionState.IDLE, SessionState.IN_TRANSACTION


def _signed(number: int, state: SessionState = IDLE) -> Answer:
    return Answer(AnswerKind.SIGNED, Reply(signature=f"s{number}", state=state), number)


def _plain(number: int, state: SessionState = IDLE) -> Answer:
    return Answer(AnswerKind.UNSIGNED, Reply(state=state), number)


def _error(number: int, failure: Failure = Failure.OVERLOADED) -> Answer:
    return Answer(AnswerKind.ERROR, Reply.failed(failure, "", IDLE), number)


def _history(*steps: tuple[Question | None, Answer]) -> AnswerHistory:
    history = AnswerHistory()
    history.record_greeting(Answer(AnswerKind.GREETING, Reply(), -1))
    for question, answer in steps:
        history.match(question, answer)
    return history


@pytest.mark.parametrize(
    ("earlier", "question", "answer", "expected"),
    [
        ([], Question.SIGNED, _signed(1), Match.ACCEPTED),
        ([(Question.SIGNED, _signed(1))], Question.SIGNED, _signed(1), Match.REPEATED),
        ([(Question.SIGNED, _signed(1))], None, _signed(1), Match.REPEATED),
        ([(Question.SIGNED, _signed(1))], Question.BEGIN, _signed(1), Match.REPEATED),
        ([], None, _signed(1), Match.UNCLEAR),
        ([], Question.BEGIN, _signed(1), Match.UNCLEAR),
        ([], Question.SIGNED, _plain(1), Match.UNCLEAR),
        ([(Question.CONTEXT, _plain(1))], Question.SIGNED, _plain(1), Match.REPEATED),
        ([], Question.SIGNED, _error(1), Match.ACCEPTED),
        ([(Question.SIGNED, _error(1))], Question.SIGNED, _error(1), Match.UNCLEAR),
        ([(Question.SIGNED, _error(1))], Question.SIGNED, _error(2), Match.ACCEPTED),
        ([(Question.STATUS, _plain(1))] * 2, Question.STATUS, _plain(2), Match.ACCEPTED),
        ([], Question.BEGIN, _plain(1, OPEN), Match.ACCEPTED),
        ([], Question.BEGIN, _plain(1, IDLE), Match.UNCLEAR),
        ([(Question.CONTEXT, _plain(1))], Question.BEGIN, _plain(1), Match.REPEATED),
        ([(Question.CONTEXT, _plain(1))], Question.CONTEXT, _plain(1), Match.ACCEPTED),
        ([], Question.CONTEXT, _plain(1, OPEN), Match.UNCLEAR),
        ([(Question.BEGIN, _plain(1, OPEN))], Question.ROLLBACK, _plain(1, OPEN), Match.REPEATED),
        ([(Question.STATUS, _error(1))], Question.STATUS, _error(1), Match.ACCEPTED),
        ([], Question.STATUS, Answer(AnswerKind.GREETING, Reply(), -1), Match.REPEATED),
        ([], None, Answer(AnswerKind.GREETING, Reply(), 1), Match.UNCLEAR),
    ],
)
def test_answer_is_taken_only_for_its_own_question(earlier, question, answer, expected):
    """Guards against a repeated or foreign answer that is taken for that of another statement."""
    assert _history(*earlier).match(question, answer) is expected


def test_begin_like_an_earlier_one_is_not_relied_on():
    """Guards against a statement that runs outside its transaction, as ``BEGIN`` was refused."""
    begun, ended = (Question.BEGIN, _plain(1, OPEN)), (Question.SIGNED, _signed(2))
    assert _history(begun, ended).match(*begun) is Match.UNCLEAR
    assert _history(begun, ended).match(Question.BEGIN, _plain(3, OPEN)) is Match.ACCEPTED


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (_signed(4, OPEN), Match.ACCEPTED),
        (replace(_error(4), reply=Reply.failed(Failure.OVERLOADED, "", OPEN)), Match.ACCEPTED),
        (_error(4), Match.UNCLEAR),
        (_plain(1, OPEN), Match.REPEATED),
    ],
    ids=["answer", "refusal", "refusal-of-begin", "begin"],
)
def test_begin_before_a_read_is_proven_by_the_answer_to_that(answer, expected):
    """Guards against the refusal of a ``BEGIN``, late after a repetition, as that of a statement.

    Nothing is lost if the read ran outside of the transaction, as its answer is not passed on then.
    """
    begun = Question.BEGIN_WITHOUT_EFFECT, _plain(1, OPEN)
    history = _history(begun, (Question.SIGNED, _signed(2)))
    assert history.match(*begun) is Match.ACCEPTED
    assert history.is_unproven
    assert history.match(Question.SIGNED, answer) is expected
    assert history.is_unproven is (expected is not Match.ACCEPTED)


def test_error_after_a_repetition_is_not_relied_on():
    """Guards against "not run" for a statement that runs, as the error answers another one."""
    history = _history((Question.SIGNED, _signed(1)), (Question.SIGNED, _signed(1)))
    assert history.match(Question.SIGNED, _error(2)) is Match.UNCLEAR


def test_connection_ends_where_the_next_answer_could_not_be_told_apart():
    """Guards against a connection that is used again while an answer may still arrive on it."""
    step, rollback = (Question.CONTEXT, _plain(1)), (Question.ROLLBACK, _plain(1))
    assert not _history(step, (Question.SIGNED, _signed(2)), step).must_end
    assert not _history((Question.SIGNED, _error(2))).must_end
    assert _history((Question.SIGNED, _signed(1)), (None, _signed(1))).must_end
    assert not _history((Question.STATUS, _error(2))).must_end
    assert not _history(rollback).must_end
    assert _history(step, rollback).must_end


@pytest.mark.parametrize(
    ("question", "behind", "expected"),
    [
        (Question.SIGNED, _plain(5), Settlement.CONFIRMED),
        (Question.BEGIN, _plain(5), Settlement.CONFIRMED),
        (Question.SIGNED, _signed(5), Settlement.REPLACED),
        (Question.BEGIN, _signed(5), Settlement.UNCLEAR),
        (Question.SIGNED, _plain(1), Settlement.UNCLEAR),
        (Question.SIGNED, _plain(5, OPEN), Settlement.UNCLEAR),
        (Question.SIGNED, _signed(5, OPEN), Settlement.UNCLEAR),
        (Question.SIGNED, _error(5), Settlement.UNCLEAR),
    ],
)
def test_refusal_that_came_twice_is_settled_by_the_answer_behind_it(question, behind, expected):
    """Guards against "not run" for a statement that runs, and refusals that cost connections.

    What is in doubt is told from a repetition only by an answer that is new itself.
    """
    history = _history(
        (Question.CONTEXT, _plain(1)), (Question.SIGNED, _signed(3)), (Question.SIGNED, _error(2))
    )
    assert history.match(question, _error(2)) is Match.UNCLEAR
    assert history.can_settle(question, _error(2))
    assert history.settle(question, Question.CONTEXT, behind) is expected
    assert history.must_end is (expected is Settlement.REPLACED)


@pytest.mark.parametrize(
    ("steps", "question"),
    [
        ([], Question.STATUS),
        ([], Question.ROLLBACK),
        ([(None, _signed(3))], Question.SIGNED),
        ([(Question.CONTEXT, _plain(1))], Question.SIGNED),
    ],
    ids=["poll", "rollback", "after-a-repetition", "unproven"],
)
def test_refusal_is_not_settled_where_another_answer_may_be_due(steps, question):
    """Guards against the late answer to an earlier question, as that behind a refusal."""
    earlier = [
        (Question.CONTEXT, _plain(1)), (Question.SIGNED, _signed(3)), (Question.SIGNED, _error(2))
    ]  # fmt: skip
    assert not _history(*earlier, *steps).can_settle(question, _error(2))


def test_message_that_contains_another_is_not_relied_on():
    """Guards against a repetition that was cut off and the answer behind it, read as one."""
    joined = replace(_error(7), may_be_joined=True)
    assert _history().match(Question.SIGNED, joined) is Match.ACCEPTED
    assert _history((Question.SIGNED, _signed(1))).match(Question.SIGNED, joined) is Match.UNCLEAR


def test_refusal_that_could_not_be_settled_is_expected():
    """Guards against a write in doubt, as its refusal and the answer behind it are not new."""

    def at(answer: Answer, index: int) -> Answer:
        position = LogPosition(Term(1), index)
        return replace(answer, reply=replace(answer.reply, position=position))

    refused, step = (Question.SIGNED, at(_error(2), 7)), (Question.CONTEXT, at(_plain(3), 7))
    assert _history(refused).exhausted_at is None
    assert _history(refused, step).exhausted_at == LogPosition(Term(1), 7)
    assert _history(step, refused).exhausted_at == LogPosition(Term(1), 7)
    assert _history(refused, step, (Question.CONTEXT, at(_plain(4), 8))).exhausted_at is None


def test_proof_is_lost_until_a_new_signature():
    """Guards against the late answer to a poll that is taken for that to the next one."""
    repeated = [(Question.STATUS, _plain(1))] * 2
    assert not _history(*repeated[:1]).is_unproven
    assert _history(*repeated, (Question.STATUS, _plain(2))).is_unproven
    assert not _history(*repeated, (Question.SIGNED, _signed(3))).is_unproven


def test_repeated_greeting_does_not_end_a_connection():
    """Guards against a target that serves nothing, as its greeting comes twice."""
    assert not _history((None, Answer(AnswerKind.GREETING, Reply(), -1))).must_end


def test_memory_of_a_connection_is_bounded():
    """Guards against a connection that remembers answers without end."""
    history = _history(*((Question.SIGNED, _signed(n)) for n in range(MAX_ANSWERS)))
    assert history.must_end


def _rows(number: int, *rows: str, cut: str | None = None) -> Answer:
    reply = Reply(rows=rows, signature=f"s{number}", state=IDLE)
    return Answer(AnswerKind.SIGNED, reply, number, cut_row=cut)


@pytest.mark.parametrize(
    ("question", "answer", "expected"),
    [
        (Question.SIGNED, _rows(2, "ab"), Match.ACCEPTED),
        (Question.SIGNED, _rows(2, "cd", "ab"), Match.ACCEPTED),
        (Question.SIGNED, _rows(2, "ab", "cd"), Match.UNCLEAR),
        (Question.SIGNED, _rows(2, "aROW cd", cut="a"), Match.UNCLEAR),
        (Question.SIGNED, _rows(2, "ROW cd", cut=""), Match.UNCLEAR),
        (Question.SIGNED, _rows(2, "xyROW cd", cut="xy"), Match.ACCEPTED),
        (Question.SIGNED_WRITE, _rows(2, "ab"), Match.UNCLEAR),
        (Question.SIGNED_WRITE, _rows(2, "cd"), Match.ACCEPTED),
    ],
)
def test_rows_of_a_repetition_that_was_cut_off_are_noticed(question, answer, expected):
    """Guards against the row of another statement in an answer with a signature of its own."""
    history = _history((Question.SIGNED, _rows(1, "ab")))
    assert history.match(question, answer) is expected


@pytest.mark.parametrize("answer", [_rows(2, "ab", "cd"), _rows(2, "aROW cd", cut="a")])
def test_same_rows_cost_no_connection_for_each_read(answer):
    """Guards against a handshake for each read at targets whose usual answers look doubtful.

    Load pattern: a read of several rows, or of a text that contains the word of a message, is
    repeated all the time.
    """
    history = _history((Question.SIGNED, answer), (Question.SIGNED, _rows(3, "ab")))
    assert history.match(Question.SIGNED, replace(answer, digest=4)) is Match.ACCEPTED


def test_row_of_a_repetition_in_front_of_an_error_is_noticed():
    """Guards against the row of another statement that a caller gets with its error."""
    history = _history((Question.SIGNED, _rows(1, "ab")))
    refused = replace(_error(2), reply=replace(_error(2).reply, rows=("ab",)))
    assert history.match(Question.SIGNED, refused) is Match.UNCLEAR


def test_writes_may_have_the_same_row_again():
    """Guards against writes in doubt at targets that answer each one with the same row."""
    history = _history((Question.SIGNED_WRITE, _rows(1, "1 row")))
    assert history.match(Question.SIGNED_WRITE, _rows(2, "1 row")) is Match.ACCEPTED
