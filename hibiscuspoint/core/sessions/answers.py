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
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.core.sessions.statements import Reply, Statement

__all__ = ["Answer", "AnswerHistory", "AnswerKind", "EndReason", "Match", "Question", "Settlement"]

#: Answers after which a connection ends between two uses, as it remembers a hash of each of them.
MAX_ANSWERS = 1_000


#: Characters of each first row that a connection remembers, to tell where a row was cut off.
ROW_BEGINNING_LENGTH = 2


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
    :param may_be_joined: whether the text of an error or signature contains the beginning of
        another message, as that of a repetition does which was cut off before the next answer.
    :param cut_row: what stands before the beginning of another message in the text of a row;
        ``None`` if no row has one.
    """

    kind: AnswerKind
    reply: Reply
    digest: int
    may_be_joined: bool = False
    cut_row: str | None = None


class Question(Enum):
    """What was sent to a target, by the answers that it may have."""

    #: Its success is signed.
    SIGNED = auto()
    #: It writes or commits; its success is signed.
    SIGNED_WRITE = auto()
    #: Begins a transaction; the statement behind it would have its effect outside of one as well.
    BEGIN = auto()
    #: Begins a transaction; the statement behind it has no effect, and its answer tells whether the
    #: transaction is open.
    BEGIN_WITHOUT_EFFECT = auto()
    #: Ends a transaction without a signature.
    ROLLBACK = auto()
    #: Sets values or prepares a statement, which a target does not refuse.
    CONTEXT = auto()
    #: Asks for the status of the target or changes its role.
    STATUS = auto()

    @classmethod
    def of(cls, statement: Statement) -> Question:
        """Return the question that a statement of a caller is."""
        if statement.kind is StatementKind.BEGIN and statement.starts_without_effect:
            return cls.BEGIN_WITHOUT_EFFECT
        signed = cls.SIGNED_WRITE if statement.writes else cls.SIGNED
        return _QUESTIONS.get(statement.kind, signed)


_QUESTIONS = {
    StatementKind.COMMIT: Question.SIGNED_WRITE,
    StatementKind.BEGIN: Question.BEGIN,
    StatementKind.BEGIN_READ_ONLY: Question.BEGIN_WITHOUT_EFFECT,
    StatementKind.ROLLBACK: Question.ROLLBACK,
    StatementKind.SET: Question.CONTEXT,
    StatementKind.PREPARE: Question.CONTEXT,
    StatementKind.DEALLOCATE: Question.CONTEXT,
}


_SIGNED = (Question.SIGNED, Question.SIGNED_WRITE)
_BEGINNINGS = (Question.BEGIN, Question.BEGIN_WITHOUT_EFFECT)


class Match(Enum):
    """Decision about an answer."""

    #: It is the answer to the question in progress.
    ACCEPTED = auto()
    #: It repeats an earlier answer.
    REPEATED = auto()
    #: It may be either, or belongs to no question; the connection must be reset, unless another
    #: question can settle it.
    UNCLEAR = auto()


class EndReason(Enum):
    """Why a connection is closed when it is not in use any more."""

    #: An earlier answer came again.
    REPETITION = "repetition"
    #: A transaction was rolled back while an earlier answer may still come.
    ROLLBACK = "rollback"
    #: It has had as many answers as it may remember.
    AGE = "age"


class Settlement(Enum):
    """What the answer behind a doubtful one tells about that."""

    #: The doubtful one belongs to its question, as the question behind it is answered.
    CONFIRMED = auto()
    #: It repeated an earlier answer; this one belongs to its question.
    REPLACED = auto()
    #: It tells nothing; the connection must be reset.
    UNCLEAR = auto()


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
        #: Hashes of the first row and of all rows of each answer, and beginnings of first rows: a
        #: repetition that is cut off in a later row begins with a known one.
        self._first_rows: set[int] = set()
        self._all_rows: set[int] = set()
        self._row_beginnings: set[str] = set()
        self._do_writes_have_rows = False
        self._has_answer = False
        self._has_repetition = False
        self._spent: EndReason | None = None
        self._is_unproven = False
        self._is_begin_unproven = False
        self._state = SessionState.IDLE
        self._refused_at: LogPosition | None = None
        self._plain_at: LogPosition | None = None

    @property
    def exhausted_at(self) -> LogPosition | None:
        """Return the position of the log at which a refusal could not be settled, if any.

        A refusal was answered at that position, and a question that could settle the next one too,
        so that both would equal earlier answers. Refusals inside a transaction do not count.
        """
        is_exhausted = self._state is SessionState.IDLE and self._refused_at == self._plain_at
        return self._refused_at if is_exhausted else None

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
        """Return why the connection has to be closed when it is not in use any more."""
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

    def can_settle(self, question: Question | None, answer: Answer) -> bool:
        """Tell whether another question can settle an unclear answer.

        That is so for an error that equals an earlier one, if no answer without a signature may
        still come that could be taken for the one to that question.
        """
        if question not in _SIGNED and question not in _BEGINNINGS:
            return False
        is_known = answer.kind is AnswerKind.ERROR and answer.digest in self._digests
        is_open = answer.reply.state is self._state is not SessionState.FAILED
        return is_known and is_open and not self._has_repetition and not self._is_unproven

    def settle(self, doubtful: Question, behind: Question, answer: Answer) -> Settlement:
        """Decide whether a refusal was that of its question, by the answer that arrives after it.

        As a target answers in order, a new answer that only the question behind may have shows that
        no earlier one is due. A new signature outside a transaction is the answer to the question
        in doubt, which came after a repetition.

        :param doubtful: question in doubt, that of the refusal.
        :param behind: question that was sent after the refusal.
        """
        if answer.digest in self._digests or answer.may_be_joined:
            return Settlement.UNCLEAR
        if answer.kind is AnswerKind.UNSIGNED and self._has_form(behind, answer):
            self._accept(behind, answer, is_known=False)
            self._is_unproven = False
            return Settlement.CONFIRMED
        is_idle = answer.reply.state is SessionState.IDLE
        if answer.kind is AnswerKind.SIGNED and doubtful in _SIGNED and is_idle:
            self._has_repetition = True
            self._accept(doubtful, answer, is_known=False)
            return Settlement.REPLACED
        return Settlement.UNCLEAR

    def _match(self, question: Question | None, answer: Answer, is_known: bool) -> Match:
        if not self._fits(question, answer):
            return Match.REPEATED if is_known else Match.UNCLEAR
        if answer.may_be_joined and self._has_answer:
            return Match.UNCLEAR
        if answer.kind is AnswerKind.SIGNED and is_known:
            return Match.REPEATED
        if self._may_begin_with_repetition(question, answer):
            return Match.UNCLEAR
        if answer.kind is AnswerKind.SIGNED:
            return Match.ACCEPTED
        if question is Question.STATUS:
            return Match.ACCEPTED
        if answer.kind is AnswerKind.ERROR:
            is_certain = not is_known and not self._has_repetition
            if self._is_begin_unproven and answer.reply.state is not SessionState.IN_TRANSACTION:
                # It may be the answer to BEGIN.
                is_certain = False
            return Match.ACCEPTED if is_certain else Match.UNCLEAR
        if question is Question.BEGIN and is_known:
            return Match.UNCLEAR
        return Match.ACCEPTED

    def _may_begin_with_repetition(self, question: Question, answer: Answer) -> bool:
        """Tell whether the rows may begin with those of a repetition that was cut off.

        Such rows begin like those of an earlier answer, and rows of the own answer follow, or none
        if it is an error or that to a write. All rows of a read may be the same as before: the same
        one is repeated, and would cost a connection each time.
        """
        rows = answer.reply.rows
        if not rows:
            return False
        is_write = question is Question.SIGNED_WRITE and not self._do_writes_have_rows
        if is_write or answer.kind is AnswerKind.ERROR:
            is_doubtful = hash(rows[0]) in self._first_rows
        else:
            has_known_row = len(rows) > 1 and hash(rows[0]) in self._first_rows
            is_doubtful = has_known_row or self._continues_row(answer)
            is_doubtful = is_doubtful and hash(rows) not in self._all_rows
        return is_doubtful

    def _continues_row(self, answer: Answer) -> bool:
        """Tell whether a row may consist of the beginning of an earlier one and another message."""
        return answer.cut_row is not None and self._begins_row(answer.cut_row)

    def _begins_row(self, text: str) -> bool:
        """Tell whether a text may be the beginning of an earlier row."""
        beginning = text[:ROW_BEGINNING_LENGTH]
        return any(known.startswith(beginning) for known in self._row_beginnings)

    def _remember_rows(self, question: Question, rows: tuple[str, ...]) -> None:
        self._first_rows.add(hash(rows[0]))
        self._all_rows.add(hash(rows))
        self._row_beginnings.add(rows[0][:ROW_BEGINNING_LENGTH])
        if question is Question.SIGNED_WRITE:
            self._do_writes_have_rows = True

    def _fits(self, question: Question | None, answer: Answer) -> bool:
        """Tell whether a question may have an answer of this form.

        Setting a value or asking for the status leaves the state of the session as it was.
        """
        if question is None or answer.kind is AnswerKind.GREETING:
            return False
        if answer.kind is AnswerKind.ERROR:
            return True
        if (answer.kind is AnswerKind.SIGNED) is not (question in _SIGNED):
            return False
        return self._has_form(question, answer)

    def _has_form(self, question: Question, answer: Answer) -> bool:
        """Tell whether a success leaves the session in the state that its question leads to."""
        match question:
            case Question.BEGIN | Question.BEGIN_WITHOUT_EFFECT:
                return answer.reply.state is SessionState.IN_TRANSACTION
            case Question.ROLLBACK:
                return answer.reply.state is SessionState.IDLE
            case Question.CONTEXT | Question.STATUS:
                return answer.reply.state is self._state
        return True

    def _accept(self, question: Question, answer: Answer, is_known: bool) -> None:
        is_refusal = answer.kind is AnswerKind.ERROR and question is not Question.STATUS
        is_new_begin = question in _BEGINNINGS and not is_known
        if answer.kind is AnswerKind.SIGNED or is_refusal or is_new_begin:
            # Steps of the context may be unproven, which a target does not refuse, and BEGIN, whose
            # refusal would leave the session idle.
            self._is_unproven = self._is_begin_unproven = False
        elif is_known:
            self._is_unproven = True
            self._is_begin_unproven = self._is_begin_unproven or question in _BEGINNINGS
        if question is Question.ROLLBACK and self._is_unproven:
            # An answer from inside the transaction that is still to come looks like that to BEGIN.
            self._spent = EndReason.ROLLBACK
        if answer.reply.state is SessionState.IDLE:
            if is_refusal:
                self._refused_at = answer.reply.position
            elif answer.kind is AnswerKind.UNSIGNED:
                self._plain_at = answer.reply.position
        if answer.reply.rows and question in _SIGNED:
            self._remember_rows(question, answer.reply.rows)
        self._has_answer = True
        self._digests.add(answer.digest)
        self._state = answer.reply.state
