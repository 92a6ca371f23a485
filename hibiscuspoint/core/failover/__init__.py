"""Failover of groups whose targets replicate and acknowledge commits on their own."""

from __future__ import annotations

import lazy_loader

# Instances without a disk use few of these modules, and imports take most of the start time.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "effects": [
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
        ],
        "group": ["GroupFailover"],
        "leader": ["FailoverLeader"],
        "status": ["StatusAnswer", "StatusReply", "StatusSource", "TargetStatus"],
        "voters": ["VoterChange", "choose_voter_change"],
    },
)
