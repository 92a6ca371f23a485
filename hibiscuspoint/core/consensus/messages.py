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
    """Requests the disk identity, group and leader of an instance.

    A member without a vote and without contact with a leader also announces its disk with it.
    """


@dataclass(frozen=True, slots=True)
class ProbeReply:
    """Answers a probe; the message itself carries the disk and group of the sender.

    :param leader: leader known to the sender, or ``None``.
    """

    leader: InstanceId | None


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Requests a vote, or in a pre-vote whether a vote would be granted.

    :param term: term of the election; in a pre-vote the term after the candidate's current one.
    :param last_index: index of the last entry in the candidate's log.
    :param last_term: term of that entry.
    :param needs_all: whether the candidate needs the votes of all voters that have their disks. No
        leader of an earlier term is left once it has them, so that a voter which no leader has
        reached since its start need not wait until the leases of such a leader have expired.
    """

    term: int
    last_index: int
    last_term: int
    is_pre_vote: bool
    needs_all: bool = False


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Answers a vote request; the fields besides ``granted`` are those of the request."""

    term: int
    granted: bool
    is_pre_vote: bool
    needs_all: bool = False


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Replicates entries; without entries it is a heartbeat.

    :param prev_index: index of the entry before the first one; it must match the follower's log.
    :param prev_term: term of that entry.
    :param commit_index: commit index of the leader.
    :param sent_at: monotonic seconds of the leader; the reply echoes it.
    """

    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Installs a snapshot at a member that needs entries that the leader no longer holds.

    :param sent_at: monotonic seconds of the leader; the reply echoes it.
    """

    snapshot: Snapshot
    sent_at: float


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Answers an append or snapshot request.

    :param success: whether the log matched the request.
    :param index: on success the highest index known to match; otherwise the rejected
        ``prev_index``.
    :param sent_at: ``sent_at`` of the request.
    :param conflict_term: term of the sender's entry at the rejected index; 0 when it has none.
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

#: Types of bodies that the receiver replies to.
REQUESTS = (Probe, VoteRequest, AppendRequest, SnapshotRequest)


@dataclass(frozen=True, slots=True)
class Message:
    """A message body with its sender and receiver.

    :param target_disk: disk that the message is addressed to; empty for any disk of the instance.
    :param group: identity of the sender's control group; empty when it belongs to none.
    :param term: current term of the sender.
    """

    source: Member
    target: InstanceId
    target_disk: DiskId
    group: str
    term: int
    body: Body
