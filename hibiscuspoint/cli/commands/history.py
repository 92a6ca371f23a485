"""``hibiscuspoint history``: lists accepted documents."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import TYPE_CHECKING

from hibiscuspoint.cli.command import RemoteCommand, commands
from hibiscuspoint.cli.output import as_dict
from hibiscuspoint.util.text import format_table
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND

if TYPE_CHECKING:
    import argparse

    from hibiscuspoint.cli.client import Client

__all__ = ["HistoryCommand"]

DEFAULT_LIMIT = 20


@commands.register("history")
class HistoryCommand(RemoteCommand):
    """Lists number, digest and time of the accepted documents, the latest first."""

    summary = "List the accepted documents."
    examples = ("hibiscuspoint history --limit 5 --connect 10.0.0.1:7400 --tls-ca ca.pem",)

    @classmethod
    def configure(cls, parser: argparse.ArgumentParser) -> None:
        """Add the limit."""
        parser.add_argument(
            "--limit",
            type=int,
            choices=range(1001),
            default=DEFAULT_LIMIT,
            metavar="N",
            help=f"latest N documents; 0 for all (default {DEFAULT_LIMIT})",
        )

    async def act(self, client: Client) -> int:
        """Print the history."""
        reply = await client.history(self.args.limit)
        entries = sorted(reply.entries, key=lambda entry: entry.number, reverse=True)
        rows = [
            (entry.number, entry.digest, _time(entry.accepted_at_ms / MILLISECONDS_PER_SECOND))
            for entry in entries
        ]
        text = format_table(["number", "digest", "accepted"], rows)
        self.output.result([as_dict(entry) for entry in entries], text)
        return 0


def _time(at: float) -> str:
    return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%d %H:%M:%SZ")
