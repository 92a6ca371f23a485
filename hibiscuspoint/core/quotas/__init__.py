"""Limits on the operations of organisations that hold over all instances together."""

from __future__ import annotations

from hibiscuspoint.core.quotas.verdict import OperationLimiter, QuotaVerdict

__all__ = ["OperationLimiter", "QuotaVerdict"]
