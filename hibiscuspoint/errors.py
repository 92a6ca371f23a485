"""Errors with a stable code, a hint for the reader and a verdict."""

from __future__ import annotations

from typing import Any

from hibiscuspoint.verdict import Verdict

__all__ = [
    "ERROR_CODES",
    "ConfigurationConflictError",
    "ConfigurationError",
    "DeadlineError",
    "HibiscusError",
    "HolderLostError",
    "IdempotencyConflictError",
    "IdempotencyExpiredError",
    "LimitError",
    "NoHolderError",
    "NoPrimaryError",
    "NotLeaderError",
    "NotReadyError",
    "OverloadError",
    "RequestError",
    "StatementError",
    "TargetLostError",
    "TokenError",
    "TransactionStateError",
]

#: Error classes by code, in the order of their definition.
ERROR_CODES: dict[str, type[HibiscusError]] = {}


class HibiscusError(Exception):
    """Base of all errors that reach a caller or an operator.

    :param message: what is wrong, in one sentence without capital first letter and final period.
    :param hint: what the reader can do; the default of the class is used when empty.
    :param verdict: whether the request ran; the default of the class is used when ``None``.
    :param rolled_back: true when the commit was never sent, so the target rolls back.
    """

    code = "HP0000"
    hint = "Report this as a fault of hibiscuspoint."
    verdict = Verdict.MAY_HAVE_RUN

    def __init__(
        self,
        message: str,
        *,
        hint: str = "",
        verdict: Verdict | None = None,
        rolled_back: bool = False,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.hint = hint or type(self).hint
        self.verdict = verdict or type(self).verdict
        self.rolled_back = rolled_back

    def __init_subclass__(cls, **kwargs: object) -> None:
        super().__init_subclass__(**kwargs)
        if cls.code in ERROR_CODES:
            raise TypeError(f"error code {cls.code} is used twice")
        ERROR_CODES[cls.code] = cls


class ConfigurationError(HibiscusError):
    """A settings file or a document is not valid."""

    code = "HP1001"
    hint = "Correct the listed keys and submit again."
    verdict = Verdict.NOT_RUN


class ConfigurationConflictError(HibiscusError):
    """Another document holds the submitted number."""

    code = "HP1002"
    hint = "Run 'hibiscuspoint diff' against the document in force and take the next number."
    verdict = Verdict.NOT_RUN


class NotLeaderError(HibiscusError):
    """The instance cannot act as control leader."""

    code = "HP1003"
    hint = "Try again in a few seconds; 'hibiscuspoint status' names the leader."
    verdict = Verdict.NOT_RUN


class RequestError(HibiscusError):
    """The request itself is not valid."""

    code = "HP2001"
    hint = "Correct the request."
    verdict = Verdict.NOT_RUN


class TokenError(HibiscusError):
    """The session token is damaged, forged or of another environment."""

    code = "HP2002"
    hint = "Start a new session without a token."
    verdict = Verdict.NOT_RUN


class NotReadyError(HibiscusError):
    """The entry has no valid configuration or is stopping."""

    code = "HP2003"
    hint = "Use another entry instance."
    verdict = Verdict.NOT_RUN


class NoPrimaryError(HibiscusError):
    """No primary of the group can be used before the deadline."""

    code = "HP2004"
    hint = "Try again; a promotion may be under way."
    verdict = Verdict.NOT_RUN


class OverloadError(HibiscusError):
    """The queue is full or the deadline cannot be met."""

    code = "HP2005"
    hint = "Reduce the load or allow more time."
    verdict = Verdict.NOT_RUN


class DeadlineError(HibiscusError):
    """The time of the request ended."""

    code = "HP2006"
    hint = "Allow more time; repeat with the same request id if one was given."


class TargetLostError(HibiscusError):
    """The connection to the target failed after the request was sent."""

    code = "HP2007"
    hint = "Repeat with the same request id if one was given; otherwise check the outcome first."


class StatementError(HibiscusError):
    """The target rejected a statement."""

    code = "HP2008"
    hint = "Correct the statement."
    verdict = Verdict.DONE


class IdempotencyConflictError(HibiscusError):
    """The request id was used for another request."""

    code = "HP2009"
    hint = "Use a new request id for each request."
    verdict = Verdict.NOT_RUN


class IdempotencyExpiredError(HibiscusError):
    """The request id is older than the retention."""

    code = "HP2010"
    hint = "Check the outcome in the database; the id is too old to tell whether it ran."


class TransactionStateError(HibiscusError):
    """The step does not fit the state of the transaction."""

    code = "HP2011"
    hint = "Begin a new transaction."


class LimitError(HibiscusError):
    """A limit on requests or transactions of a caller is reached.

    :param limit: key of the limit in the settings.
    """

    code = "HP2012"
    hint = "Finish open transactions or send smaller requests."
    verdict = Verdict.NOT_RUN

    def __init__(self, message: str, *, limit: str = "", **rest: Any) -> None:
        super().__init__(message, **rest)
        self.limit = limit


class NoHolderError(HibiscusError):
    """No holder of the group can be reached."""

    code = "HP2013"
    hint = "Try again; a new holder may be elected shortly."
    verdict = Verdict.NOT_RUN


class HolderLostError(TargetLostError):
    """The connection to a holder failed after the request was forwarded."""

    code = "HP2014"
