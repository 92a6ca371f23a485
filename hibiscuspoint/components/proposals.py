"""Proposals that are not yet committed and applied."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.errors import NotLeaderError
from hibiscuspoint.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hibiscuspoint.core.consensus.entries import Entry
    from hibiscuspoint.core.consensus.node import Proposal

__all__ = ["PendingProposals"]


@dataclass(frozen=True, slots=True)
class _PendingProposal:
    """A serialized command and the future of the index at which it is applied."""

    data: bytes
    future: asyncio.Future[int]


class PendingProposals:
    """Queues proposals for one batch and resolves each of them when its entry is applied."""

    def __init__(self) -> None:
        self._queued: list[_PendingProposal] = []
        self._appended: dict[int, _PendingProposal] = {}
        self._term = 0

    def add(self, data: bytes) -> asyncio.Future[int]:
        """Queue a serialized command.

        :return: future of the index at which the command is applied.
        """
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._queued.append(_PendingProposal(data, future))
        return future

    def queued_commands(self) -> list[bytes]:
        """Drop the cancelled proposals and return the queued commands of the others, in order."""
        self._queued = [pending for pending in self._queued if not pending.future.done()]
        return [pending.data for pending in self._queued]

    def record_appended(self, proposal: Proposal) -> None:
        """Record that all queued commands were appended to the log."""
        self._term = proposal.term
        self._appended.update(enumerate(self._queued, proposal.first_index))
        self._queued = []

    def resolve_applied(self, entry: Entry) -> None:
        """Resolve the proposal that an applied entry belongs to, if there is one."""
        pending = self._appended.get(entry.index)
        if pending is None or entry.term != self._term:
            return
        del self._appended[entry.index]
        if not pending.future.done():
            pending.future.set_result(entry.index)

    def reject_queued(self, error: NotLeaderError) -> None:
        """Reject all queued commands, none of which was appended."""
        _reject(self._queued, error)
        self._queued = []

    def reject_appended(self) -> None:
        """Reject all appended commands, which a later leader may still commit."""
        error = NotLeaderError(
            "leadership was lost before the command was committed",
            hint="Read the state from the new leader, which may have committed the command.",
            verdict=Verdict.MAY_HAVE_RUN,
        )
        _reject(self._appended.values(), error)
        self._appended = {}


def _reject(pending: Iterable[_PendingProposal], error: NotLeaderError) -> None:
    for proposal in pending:
        if not proposal.future.done():
            proposal.future.set_exception(error)
