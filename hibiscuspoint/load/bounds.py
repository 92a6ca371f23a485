"""Lower bounds for the versions that a read may return."""

from __future__ import annotations

import bisect
from collections import defaultdict
from typing import TYPE_CHECKING, TypeAlias

from hibiscuspoint.load.history import Kind, Outcome

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hibiscuspoint.load.history import Operation

__all__ = ["Item", "KnownVersions", "item_of", "known_version"]

#: A register or a pair: its table, group and key.
Item: TypeAlias = "tuple[str, str, str]"

_TABLES = {
    Kind.REGISTER_WRITE: "register",
    Kind.REGISTER_READ: "register",
    Kind.PAIR_WRITE: "pair",
    Kind.PAIR_READ: "pair",
}


def item_of(operation: Operation) -> Item | None:
    """Return the versioned item of an operation; ``None`` for the ledger."""
    table = _TABLES.get(operation.kind)
    return None if table is None else (table, operation.group, operation.key)


def known_version(operation: Operation) -> int:
    """Return the highest version that the operation shows to exist; 0 if none."""
    if operation.outcome is not Outcome.OK:
        return 0
    if operation.written is not None:
        return operation.written.version
    return max((version.version for version in operation.seen), default=0)


class KnownVersions:
    """Highest version of each item that completed operations wrote or saw, by time."""

    def __init__(self, operations: Iterable[Operation]) -> None:
        self._times: dict[Item, list[float]] = defaultdict(list)
        self._highest: dict[Item, list[int]] = defaultdict(list)
        completed = [op for op in operations if op.completed_at is not None]
        for operation in sorted(completed, key=lambda op: op.completed_at):
            self._add(operation)

    def _add(self, operation: Operation) -> None:
        item = item_of(operation)
        version = known_version(operation)
        if item is None or not version:
            return
        highest = self._highest[item]
        self._times[item].append(operation.completed_at)
        highest.append(max(version, highest[-1] if highest else 0))

    def before(self, item: Item, time: float) -> int:
        """Return the highest version known from operations completed before a time; 0 if none."""
        index = bisect.bisect_left(self._times.get(item, []), time)
        return self._highest[item][index - 1] if index else 0

    def last(self, item: Item) -> int:
        """Return the highest version known at the end; 0 if none."""
        return self.before(item, float("inf"))

    @property
    def items(self) -> list[Item]:
        """Return all items with a known version."""
        return list(self._times)
