"""``hibiscuspoint check``: validates a file."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.cli.command import Command, commands
from hibiscuspoint.cli.options import add_file_argument
from hibiscuspoint.document import Document
from hibiscuspoint.settings import NodeSettings
from hibiscuspoint.util.schema import parse_toml, read_text

if TYPE_CHECKING:
    import argparse

__all__ = ["CheckCommand"]


@commands.register("check")
class CheckCommand(Command):
    """Lists every problem of a document or of the settings of a node."""

    summary = "Check an environment document or a node.toml without any instance."
    examples = ("hibiscuspoint check trial.toml", "hibiscuspoint check node.toml")

    @classmethod
    def configure(cls, parser: argparse.ArgumentParser) -> None:
        """Add the file."""
        add_file_argument(parser, "file", "document or node settings")

    def run(self) -> int:
        """Check the file; one with a table ``[node]`` holds node settings."""
        path = self.args.file
        if "node" in parse_toml(read_text(path), str(path)):
            settings = NodeSettings.from_file(path)
            data = {"kind": "settings", "instance": settings.node.instance}
            self.output.result(data, f"{path}: valid settings of {settings.node.instance}")
            return 0
        document = Document.from_file(path)
        data = {
            "kind": "document",
            "environment": document.environment,
            "number": document.number,
            "digest": document.digest,
        }
        text = f"{path}: valid document {document.number} of {document.environment}"
        self.output.result(data, f"{text}, digest {document.digest}")
        return 0
