"""Errors of target drivers, from which the core derives verdicts."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscuspoint.wire import target_pb2

__all__ = [
    "AdminError",
    "AnswerDoubtful",
    "AnswerTimeoutError",
    "AnswerUnclear",
    "ConnectError",
    "ConnectFailure",
    "ConnectionLost",
    "TargetFailure",
]


class ConnectFailure(Enum):
    """Why a connection could not be opened."""

    #: The address refused or reset the connection.
    REFUSED = "refused"
    #: The target is at its connection limit.
    LIMITED = "limited"
    #: The target is leaving.
    LEAVING = "leaving"
    #: The target did not answer in time.
    TIMED_OUT = "timed_out"
    #: Another target answers at the address.
    WRONG_TARGET = "wrong_target"
    #: The connection failed in another way.
    BROKEN = "broken"


class ConnectError(Exception):
    """A connection could not be opened; nothing ran.

    :param failure: the reason.
    :param retry_after_seconds: time after which capacity is expected; 0 when it is not known.
    """

    def __init__(
        self, failure: ConnectFailure, message: str, retry_after_seconds: float = 0.0
    ) -> None:
        super().__init__(message)
        self.failure = failure
        self.retry_after_seconds = retry_after_seconds


class TargetFailure(Exception):  # noqa: N818 - the name is part of the driver interface
    """The target rejected a run; an open transaction is rolled back and the connection usable.

    :param not_run: true when no statement of the transaction was executed.
    """

    def __init__(self, kind: target_pb2.Failure.Kind, message: str, not_run: bool) -> None:
        super().__init__(message)
        self.kind = kind
        self.message = message
        self.not_run = not_run


class ConnectionLost(Exception):  # noqa: N818 - the name is part of the driver interface
    """The connection ended before the whole answer arrived; it is never used again.

    :param sent: false only when the request cannot have left the process.
    :param is_silent: true when no message arrived in time.
    """

    def __init__(self, message: str, *, sent: bool, is_silent: bool = False) -> None:
        super().__init__(message)
        self.sent = sent
        self.is_silent = is_silent


class AdminError(Exception):
    """A control call to a target had no answer; it may have taken effect.

    :param is_refused: the address refused or reset two connections in a row, the second one new.
    """

    def __init__(self, message: str, *, is_refused: bool) -> None:
        super().__init__(message)
        self.is_refused = is_refused


class AnswerTimeoutError(ConnectionLost):
    """The answer did not arrive in time; the connection cannot be used any more."""

    def __init__(self) -> None:
        super().__init__("no answer in time", sent=True, is_silent=True)


class AnswerDoubtful(Exception):  # noqa: N818 - named like AnswerUnclear
    """A refusal equals an earlier one; ``settle`` of the connection tells whether it repeats that.

    :param in_transaction: whether a transaction is open.
    """

    def __init__(self, *, in_transaction: bool) -> None:
        super().__init__("a refusal equals an earlier one")
        self.in_transaction = in_transaction


class AnswerUnclear(ConnectionLost):
    """What arrived cannot be told from a repetition of an earlier answer; nothing is known."""

    def __init__(self, message: str) -> None:
        super().__init__(message, sent=True)
