"""Status of the members of the control group."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.core.consensus.membership import Member
from hibiscuspoint.core.consensus.timing import ELECTION_TIMEOUT_MIN_SECONDS

if TYPE_CHECKING:
    from hibiscuspoint.core.consensus.node import Node
    from hibiscuspoint.ids import InstanceId

__all__ = ["MemberStatus", "member_statuses"]


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """One control instance as this member sees it.

    :param role: "leader"; "follower", a voter in contact with the leader; "voter", one whose
        contact is lost or not known to this member; "learner", a disk that does not vote.
    :param match_index: highest index known to be held; 0 unless this member leads.
    """

    instance: InstanceId
    role: str
    match_index: int


def member_statuses(node: Node, peers: frozenset[InstanceId], now: float) -> list[MemberStatus]:
    """Return the status of all control instances, sorted by instance."""
    return [_status(node, instance, now) for instance in sorted(peers)]


def _status(node: Node, instance: InstanceId, now: float) -> MemberStatus:
    voter = node.configuration.voter_of(instance)
    disk = node.me.disk if instance == node.me.instance else node.disk_of(instance)
    if instance == node.leader:
        return MemberStatus(instance, "leader", _match_index(node, instance))
    if voter is None or disk not in (None, voter.disk):
        return MemberStatus(instance, "learner", _match_index(node, instance))
    progress = node.progress_of(voter)
    if progress is not None and now - progress.contact < ELECTION_TIMEOUT_MIN_SECONDS:
        return MemberStatus(instance, "follower", progress.match_index)
    return MemberStatus(instance, "voter", progress.match_index if progress else 0)


def _match_index(node: Node, instance: InstanceId) -> int:
    if instance == node.me.instance:
        return node.log.last_index if instance == node.leader else 0
    disk = node.disk_of(instance)
    progress = node.progress_of(Member(instance, disk)) if disk else None
    return progress.match_index if progress else 0
