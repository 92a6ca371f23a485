"""What a leader knows about one member."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from hibiscuspoint.core.consensus.timing import MAX_IN_FLIGHT_ENTRIES

__all__ = ["Mode", "Progress"]


class Mode(Enum):
    """How entries are sent to a member."""

    #: One batch per reply or heartbeat, until the matching index is known.
    PROBE = "probe"
    #: Batches are sent without waiting for replies.
    REPLICATE = "replicate"
    #: The member needs the snapshot first.
    SNAPSHOT = "snapshot"


@dataclass(slots=True)
class Progress:
    """Replication state of one member.

    :param next_index: first entry to send next.
    :param match_index: highest index that the member is known to hold.
    :param contact: monotonic seconds of the leader at which the latest answered request was sent.
    :param snapshot_sent_at: monotonic seconds at which the latest snapshot was sent.
    """

    next_index: int
    match_index: int = 0
    mode: Mode = Mode.PROBE
    contact: float = float("-inf")
    snapshot_sent_at: float = float("-inf")

    @property
    def has_room(self) -> bool:
        """Tell whether more entries may be in flight."""
        return self.next_index - self.match_index <= MAX_IN_FLIGHT_ENTRIES

    def acknowledge(self, index: int) -> None:
        """Record that the member holds the log up to an index."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.mode = Mode.REPLICATE
        self.snapshot_sent_at = float("-inf")

    def is_stale_refusal(self, index: int) -> bool:
        """Tell whether a refusal of a ``prev_index`` was overtaken by a later reply."""
        if self.mode is Mode.SNAPSHOT or index <= self.match_index:
            return True
        return self.mode is Mode.PROBE and index != self.next_index - 1

    def back_off(self, index: int) -> None:
        """Continue from an index after a refusal."""
        self.next_index = max(self.match_index + 1, index)
        self.mode = Mode.PROBE
