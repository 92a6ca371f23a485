"""Messages between members of the control group."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from hibiscuspoint.core.consensus.entries import Entry, Snapshot
    from hibiscuspoint.core.consensus.membership import DiskId, Member
    from hibiscuspoint.ids import InstanceId

__all__ = [
    "REQUESTS",
    "AppendReply",
    "AppendRequest",
    "Body",
    "Message",
    "Probe",
    "ProbeReply",
    "SnapshotRequest",
    "VoteReply",
    "VoteRequest",
]


@dataclass(frozen=True, slots=True)
class Probe:
    """Announces a member that hears from no leader and may not vote."""


@dataclass(frozen=True, slots=True)
class ProbeReply:
    """Names the replying member and the leader that it knows."""

    leader: InstanceId | None


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Asks for a vote, or whether a vote would be granted (pre-vote).

    :param term: term of the election.
    """

    term: int
    last_index: int
    last_term: int
    is_pre_vote: bool


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Answers a vote request; ``term`` is copied from the request."""

    term: int
    granted: bool
    is_pre_vote: bool


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Replicates entries; without entries it is a heartbeat.

    :param sent_at: clock of the leader in seconds, echoed in the reply.
    """

    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Replaces the log of a member that is too far behind.

    :param sent_at: monotonic seconds of the leader; the reply echoes it.
    """

    snapshot: Snapshot
    sent_at: float


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Answers an append or snapshot request.

    :param sent_at: the time in the request.
    :param index: on success the highest index known to match; otherwise the rejected
        ``prev_index``.
    :param conflict_term: term of the entry at the rejected index; 0 when there is none.
    :param conflict_index: first index of that term, or the index after the last entry.
    """

    success: bool
    index: int
    sent_at: float
    conflict_term: int = 0
    conflict_index: int = 0


Body: TypeAlias = (
    Probe | ProbeReply | VoteRequest | VoteReply | AppendRequest | SnapshotRequest | AppendReply
)

#: Bodies that are answered.
REQUESTS = (Probe, VoteRequest, AppendRequest, SnapshotRequest)


@dataclass(frozen=True, slots=True)
class Message:
    """A body with sender, receiver and the sender's term.

    :param target_disk: disk that the message is meant for; empty when any disk may answer.
    :param group: group identity of the sender; empty when it belongs to no group.
    """

    source: Member
    target: InstanceId
    target_disk: DiskId
    group: str
    term: int
    body: Body
