"""Proposals that wait for their commit."""

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

__all__ = ["Proposals"]


@dataclass(frozen=True, slots=True)
class _Waiting:
    data: bytes
    future: asyncio.Future[int]


class Proposals:
    """Collects proposals into one batch and resolves each when its entry is applied."""

    def __init__(self) -> None:
        self._queued: list[_Waiting] = []
        self._appended: dict[int, _Waiting] = {}
        self._term = 0

    def add(self, data: bytes) -> asyncio.Future[int]:
        """Queue a command and return the future of its index."""
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._queued.append(_Waiting(data, future))
        return future

    def queued(self) -> list[bytes]:
        """Return the queued commands whose callers still wait, in order."""
        self._queued = [waiting for waiting in self._queued if not waiting.future.done()]
        return [waiting.data for waiting in self._queued]

    def appended(self, proposal: Proposal) -> None:
        """Record that the queued commands were appended."""
        self._term = proposal.term
        self._appended.update(enumerate(self._queued, proposal.first_index))
        self._queued = []

    def applied(self, entry: Entry) -> None:
        """Resolve the proposal of an applied entry."""
        waiting = self._appended.get(entry.index)
        if waiting is None or entry.term != self._term:
            return
        del self._appended[entry.index]
        if not waiting.future.done():
            waiting.future.set_result(entry.index)

    def reject_queued(self, error: NotLeaderError) -> None:
        """Reject all queued commands; none of them was appended."""
        _reject(self._queued, error)
        self._queued = []

    def reject_appended(self) -> None:
        """Reject all appended commands; a later leader may still commit them."""
        error = NotLeaderError(
            "leadership was lost before the command was committed",
            hint="Read the state from the new leader; the command may be committed there.",
            verdict=Verdict.MAY_HAVE_RUN,
        )
        _reject(self._appended.values(), error)
        self._appended = {}


def _reject(waiting: Iterable[_Waiting], error: NotLeaderError) -> None:
    for proposal in waiting:
        if not proposal.future.done():
            proposal.future.set_exception(error)
