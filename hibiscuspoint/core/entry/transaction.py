"""State of one transaction: the verdict of a failure and the fate of its connection (D1, D2)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from hibiscuspoint.errors import TransactionStateError
from hibiscuspoint.verdict import Verdict

__all__ = [
    "ConnectionDisposition",
    "FailureOutcome",
    "TransactionFailure",
    "TransactionPhase",
    "TransactionState",
]


class TransactionPhase(Enum):
    """Progress of a transaction."""

    #: Nothing was sent to the target.
    OPENING = "opening"
    #: Statements were sent, the commit was not.
    ACTIVE = "active"
    #: The commit was sent and is not acknowledged.
    COMMITTING = "committing"
    COMMITTED = "committed"
    ROLLED_BACK = "rolled_back"
    #: The commit was sent and its outcome is not known.
    UNKNOWN = "unknown"


class TransactionFailure(Enum):
    """What went wrong."""

    #: The target answered that it rejected the step before executing any statement.
    REJECTED = "rejected"
    #: The target answered that a statement or the commit failed.
    STATEMENT_FAILED = "statement"
    #: The connection was closed or reset.
    CONNECTION_LOST = "connection_lost"
    #: The time of the transaction ended.
    TIMEOUT = "timeout"
    #: The route lease ended or the group has a new term.
    TERM_LOST = "term_lost"


class ConnectionDisposition(Enum):
    """What happens with the connection of the transaction."""

    #: The transaction continues on it.
    KEEP = "keep"
    #: Nothing was sent on it; the next transaction can use it as it is.
    REUSE = "reuse"
    #: Its state is known: roll back and reset it, then return it.
    RESET = "reset"
    #: Its state is unknown or it owes an answer.
    CLOSE = "close"
    #: It was returned before.
    RETURNED = "returned"


@dataclass(frozen=True, slots=True)
class FailureOutcome:
    """What a failure means for the caller and the connection.

    :param rolled_back: true when the transaction certainly has no effect.
    """

    verdict: Verdict
    rolled_back: bool
    disposition: ConnectionDisposition


_ANSWERS = frozenset({TransactionFailure.REJECTED, TransactionFailure.STATEMENT_FAILED})
_BROKEN = frozenset({TransactionFailure.CONNECTION_LOST, TransactionFailure.TERM_LOST})


class TransactionState:
    """One transaction from begin to commit or rollback.

    At most one step is sent and unanswered at a time, so that an answer belongs to its step.
    """

    def __init__(self) -> None:
        self._phase = TransactionPhase.OPENING
        self._awaits_answer = False
        self._is_first_step = True
        self._has_connection = True

    @property
    def phase(self) -> TransactionPhase:
        """Return the progress of the transaction."""
        return self._phase

    @property
    def is_open(self) -> bool:
        """Tell whether the transaction has no outcome yet."""
        return self._phase in (
            TransactionPhase.OPENING,
            TransactionPhase.ACTIVE,
            TransactionPhase.COMMITTING,
        )

    def begin_step(self, commit: bool = False) -> None:
        """Record, before it is sent, a step with or without the commit.

        :raises TransactionStateError: the step does not fit; it did not run.
        """
        if self._phase not in (TransactionPhase.OPENING, TransactionPhase.ACTIVE):
            raise _step_error(f"the transaction is {self._phase.value} and takes no step")
        if self._awaits_answer:
            raise _step_error("the previous step of the transaction is not answered")
        self._is_first_step = self._phase is TransactionPhase.OPENING
        self._phase = TransactionPhase.COMMITTING if commit else TransactionPhase.ACTIVE
        self._awaits_answer = True

    def handle_step_answer(self) -> ConnectionDisposition:
        """Record the complete answer of a step and return the fate of the connection.

        After a commit the connection is returned while the acknowledgement is pending (D3).
        """
        self._expect_answer()
        self._awaits_answer = False
        if self._phase is not TransactionPhase.COMMITTING:
            return ConnectionDisposition.KEEP
        self._has_connection = False
        return ConnectionDisposition.RESET

    def record_acknowledgement(self) -> None:
        """Record that a quorum holds the commit.

        :raises TransactionStateError: no answered commit is pending.
        """
        if self._phase is not TransactionPhase.COMMITTING or self._awaits_answer:
            raise TransactionStateError(f"the transaction is {self._phase.value}, not committing")
        self._phase = TransactionPhase.COMMITTED

    def roll_back(self) -> ConnectionDisposition:
        """Roll back on request of the caller and return the fate of the connection.

        :raises TransactionStateError: the commit was sent, or the transaction has an outcome.
        """
        if self._phase not in (TransactionPhase.OPENING, TransactionPhase.ACTIVE):
            raise _step_error(f"the transaction is {self._phase.value} and cannot roll back")
        fate = self._fate_without_answer()
        self._finish(TransactionPhase.ROLLED_BACK)
        return fate

    def handle_failure(self, failure: TransactionFailure) -> FailureOutcome:
        """Record a failure and return its meaning.

        A failed statement before the commit does not end the transaction: the caller decides.

        :raises TransactionStateError: the transaction already has an outcome.
        """
        if not self.is_open:
            raise TransactionStateError(f"the transaction is already {self._phase.value}")
        if failure in _ANSWERS:
            return self._fail_by_answer(failure)
        return self._fail_without_answer(failure)

    def _fail_by_answer(self, failure: TransactionFailure) -> FailureOutcome:
        self._expect_answer()
        self._awaits_answer = False
        is_rejected = failure is TransactionFailure.REJECTED
        if self._phase is TransactionPhase.ACTIVE and not is_rejected:
            return FailureOutcome(Verdict.DONE, False, ConnectionDisposition.KEEP)
        verdict = Verdict.DONE
        if is_rejected:
            verdict = Verdict.NOT_RUN if self._is_first_step else Verdict.MAY_HAVE_RUN
        # The target answered, so it certainly did not commit.
        self._finish(TransactionPhase.ROLLED_BACK)
        return FailureOutcome(verdict, True, ConnectionDisposition.RESET)

    def _fail_without_answer(self, failure: TransactionFailure) -> FailureOutcome:
        fate = self._fate_without_answer()
        if failure in _BROKEN and self._has_connection:
            fate = ConnectionDisposition.CLOSE
        if self._phase is TransactionPhase.COMMITTING:
            self._finish(TransactionPhase.UNKNOWN)
            return FailureOutcome(Verdict.MAY_HAVE_RUN, False, fate)
        was_sent = self._phase is TransactionPhase.ACTIVE
        verdict = Verdict.MAY_HAVE_RUN if was_sent else Verdict.NOT_RUN
        self._finish(TransactionPhase.ROLLED_BACK)
        return FailureOutcome(verdict, True, fate)

    def _fate_without_answer(self) -> ConnectionDisposition:
        if not self._has_connection:
            return ConnectionDisposition.RETURNED
        if self._awaits_answer:
            return ConnectionDisposition.CLOSE
        if self._phase is TransactionPhase.OPENING:
            return ConnectionDisposition.REUSE
        return ConnectionDisposition.RESET

    def _expect_answer(self) -> None:
        if not self._awaits_answer:
            raise TransactionStateError("the target owes no answer to this transaction")

    def _finish(self, phase: TransactionPhase) -> None:
        self._phase = phase
        self._awaits_answer = False
        self._has_connection = False


def _step_error(message: str) -> TransactionStateError:
    return TransactionStateError(message, verdict=Verdict.NOT_RUN)
