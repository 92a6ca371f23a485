"""Interfaces through which the core meets the outside."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hibiscuspoint.core.failover.status import TargetStatus
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.core.sessions import PreparedStatement, Reply, Statement
    from hibiscuspoint.drivers.answer import RunResult
    from hibiscuspoint.ids import GroupId, Incarnation, InstanceId, TargetId
    from hibiscuspoint.wire import target_pb2

__all__ = [
    "Clock",
    "Connection",
    "PromotionAuthority",
    "PromotionOutcome",
    "SessionConnection",
    "SessionDriver",
    "TargetAdmin",
    "TargetDriver",
    "TargetWatch",
]


class Clock(Protocol):
    """Sources of time."""

    def monotonic(self) -> float:
        """Return seconds of a clock that never steps."""

    def unix(self) -> float:
        """Return seconds since 1970 in UTC."""


class Connection(Protocol):
    """One connection to a target; owned by one transaction at a time."""

    @property
    def is_usable(self) -> bool:
        """Tell whether the connection is open and owes no answer."""

    @property
    def in_transaction(self) -> bool:
        """Tell whether a transaction is open at the target."""

    @property
    def incarnation(self) -> int:
        """Return the number that tells this connection from all others of the instance."""

    async def run(self, run: target_pb2.Run, timeout: float, *, expected: float = 0.0) -> RunResult:
        """Run statements and wait for the whole answer.

        :param timeout: seconds.
        :param expected: usual seconds of the answer; a later one is asked for with a ping.
        """

    def close(self) -> None:
        """Close the connection; the target rolls back an open transaction."""


class SessionConnection(Protocol):
    """A connection to a target that serves the sessions of callers in turn.

    Times are in seconds. Every call may raise ``ConnectionLost`` or, when the answer did not arrive
    in time, ``AnswerTimeoutError``; the connection is closed then.
    """

    @property
    def is_open(self) -> bool:
        """Tell whether the connection is open and owes no answer."""

    async def run(
        self,
        statement: Statement,
        *,
        timeout: float,
        name: str | None = None,
        after: LogPosition | None = None,
    ) -> Reply:
        """Run a statement of a caller.

        :param name: name of the executed prepared statement at this connection.
        :param after: position that the target must have applied.
        """

    async def reset(self, timeout: float) -> Reply:
        """Clear session values and prepared statements."""

    async def set_value(self, name: str, value: str, timeout: float) -> Reply:
        """Set a session value."""

    async def prepare(
        self, name: str, prepared_statement: PreparedStatement, timeout: float
    ) -> Reply:
        """Create a prepared statement."""

    async def rollback(self, timeout: float) -> Reply:
        """Roll back the open transaction."""

    async def status(self, timeout: float) -> tuple[TargetStatus | None, LogPosition | None]:
        """Return the state of the target, if it had a slot to tell it, and its log position."""

    async def pause(self, term: int, timeout: float) -> TargetStatus | None:
        """Stop a replica from receiving; ``None`` when the target refuses."""

    async def step_down(self, term: int, timeout: float) -> TargetStatus | None:
        """Make a primary of a lower term a replica; ``None`` when the target refuses."""

    async def resume(self, timeout: float) -> TargetStatus | None:
        """Let a paused replica receive again; ``None`` when the target refuses."""

    def close(self) -> None:
        """Close the connection; the target rolls back an open transaction."""


class SessionDriver(Protocol):
    """Opens connections to targets that serve sessions."""

    async def connect(
        self, group: GroupId, target: TargetId, address: str, timeout: float
    ) -> SessionConnection:
        """Open a connection.

        :param timeout: seconds.
        :raises ConnectError: no connection could be opened.
        """


class PromotionOutcome(Enum):
    """Answer of the platform to a request for a promotion."""

    ACCEPTED = "accepted"
    #: The target is not running.
    REFUSED = "refused"
    #: There was no clear answer; the promotion may take effect.
    UNKNOWN = "unknown"


class PromotionAuthority(Protocol):
    """The only one that can make a target primary."""

    async def promote(
        self, group: GroupId, target: TargetId, token: int, timeout: float
    ) -> PromotionOutcome:
        """Ask that a target becomes the primary of its group.

        :param token: fencing token of the control leader.
        :param timeout: seconds.
        """


class TargetWatch(Protocol):
    """Progress of one target."""

    def sample(self, sample_id: int) -> None:
        """Ask for the current position."""

    def close(self) -> None:
        """Stop watching."""


class TargetAdmin(Protocol):
    """Calls of control to targets; ``timeout`` is in seconds.

    A call that fails or has no answer in time raises the ``AdminError`` of the drivers.
    """

    async def seal(self, address: str, term: int, *, timeout: float) -> target_pb2.SealReply:
        """Raise the sealed term of a target."""

    async def promote(
        self, address: str, term: int, members: Iterable[target_pb2.Member], *, timeout: float
    ) -> target_pb2.MemberState:
        """Make a target primary."""

    async def follow(
        self, address: str, term: int, primary: target_pb2.Member, *, timeout: float
    ) -> target_pb2.MemberState:
        """Make a target a replica."""

    async def terminate(
        self, address: str, instance: str, up_to_incarnation: int, *, timeout: float
    ) -> int:
        """Close the connections of an instance and return how many there were."""

    async def terminate_connection(
        self, address: str, instance: str, connection_incarnation: int, *, timeout: float
    ) -> int:
        """Close one connection of an instance and return how many there were."""


class TargetDriver(Protocol):
    """Access to targets of one kind."""

    @property
    def admin(self) -> TargetAdmin:
        """Return the calls of control."""

    async def connect(
        self,
        target: TargetId,
        address: str,
        *,
        instance: InstanceId,
        instance_incarnation: Incarnation,
    ) -> Connection:
        """Open a connection."""

    def watch(
        self,
        address: str,
        on_progress: Callable[[target_pb2.Progress], None],
        *,
        on_lost: Callable[[], None] | None = None,
    ) -> TargetWatch:
        """Follow the progress of a target.

        :param on_lost: called when no sample asked for until then will be answered any more;
            later ones are sent once the target can be reached.
        """

    async def close(self) -> None:
        """Close what is shared between connections."""
