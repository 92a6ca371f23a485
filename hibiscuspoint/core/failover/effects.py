"""Effects that the failover decisions ask for, in addition to those of control."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.core.control.effects import Effect

if TYPE_CHECKING:
    from hibiscuspoint.core.control.effects import MemberAddress
    from hibiscuspoint.ids import GroupId, TargetId, Term

__all__ = ["OverloadSwitchover", "PauseReplica", "RequestPromotion", "ResumeReplica", "StepDown"]


@dataclass(frozen=True)
class PauseReplica(Effect):
    """Stop a replica from receiving the log of primaries below a term."""

    group: GroupId
    member: MemberAddress
    term: Term


@dataclass(frozen=True)
class ResumeReplica(Effect):
    """Let a paused replica receive again."""

    group: GroupId
    member: MemberAddress


@dataclass(frozen=True)
class StepDown(Effect):
    """Make the primary of a lower term a replica."""

    group: GroupId
    member: MemberAddress
    term: Term


@dataclass(frozen=True)
class RequestPromotion(Effect):
    """Ask the platform to make a target primary.

    :param token: fencing token; increases with each control leader.
    """

    group: GroupId
    target: TargetId
    token: int


@dataclass(frozen=True)
class OverloadSwitchover(Effect):
    """Report that a healthy primary hands over because no replica can serve reads."""

    group: GroupId
    primary: TargetId
