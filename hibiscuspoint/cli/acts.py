"""Planned acts that an instance carries out and reports on."""

from __future__ import annotations

from abc import abstractmethod
from typing import TYPE_CHECKING

from hibiscuspoint.cli.command import RemoteCommand
from hibiscuspoint.cli.errors import IncompleteAnswerError
from hibiscuspoint.cli.options import add_wait_options
from hibiscuspoint.cli.waiting import wait_for_act

if TYPE_CHECKING:
    import argparse

    from hibiscuspoint.cli.client import Client
    from hibiscuspoint.wire import peer_pb2

__all__ = ["ActCommand", "expect_accepted"]


def expect_accepted(reply: peer_pb2.ActReply) -> peer_pb2.ActReply:
    """Return a reply that accepts an act.

    :raises IncompleteAnswerError: the act is neither accepted nor refused with an error.
    """
    if not reply.accepted:
        raise IncompleteAnswerError("the instance neither accepted nor refused the act")
    return reply


class ActCommand(RemoteCommand):
    """An idempotent act; ``--wait`` repeats it until it is reported as finished."""

    wait_text = "return when the act is finished"

    @classmethod
    def configure(cls, parser: argparse.ArgumentParser) -> None:
        """Add the wait."""
        add_wait_options(parser, cls.wait_text)

    @abstractmethod
    async def request(self, client: Client) -> peer_pb2.ActReply:
        """Request the act once."""

    async def act(self, client: Client) -> int:
        """Request the act and print its progress."""
        reply = expect_accepted(await self.request(client))
        progress, is_finished = reply.progress, reply.finished
        if self.args.wait and not is_finished:
            progress = await wait_for_act(
                lambda: self.request(client), self.output, self.args.wait_seconds
            )
            is_finished = True
        data = {"accepted": True, "finished": is_finished, "progress": progress}
        state = "Finished" if is_finished else "Accepted"
        self.output.result(data, f"{state}: {progress}" if progress else f"{state}.")
        return 0
