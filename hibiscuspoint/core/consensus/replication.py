"""Log replication, commitment and leadership lease at the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.core.consensus.entries import Entry, NoOp
from hibiscuspoint.core.consensus.messages import AppendReply, AppendRequest, SnapshotRequest
from hibiscuspoint.core.consensus.progress import Progress, ReplicationMode
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
    """Replicates the leader's log, advances the commit index and maintains the leadership lease.

    :param state: state of the node.
    """

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._progress: dict[Member, Progress] = {}
        self._term_start_index = 0
        self._elected_at = 0.0
        self._quorum_timeout_seconds = 0.0
        self._next_heartbeat_at = 0.0

    @property
    def next_heartbeat_at(self) -> float:
        """Monotonic time of the next heartbeat."""
        return self._next_heartbeat_at

    @property
    def term_start_index(self) -> int:
        """Index of the first entry of the term that this member led last; 0 before its first."""
        return self._term_start_index

    @property
    def has_committed_in_own_term(self) -> bool:
        """Whether an entry of the leader's term is committed, and with it all earlier entries."""
        return self._state.commit_index >= self._term_start_index

    def progress_of(self, member: Member) -> Progress | None:
        """Return the progress of another member, or ``None`` if the log is not sent to it."""
        return self._progress.get(member)

    def become_leader(self, quorum_timeout_seconds: float) -> None:
        """Start to lead the current term: append a no-op entry and send it to all members.

        :param quorum_timeout_seconds: time without a quorum after which the leader steps down.
        """
        state = self._state
        state.role = Role.LEADER
        state.leader = state.me.instance
        self._quorum_timeout_seconds = quorum_timeout_seconds
        self._elected_at = state.now
        self._progress = {}
        self._term_start_index = state.log.last_index + 1
        self.propose([NoOp()])
        self._broadcast()

    def tick(self) -> None:
        """Send heartbeats to all members when they are due."""
        if self._state.now >= self._next_heartbeat_at:
            self._broadcast()

    def has_lease(self, now: float) -> bool:
        """Return whether the lease is valid at a monotonic time, so no other leader can exist."""
        return self.lease_left(now) > 0

    def lease_left(self, now: float) -> float:
        """Return the seconds until the lease ends, unless a quorum renews it."""
        return self._state.timing.lease_seconds - (now - self._quorum_contact_at(now))

    def has_lost_quorum(self) -> bool:
        """Return whether no quorum has answered for the quorum timeout."""
        now = self._state.now
        contact_at = max(self._quorum_contact_at(now), self._elected_at)
        return now - contact_at >= self._quorum_timeout_seconds

    def propose(self, payloads: Sequence[Payload]) -> int:
        """Append entries in the current term and send them to all members.

        :return: index of the first entry.
        """
        state = self._state
        first = state.log.last_index + 1
        term = state.hard_state.term
        state.append(tuple(Entry(first + i, term, payload) for i, payload in enumerate(payloads)))
        self._update_progress_members()
        self._send_new_entries()
        self._advance_commit_index()
        return first

    def handle_append_reply(self, message: Message, reply: AppendReply) -> None:
        """Update the progress and the commit index, and send the member its next entries."""
        progress = self._progress.get(message.source)
        if progress is None:
            return
        progress.last_contact_at = max(progress.last_contact_at, reply.sent_at)
        if reply.success:
            progress.acknowledge(reply.index)
        elif not progress.is_stale_rejection(reply.index):
            progress.resume_from(self._resume_index(reply))
        self._advance_commit_index()
        may_send = progress.mode is not ReplicationMode.SNAPSHOT and progress.may_send_entries
        if may_send and progress.next_index <= self._state.log.last_index:
            self._send_to(message.source, progress)

    def _quorum_contact_at(self, now: float) -> float:
        """Return the latest time such that a quorum answered requests sent then or later."""

        def last_contact_at(member: Member) -> float:
            if member == self._state.me:
                return now
            progress = self._progress.get(member)
            return progress.last_contact_at if progress else float("-inf")

        return self._state.configuration.quorum_value(last_contact_at)

    def _resume_index(self, reply: AppendReply) -> int:
        """Return the index of the next entry to send after a rejection."""
        last = (
            self._state.log.last_index_of_term(reply.conflict_term) if reply.conflict_term else None
        )
        index = reply.conflict_index if last is None else last + 1
        return min(index, reply.index)

    def _advance_commit_index(self) -> None:
        state = self._state
        if not self.has_lease(state.now):
            return
        index = int(state.configuration.quorum_value(self._match_index))
        # Entries of earlier terms are committed only together with an entry of the current term
        # (section 5.4.2 of the Raft paper).
        if index > state.commit_index and state.log.term_at(index) == state.hard_state.term:
            state.advance_commit_index(index)
        self._leave_joint_configuration()

    def _match_index(self, member: Member) -> int:
        if member == self._state.me:
            return self._state.log.last_index
        progress = self._progress.get(member)
        return progress.match_index if progress else 0

    def _leave_joint_configuration(self) -> None:
        """Propose the final configuration when a joint one is committed."""
        state = self._state
        committed = state.commit_index >= max(state.log.configuration_index, self._term_start_index)
        if state.configuration.is_joint and committed:
            self.propose([state.configuration.final_configuration()])

    def _update_progress_members(self) -> None:
        """Track the progress of exactly the other members of the configuration."""
        others = self._state.configuration.members - {self._state.me}
        next_index = self._state.log.last_index + 1
        self._progress = {
            member: self._progress.get(member) or Progress(next_index) for member in sorted(others)
        }

    def _broadcast(self) -> None:
        self._next_heartbeat_at = self._state.now + self._state.timing.heartbeat_interval_seconds
        for member, progress in self._progress.items():
            self._send_to(member, progress)

    def _send_new_entries(self) -> None:
        for member, progress in self._progress.items():
            if progress.mode is ReplicationMode.REPLICATE and progress.may_send_entries:
                self._send_to(member, progress)

    def _send_to(self, member: Member, progress: Progress) -> None:
        log = self._state.log
        if (
            progress.mode is ReplicationMode.SNAPSHOT
            or log.term_at(progress.next_index - 1) is None
        ):
            self._send_snapshot(member, progress)
            return
        entries: tuple[Entry, ...] = ()
        if progress.may_send_entries:
            entries = log.read_batch(progress.next_index, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES)
        self._send_append(member, progress.next_index - 1, entries)
        if progress.mode is ReplicationMode.REPLICATE:
            progress.next_index += len(entries)

    def _send_append(self, member: Member, prev_index: int, entries: tuple[Entry, ...]) -> None:
        state = self._state
        prev_term = state.log.term_at(prev_index) or 0
        request = AppendRequest(prev_index, prev_term, entries, state.commit_index, state.now)
        state.send(member, request)

    def _send_snapshot(self, member: Member, progress: Progress) -> None:
        """Send the snapshot, or a heartbeat until its reply is overdue."""
        state = self._state
        progress.mode = ReplicationMode.SNAPSHOT
        if state.now - progress.snapshot_sent_at < SNAPSHOT_RETRY_SECONDS:
            self._send_append(member, state.log.snapshot.index, ())
            return
        progress.snapshot_sent_at = state.now
        state.send(member, SnapshotRequest(state.log.snapshot, state.now))
