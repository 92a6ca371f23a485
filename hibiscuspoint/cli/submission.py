"""Submission of a document."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.cli.errors import IncompleteAnswerError
from hibiscuspoint.cli.waiting import wait_for_number

if TYPE_CHECKING:
    import argparse

    from hibiscuspoint.cli.client import Client
    from hibiscuspoint.cli.output import Output
    from hibiscuspoint.document import Document

__all__ = ["submit"]


async def submit(
    client: Client, document: Document, args: argparse.Namespace, output: Output
) -> None:
    """Submit a document and print the result.

    :param args: ``wait`` and ``wait_seconds`` of the command.
    :raises HibiscusError: the document is refused, or is not in force in time.
    """
    reply = await client.submit(document.text)
    if not reply.accepted or (reply.number, reply.digest) != (document.number, document.digest):
        raise IncompleteAnswerError(
            f"the reply to document {document.number} names document {reply.number} "
            f"with digest {reply.digest or '(none)'}"
        )
    if args.wait:
        await wait_for_number(client, document.number, output, args.wait_seconds)
    data = {
        "environment": document.environment,
        "number": document.number,
        "digest": document.digest,
        "in_force_everywhere": bool(args.wait),
    }
    state = "in force on every live instance" if args.wait else "accepted"
    text = f"Document {document.number} of {document.environment} is {state}."
    output.result(data, f"{text} Digest {document.digest}.")
