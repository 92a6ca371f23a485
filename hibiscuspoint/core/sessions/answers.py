"""Decides to which statement of a connection an answer of its target belongs.

The line protocol names no request in an answer, and a target may answer a statement twice, the
second time any time later. See ``docs/design/answers.md``.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING

from hibiscuspoint.core.sessions.statements import SessionState, StatementKind

if TYPE_CHECKING:
    from hibiscuspoint.core.sessions.statements import Reply

__all__ = ["Answer", "AnswerHistory", "AnswerKind", "EndReason", "Match", "Question"]

#: Answers after which a connection ends between two uses, as it remembers a hash of each of them.
MAX_ANSWERS = 1_000


class AnswerKind(Enum):
    """Form of an answer."""

    #: Success with the signature of one execution.
    SIGNED = auto()
    #: Success without a signature.
    UNSIGNED = auto()
    ERROR = auto()
    #: Only the state, as after the startup of a connection.
    GREETING = auto()


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer.

    :param digest: hash of the signature, or of all bytes where there is none.
    """

    kind: AnswerKind
    reply: Reply
    digest: int


class Question(Enum):
    """What was sent to a target, by the answers that it may have."""

    #: Its success is signed.
    SIGNED = auto()
    #: Begins a transaction; what follows relies on it.
    BEGIN = auto()
    #: Ends a transaction without a signature.
    ROLLBACK = auto()
    #: Sets values or prepares a statement, which a target does not refuse.
    CONTEXT = auto()
    #: Asks for the status of the target or changes its role.
    STATUS = auto()

    @classmethod
    def of(cls, kind: StatementKind) -> Question:
        """Return the question that a statement of a caller is."""
        return _QUESTIONS.get(kind, cls.SIGNED)


_QUESTIONS = {
    StatementKind.BEGIN: Question.BEGIN,
    StatementKind.BEGIN_READ_ONLY: Question.BEGIN,
    StatementKind.ROLLBACK: Question.ROLLBACK,
    StatementKind.SET: Question.CONTEXT,
    StatementKind.PREPARE: Question.CONTEXT,
    StatementKind.DEALLOCATE: Question.CONTEXT,
}


class Match(Enum):
    """Decision about an answer."""

    #: It is the answer to the question in progress.
    ACCEPTED = auto()
    #: It repeats an earlier answer.
    REPEATED = auto()
    #: It may be either, or belongs to no question; the connection must be reset.
    UNCLEAR = auto()


class EndReason(Enum):
    """Why a connection is closed when it is not in use any more."""

    #: A statement had an error.
    ERROR = "error"
    #: An earlier answer came again.
    REPETITION = "repetition"
    #: A transaction was rolled back while an earlier answer may still come.
    ROLLBACK = "rollback"
    #: It has had as many answers as it may remember.
    AGE = "age"


class AnswerHistory:
    """Answers of one connection.

    As a target answers in order, an answer that is no repetition belongs to the question in
    progress, of which there is at most one. Example: if ``SET`` is answered by a repetition of an
    earlier ``SET``, the connection is unproven, as the own answer is still to come. That arrives
    while the next statement runs, which is signed, and counts as a repetition there; the connection
    must end with its use.
    """

    def __init__(self) -> None:
        self._digests: set[int] = set()
        self._has_repetition = False
        self._spent: EndReason | None = None
        self._is_unproven = False
        self._state = SessionState.IDLE

    @property
    def is_unproven(self) -> bool:
        """Tell whether an answer without a signature may be that to an earlier question.

        That is so from one that equals an earlier answer until a new signature arrives, as its own
        answer may still come.
        """
        return self._is_unproven

    @property
    def must_end(self) -> bool:
        """Tell whether the connection has to be closed when it is not in use any more."""
        return self.end_reason is not None

    @property
    def end_reason(self) -> EndReason | None:
        """Return why the connection has to be closed when it is not in use any more.

        After an error, the same one to the next statement could not be told from a repetition.
        Polls rely on no error, and a busy target must not open a connection for each of them.
        """
        if self._has_repetition:
            return EndReason.REPETITION
        if len(self._digests) >= MAX_ANSWERS:
            return EndReason.AGE
        return self._spent

    def record_greeting(self, answer: Answer) -> None:
        """Record the answer to the startup of the connection."""
        self._digests.add(answer.digest)

    def match(self, question: Question | None, answer: Answer) -> Match:
        """Decide about an answer.

        :param question: question in progress, if any.
        """
        is_known = answer.digest in self._digests
        match = self._match(question, answer, is_known)
        if match is Match.REPEATED and answer.kind is not AnswerKind.GREETING:
            # No question is answered with a greeting, so that it is never taken for an answer.
            self._has_repetition = True
        elif match is Match.ACCEPTED:
            self._accept(question, answer, is_known)
        return match

    def _match(self, question: Question | None, answer: Answer, is_known: bool) -> Match:
        if not self._fits(question, answer):
            return Match.REPEATED if is_known else Match.UNCLEAR
        if answer.kind is AnswerKind.SIGNED:
            return Match.REPEATED if is_known else Match.ACCEPTED
        if question is Question.STATUS:
            return Match.ACCEPTED
        if answer.kind is AnswerKind.ERROR:
            is_certain = not is_known and not self._has_repetition
            return Match.ACCEPTED if is_certain else Match.UNCLEAR
        if question is Question.BEGIN and is_known:
            return Match.UNCLEAR
        return Match.ACCEPTED

    def _fits(self, question: Question | None, answer: Answer) -> bool:
        """Tell whether a question may have an answer of this form.

        Setting a value or asking for the status leaves the state of the session as it was.
        """
        if question is None or answer.kind is AnswerKind.GREETING:
            return False
        if answer.kind is AnswerKind.ERROR:
            return True
        if (answer.kind is AnswerKind.SIGNED) is not (question is Question.SIGNED):
            return False
        match question:
            case Question.BEGIN:
                return answer.reply.state is SessionState.IN_TRANSACTION
            case Question.ROLLBACK:
                return answer.reply.state is SessionState.IDLE
            case Question.CONTEXT | Question.STATUS:
                return answer.reply.state is self._state
        return True

    def _accept(self, question: Question, answer: Answer, is_known: bool) -> None:
        if answer.kind is AnswerKind.SIGNED:
            self._is_unproven = False
        elif is_known:
            self._is_unproven = True
        if answer.kind is AnswerKind.ERROR and question is not Question.STATUS:
            self._spent = EndReason.ERROR
        elif question is Question.ROLLBACK and self._is_unproven:
            # An answer from inside the transaction that is still to come looks like that to BEGIN.
            self._spent = EndReason.ROLLBACK
        self._digests.add(answer.digest)
        self._state = answer.reply.state
