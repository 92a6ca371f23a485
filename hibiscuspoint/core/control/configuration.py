"""Checks of submitted documents: compare-and-set on their number, and fixed quorums."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from hibiscuspoint.errors import ConfigurationConflictError, ConfigurationError

if TYPE_CHECKING:
    from hibiscuspoint.core.control.state import ControlState
    from hibiscuspoint.document import Document

__all__ = ["SubmissionOutcome", "check_formed_groups", "judge_submission"]


class SubmissionOutcome(Enum):
    """What to do with a submitted document."""

    #: The number is the next one; the document is to be proposed.
    PROPOSE = "propose"
    #: The same document was accepted before.
    ACCEPTED = "accepted"


def judge_submission(state: ControlState, number: int, digest: str) -> SubmissionOutcome:
    """Compare the number and the digest of a submission with the accepted documents.

    :param number: number of the submitted document.
    :param digest: digest of its content.
    :raises ConfigurationConflictError: if another document has the number, or if it is neither the
        next one nor in the history.
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


def check_formed_groups(state: ControlState, document: Document) -> None:
    """Check that a document does not change the quorums of formed groups.

    A promotion that assumes a larger quorum could miss a write that a smaller one acknowledged.

    :raises ConfigurationError: if the number of members or ``ack_quorum`` of groups would change;
        the text lists these groups.
    """
    problems = []
    for group, record in state.groups.items():
        rules = document.groups.get(group)
        if rules is None:
            continue
        if (rules.members, rules.quorum) != (len(record.members), record.ack_quorum):
            problems.append(
                f"group {group!r} was formed with {len(record.members)} members and "
                f"ack_quorum {record.ack_quorum}, which cannot change"
            )
    if problems:
        raise ConfigurationError("; ".join(problems))
