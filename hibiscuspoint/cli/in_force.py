"""The document in force in an environment."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.cli.errors import IncompleteAnswerError, UsageError
from hibiscuspoint.document import Document
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND
from hibiscuspoint.verdict import Verdict

if TYPE_CHECKING:
    from hibiscuspoint.cli.client import Client
    from hibiscuspoint.wire import peer_pb2

__all__ = ["InForce", "fetch_document", "fetch_in_force"]


@dataclass(frozen=True)
class InForce:
    """A document and when it was accepted."""

    document: Document
    #: Unix time in seconds.
    accepted_at: float
    status: peer_pb2.StatusReply


async def fetch_in_force(client: Client) -> InForce:
    """Return the document in force.

    :raises UsageError: no document was accepted yet.
    """
    status = await client.status()
    if status.document_number == 0:
        raise UsageError(
            f"environment {status.environment!r} has no document yet",
            hint="Submit the first document, number 1, with 'hibiscuspoint apply'.",
        )
    document, accepted_at = await fetch_document(client, status.document_number)
    return InForce(document, accepted_at, status)


async def fetch_document(client: Client, number: int) -> tuple[Document, float]:
    """Return an accepted document and the Unix time in seconds of its acceptance.

    :raises UsageError: the history does not hold the number.
    :raises IncompleteAnswerError: the text does not have the digest that was accepted.
    """
    for limit in (1, 0):
        reply = await client.history(limit)
        found = [entry for entry in reply.entries if entry.number == number]
        if found:
            break
    else:
        raise UsageError(
            f"the history holds no document {number}",
            hint="Run 'hibiscuspoint history' for the numbers that it holds.",
        )
    entry = found[0]
    document = Document.from_text(entry.document, source=f"document {number}")
    if document.digest != entry.digest:
        raise IncompleteAnswerError(
            f"document {number} arrived with another digest than {entry.digest}",
            verdict=Verdict.NOT_RUN,
        )
    return document, entry.accepted_at_ms / MILLISECONDS_PER_SECOND
