"""In-memory log of one member."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.core.consensus.membership import Configuration
from hibiscuspoint.core.consensus.timing import RETAINED_ENTRIES

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hibiscuspoint.core.consensus.entries import Entry, Snapshot

__all__ = ["Log"]


class Log:
    """Holds the latest snapshot and the entries after a base index.

    The base index is that of the last entry that was dropped. It may be lower than the snapshot
    index, because some entries are retained for followers that are slightly behind.

    :param snapshot: latest snapshot.
    :param entries: entries after the snapshot.
    """

    def __init__(self, snapshot: Snapshot, entries: Sequence[Entry]) -> None:
        self._snapshot = snapshot
        self._base_index = snapshot.index
        self._base_term = snapshot.term
        self._entries: list[Entry] = []
        self._configuration_entries: list[Entry] = []
        self.append(entries)

    @property
    def snapshot(self) -> Snapshot:
        """Latest snapshot; has index 0 before the first one was taken."""
        return self._snapshot

    @property
    def last_index(self) -> int:
        """Index of the last entry; the base index when there is none."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def configuration(self) -> Configuration:
        """Latest configuration in the log; it is in force even before it is committed."""
        return self.configuration_at(self.last_index)

    @property
    def configuration_index(self) -> int:
        """Index of the entry or snapshot that holds the configuration in force."""
        if self._configuration_entries:
            return self._configuration_entries[-1].index
        return self._snapshot.index

    def configuration_at(self, index: int) -> Configuration:
        """Return the latest configuration at or before an index, at least the snapshot's."""
        for entry in reversed(self._configuration_entries):
            if entry.index <= index and isinstance(entry.payload, Configuration):
                return entry.payload
        return self._snapshot.configuration

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at an index, or ``None`` when the log does not hold it."""
        if index == self._base_index:
            return self._base_term
        if index == self._snapshot.index:
            return self._snapshot.term
        if self._base_index < index <= self.last_index:
            return self._entries[index - self._base_index - 1].term
        return None

    def read_batch(self, first: int, max_entries: int, max_bytes: int) -> tuple[Entry, ...]:
        """Return entries from index ``first`` on, up to both limits.

        :param max_bytes: maximum total size; a first entry that is larger is returned alone.
        """
        start = first - self._base_index - 1
        batch: list[Entry] = []
        size = 0
        for entry in self._entries[start : start + max_entries]:
            size += entry.size
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def entries_between(self, after: int, upto: int) -> tuple[Entry, ...]:
        """Return the entries with indexes above ``after`` up to and including ``upto``."""
        return tuple(self._entries[after - self._base_index : upto - self._base_index])

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries, replacing all held entries from the index of the first one on.

        :raises ValueError: the entries do not follow the log without a gap.
        """
        if not entries:
            return
        first = entries[0].index
        if not self._base_index < first <= self.last_index + 1:
            raise ValueError(f"entry {first} does not follow the last entry {self.last_index}")
        del self._entries[first - self._base_index - 1 :]
        self._configuration_entries = [
            entry for entry in self._configuration_entries if entry.index < first
        ]
        self._entries.extend(entries)
        self._configuration_entries += [
            entry for entry in entries if isinstance(entry.payload, Configuration)
        ]

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the entries up to a snapshot, but retain the last ``RETAINED_ENTRIES`` of them.

        :raises ValueError: the log does not hold the entry at the new base index.
        """
        base = max(self._base_index, snapshot.index - RETAINED_ENTRIES)
        base_term = self.term_at(base)
        if base_term is None:
            raise ValueError(f"the log does not hold entry {base}")
        del self._entries[: base - self._base_index]
        self._base_index, self._base_term = base, base_term
        self._set_snapshot(snapshot)

    def reset(self, snapshot: Snapshot) -> None:
        """Replace the whole log with a snapshot."""
        self._entries.clear()
        self._base_index, self._base_term = snapshot.index, snapshot.term
        self._set_snapshot(snapshot)

    def conflict_hint(self, index: int) -> tuple[int, int]:
        """Return the conflict term and index of a rejected append at ``index``.

        The term is that of the entry at ``index`` and comes with the first index of that term. If
        there is no such entry, the term is 0 and the index is the one after the last entry.
        """
        term = self.term_at(index)
        if term is None:
            return 0, self.last_index + 1
        first = index
        while self.term_at(first - 1) == term and first - 1 > self._base_index:
            first -= 1
        return term, first

    def last_index_of_term(self, term: int) -> int | None:
        """Return the index of the last entry of a term, or ``None`` when the log holds none."""
        for entry in reversed(self._entries):
            if entry.term == term:
                return entry.index
            if entry.term < term:
                break
        return None

    def is_candidate_up_to_date(self, last_term: int, last_index: int) -> bool:
        """Return whether a candidate's log, given by its last entry, is as up to date as this."""
        return (last_term, last_index) >= (self.last_term, self.last_index)

    def _set_snapshot(self, snapshot: Snapshot) -> None:
        self._snapshot = snapshot
        has_snapshot_tail = self.last_index >= snapshot.index
        self._configuration_entries = [
            entry
            for entry in self._configuration_entries
            if has_snapshot_tail and entry.index > snapshot.index
        ]
