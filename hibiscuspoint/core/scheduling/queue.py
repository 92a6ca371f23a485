"""The interface of queues of statements that wait for a connection to a target."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Protocol

from hibiscuspoint.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.core.sessions import ConnectionDemand

__all__ = [
    "ConnectionUse",
    "Refusal",
    "RefusalReason",
    "WaitQueue",
    "Waiter",
    "latest_start",
    "wait_queues",
]


@dataclass(eq=False)
class Waiter:
    """A demand that waits.

    :param number: increases with each demand of a queue.
    :param pushed_at: monotonic time in seconds at which the wait began.
    :param check_at: monotonic time in seconds after which ``expired`` is to be asked again.
    :param service_seconds: expected time of its use of a connection.
    """

    demand: ConnectionDemand
    number: int
    pushed_at: float
    check_at: float
    service_seconds: float = 0.0
    is_waiting: bool = True


@dataclass(frozen=True)
class ConnectionUse:
    """Connections of one instance to one target when a demand arrives.

    :param held_seconds: time since each connection in use was taken.
    :param average_seconds: moving average of the time of a use.
    :param may_open: whether another connection may be opened.
    :param opens_in_seconds: time until a full target is asked for another connection.
    """

    held_seconds: tuple[float, ...]
    average_seconds: float
    may_open: bool
    opens_in_seconds: float = 0.0

    @property
    def in_use(self) -> int:
        """Return the number of connections in use."""
        return len(self.held_seconds)


class RefusalReason(Enum):
    """Why a demand is refused."""

    #: The wait would be longer than the time to the objective or deadline.
    EXPECTED_WAIT = "expected_wait"
    #: The objective cannot be met any more, and others that can be in time wait.
    LATE = "late"
    #: The time before the deadline is too short.
    DEADLINE = "deadline"


@dataclass(frozen=True)
class Refusal:
    """Why a demand does not join a queue.

    :param retry_after_seconds: time after which capacity is expected; 0 when it is not known.
    """

    text: str
    retry_after_seconds: float = 0.0
    reason: RefusalReason = RefusalReason.EXPECTED_WAIT


class WaitQueue(Protocol):
    """Decides which waiting demand gets the next connection and which ones are refused."""

    def __len__(self) -> int:
        """Return the number of waiting demands."""

    def push(self, demand: ConnectionDemand, now: float) -> Waiter:
        """Add a demand."""

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter that gave up; one that does not wait any more is ignored."""

    def pop(self, now: float, can_use: Callable[[ConnectionDemand], bool]) -> Waiter | None:
        """Remove and return the waiter that is served next.

        :param can_use: tells whether a connection for a demand is idle.
        :returns: ``None`` when no waiter can use an idle connection.
        """

    def first(self, now: float, can_use: Callable[[ConnectionDemand], bool]) -> Waiter | None:
        """Return the waiter that would be served next among those that satisfy a condition."""

    def expired(self, now: float) -> list[Waiter]:
        """Remove and return the waiters that are to be refused."""

    def ahead_of(self, demand: ConnectionDemand) -> int:
        """Return the number of waiters that would be served before a demand."""

    def check(
        self, demand: ConnectionDemand, connections: ConnectionUse, now: float
    ) -> Refusal | None:
        """Return why a demand is refused at once; ``None`` when it may wait."""


def latest_start(demand: ConnectionDemand, due: float, uses: int = 1) -> float:
    """Return the latest time at which a demand can start and end at a time.

    The use of a transaction includes the pauses of its caller, which say nothing about its answers.

    :param uses: multiple of the expected use of a connection that must fit in between.
    """
    return due if demand.is_transaction else due - uses * demand.expected_seconds


#: Classes of queues without arguments by the name in the settings.
wait_queues: Registry[Callable[[], WaitQueue]] = Registry("queue of waiting statements")
