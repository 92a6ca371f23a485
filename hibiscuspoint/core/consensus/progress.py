"""Replication progress of one member at the leader."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from hibiscuspoint.core.consensus.timing import MAX_IN_FLIGHT_ENTRIES

__all__ = ["Progress", "ReplicationMode"]


class ReplicationMode(Enum):
    """How the leader sends entries to a member."""

    #: One batch per reply or heartbeat, until the match index is known.
    PROBE = "probe"
    #: Batches are pipelined without waiting for replies.
    REPLICATE = "replicate"
    #: The member needs the snapshot before it can receive entries.
    SNAPSHOT = "snapshot"


@dataclass(slots=True)
class Progress:
    """Replication state of one member.

    :param next_index: index of the next entry to send.
    :param match_index: highest index up to which the member's log is known to match the leader's.
    :param last_contact_at: monotonic seconds of the leader at which it sent the latest request that
        the member answered.
    :param snapshot_sent_at: monotonic seconds at which the leader sent the latest snapshot that is
        not acknowledged; negative infinity for none.
    """

    next_index: int
    match_index: int = 0
    mode: ReplicationMode = ReplicationMode.PROBE
    last_contact_at: float = float("-inf")
    snapshot_sent_at: float = float("-inf")

    @property
    def may_send_entries(self) -> bool:
        """Whether the number of unacknowledged entries allows another batch."""
        return self.next_index - self.match_index <= MAX_IN_FLIGHT_ENTRIES

    def acknowledge(self, index: int) -> None:
        """Record that the member's log matches the leader's up to an index."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.mode = ReplicationMode.REPLICATE
        self.snapshot_sent_at = float("-inf")

    def is_stale_rejection(self, index: int) -> bool:
        """Return whether a rejection of ``prev_index`` is outdated by a later reply."""
        if self.mode is ReplicationMode.SNAPSHOT or index <= self.match_index:
            return True
        return self.mode is ReplicationMode.PROBE and index != self.next_index - 1

    def resume_from(self, index: int) -> None:
        """Continue from an index after a rejection."""
        self.next_index = max(self.match_index + 1, index)
        self.mode = ReplicationMode.PROBE
