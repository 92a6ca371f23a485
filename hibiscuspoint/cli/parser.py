"""The parser of the command line."""

from __future__ import annotations

import argparse
import sys
from typing import NoReturn

import hibiscuspoint
from hibiscuspoint.cli.command import commands
from hibiscuspoint.cli.errors import ExitStatus, UsageError
from hibiscuspoint.cli.options import add_shared_options
from hibiscuspoint.cli.output import Output

__all__ = ["build_parser"]

_EXIT_TEXT = """exit status:
  0  success
  1  failure; the request did not run, or a target refused the statement
  2  wrong usage, a request that is not valid, or configuration that is not valid
  3  the outcome is unknown; the request may have run
  4  conflict with another submission
"""


class _Parser(argparse.ArgumentParser):
    """Reports wrong usage in the form of all other errors."""

    def error(self, message: str) -> NoReturn:
        self.print_usage(sys.stderr)
        Output(is_json=False).error(UsageError(message))
        raise SystemExit(int(ExitStatus.USAGE))


def build_parser() -> argparse.ArgumentParser:
    """Return the parser with all commands that are registered."""
    parser = _Parser(
        prog="hibiscuspoint",
        description="Operates hibiscuspoint and sends requests through it.",
        epilog=_EXIT_TEXT,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    version = f"hibiscuspoint {hibiscuspoint.__version__}"
    parser.add_argument("--version", action="version", version=version)
    add_shared_options(parser, with_defaults=True)
    subparsers = parser.add_subparsers(
        dest="command", metavar="COMMAND", required=True, parser_class=_Parser
    )
    for name in commands.names:
        command = commands.get(name)
        subparser = subparsers.add_parser(
            name,
            help=command.summary,
            description=command.summary,
            epilog="examples:\n" + "".join(f"  {line}\n" for line in command.examples),
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        command.configure(subparser)
        add_shared_options(subparser, with_defaults=False)
    return parser
