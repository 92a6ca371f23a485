"""The leader: replication, commit and leadership lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.core.consensus.entries import Entry, NoOp
from hibiscuspoint.core.consensus.messages import AppendReply, AppendRequest, SnapshotRequest
from hibiscuspoint.core.consensus.progress import Mode, Progress
from hibiscuspoint.core.consensus.state import Role
from hibiscuspoint.core.consensus.timing import (
    MAX_BATCH_BYTES,
    MAX_BATCH_ENTRIES,
    SNAPSHOT_RETRY_SECONDS,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hibiscuspoint.core.consensus.entries import Payload
    from hibiscuspoint.core.consensus.membership import Member
    from hibiscuspoint.core.consensus.messages import Message
    from hibiscuspoint.core.consensus.state import NodeState

__all__ = ["Replication"]


class Replication:
    """Replicates the leader's log and decides what is committed.

    :param state: shared state.
    """

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._progress: dict[Member, Progress] = {}
        self._term_start = 0
        self._elected_at = 0.0
        self._quorum_timeout = 0.0
        self._next_heartbeat = 0.0

    @property
    def next_heartbeat(self) -> float:
        """Return the time of the next heartbeat."""
        return self._next_heartbeat

    @property
    def term_start(self) -> int:
        """Return the index of the first entry of the term; 0 before this member led one."""
        return self._term_start

    @property
    def has_committed_in_term(self) -> bool:
        """Tell whether everything committed in earlier terms is known to be committed."""
        return self._state.commit_index >= self._term_start

    def progress_of(self, member: Member) -> Progress | None:
        """Return the progress of another member, or ``None`` when it is not replicated to."""
        return self._progress.get(member)

    def start(self, quorum_timeout: float) -> None:
        """Lead the current term.

        :param quorum_timeout: seconds without a quorum after which the leader steps down.
        """
        state = self._state
        state.role = Role.LEADER
        state.leader = state.me.instance
        self._quorum_timeout = quorum_timeout
        self._elected_at = state.now
        self._progress = {}
        self._term_start = state.log.last_index + 1
        self.propose([NoOp()])
        self._send_to_all()

    def tick(self) -> None:
        """Send heartbeats that are due."""
        if self._state.now >= self._next_heartbeat:
            self._send_to_all()

    def has_lease(self, now: float) -> bool:
        """Tell whether no other leader can exist at a time."""
        return now - self._quorum_contact(now) < self._state.timing.lease_seconds

    def has_lost_quorum(self) -> bool:
        """Tell whether no quorum answered for an election timeout."""
        now = self._state.now
        contact = max(self._quorum_contact(now), self._elected_at)
        return now - contact >= self._quorum_timeout

    def propose(self, payloads: Sequence[Payload]) -> int:
        """Append entries and send them to all members.

        :return: index of the first entry.
        """
        state = self._state
        first = state.log.last_index + 1
        term = state.hard.term
        state.append(tuple(Entry(first + i, term, payload) for i, payload in enumerate(payloads)))
        self._track_members()
        self._send_new_entries()
        self._advance_commit()
        return first

    def handle_reply(self, message: Message, reply: AppendReply) -> None:
        """Record what a member holds and continue from there."""
        progress = self._progress.get(message.source)
        if progress is None:
            return
        progress.contact = max(progress.contact, reply.sent_at)
        if reply.success:
            progress.acknowledge(reply.index)
        elif not progress.is_stale_refusal(reply.index):
            progress.back_off(self._resume_index(reply))
        self._advance_commit()
        may_send = progress.mode is not Mode.SNAPSHOT and progress.has_room
        if may_send and progress.next_index <= self._state.log.last_index:
            self._send_to(message.source, progress)

    def _quorum_contact(self, now: float) -> float:
        """Return the latest time at which a quorum is known to have followed this leader."""

        def contact(member: Member) -> float:
            if member == self._state.me:
                return now
            progress = self._progress.get(member)
            return progress.contact if progress else float("-inf")

        return self._state.configuration.quorum_value(contact)

    def _resume_index(self, reply: AppendReply) -> int:
        """Return the first index that may differ after a refusal."""
        last = self._state.log.last_index_of(reply.conflict_term) if reply.conflict_term else None
        index = reply.conflict_index if last is None else last + 1
        return min(index, reply.index)

    def _advance_commit(self) -> None:
        state = self._state
        if not self.has_lease(state.now):
            return
        index = int(state.configuration.quorum_value(self._match_index))
        # Entries of earlier terms are committed only together with one of this term.
        if index > state.commit_index and state.log.term_at(index) == state.hard.term:
            state.commit_to(index)
        self._finish_joint()

    def _match_index(self, member: Member) -> int:
        if member == self._state.me:
            return self._state.log.last_index
        progress = self._progress.get(member)
        return progress.match_index if progress else 0

    def _finish_joint(self) -> None:
        state = self._state
        committed = state.commit_index >= max(state.log.configuration_index, self._term_start)
        if state.configuration.is_joint and committed:
            self.propose([state.configuration.final()])

    def _track_members(self) -> None:
        others = self._state.configuration.members - {self._state.me}
        next_index = self._state.log.last_index + 1
        self._progress = {
            member: self._progress.get(member) or Progress(next_index) for member in sorted(others)
        }

    def _send_to_all(self) -> None:
        self._next_heartbeat = self._state.now + self._state.timing.heartbeat_interval_seconds
        for member, progress in self._progress.items():
            self._send_to(member, progress)

    def _send_new_entries(self) -> None:
        for member, progress in self._progress.items():
            if progress.mode is Mode.REPLICATE and progress.has_room:
                self._send_to(member, progress)

    def _send_to(self, member: Member, progress: Progress) -> None:
        log = self._state.log
        if progress.mode is Mode.SNAPSHOT or log.term_at(progress.next_index - 1) is None:
            self._send_snapshot(member, progress)
            return
        entries: tuple[Entry, ...] = ()
        if progress.has_room:
            entries = log.read(progress.next_index, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES)
        self._send_append(member, progress.next_index - 1, entries)
        if progress.mode is Mode.REPLICATE:
            progress.next_index += len(entries)

    def _send_append(self, member: Member, prev_index: int, entries: tuple[Entry, ...]) -> None:
        state = self._state
        prev_term = state.log.term_at(prev_index) or 0
        request = AppendRequest(prev_index, prev_term, entries, state.commit_index, state.now)
        state.send(member, request)

    def _send_snapshot(self, member: Member, progress: Progress) -> None:
        """Send the snapshot, or a heartbeat while its reply is awaited."""
        state = self._state
        progress.mode = Mode.SNAPSHOT
        if state.now - progress.snapshot_sent_at < SNAPSHOT_RETRY_SECONDS:
            self._send_append(member, state.log.snapshot.index, ())
            return
        progress.snapshot_sent_at = state.now
        state.send(member, SnapshotRequest(state.log.snapshot, state.now))
