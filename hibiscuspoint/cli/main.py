"""Entry point of the command line."""

from __future__ import annotations

import argparse
import os
import sys
from typing import TYPE_CHECKING, NoReturn

import hibiscuspoint
import hibiscuspoint.cli.commands
from hibiscuspoint.cli.command import commands
from hibiscuspoint.cli.errors import ExitStatus, UsageError, exit_status
from hibiscuspoint.cli.options import add_shared_options
from hibiscuspoint.cli.output import Output
from hibiscuspoint.errors import HibiscusError

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["build_parser", "main"]

_EXIT_TEXT = """exit status:
  0  success
  1  failure; the request did not run, or a target refused the statement
  2  wrong usage, a request that is not valid, or configuration that is not valid
  3  the outcome is unknown; the request may have run
  4  conflict with another submission
"""
#: Exit status of a process that SIGINT ended, by convention of shells.
INTERRUPTED = 130


class _Parser(argparse.ArgumentParser):
    """Reports wrong usage in the form of all other errors."""

    def error(self, message: str) -> NoReturn:
        self.print_usage(sys.stderr)
        Output(is_json=False).error(UsageError(message))
        raise SystemExit(int(ExitStatus.USAGE))


def build_parser() -> argparse.ArgumentParser:
    """Return the parser with all commands."""
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


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command and return the exit status.

    :param argv: arguments without the program name; those of the process when ``None``.
    """
    try:
        args = build_parser().parse_args(argv)
    except SystemExit as end:
        return end.code if isinstance(end.code, int) else int(ExitStatus.USAGE)
    output = Output(args.output == "json")
    try:
        return commands.get(args.command)(args, output).run()
    except HibiscusError as error:
        output.error(error)
        return int(exit_status(error))
    except BrokenPipeError:
        # The reader of the output has gone; the interpreter must not write to it at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return int(ExitStatus.FAILURE)
    except OSError as error:
        output.error(UsageError(f"{error.filename or 'the system'}: {error.strerror or error}"))
        return int(ExitStatus.USAGE)
    except KeyboardInterrupt:
        return INTERRUPTED
