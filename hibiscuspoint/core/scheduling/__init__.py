"""Order in which waiting statements get the connections to a target."""

from __future__ import annotations

from hibiscuspoint.core.scheduling.fair import FairQueue
from hibiscuspoint.core.scheduling.priority import PriorityQueue
from hibiscuspoint.core.scheduling.queue import (
    ConnectionUse,
    Refusal,
    RefusalReason,
    Waiter,
    WaitQueue,
    wait_queues,
)

__all__ = [
    "ConnectionUse",
    "FairQueue",
    "PriorityQueue",
    "Refusal",
    "RefusalReason",
    "WaitQueue",
    "Waiter",
    "wait_queues",
]
