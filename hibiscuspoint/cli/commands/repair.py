"""``hibiscuspoint repair``: replaces a lost control instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.cli.acts import ActCommand
from hibiscuspoint.cli.command import commands

if TYPE_CHECKING:
    import argparse

    from hibiscuspoint.cli.client import Client
    from hibiscuspoint.wire import peer_pb2

__all__ = ["RepairCommand"]


@commands.register("repair")
class RepairCommand(ActCommand):
    """Replaces the voter of an instance that lost its disk."""

    summary = "Replace the voter of a control instance that lost its disk."
    examples = ("hibiscuspoint repair ba-2 --wait --connect 10.0.0.1:7400 --tls-ca ca.pem",)
    wait_text = "return when losing any other control instance would lose nothing"

    @classmethod
    def configure(cls, parser: argparse.ArgumentParser) -> None:
        """Add the instance."""
        parser.add_argument("instance", metavar="INSTANCE", help="control instance")
        super().configure(parser)

    async def request(self, client: Client) -> peer_pb2.ActReply:
        """Request the repair."""
        return await client.repair(self.args.instance)
