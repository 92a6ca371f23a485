"""Errors of the command line and the exit status of every error."""

from __future__ import annotations

from enum import IntEnum

from hibiscuspoint.errors import (
    ERROR_CODES,
    ConfigurationConflictError,
    ConfigurationError,
    HibiscusError,
    IdempotencyConflictError,
    RequestError,
)
from hibiscuspoint.verdict import Verdict

__all__ = [
    "AccessRefusedError",
    "ExitStatus",
    "IncompleteAnswerError",
    "OutcomeUnknownError",
    "PromotionRefusedError",
    "SessionFileError",
    "UnreachableError",
    "UsageError",
    "WaitError",
    "error_from_wire",
    "exit_status",
]


class ExitStatus(IntEnum):
    """Exit status of the command line."""

    SUCCESS = 0
    FAILURE = 1
    USAGE = 2
    UNKNOWN = 3
    CONFLICT = 4


class UsageError(HibiscusError):
    """The command line or a named file is not usable."""

    code = "HP3001"
    hint = "Run the command with --help for its options and examples."
    verdict = Verdict.NOT_RUN


class UnreachableError(HibiscusError):
    """No named instance accepted a connection."""

    code = "HP3002"
    hint = "Check --connect and the TLS options, or name further instances."
    verdict = Verdict.NOT_RUN


class OutcomeUnknownError(HibiscusError):
    """The request was sent and its reply was lost."""

    code = "HP3003"
    hint = "Check the outcome before you repeat the command."


class AccessRefusedError(HibiscusError):
    """The instance does not let the certificate call the service."""

    code = "HP3008"
    hint = "Use a certificate with a name of [tls] operators in the settings of the instances."
    verdict = Verdict.NOT_RUN


class PromotionRefusedError(HibiscusError):
    """The conditions of the promotion are not met."""

    code = "HP3004"
    hint = "Wait until the conditions in [promotion] are met, or correct the document in trial."
    verdict = Verdict.NOT_RUN


class WaitError(HibiscusError):
    """The act was accepted and did not finish within the time to wait."""

    code = "HP3005"
    hint = "Run 'hibiscuspoint status' to follow the progress; the command may be repeated."


class IncompleteAnswerError(HibiscusError):
    """The reply belongs to another request or is not complete."""

    code = "HP3006"
    hint = "Check the outcome before you repeat the command, and report this fault."


class SessionFileError(HibiscusError):
    """The request was answered and its session token could not be saved."""

    code = "HP3007"
    hint = "Make the file writable; until then, reads may not see this request."
    verdict = Verdict.DONE


_STATUS_BY_CODE = {
    ConfigurationError.code: ExitStatus.USAGE,
    UsageError.code: ExitStatus.USAGE,
    RequestError.code: ExitStatus.USAGE,
    ConfigurationConflictError.code: ExitStatus.CONFLICT,
    IdempotencyConflictError.code: ExitStatus.CONFLICT,
}


def exit_status(error: HibiscusError) -> ExitStatus:
    """Return the exit status of an error."""
    if error.code in _STATUS_BY_CODE:
        return _STATUS_BY_CODE[error.code]
    unknown = error.verdict is Verdict.MAY_HAVE_RUN
    return ExitStatus.UNKNOWN if unknown else ExitStatus.FAILURE


def error_from_wire(
    code: str, message: str, hint: str, verdict: int = 0, rolled_back: bool = False
) -> HibiscusError:
    """Return the error that an instance reported; a code of a later version is kept.

    :param verdict: value of ``common.proto``; the default of the class is used when 0.
    """
    stated = Verdict(verdict) if verdict in {item.value for item in Verdict} else None
    kind = ERROR_CODES.get(code, HibiscusError)
    error = kind(message, hint=hint, verdict=stated, rolled_back=rolled_back)
    error.code = code
    return error
