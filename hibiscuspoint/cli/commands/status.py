"""``hibiscuspoint status``: shows groups, instances and control."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from hibiscuspoint.cli.command import RemoteCommand, commands
from hibiscuspoint.cli.options import positive_seconds
from hibiscuspoint.cli.output import as_dict
from hibiscuspoint.errors import HibiscusError
from hibiscuspoint.util.text import format_table

if TYPE_CHECKING:
    import argparse

    from hibiscuspoint.cli.client import Client
    from hibiscuspoint.wire import peer_pb2

__all__ = ["StatusCommand", "status_text"]

DEFAULT_INTERVAL = 1.0


@commands.register("status")
class StatusCommand(RemoteCommand):
    """Shows the leader, every group with its targets, and every instance."""

    summary = "Show groups, targets, instances and the control group."
    examples = (
        "hibiscuspoint status --connect 10.0.0.1:7400 --tls-ca ca.pem",
        "hibiscuspoint status --watch --interval 2 --connect 10.0.0.1:7400 --tls-ca ca.pem",
    )

    @classmethod
    def configure(cls, parser: argparse.ArgumentParser) -> None:
        """Add the repetition."""
        parser.add_argument("--watch", action="store_true", help="repeat until interrupted")
        parser.add_argument(
            "--interval",
            type=positive_seconds,
            default=DEFAULT_INTERVAL,
            metavar="SECONDS",
            help=f"time between two outputs of --watch (default {DEFAULT_INTERVAL:g})",
        )

    async def act(self, client: Client) -> int:
        """Print the state once, or until interrupted."""
        if not self.args.watch:
            self._print(await client.status())
            return 0
        while True:
            try:
                self._print(await client.status())
            except HibiscusError as error:
                self.output.error(error)
            await asyncio.sleep(self.args.interval)

    def _print(self, status: peer_pb2.StatusReply) -> None:
        text = status_text(status)
        if self.args.watch:
            text = f"--- {time.strftime('%H:%M:%S')}\n{text}"
        self.output.result(as_dict(status), text)


def status_text(status: peer_pb2.StatusReply) -> str:
    """Return the state as tables."""
    head = (
        f"environment {status.environment}, document {status.document_number} "
        f"({status.document_digest[:12] or 'none'}), "
        f"leader {status.leader or 'none'}, control term {status.control_term}"
    )
    parts = [head, _groups(status), _targets(status), _instances(status), _control(status)]
    return "\n\n".join(parts)


def _groups(status: peer_pb2.StatusReply) -> str:
    rows = [
        (
            group.group,
            group.term,
            group.primary or "none",
            group.phase,
            " ".join(holder.instance for holder in group.holders),
        )
        for group in status.groups
    ]
    return format_table(["group", "term", "primary", "phase", "holders"], rows)


def _targets(status: peer_pb2.StatusReply) -> str:
    rows = [
        (
            target.target,
            group.group,
            target.availability_zone,
            "primary" if target.primary else "replica",
            f"{target.received.term}:{target.received.index}",
            target.applied,
            f"{target.silent_ms} ms",
            _shares(target),
            "leaving" if target.leaving else "",
        )
        for group in status.groups
        for target in group.targets
    ]
    header = [
        "target",
        "group",
        "zone",
        "role",
        "received",
        "applied",
        "silent",
        "open/granted",
        "",
    ]
    return format_table(header, rows)


def _shares(target: peer_pb2.TargetStatus) -> str:
    """Return the open and the granted connections of each holder."""
    return " ".join(
        f"{share.instance}:{share.open_connections}/{share.granted}" for share in target.shares
    )


def _instances(status: peer_pb2.StatusReply) -> str:
    rows = [
        (
            item.instance,
            item.availability_zone,
            item.address,
            item.document_number,
            f"{item.silent_ms} ms",
            "draining" if item.draining else "",
        )
        for item in status.instances
    ]
    return format_table(["instance", "zone", "address", "document", "silent", ""], rows)


def _control(status: peer_pb2.StatusReply) -> str:
    rows = [(member.instance, member.role, member.match_index) for member in status.control]
    return format_table(["control", "role", "match index"], rows)
