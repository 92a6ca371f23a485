"""Order in which waiting statements get the connections to a target."""

from __future__ import annotations

from hibiscuspoint.core.scheduling.fair import FairQueue
from hibiscuspoint.core.scheduling.full_holders import FullHolders
from hibiscuspoint.core.scheduling.priority import PriorityQueue
from hibiscuspoint.core.scheduling.queue import (
    ConnectionUse,
    Refusal,
    RefusalReason,
    Waiter,
    WaitQueue,
    latest_start,
    wait_queues,
)
from hibiscuspoint.core.scheduling.uses import UseTimes

__all__ = [
    "ConnectionUse",
    "FairQueue",
    "FullHolders",
    "PriorityQueue",
    "Refusal",
    "RefusalReason",
    "UseTimes",
    "WaitQueue",
    "Waiter",
    "latest_start",
    "wait_queues",
]
