"""Effects that a node returns for its runner to perform.

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
    """Store the hard state, replacing the previous one."""

    hard_state: HardState


@dataclass(frozen=True, slots=True)
class SaveEntries:
    """Store entries, replacing all stored entries from the index of the first one on."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Store a snapshot, the hard state and the entries after it, replacing all earlier records."""

    snapshot: Snapshot
    hard_state: HardState
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message without a guarantee that it is delivered."""

    message: Message


@dataclass(frozen=True, slots=True)
class ApplyEntries:
    """Apply committed entries to the state machine, in order."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class RestoreSnapshot:
    """Replace the state of the state machine with a snapshot."""

    snapshot: Snapshot


Save: TypeAlias = SaveHardState | SaveEntries | SaveSnapshot
Effect: TypeAlias = Save | SendMessage | ApplyEntries | RestoreSnapshot

SAVE_EFFECTS = (SaveHardState, SaveEntries, SaveSnapshot)
