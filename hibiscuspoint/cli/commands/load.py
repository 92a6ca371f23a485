"""``hibiscuspoint load``: runs a load description."""

from __future__ import annotations

import importlib
import json
from typing import TYPE_CHECKING

from hibiscuspoint.cli.command import Command, commands
from hibiscuspoint.cli.errors import ExitStatus
from hibiscuspoint.cli.options import add_file_argument

if TYPE_CHECKING:
    import argparse

__all__ = ["LoadCommand"]


@commands.register("load")
class LoadCommand(Command):
    """Hands a file to the load tool."""

    summary = "Run a load description."
    examples = ("hibiscuspoint load experiment.toml",)

    @classmethod
    def configure(cls, parser: argparse.ArgumentParser) -> None:
        """Add the file."""
        add_file_argument(parser, "file", "load description")

    def run(self) -> int:
        """Run the load tool; a violated guarantee is a failure."""
        # The load tool imports much that the other commands do not need.
        tool = importlib.import_module("hibiscuspoint.load.tool")
        result = tool.run(self.args.file)
        self.output.result(result.summary, json.dumps(result.summary, indent=2))
        return int(ExitStatus.SUCCESS if result.holds else ExitStatus.FAILURE)
