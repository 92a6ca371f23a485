"""Interfaces through which the core meets the outside."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hibiscuspoint.drivers.answer import RunResult
    from hibiscuspoint.ids import Incarnation, InstanceId, TargetId
    from hibiscuspoint.wire import target_pb2

__all__ = ["Clock", "Connection", "TargetAdmin", "TargetDriver", "TargetWatch"]


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
