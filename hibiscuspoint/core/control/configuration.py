"""Acceptance of documents by compare-and-set on their number."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from hibiscuspoint.errors import ConfigurationConflictError

if TYPE_CHECKING:
    from hibiscuspoint.core.control.state import ControlState

__all__ = ["SubmissionOutcome", "judge_submission"]


class SubmissionOutcome(Enum):
    """What to do with a submitted document."""

    #: The number is the next one; propose the document.
    PROPOSE = "propose"
    #: The same document was accepted before.
    ACCEPTED = "accepted"


def judge_submission(state: ControlState, number: int, digest: str) -> SubmissionOutcome:
    """Compare a submission with the accepted documents.

    :param number: number of the submitted document.
    :param digest: digest of its content.
    :raises ConfigurationConflictError: the number is taken by another document or is not the next.
    """
    current = state.document.number if state.document else 0
    if number == current + 1:
        return SubmissionOutcome.PROPOSE
    if number > current:
        raise ConfigurationConflictError(
            f"document number {number} is not the next one; the document in force is {current}"
        )
    for document in state.documents:
        if document.number == number and document.digest == digest:
            return SubmissionOutcome.ACCEPTED
        if document.number == number:
            raise ConfigurationConflictError(
                f"document number {number} is taken by the document with digest {document.digest}"
            )
    raise ConfigurationConflictError(
        f"document number {number} is older than the kept history; {current} is in force"
    )
