"""Base classes and registry of the commands."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from hibiscuspoint.cli.options import open_client
from hibiscuspoint.registry import Registry

if TYPE_CHECKING:
    import argparse

    from hibiscuspoint.cli.client import Client
    from hibiscuspoint.cli.output import Output

__all__ = ["Command", "RemoteCommand", "commands"]


class Command(ABC):
    """One command; an instance serves one call."""

    #: One sentence for the list of commands.
    summary = ""
    #: Complete command lines for ``--help``.
    examples: tuple[str, ...] = ()

    def __init__(self, args: argparse.Namespace, output: Output) -> None:
        self.args = args
        self.output = output

    @classmethod  # noqa: B027  a command without options of its own keeps it empty
    def configure(cls, parser: argparse.ArgumentParser) -> None:
        """Add the options of the command."""

    @abstractmethod
    def run(self) -> int:
        """Run the command and return the exit status.

        :raises HibiscusError: the command failed.
        """


class RemoteCommand(Command):
    """A command that calls the instances of ``--connect``."""

    def run(self) -> int:
        """Run :meth:`act` with a client."""
        client = open_client(self.args, self.args.connect)
        return asyncio.run(self.act(client))

    @abstractmethod
    async def act(self, client: Client) -> int:
        """Run the command and return the exit status."""


#: Commands by name, in the order of ``--help``.
commands: Registry[type[Command]] = Registry("command")
