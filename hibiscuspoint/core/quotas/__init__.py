"""Limits on the operations of organisations that hold over all instances together."""

from __future__ import annotations

import lazy_loader

# Instances that do not lead do not need the ledger, and deployments without organisations neither.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "bounds": ["QuotaBounds", "QuotaMode"],
        "changes": ["LimitChange"],
        "feedback": ["FeedbackLedger", "FeedbackMeter"],
        "ledger": ["QuotaLedger"],
        "meter": ["QuotaMeter"],
        "modes": ["make_ledger", "make_meter"],
        "verdict": ["OperationLimiter", "QuotaVerdict"],
    },
)
