"""Statements of a session and their replies."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscuspoint.core.position import LogPosition

__all__ = ["Failure", "Reply", "SessionState", "Statement", "StatementError", "StatementKind"]


class StatementKind(Enum):
    """What a statement does."""

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
    #: The transaction failed; ending it rolls back.
    FAILED = "failed"


class Failure(Enum):
    """Why a statement failed."""

    #: No target had room for the statement; it did not run.
    OVERLOADED = "overloaded"
    #: The transaction was rolled back.
    ABORTED = "aborted"
    #: The replica has not applied the required position yet; the statement did not run.
    LAGGING = "lagging"
    #: A write was sent to a replica; it did not run.
    READ_ONLY = "read only"
    #: Another target answers at the address; the statement did not run.
    WRONG_TARGET = "wrong target"
    #: The target has as many connections as it allows.
    TOO_MANY_CONNECTIONS = "too many connections"
    #: The prepared statement does not exist; the statement did not run.
    UNKNOWN_STATEMENT = "unknown statement"
    #: No route has the name of the database.
    UNKNOWN_DATABASE = "unknown database"
    #: The statement is not valid in this state of the session.
    MALFORMED = "malformed"
    #: The target ran the statement and failed.
    FAILED = "failed"
    #: There was no answer in time; the statement may have run.
    TIMEOUT = "timeout"
    #: The answer to a commit or a single write was lost.
    IN_DOUBT = "in doubt"

    @property
    def has_not_run(self) -> bool:
        """Tell whether the target certainly did not run the statement."""
        return self in _NOT_RUN


_NOT_RUN = frozenset(
    {
        Failure.OVERLOADED,
        Failure.LAGGING,
        Failure.READ_ONLY,
        Failure.WRONG_TARGET,
        Failure.TOO_MANY_CONNECTIONS,
        Failure.UNKNOWN_STATEMENT,
    }
)


@dataclass(frozen=True, slots=True)
class Statement:
    """One statement of a caller.

    :param text: the statement as the caller wrote it; sent on unchanged.
    :param name: session value or prepared statement, where the kind has one.
    :param operand: what follows the name: a value, a shape, or the arguments.
    :param writes: whether a write, or a prepared statement that writes.
    """

    request_id: str
    kind: StatementKind
    text: str
    name: str = ""
    operand: str = ""
    writes: bool = False


@dataclass(frozen=True, slots=True)
class StatementError:
    """A failure with the text that the caller sees."""

    failure: Failure
    text: str


@dataclass(frozen=True, slots=True)
class Reply:
    """The whole answer to one statement.

    :param signature: proof of the target that it ran the statement; empty for an answer of the
        proxy itself, ``None`` with an error.
    :param position: position of the log of the target that answered.
    """

    rows: tuple[str, ...] = ()
    signature: str | None = ""
    error: StatementError | None = None
    state: SessionState = SessionState.IDLE
    position: LogPosition | None = None

    @classmethod
    def failed(cls, failure: Failure, text: str, state: SessionState) -> Reply:
        """Return an error."""
        return cls(signature=None, error=StatementError(failure, text), state=state)
