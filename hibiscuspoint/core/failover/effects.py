"""Effects requested by the failover decisions, in addition to those of control."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from hibiscuspoint.core.control.effects import Effect

if TYPE_CHECKING:
    from hibiscuspoint.core.control.effects import MemberAddress
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.ids import EntryProcess, GroupId, Incarnation, TargetId, Term

__all__ = [
    "ChoiceProof",
    "MissingLog",
    "OverloadSwitchover",
    "PauseReplica",
    "PrimaryProven",
    "PromotionWaiting",
    "RequestPromotion",
    "ResumeReplica",
    "StepDown",
    "WaitReason",
]


@dataclass(frozen=True)
class PauseReplica(Effect):
    """Make a replica stop receiving log records from primaries of terms below ``term``."""

    group: GroupId
    member: MemberAddress
    term: Term


@dataclass(frozen=True)
class ResumeReplica(Effect):
    """Let a paused replica receive log records again."""

    group: GroupId
    member: MemberAddress


@dataclass(frozen=True)
class StepDown(Effect):
    """Demote a primary whose term is below ``term`` to a replica."""

    group: GroupId
    member: MemberAddress
    term: Term


@dataclass(frozen=True)
class RequestPromotion(Effect):
    """Request that the platform promotes a target to primary.

    :param token: fencing token; it increases with each control leader.
    """

    group: GroupId
    target: TargetId
    token: int


@dataclass(frozen=True)
class OverloadSwitchover(Effect):
    """Report a switchover away from a healthy but overloaded primary.

    No replica can serve reads, because all of them lag too far behind.
    """

    group: GroupId
    primary: TargetId


class ChoiceProof(Enum):
    """What proves that the chosen target holds every acknowledged commit."""

    ACTING = "it leads the newest term"
    REPORTED = "it reaches the position that all entries reported"
    FORMER_END = "it reaches the end of the former primary"
    ALL_REPLICAS = "every replica has replied and no lease is left"


@dataclass(frozen=True)
class PrimaryProven(Effect):
    """Tell operators on what the choice of a primary rests.

    :param position: end of its log when it was chosen; ``None`` if it acts as primary.
    :param seconds: time that the choice took.
    :param missing: logs for which it waited on the way.
    :param entries: processes of entries for which it waited on the way.
    """

    group: GroupId
    term: Term
    target: TargetId
    proof: ChoiceProof
    position: LogPosition | None
    seconds: float
    missing: tuple[MissingLog, ...] = ()
    entries: tuple[EntryProcess, ...] = ()


class WaitReason(Enum):
    """Why the log of a replica is missing for a choice."""

    NO_REPLY = "has not replied"
    UNPROVEN = "its reply may be that of a later start"
    LOST = "has lost its log"


@dataclass(frozen=True)
class MissingLog:
    """A log that a choice by the replies of all replicas waits for.

    :param incarnation: start of the replica whose log is missing.
    """

    target: TargetId
    incarnation: Incarnation
    reason: WaitReason


@dataclass(frozen=True)
class PromotionWaiting(Effect):
    """Tell operators for what the choice of a primary waits.

    :param entries: processes of entries that have not reported what they acknowledged.
    """

    group: GroupId
    term: Term
    missing: tuple[MissingLog, ...]
    entries: tuple[EntryProcess, ...]
