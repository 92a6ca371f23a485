"""Differences between two documents."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hibiscuspoint.document.document import Document

__all__ = ["Change", "diff"]


@dataclass(frozen=True)
class Change:
    """One key that differs; ``None`` stands for an absent key or group."""

    key: str
    old: Any
    new: Any

    def __str__(self) -> str:
        return f"{self.key}: {_shown(self.old)} -> {_shown(self.new)}"


def diff(old: Document, new: Document) -> list[Change]:
    """Return the changes between two documents, in key order; defaults are applied to both."""
    before, after = _flat(old), _flat(new)
    return [
        Change(key, before.get(key), after.get(key))
        for key in sorted(before.keys() | after.keys())
        if before.get(key) != after.get(key)
    ]


def _flat(document: Document) -> dict[str, Any]:
    data = document.model.model_dump(mode="json", exclude={"group"})
    values = dict(_leaves(data, ""))
    for group in document.model.group:
        prefix = f"group.{group.name}"
        values[prefix] = "present"
        values.update(_leaves(group.model_dump(mode="json", exclude={"name"}), prefix))
        values[f"{prefix}.ack_quorum"] = group.quorum
    return values


def _leaves(data: dict[str, Any], prefix: str) -> Iterator[tuple[str, Any]]:
    for key, value in data.items():
        path = f"{prefix}.{key}" if prefix else key
        if isinstance(value, dict):
            yield from _leaves(value, path)
        else:
            yield path, value


def _shown(value: Any) -> str:
    return "(none)" if value is None else str(value)
