"""``hibiscuspoint show``: prints an accepted document."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.cli.command import RemoteCommand, commands
from hibiscuspoint.cli.in_force import fetch_document, fetch_in_force

if TYPE_CHECKING:
    import argparse

    from hibiscuspoint.cli.client import Client

__all__ = ["ShowCommand"]


@commands.register("show")
class ShowCommand(RemoteCommand):
    """Prints the TOML text of the document in force or of an earlier one."""

    summary = "Print the document in force, or an earlier one."
    examples = (
        "hibiscuspoint show --connect 10.0.0.1:7400 --tls-ca ca.pem > current.toml",
        "hibiscuspoint show --number 12 --connect 10.0.0.1:7400 --tls-ca ca.pem",
    )

    @classmethod
    def configure(cls, parser: argparse.ArgumentParser) -> None:
        """Add the number."""
        parser.add_argument("--number", type=int, metavar="N", help="an earlier document")

    async def act(self, client: Client) -> int:
        """Print the document."""
        if self.args.number is None:
            document = (await fetch_in_force(client)).document
        else:
            document, _ = await fetch_document(client, self.args.number)
        data = {
            "number": document.number,
            "digest": document.digest,
            "document": document.text,
        }
        self.output.result(data, document.text.rstrip("\n"))
        return 0
