"""``hibiscuspoint completion``: prints a completion script."""

from __future__ import annotations

from typing import TYPE_CHECKING

import shtab

from hibiscuspoint.cli.command import Command, commands
from hibiscuspoint.cli.parser import build_parser

if TYPE_CHECKING:
    import argparse

__all__ = ["CompletionCommand"]


@commands.register("completion")
class CompletionCommand(Command):
    """Prints a script that a shell reads."""

    summary = "Print the completion script of a shell."
    examples = (
        "hibiscuspoint completion bash > ~/.local/share/bash-completion/completions/hibiscuspoint",
    )

    @classmethod
    def configure(cls, parser: argparse.ArgumentParser) -> None:
        """Add the shell."""
        parser.add_argument("shell", choices=shtab.SUPPORTED_SHELLS)

    def run(self) -> int:
        """Print the script."""
        print(shtab.complete(build_parser(), self.args.shell))
        return 0
