"""Effects: actions that the control leader decides on and its caller carries out."""

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
    """Base class of all effects."""


@dataclass(frozen=True)
class MemberAddress:
    """A member of a group and the address under which control calls it."""

    target: TargetId
    address: str


@dataclass(frozen=True)
class Propose(Effect):
    """Propose a command for the control log."""

    command: record_pb2.Command


@dataclass(frozen=True)
class Seal(Effect):
    """Seal a member at a term, so that it refuses lower terms."""

    group: GroupId
    member: MemberAddress
    term: Term


@dataclass(frozen=True)
class Promote(Effect):
    """Make a member the primary of a term.

    :param members: members to which the primary ships its log.
    """

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
    """Make a target close the connections of an instance.

    :param incarnation: connections of this and lower incarnations of the instance are closed; 0
        for all incarnations.
    """

    target: TargetId
    address: str
    instance: InstanceId
    incarnation: int


@dataclass(frozen=True)
class PrimarySuspected(Effect):
    """Report that a primary is considered failed."""

    group: GroupId
    primary: TargetId
    suspicion: Suspicion


@dataclass(frozen=True)
class PublishRoutes(Effect):
    """Send the route of a group at once to the entries that need it."""

    group: GroupId


@dataclass(frozen=True)
class PublishHolders(Effect):
    """Send the holder lists of all groups to all entries at once."""
