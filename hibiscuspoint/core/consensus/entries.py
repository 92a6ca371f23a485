"""Log entries, snapshots and the hard state."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from hibiscuspoint.core.consensus.membership import Configuration, Member

__all__ = ["Command", "Entry", "HardState", "NoOp", "Payload", "RecoveredState", "Snapshot"]


@dataclass(frozen=True, slots=True)
class NoOp:
    """Starts a term."""


@dataclass(frozen=True, slots=True)
class Command:
    """A serialized command for the state machine."""

    data: bytes


Payload: TypeAlias = NoOp | Command | Configuration


@dataclass(frozen=True, slots=True)
class Entry:
    """One log entry; index and term identify it."""

    index: int
    term: int
    payload: Payload

    @property
    def size(self) -> int:
        """Return the approximate size in bytes."""
        return 32 + (len(self.payload.data) if isinstance(self.payload, Command) else 0)


@dataclass(frozen=True, slots=True)
class Snapshot:
    """State after all entries up to an index."""

    index: int = 0
    term: int = 0
    configuration: Configuration = Configuration()
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class HardState:
    """What a member must remember over a restart.

    :param group: identity of the control group; empty until the member belongs to one.
    """

    term: int = 0
    vote: Member | None = None
    group: str = ""


@dataclass(frozen=True, slots=True)
class RecoveredState:
    """Content of a disk."""

    hard_state: HardState = HardState()
    snapshot: Snapshot = Snapshot()
    entries: tuple[Entry, ...] = ()
