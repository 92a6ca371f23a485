"""Performs the effects of a consensus node."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from hibiscuspoint.core.consensus.effects import (
    SAVE_EFFECTS,
    ApplyEntries,
    RestoreSnapshot,
    SendMessage,
)
from hibiscuspoint.core.consensus.entries import Command
from hibiscuspoint.wire import record_pb2

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from hibiscuspoint.core.consensus.effects import Effect, Save
    from hibiscuspoint.core.consensus.entries import Entry, Snapshot
    from hibiscuspoint.core.consensus.messages import Message

__all__ = ["EffectRunner", "EntryDisk", "StateMachine"]


class StateMachine(Protocol):
    """State that the replicated log keeps equal on all control instances."""

    def apply(self, index: int, command: record_pb2.Command) -> None:
        """Apply a committed command."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""


class EntryDisk(Protocol):
    """Durable storage of one member."""

    def save(self, effect: Save) -> None:
        """Store an effect; it is durable after :meth:`sync`."""

    def sync(self) -> None:
        """Make everything saved durable."""


class EffectRunner:
    """Makes saves durable, and then sends messages and applies entries.

    :meth:`save` comes before :meth:`perform` for the same effects, and the effects of several
    steps keep their order.

    :param disk: storage of this member.
    :param send: sends a message without waiting.
    :param state_machine: receives committed commands.
    :param on_applied: called with each applied entry.
    """

    def __init__(
        self,
        disk: EntryDisk,
        send: Callable[[Message], None],
        state_machine: StateMachine,
        on_applied: Callable[[Entry], None],
    ) -> None:
        self._disk = disk
        self._send = send
        self._state_machine = state_machine
        self._on_applied = on_applied
        self._applied_index = 0

    @property
    def applied_index(self) -> int:
        """Return the index up to which the state machine is current."""
        return self._applied_index

    def run(self, effects: Sequence[Effect]) -> None:
        """Perform effects in order, saves first, and wait for the disk.

        :raises OSError: the disk failed; no message was sent.
        """
        self.save(effects)
        self.perform(effects)

    def save(self, effects: Sequence[Effect]) -> None:
        """Make the saves among some effects durable; may be called from another thread.

        :raises OSError: the disk failed.
        """
        saves = [effect for effect in effects if isinstance(effect, SAVE_EFFECTS)]
        for save in saves:
            self._disk.save(save)
        if saves:
            self._disk.sync()

    def perform(self, effects: Sequence[Effect]) -> None:
        """Send and apply, in order, what depends on saves that are durable now."""
        for effect in effects:
            match effect:
                case SendMessage(message):
                    self._send(message)
                case ApplyEntries(entries):
                    self._apply(entries)
                case RestoreSnapshot(snapshot):
                    self.restore(snapshot)

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the state machine by a snapshot."""
        self._state_machine.restore(snapshot.data)
        self._applied_index = snapshot.index

    def _apply(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            if isinstance(entry.payload, Command):
                command = record_pb2.Command.FromString(entry.payload.data)
                self._state_machine.apply(entry.index, command)
            self._applied_index = entry.index
            self._on_applied(entry)
