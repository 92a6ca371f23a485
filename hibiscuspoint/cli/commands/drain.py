"""``hibiscuspoint drain``: takes an instance or a target out of service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.cli.acts import ActCommand
from hibiscuspoint.cli.command import commands

if TYPE_CHECKING:
    import argparse

    from hibiscuspoint.cli.client import Client
    from hibiscuspoint.wire import peer_pb2

__all__ = ["DrainCommand"]


@commands.register("drain")
class DrainCommand(ActCommand):
    """Gives no new work to an instance or a target; work in progress completes."""

    summary = "Take an instance or a target out of service without interrupting requests."
    examples = ("hibiscuspoint drain ledger-2 --wait --connect 10.0.0.1:7400 --tls-ca ca.pem",)
    wait_text = "return when no work is left on the subject"

    @classmethod
    def configure(cls, parser: argparse.ArgumentParser) -> None:
        """Add the subject."""
        parser.add_argument("subject", metavar="SUBJECT", help="instance id or target id")
        super().configure(parser)

    async def request(self, client: Client) -> peer_pb2.ActReply:
        """Request the drain."""
        return await client.drain(self.args.subject)
