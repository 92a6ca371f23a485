"""Interfaces between the core and its environment: clocks, targets and the platform."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

from hibiscuspoint.ids import NO_ORGANISATION

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hibiscuspoint.core.failover.status import StatusAnswer
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.core.sessions import PreparedStatement, Reply, Statement
    from hibiscuspoint.drivers.answer import RunResult
    from hibiscuspoint.drivers.answer_monitor import AnswerMonitor
    from hibiscuspoint.ids import GroupId, Incarnation, InstanceId, OrganisationId, TargetId
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
    """Monotonic and wall-clock time."""

    def monotonic(self) -> float:
        """Return the seconds of a clock that never jumps."""

    def unix(self) -> float:
        """Return the seconds since 1970-01-01 00:00 UTC."""


class Connection(Protocol):
    """Connection to a target, used by one transaction at a time."""

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and has no reply outstanding."""

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open at the target."""

    @property
    def incarnation(self) -> int:
        """Number that distinguishes this connection from all others of the instance."""

    async def run(self, run: target_pb2.Run, timeout: float, *, expected: float = 0.0) -> RunResult:
        """Run statements and return the complete reply.

        :param timeout: time limit for the reply in seconds.
        :param expected: usual time until the reply in seconds; a ping is sent when it is overdue.
        """

    def close(self) -> None:
        """Close the connection; the target rolls back an open transaction."""


class SessionConnection(Protocol):
    """Connection to a target that is shared by the sessions of callers, one at a time.

    Timeouts are in seconds. Every call may raise ``ConnectionLost``, or ``AnswerTimeoutError`` if
    the reply does not arrive in time; either closes the connection.
    """

    #: Time in seconds that the target took to accept the connection; ``None``: not known.
    round_trip_seconds: float | None

    @property
    def is_open(self) -> bool:
        """Whether the connection is open and has no reply outstanding."""

    @property
    def exhausted_at(self) -> LogPosition | None:
        """Position of the log at which the next refusal outside a transaction would be in doubt.

        ``None`` if it would not; an answer to ``reset`` at another position makes it so.
        """

    async def run(
        self,
        statement: Statement,
        *,
        timeout: float,
        name: str | None = None,
        after: LogPosition | None = None,
    ) -> Reply:
        """Run a statement of a caller.

        :param name: name at this connection of the prepared statement that ``statement`` executes.
        :param after: position that the target must have applied before it runs the statement.
        :raises AnswerDoubtful: a refusal equals an earlier one; ``settle`` must be the next call.
        """

    async def settle(self, timeout: float) -> Reply:
        """Return the answer to a statement whose refusal equals an earlier one.

        An open transaction is rolled back; outside of one, values and prepared statements are
        cleared. The session is idle afterwards.

        :raises AnswerUnclear: the answer cannot be told from a repetition.
        """

    async def reset(self, timeout: float) -> Reply:
        """Clear session values and prepared statements."""

    async def set_value(self, name: str, value: str | None, timeout: float) -> Reply:
        """Set a session value; ``None`` for one without a field."""

    async def prepare(
        self, name: str, prepared_statement: PreparedStatement, timeout: float
    ) -> Reply:
        """Create a prepared statement."""

    async def rollback(self, timeout: float) -> Reply:
        """Roll back the open transaction."""

    async def status(self, timeout: float) -> StatusAnswer:
        """Return the status of the target."""

    async def pause(self, term: int, timeout: float) -> StatusAnswer:
        """Stop a replica from receiving log records."""

    async def step_down(self, term: int, timeout: float) -> StatusAnswer:
        """Demote a primary of a lower term to a replica."""

    async def resume(self, timeout: float) -> StatusAnswer:
        """Let a paused replica receive log records again."""

    def close(self) -> None:
        """Close the connection; the target rolls back an open transaction."""


class SessionDriver(Protocol):
    """Opens connections to targets that serve sessions."""

    def set_answer_monitor(self, monitor: AnswerMonitor) -> None:
        """Report answers that belong to no statement in progress."""

    async def connect(
        self,
        group: GroupId,
        target: TargetId,
        address: str,
        timeout: float,
        organisation: OrganisationId = NO_ORGANISATION,
    ) -> SessionConnection:
        """Open a connection, in the name of an organisation if there are any.

        :param timeout: time limit in seconds.
        :raises ConnectError: no connection could be opened.
        """


class PromotionOutcome(Enum):
    """Reply of the platform to a promotion request."""

    ACCEPTED = "accepted"
    #: The target is not running.
    REFUSED = "refused"
    #: The reply was unclear or missing; the promotion may take effect.
    UNKNOWN = "unknown"


class PromotionAuthority(Protocol):
    """Service of the platform through which alone a target can become primary."""

    async def promote(
        self,
        group: GroupId,
        target: TargetId,
        token: int,
        timeout: float,
        may_send: Callable[[float], bool],
    ) -> PromotionOutcome:
        """Request that a target becomes the primary of its group.

        :param token: fencing token of the control leader.
        :param timeout: time limit in seconds.
        :param may_send: asked right before the request is sent, with the longest time in seconds
            that it is on its way; tells whether this instance leads until then. A request that is
            not answered must not arrive after that time.
        """


class TargetWatch(Protocol):
    """Subscription to the progress of one target."""

    def sample(self, sample_id: int) -> None:
        """Request the current position of the target.

        :param sample_id: number that the reply carries.
        """

    def close(self) -> None:
        """End the subscription."""


class TargetAdmin(Protocol):
    """Calls from control to targets; every ``timeout`` is in seconds.

    A call that fails or times out raises the ``AdminError`` of the drivers.
    """

    async def seal(self, address: str, term: int, *, timeout: float) -> target_pb2.SealReply:
        """Make a target refuse terms below ``term``."""

    async def promote(
        self, address: str, term: int, members: Iterable[target_pb2.Member], *, timeout: float
    ) -> target_pb2.MemberState:
        """Make a target the primary of a term.

        :param members: members of its group.
        """

    async def follow(
        self, address: str, term: int, primary: target_pb2.Member, *, timeout: float
    ) -> target_pb2.MemberState:
        """Make a target a replica of the primary of a term."""

    async def terminate(
        self, address: str, instance: str, up_to_incarnation: int, *, timeout: float
    ) -> int:
        """Close connections of an instance and return their number.

        :param up_to_incarnation: last incarnation of the instance whose connections are closed;
            0 for all.
        """

    async def terminate_connection(
        self, address: str, instance: str, connection_incarnation: int, *, timeout: float
    ) -> int:
        """Close one connection of an instance and return the number of closed connections."""


class TargetDriver(Protocol):
    """Driver for one kind of target."""

    @property
    def admin(self) -> TargetAdmin:
        """Calls from control to targets of this kind."""

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
        """Subscribe to the progress of a target.

        :param on_progress: called with each progress message.
        :param on_lost: called when the stream is lost. Samples requested before get no reply; later
            ones are sent once the target can be reached.
        """

    async def close(self) -> None:
        """Close the resources that connections share."""
