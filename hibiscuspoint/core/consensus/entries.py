"""Log entries, snapshots and the hard state of a member."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from hibiscuspoint.core.consensus.membership import Configuration, Member

__all__ = ["Command", "Entry", "HardState", "NoOp", "Payload", "RecoveredState", "Snapshot"]


@dataclass(frozen=True, slots=True)
class NoOp:
    """Empty payload of the first entry that a leader appends in its term."""


@dataclass(frozen=True, slots=True)
class Command:
    """A serialized command for the state machine."""

    data: bytes


Payload: TypeAlias = NoOp | Command | Configuration

#: Approximate size of the index, the term and the encoding of a serialized entry.
_ENTRY_OVERHEAD_BYTES = 32


@dataclass(frozen=True, slots=True)
class Entry:
    """A log entry; its index and term identify it."""

    index: int
    term: int
    payload: Payload

    @property
    def size(self) -> int:
        """Approximate size of the serialized entry in bytes."""
        return _ENTRY_OVERHEAD_BYTES + (
            len(self.payload.data) if isinstance(self.payload, Command) else 0
        )


@dataclass(frozen=True, slots=True)
class Snapshot:
    """State of the log and the state machine after all entries up to an index.

    :param index: index of the last entry that the snapshot covers; 0 for the empty snapshot.
    :param term: term of that entry.
    :param configuration: latest configuration at that entry.
    :param data: serialized state of the state machine.
    """

    index: int = 0
    term: int = 0
    configuration: Configuration = Configuration()
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class HardState:
    """State that a member must make durable before it answers a message.

    :param term: current term.
    :param vote: member that received the vote in this term, or ``None``.
    :param group: identity of the control group; empty until the member belongs to one.
    """

    term: int = 0
    vote: Member | None = None
    group: str = ""


@dataclass(frozen=True, slots=True)
class RecoveredState:
    """State that was read from a disk at startup.

    :param entries: entries after the snapshot.
    """

    hard_state: HardState = HardState()
    snapshot: Snapshot = Snapshot()
    entries: tuple[Entry, ...] = ()
