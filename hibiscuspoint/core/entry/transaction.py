"""State of a transaction: verdicts of failures and reuse of its connection (designs D1, D2)."""

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

    #: Nothing has been sent to the target.
    OPENING = "opening"
    #: Statements have been sent, but no commit.
    ACTIVE = "active"
    #: The commit has been sent and is not yet acknowledged by a quorum.
    COMMITTING = "committing"
    COMMITTED = "committed"
    ROLLED_BACK = "rolled_back"
    #: The commit was sent and its outcome is unknown.
    UNKNOWN = "unknown"


class TransactionFailure(Enum):
    """Cause of the failure of a transaction or of one of its steps."""

    #: The target rejected the step before it executed any statement.
    REJECTED = "rejected"
    #: The target reported that a statement or the commit failed.
    STATEMENT_FAILED = "statement"
    #: The connection was closed or reset.
    CONNECTION_LOST = "connection_lost"
    #: The deadline of the transaction passed.
    TIMEOUT = "timeout"
    #: The route lease ended or a new term of the group started.
    TERM_LOST = "term_lost"


class ConnectionDisposition(Enum):
    """How the connection of a transaction is to be treated."""

    #: The transaction continues to use it.
    KEEP = "keep"
    #: Nothing was sent on it, so another transaction may use it without a reset.
    REUSE = "reuse"
    #: Its state is known: roll back and reset it, then return it to the pool.
    RESET = "reset"
    #: Its state is unknown or an answer is pending: close it.
    CLOSE = "close"
    #: It has already been returned to the pool.
    RETURNED = "returned"


@dataclass(frozen=True, slots=True)
class FailureOutcome:
    """Consequences of a failure for the caller and the connection.

    :param verdict: verdict reported to the caller.
    :param rolled_back: whether it is certain that the transaction has no effect.
    :param disposition: how the connection is to be treated.
    """

    verdict: Verdict
    rolled_back: bool
    disposition: ConnectionDisposition


# Failures that the target reported in an answer.
_REPORTED_BY_TARGET = frozenset({TransactionFailure.REJECTED, TransactionFailure.STATEMENT_FAILED})
# Failures after which the connection must not be reused, even if no answer is pending.
_CONNECTION_UNUSABLE = frozenset({TransactionFailure.CONNECTION_LOST, TransactionFailure.TERM_LOST})


class TransactionState:
    """State of one transaction from begin to commit or rollback.

    At most one step is unanswered at a time, so that each answer is assigned to the right step.
    """

    def __init__(self) -> None:
        self._phase = TransactionPhase.OPENING
        self._awaits_answer = False
        self._is_first_step = True
        self._has_connection = True

    @property
    def phase(self) -> TransactionPhase:
        """Progress of the transaction."""
        return self._phase

    @property
    def is_open(self) -> bool:
        """Whether the transaction has no outcome yet."""
        return self._phase in (
            TransactionPhase.OPENING,
            TransactionPhase.ACTIVE,
            TransactionPhase.COMMITTING,
        )

    def begin_step(self, commit: bool = False) -> None:
        """Record that a step is about to be sent.

        :param commit: whether the step includes the commit.
        :raises TransactionStateError: the transaction is in a phase without further steps, or the
            previous step is not answered; the step did not run.
        """
        if self._phase not in (TransactionPhase.OPENING, TransactionPhase.ACTIVE):
            raise _step_error(f"the transaction is {self._phase.value} and accepts no step")
        if self._awaits_answer:
            raise _step_error("the previous step of the transaction is not answered yet")
        self._is_first_step = self._phase is TransactionPhase.OPENING
        self._phase = TransactionPhase.COMMITTING if commit else TransactionPhase.ACTIVE
        self._awaits_answer = True

    def handle_step_answer(self) -> ConnectionDisposition:
        """Record the complete answer of a step and return the disposition of the connection.

        After a commit the connection is returned to the pool while the acknowledgement by a quorum
        is pending (design D3).

        :raises TransactionStateError: no answer is pending.
        """
        self._require_pending_answer()
        self._awaits_answer = False
        if self._phase is not TransactionPhase.COMMITTING:
            return ConnectionDisposition.KEEP
        self._has_connection = False
        return ConnectionDisposition.RESET

    def record_acknowledgement(self) -> None:
        """Record that a quorum has stored the commit.

        :raises TransactionStateError: the transaction has no commit that the target answered and
            that awaits its acknowledgement.
        """
        if self._phase is not TransactionPhase.COMMITTING or self._awaits_answer:
            raise TransactionStateError(f"the transaction is {self._phase.value}, not committing")
        self._phase = TransactionPhase.COMMITTED

    def roll_back(self) -> ConnectionDisposition:
        """Roll back at the request of the caller and return the disposition of the connection.

        :raises TransactionStateError: the commit was sent, or the transaction has an outcome.
        """
        if self._phase not in (TransactionPhase.OPENING, TransactionPhase.ACTIVE):
            raise _step_error(f"the transaction is {self._phase.value} and cannot roll back")
        disposition = self._disposition_without_answer()
        self._finish(TransactionPhase.ROLLED_BACK)
        return disposition

    def handle_failure(self, failure: TransactionFailure) -> FailureOutcome:
        """Record a failure and return its consequences.

        A failed statement before the commit does not end the transaction; the caller decides
        whether to continue.

        :raises TransactionStateError: the transaction already has an outcome, or the target
            reported a failure although no answer is pending.
        """
        if not self.is_open:
            raise TransactionStateError(f"the transaction is already {self._phase.value}")
        if failure in _REPORTED_BY_TARGET:
            return self._handle_reported_failure(failure)
        return self._handle_unreported_failure(failure)

    def _handle_reported_failure(self, failure: TransactionFailure) -> FailureOutcome:
        self._require_pending_answer()
        self._awaits_answer = False
        is_rejected = failure is TransactionFailure.REJECTED
        if self._phase is TransactionPhase.ACTIVE and not is_rejected:
            return FailureOutcome(Verdict.DONE, False, ConnectionDisposition.KEEP)
        verdict = Verdict.DONE
        if is_rejected:
            verdict = Verdict.NOT_RUN if self._is_first_step else Verdict.MAY_HAVE_RUN
        # The target reported the failure, so it is certain that it did not commit.
        self._finish(TransactionPhase.ROLLED_BACK)
        return FailureOutcome(verdict, True, ConnectionDisposition.RESET)

    def _handle_unreported_failure(self, failure: TransactionFailure) -> FailureOutcome:
        disposition = self._disposition_without_answer()
        if failure in _CONNECTION_UNUSABLE and self._has_connection:
            disposition = ConnectionDisposition.CLOSE
        if self._phase is TransactionPhase.COMMITTING:
            self._finish(TransactionPhase.UNKNOWN)
            return FailureOutcome(Verdict.MAY_HAVE_RUN, False, disposition)
        was_sent = self._phase is TransactionPhase.ACTIVE
        verdict = Verdict.MAY_HAVE_RUN if was_sent else Verdict.NOT_RUN
        self._finish(TransactionPhase.ROLLED_BACK)
        return FailureOutcome(verdict, True, disposition)

    def _disposition_without_answer(self) -> ConnectionDisposition:
        if not self._has_connection:
            return ConnectionDisposition.RETURNED
        if self._awaits_answer:
            return ConnectionDisposition.CLOSE
        if self._phase is TransactionPhase.OPENING:
            return ConnectionDisposition.REUSE
        return ConnectionDisposition.RESET

    def _require_pending_answer(self) -> None:
        if not self._awaits_answer:
            raise TransactionStateError("no step of the transaction is waiting for an answer")

    def _finish(self, phase: TransactionPhase) -> None:
        self._phase = phase
        self._awaits_answer = False
        self._has_connection = False


def _step_error(message: str) -> TransactionStateError:
    return TransactionStateError(message, verdict=Verdict.NOT_RUN)
