"""The log of one member in memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.core.consensus.membership import Configuration
from hibiscuspoint.core.consensus.timing import RETAINED_ENTRIES

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hibiscuspoint.core.consensus.entries import Entry, Snapshot

__all__ = ["Log"]


class Log:
    """Entries after a base index, and the latest snapshot.

    The base may lie before the snapshot index, because some entries are kept for followers that
    are slightly behind.

    :param snapshot: latest snapshot.
    :param entries: entries after the snapshot.
    """

    def __init__(self, snapshot: Snapshot, entries: Sequence[Entry]) -> None:
        self._snapshot = snapshot
        self._base_index = snapshot.index
        self._base_term = snapshot.term
        self._entries: list[Entry] = []
        self._configurations: list[Entry] = []
        self.append(entries)

    @property
    def snapshot(self) -> Snapshot:
        """Return the latest snapshot."""
        return self._snapshot

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force: the latest one, committed or not."""
        return self.configuration_at(self.last_index)

    @property
    def configuration_index(self) -> int:
        """Return the index of the configuration in force."""
        if self._configurations:
            return self._configurations[-1].index
        return self._snapshot.index

    def configuration_at(self, index: int) -> Configuration:
        """Return the latest configuration at or before an index."""
        for entry in reversed(self._configurations):
            if entry.index <= index and isinstance(entry.payload, Configuration):
                return entry.payload
        return self._snapshot.configuration

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or ``None`` when it is not held."""
        if index == self._base_index:
            return self._base_term
        if index == self._snapshot.index:
            return self._snapshot.term
        if self._base_index < index <= self.last_index:
            return self._entries[index - self._base_index - 1].term
        return None

    def read(self, first: int, max_entries: int, max_bytes: int) -> tuple[Entry, ...]:
        """Return entries from an index on; at least one if there is any."""
        start = first - self._base_index - 1
        batch: list[Entry] = []
        size = 0
        for entry in self._entries[start : start + max_entries]:
            size += entry.size
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def between(self, after: int, upto: int) -> tuple[Entry, ...]:
        """Return the entries after one index up to another."""
        return tuple(self._entries[after - self._base_index : upto - self._base_index])

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries in place of those from the first index on.

        :raises ValueError: the entries leave a gap.
        """
        if not entries:
            return
        first = entries[0].index
        if not self._base_index < first <= self.last_index + 1:
            raise ValueError(f"entry {first} does not follow entry {self.last_index}")
        del self._entries[first - self._base_index - 1 :]
        self._configurations = [e for e in self._configurations if e.index < first]
        self._entries.extend(entries)
        self._configurations += [e for e in entries if isinstance(e.payload, Configuration)]

    def compact(self, snapshot: Snapshot) -> None:
        """Replace entries up to the snapshot index; ``RETAINED_ENTRIES`` of them stay readable.

        :raises ValueError: the log ends before the entries to drop.
        """
        base = max(self._base_index, snapshot.index - RETAINED_ENTRIES)
        base_term = self.term_at(base)
        if base_term is None:
            raise ValueError(f"entry {base} is not held")
        del self._entries[: base - self._base_index]
        self._base_index, self._base_term = base, base_term
        self._use_snapshot(snapshot)

    def reset(self, snapshot: Snapshot) -> None:
        """Replace the whole log by a snapshot."""
        self._entries.clear()
        self._base_index, self._base_term = snapshot.index, snapshot.term
        self._use_snapshot(snapshot)

    def conflict_hint(self, index: int) -> tuple[int, int]:
        """Return term and index from which a leader should continue after a mismatch."""
        term = self.term_at(index)
        if term is None:
            return 0, self.last_index + 1
        first = index
        while self.term_at(first - 1) == term and first - 1 > self._base_index:
            first -= 1
        return term, first

    def last_index_of(self, term: int) -> int | None:
        """Return the last index of a term, or ``None`` when no entry of it is held."""
        for entry in reversed(self._entries):
            if entry.term == term:
                return entry.index
            if entry.term < term:
                break
        return None

    def is_up_to_date(self, last_term: int, last_index: int) -> bool:
        """Tell whether a log with this end holds at least as much as this one."""
        return (last_term, last_index) >= (self.last_term, self.last_index)

    def _use_snapshot(self, snapshot: Snapshot) -> None:
        self._snapshot = snapshot
        kept = self.last_index >= snapshot.index
        self._configurations = [
            entry for entry in self._configurations if kept and entry.index > snapshot.index
        ]
