"""Decisions of the control leader."""

from __future__ import annotations

from hibiscuspoint.core.control.configuration import (
    SubmissionOutcome,
    check_formed_groups,
    judge_submission,
)
from hibiscuspoint.core.control.delivery import DeliveredDocument, DocumentDelivery
from hibiscuspoint.core.control.effects import (
    Effect,
    Follow,
    MemberAddress,
    PrimarySuspected,
    Promote,
    Propose,
    PublishHolders,
    PublishRoutes,
    Seal,
    Terminate,
)
from hibiscuspoint.core.control.leader import ControlLeader
from hibiscuspoint.core.control.promotion import MemberReply
from hibiscuspoint.core.control.route_state import RouteState
from hibiscuspoint.core.control.state import ControlState, GroupPhase, GroupRecord

__all__ = [
    "ControlLeader",
    "ControlState",
    "DeliveredDocument",
    "DocumentDelivery",
    "Effect",
    "Follow",
    "GroupPhase",
    "GroupRecord",
    "MemberAddress",
    "MemberReply",
    "PrimarySuspected",
    "Promote",
    "Propose",
    "PublishHolders",
    "PublishRoutes",
    "RouteState",
    "Seal",
    "SubmissionOutcome",
    "Terminate",
    "check_formed_groups",
    "judge_submission",
]
