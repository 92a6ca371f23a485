"""Effects that a node asks its runner to perform.

The runner makes every ``Save...`` effect of a list durable before it performs any other effect of
that list.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from hibiscuspoint.core.consensus.entries import Entry, HardState, Snapshot
    from hibiscuspoint.core.consensus.messages import Message

__all__ = [
    "SAVE_EFFECTS",
    "ApplyEntries",
    "Effect",
    "RestoreSnapshot",
    "Save",
    "SaveEntries",
    "SaveHardState",
    "SaveSnapshot",
    "SendMessage",
]


@dataclass(frozen=True, slots=True)
class SaveHardState:
    """Store the hard state."""

    hard_state: HardState


@dataclass(frozen=True, slots=True)
class SaveEntries:
    """Store entries in place of all stored entries from the first index on."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Store a snapshot in place of all earlier records; the entries follow it."""

    snapshot: Snapshot
    hard_state: HardState
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message; it may be lost."""

    message: Message


@dataclass(frozen=True, slots=True)
class ApplyEntries:
    """Apply committed entries in order."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class RestoreSnapshot:
    """Replace the state machine by a snapshot."""

    snapshot: Snapshot


Save: TypeAlias = SaveHardState | SaveEntries | SaveSnapshot
Effect: TypeAlias = Save | SendMessage | ApplyEntries | RestoreSnapshot

SAVE_EFFECTS = (SaveHardState, SaveEntries, SaveSnapshot)
