"""Interfaces through which the core meets the outside."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from hibiscuspoint.ids import TargetId
    from hibiscuspoint.wire import target_pb2

__all__ = ["Clock", "Connection", "Disk", "TargetDriver", "TargetWatch"]


class Clock(Protocol):
    """Sources of time."""

    def monotonic(self) -> float:
        """Return seconds of a clock that never steps."""

    def unix(self) -> float:
        """Return seconds since 1970 in UTC."""


class Disk(Protocol):
    """Append-only log and snapshot of one control instance."""

    def append(self, records: list[bytes]) -> None:
        """Append records; they are durable after :meth:`sync`."""

    def sync(self) -> None:
        """Make all appended records durable."""


class Connection(Protocol):
    """One connection to a target; owned by one transaction at a time."""

    @property
    def is_usable(self) -> bool:
        """Tell whether the connection is open and owes no answer."""

    async def run(self, run: target_pb2.Run, timeout: float) -> target_pb2.RunEnd:
        """Run statements and wait for the whole answer."""

    def close(self) -> None:
        """Close the connection; the target rolls back an open transaction."""


class TargetWatch(Protocol):
    """Progress of one target."""

    def sample(self, sample_id: int) -> None:
        """Ask for the current position."""


class TargetDriver(Protocol):
    """Access to targets of one kind."""

    async def connect(self, target: TargetId, address: str) -> Connection:
        """Open a connection."""
