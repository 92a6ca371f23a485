"""``hibiscuspoint apply``: submits a document."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.cli.command import RemoteCommand, commands
from hibiscuspoint.cli.options import add_file_argument, add_wait_options
from hibiscuspoint.cli.submission import submit
from hibiscuspoint.document import Document

if TYPE_CHECKING:
    import argparse

    from hibiscuspoint.cli.client import Client

__all__ = ["ApplyCommand"]


@commands.register("apply")
class ApplyCommand(RemoteCommand):
    """Submits a document; the same document may be submitted any number of times."""

    summary = "Submit a document; safe to repeat after a lost reply."
    examples = (
        "hibiscuspoint apply trial.toml --wait --connect 10.0.0.1:7400,10.0.0.2:7400 "
        "--tls-ca ca.pem",
    )

    @classmethod
    def configure(cls, parser: argparse.ArgumentParser) -> None:
        """Add the file and the wait."""
        add_file_argument(parser, "file", "document")
        add_wait_options(parser, "return when every live instance reports the number")

    async def act(self, client: Client) -> int:
        """Submit the document."""
        document = Document.from_file(self.args.file)
        await submit(client, document, self.args, self.output)
        return 0
