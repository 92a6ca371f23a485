"""Statements of a session and the replies to them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscuspoint.core.position import LogPosition

__all__ = ["Failure", "Reply", "SessionState", "Statement", "StatementError", "StatementKind"]


class StatementKind(Enum):
    """Kind of a statement."""

    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin read only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"


class SessionState(Enum):
    """State of a session between two statements."""

    IDLE = "idle"
    IN_TRANSACTION = "in transaction"
    #: The transaction has failed; the next statement that ends it rolls it back.
    FAILED = "failed"


class Failure(Enum):
    """Reason for the failure of a statement."""

    #: No target had a free slot for the statement; it did not run.
    OVERLOADED = "overloaded"
    #: The transaction was rolled back.
    ABORTED = "aborted"
    #: The replica has not applied the required position; the statement did not run.
    LAGGING = "lagging"
    #: A write was sent to a replica; it did not run.
    READ_ONLY = "read only"
    #: The address belongs to another target; the statement did not run.
    WRONG_TARGET = "wrong target"
    #: The target has reached its limit of connections.
    TOO_MANY_CONNECTIONS = "too many connections"
    #: The prepared statement does not exist; the statement did not run.
    UNKNOWN_STATEMENT = "unknown statement"
    #: No route exists for the database.
    UNKNOWN_DATABASE = "unknown database"
    #: The key of the caller is not known; the statement did not run.
    UNAUTHORIZED = "unauthorized"
    #: The statement is malformed or not allowed in the current state of the session.
    MALFORMED = "malformed"
    #: The target ran the statement and failed.
    FAILED = "failed"
    #: The reply did not arrive in time; the statement may have run.
    TIMEOUT = "timeout"
    #: The reply to a commit or to a write outside a transaction was lost; it may have run.
    IN_DOUBT = "in doubt"

    @property
    def has_not_run(self) -> bool:
        """Whether the target certainly did not run the statement."""
        return self in _NOT_RUN


_NOT_RUN = frozenset(
    {
        Failure.OVERLOADED,
        Failure.LAGGING,
        Failure.READ_ONLY,
        Failure.WRONG_TARGET,
        Failure.TOO_MANY_CONNECTIONS,
        Failure.UNKNOWN_STATEMENT,
        Failure.UNAUTHORIZED,
    }
)


@dataclass(frozen=True, slots=True)
class Statement:
    """One statement of a caller.

    :param request_id: id of the request, as chosen by the caller.
    :param text: the statement as the caller wrote it; it is forwarded unchanged.
    :param name: name of the session value or prepared statement, for kinds that have one.
    :param operand: text after the name: a value, the text of a prepared statement, or arguments;
        ``None`` for a value without a field, which is not the same as an empty one.
    :param writes: whether it is a write or the preparation of one.
    :param starts_without_effect: of ``BEGIN``, whether the first statement of the transaction has
        no effect.
    """

    request_id: str
    kind: StatementKind
    text: str
    name: str = ""
    operand: str | None = ""
    writes: bool = False
    starts_without_effect: bool = False


@dataclass(frozen=True, slots=True)
class StatementError:
    """A failure with its error text for the caller."""

    failure: Failure
    text: str


@dataclass(frozen=True, slots=True)
class Reply:
    """Complete reply to one statement.

    :param signature: proof of the target that it ran the statement; empty in a reply of the proxy
        itself, ``None`` with an error.
    :param state: state of the session after the statement.
    :param position: log position of the target that replied.
    :param verbatim: messages of the target that would not be the same if they were written from
        the fields above, by their number: the rows from 0, then the success or error.
    """

    rows: tuple[str, ...] = ()
    signature: str | None = ""
    error: StatementError | None = None
    state: SessionState = SessionState.IDLE
    position: LogPosition | None = None
    verbatim: tuple[tuple[int, str], ...] = ()

    @classmethod
    def failed(cls, failure: Failure, text: str, state: SessionState) -> Reply:
        """Return an error reply."""
        return cls(signature=None, error=StatementError(failure, text), state=state)
