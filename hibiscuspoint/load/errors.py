"""Errors that the caller library itself raises."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.errors import ERROR_CODES, HibiscusError
from hibiscuspoint.verdict import Verdict

if TYPE_CHECKING:
    from hibiscuspoint.wire import caller_pb2

__all__ = [
    "EntryLostError",
    "EntryUnreachableError",
    "IncompleteAnswerError",
    "UnknownReplyError",
    "error_from_reply",
]


class EntryUnreachableError(HibiscusError):
    """The connection to an entry was refused before anything was sent."""

    code = "HP5001"
    hint = "Use another entry instance."
    verdict = Verdict.NOT_RUN


class EntryLostError(HibiscusError):
    """The call broke, or its time ended, after it was handed to the connection."""

    code = "HP5002"
    hint = "Repeat with the same request id if one was given; otherwise check the outcome first."


class IncompleteAnswerError(HibiscusError):
    """The answer does not belong to the call, or is not whole."""

    code = "HP5003"
    hint = "Report this as a fault of hibiscuspoint."


class UnknownReplyError(HibiscusError):
    """The reply carries an error code or verdict that this library does not know."""

    code = "HP5004"
    hint = "Use a caller library of the same version as the entry."


def error_from_reply(reply: caller_pb2.ExecuteReply) -> HibiscusError:
    """Return the typed error of a rejected reply.

    An unset verdict counts as ``MAY_HAVE_RUN``, because it excludes nothing.
    """
    error_type = ERROR_CODES.get(reply.error.code, UnknownReplyError)
    verdict = Verdict(reply.verdict) if reply.verdict else Verdict.MAY_HAVE_RUN
    message = reply.error.message or f"the entry rejected the call with verdict {verdict.name}"
    return error_type(
        message,
        hint=reply.error.hint,
        verdict=verdict,
        rolled_back=reply.error.rolled_back,
    )
