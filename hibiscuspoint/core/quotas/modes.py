"""Implementations of the limits, by how they are kept."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.core.quotas.bounds import QuotaMode
from hibiscuspoint.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.core.quotas.bounds import QuotaBounds
    from hibiscuspoint.core.quotas.feedback import FeedbackLedger, FeedbackMeter
    from hibiscuspoint.core.quotas.ledger import QuotaLedger
    from hibiscuspoint.core.quotas.meter import QuotaMeter

__all__ = ["make_ledger", "make_meter", "quota_ledgers", "quota_meters"]

quota_meters: Registry[Callable[..., QuotaMeter | FeedbackMeter]] = Registry("quota meter")
quota_ledgers: Registry[Callable[..., QuotaLedger | FeedbackLedger]] = Registry("quota ledger")


def make_meter(bounds: QuotaBounds, ask: Callable[[], None]) -> QuotaMeter | FeedbackMeter:
    """Return the limiter of an entry.

    :param ask: called when a report to the leader is due at once.
    """
    return quota_meters.get(bounds.mode.value)(bounds, ask)


def make_ledger(bounds: QuotaBounds) -> QuotaLedger | FeedbackLedger:
    """Return the ledger of a control leader."""
    return quota_ledgers.get(bounds.mode.value)(bounds)


# The implementations are imported when they are needed: only leaders have a ledger.
@quota_meters.register(QuotaMode.PERMITS.value)
def _permit_meter(bounds: QuotaBounds, ask: Callable[[], None]) -> QuotaMeter:
    from hibiscuspoint.core.quotas.meter import QuotaMeter

    return QuotaMeter(bounds, ask)


@quota_meters.register(QuotaMode.FEEDBACK.value)
def _feedback_meter(bounds: QuotaBounds, ask: Callable[[], None]) -> FeedbackMeter:
    from hibiscuspoint.core.quotas.feedback import FeedbackMeter

    return FeedbackMeter(bounds, ask)


@quota_ledgers.register(QuotaMode.PERMITS.value)
def _permit_ledger(bounds: QuotaBounds) -> QuotaLedger:
    from hibiscuspoint.core.quotas.ledger import QuotaLedger

    return QuotaLedger(bounds)


@quota_ledgers.register(QuotaMode.FEEDBACK.value)
def _feedback_ledger(bounds: QuotaBounds) -> FeedbackLedger:
    from hibiscuspoint.core.quotas.feedback import FeedbackLedger

    return FeedbackLedger(bounds)
