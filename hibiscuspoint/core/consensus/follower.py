"""Handling of append and snapshot requests at a follower."""

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
    """Replicates the leader's log into the log of this member.

    :param state: state of the node.
    """

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def handle_append(self, message: Message, request: AppendRequest) -> None:
        """Append the entries, or reject the request if the entry before them does not match."""
        state = self._state
        if not self._matches_previous_entry(request):
            term, index = state.log.conflict_hint(request.prev_index)
            rejection = AppendReply(False, request.prev_index, request.sent_at, term, index)
            state.send(message.source, rejection)
            return
        state.append(self._new_entries(request.entries))
        matched_index = max(request.prev_index + len(request.entries), state.log.snapshot.index)
        state.advance_commit_index(min(request.commit_index, matched_index))
        state.send(message.source, AppendReply(True, matched_index, request.sent_at))

    def handle_snapshot(self, message: Message, request: SnapshotRequest) -> None:
        """Install a snapshot unless all entries that it covers are already committed here."""
        state = self._state
        if request.snapshot.index > state.commit_index:
            self._install_snapshot(request.snapshot)
        # Committed entries are identical in the log of every later leader, so that the commit
        # index is a valid match index.
        reply = AppendReply(True, state.commit_index, request.sent_at)
        state.send(message.source, reply)

    def _matches_previous_entry(self, request: AppendRequest) -> bool:
        """Return whether this log holds the entry that precedes the entries of the request."""
        log = self._state.log
        if request.prev_index < log.snapshot.index:
            # Entries that the snapshot covers are committed and therefore match.
            return True
        return log.term_at(request.prev_index) == request.prev_term

    def _new_entries(self, entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
        """Return the entries from the first one that is missing in the log or conflicts with it.

        :raises ValueError: an entry conflicts with a committed one.
        """
        log = self._state.log
        for offset, entry in enumerate(entries):
            if entry.index <= log.snapshot.index or log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= self._state.commit_index:
                raise ValueError(f"entry {entry.index} conflicts with a committed entry")
            return entries[offset:]
        return ()

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the log with a snapshot, but keep the entries after it if the log matches it."""
        state = self._state
        if state.log.term_at(snapshot.index) == snapshot.term:
            state.log.compact(snapshot)
        else:
            state.log.reset(snapshot)
        state.commit_index = snapshot.index
        tail = state.log.entries_between(snapshot.index, state.log.last_index)
        state.emit(SaveSnapshot(snapshot, state.hard_state, tail))
        state.emit(RestoreSnapshot(snapshot))
