"""``hibiscuspoint switchover``: moves the primary of a group."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.cli.acts import expect_accepted
from hibiscuspoint.cli.command import RemoteCommand, commands
from hibiscuspoint.cli.errors import UsageError
from hibiscuspoint.cli.options import add_wait_options
from hibiscuspoint.cli.waiting import wait_until

if TYPE_CHECKING:
    import argparse

    from hibiscuspoint.cli.client import Client
    from hibiscuspoint.wire import peer_pb2

__all__ = ["SwitchoverCommand"]


@commands.register("switchover")
class SwitchoverCommand(RemoteCommand):
    """Moves the primary; a target that is already primary is left in place."""

    summary = "Move the primary of a group to another target."
    examples = (
        "hibiscuspoint switchover ledger --to ledger-2 --wait --connect 10.0.0.1:7400 "
        "--tls-ca ca.pem",
    )

    @classmethod
    def configure(cls, parser: argparse.ArgumentParser) -> None:
        """Add the group and the target."""
        parser.add_argument("group", metavar="GROUP", help="group")
        parser.add_argument("--to", default="", metavar="TARGET", help="new primary")
        add_wait_options(parser, "return when another target is primary")

    async def act(self, client: Client) -> int:
        """Request the switchover."""
        before = _group(await client.status(), self.args.group)
        if self.args.to and before.primary == self.args.to:
            return self._finish(before.primary, is_finished=True)
        reply = expect_accepted(await client.switchover(self.args.group, self.args.to))
        primary = before.primary
        if self.args.wait:
            primary = await self._wait(client, before)
        return self._finish(primary, is_finished=self.args.wait or reply.finished)

    async def _wait(self, client: Client, before: peer_pb2.GroupStatus) -> str:
        primary = before.primary

        async def step() -> tuple[bool, str]:
            nonlocal primary
            now = _group(await client.status(), self.args.group)
            primary = now.primary
            is_done = bool(primary) and now.term > before.term and _is_wanted(primary)
            return is_done, f"term {now.term}, primary {primary or 'none'}, phase {now.phase}"

        def _is_wanted(name: str) -> bool:
            return name == self.args.to if self.args.to else name != before.primary

        await wait_until(step, self.output, self.args.wait_seconds)
        return primary

    def _finish(self, primary: str, *, is_finished: bool) -> int:
        data = {"group": self.args.group, "finished": is_finished, "primary": primary}
        state = f"{primary} is primary" if is_finished else "the switchover was accepted"
        self.output.result(data, f"{self.args.group}: {state}.")
        return 0


def _group(status: peer_pb2.StatusReply, name: str) -> peer_pb2.GroupStatus:
    for group in status.groups:
        if group.group == name:
            return group
    known = ", ".join(group.group for group in status.groups) or "none"
    raise UsageError(f"group {name!r} does not exist; known groups: {known}")
