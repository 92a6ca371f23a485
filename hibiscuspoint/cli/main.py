"""Entry point of the command line."""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING

import hibiscuspoint.cli.commands  # noqa: F401 - fills the registry
from hibiscuspoint.cli.command import commands
from hibiscuspoint.cli.errors import ExitStatus, UsageError, exit_status
from hibiscuspoint.cli.output import Output
from hibiscuspoint.cli.parser import build_parser
from hibiscuspoint.errors import HibiscusError

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["main"]

#: Exit status of a process that SIGINT ended, by convention of shells.
INTERRUPTED = 130


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
