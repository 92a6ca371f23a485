"""Decisions of the control leader."""

from __future__ import annotations

import lazy_loader

# Instances without a disk use few of these modules, and imports take most of the start time.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "configuration": ["SubmissionOutcome", "check_formed_groups", "judge_submission"],
        "delivery": ["DeliveredDocument", "DeliveredState", "DocumentDelivery"],
        "effects": [
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
        ],
        "leader": ["ControlLeader"],
        "promotion": ["MemberReply"],
        "route_state": ["RouteState"],
        "state": ["ControlState", "GroupPhase", "GroupRecord"],
    },
)
