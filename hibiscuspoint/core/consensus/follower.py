"""Append and snapshot requests at a follower."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.core.consensus.effects import RestoreSnapshot, SaveSnapshot
from hibiscuspoint.core.consensus.messages import AppendReply, AppendRequest, SnapshotRequest

if TYPE_CHECKING:
    from hibiscuspoint.core.consensus.entries import Entry, Snapshot
    from hibiscuspoint.core.consensus.messages import Message
    from hibiscuspoint.core.consensus.state import NodeState

__all__ = ["Follower"]


class Follower:
    """Makes the log of this member equal to the leader's.

    :param state: shared state.
    """

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def handle_append(self, message: Message, request: AppendRequest) -> None:
        """Append the entries if the entry before them matches."""
        state = self._state
        if not self._matches(request):
            term, index = state.log.conflict_hint(request.prev_index)
            refusal = AppendReply(False, request.prev_index, request.sent_at, term, index)
            state.send(message.source, refusal)
            return
        state.append(self._missing(request.entries))
        held = max(request.prev_index + len(request.entries), state.log.snapshot.index)
        state.commit_to(min(request.commit_index, held))
        state.send(message.source, AppendReply(True, held, request.sent_at))

    def handle_snapshot(self, message: Message, request: SnapshotRequest) -> None:
        """Replace the log by a snapshot unless it is already covered."""
        state = self._state
        if request.snapshot.index > state.commit_index:
            self._install(request.snapshot)
        # Everything committed here matches the log of any later leader.
        reply = AppendReply(True, state.commit_index, request.sent_at)
        state.send(message.source, reply)

    def _matches(self, request: AppendRequest) -> bool:
        log = self._state.log
        if request.prev_index < log.snapshot.index:
            return True
        return log.term_at(request.prev_index) == request.prev_term

    def _missing(self, entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
        """Return the entries from the first one that the log does not hold."""
        log = self._state.log
        for position, entry in enumerate(entries):
            if entry.index <= log.snapshot.index or log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= self._state.commit_index:
                raise ValueError(f"entry {entry.index} conflicts with a committed entry")
            return entries[position:]
        return ()

    def _install(self, snapshot: Snapshot) -> None:
        state = self._state
        if state.log.term_at(snapshot.index) == snapshot.term:
            state.log.compact(snapshot)
        else:
            state.log.reset(snapshot)
        state.commit_index = snapshot.index
        tail = state.log.between(snapshot.index, state.log.last_index)
        state.emit(SaveSnapshot(snapshot, state.hard, tail))
        state.emit(RestoreSnapshot(snapshot))
