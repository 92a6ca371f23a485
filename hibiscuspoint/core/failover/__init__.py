"""Failover of groups whose targets replicate and acknowledge commits on their own."""

from __future__ import annotations

from hibiscuspoint.core.failover.effects import (
    OverloadSwitchover,
    PauseReplica,
    RequestPromotion,
    ResumeReplica,
    StepDown,
)
from hibiscuspoint.core.failover.group import GroupFailover
from hibiscuspoint.core.failover.leader import FailoverLeader
from hibiscuspoint.core.failover.status import TargetStatus
from hibiscuspoint.core.failover.voters import VoterChange, choose_voter_change

__all__ = [
    "FailoverLeader",
    "GroupFailover",
    "OverloadSwitchover",
    "PauseReplica",
    "RequestPromotion",
    "ResumeReplica",
    "StepDown",
    "TargetStatus",
    "VoterChange",
    "choose_voter_change",
]
