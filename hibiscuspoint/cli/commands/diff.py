"""``hibiscuspoint diff``: compares a document with the one in force."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from hibiscuspoint.cli.command import Command, commands
from hibiscuspoint.cli.in_force import fetch_in_force
from hibiscuspoint.cli.options import add_file_argument, open_client
from hibiscuspoint.document import Document, diff

if TYPE_CHECKING:
    import argparse

__all__ = ["DiffCommand"]


@commands.register("diff")
class DiffCommand(Command):
    """Prints each key that differs, with defaults applied to both documents."""

    summary = "Show what a document changes in the one in force, or in another file."
    examples = (
        "hibiscuspoint diff trial.toml --connect 10.0.0.1:7400 --tls-ca ca.pem",
        "hibiscuspoint diff trial.toml --against previous.toml",
    )

    @classmethod
    def configure(cls, parser: argparse.ArgumentParser) -> None:
        """Add both files."""
        add_file_argument(parser, "file", "new document")
        add_file_argument(parser, "--against", "old document, in place of the one in force")

    def run(self) -> int:
        """Print the changes."""
        new = Document.from_file(self.args.file)
        changes = diff(self._old(), new)
        lines = [str(change) for change in changes] or ["no differences"]
        self.output.result([dataclasses.asdict(change) for change in changes], "\n".join(lines))
        return 0

    def _old(self) -> Document:
        if self.args.against is not None:
            return Document.from_file(self.args.against)
        client = open_client(self.args, self.args.connect)
        return asyncio.run(fetch_in_force(client)).document
