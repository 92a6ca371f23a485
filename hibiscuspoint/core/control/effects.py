"""Effects that the decisions of the control leader ask for."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscuspoint.core.control.detector import Suspicion
    from hibiscuspoint.ids import GroupId, InstanceId, TargetId, Term
    from hibiscuspoint.wire import record_pb2

__all__ = [
    "Effect",
    "Follow",
    "MemberAddress",
    "PrimarySuspected",
    "Promote",
    "Propose",
    "PublishHolders",
    "PublishRoutes",
    "Seal",
    "Terminate",
]


class Effect:
    """Base of the effects."""


@dataclass(frozen=True)
class MemberAddress:
    """Where a member of a group listens."""

    target: TargetId
    address: str


@dataclass(frozen=True)
class Propose(Effect):
    """Append a command to the control log."""

    command: record_pb2.Command


@dataclass(frozen=True)
class Seal(Effect):
    """Seal a member at a term."""

    group: GroupId
    member: MemberAddress
    term: Term


@dataclass(frozen=True)
class Promote(Effect):
    """Make a member primary of a term."""

    group: GroupId
    member: MemberAddress
    term: Term
    members: tuple[MemberAddress, ...]


@dataclass(frozen=True)
class Follow(Effect):
    """Make a member follow the primary of a term."""

    group: GroupId
    member: MemberAddress
    term: Term
    primary: MemberAddress


@dataclass(frozen=True)
class Terminate(Effect):
    """Close the connections of an instance at a target."""

    target: TargetId
    address: str
    instance: InstanceId
    incarnation: int


@dataclass(frozen=True)
class PrimarySuspected(Effect):
    """Report a suspected primary."""

    group: GroupId
    primary: TargetId
    suspicion: Suspicion


@dataclass(frozen=True)
class PublishRoutes(Effect):
    """Send the routes of a group to its holders at once."""

    group: GroupId


@dataclass(frozen=True)
class PublishHolders(Effect):
    """Send the holder lists to all entries at once."""
