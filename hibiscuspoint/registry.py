"""Registries that decorators fill."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ["Registry"]

T = TypeVar("T")


class Registry(Generic[T]):
    """Named implementations of one interface.

    :param kind: what the registry holds, used in error messages.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries: dict[str, T] = {}

    @property
    def names(self) -> list[str]:
        """Return the registered names in order of registration."""
        return list(self._entries)

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its argument under a name.

        :raises ValueError: the name is taken.
        """

        def add(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return add

    def get(self, name: str) -> T:
        """Return the entry of a name.

        :raises LookupError: no entry has this name.
        """
        try:
            return self._entries[name]
        except KeyError:
            known = ", ".join(self._entries) or "none"
            raise LookupError(f"unknown {self._kind} {name!r}; known: {known}") from None

    def __iter__(self) -> Iterator[T]:
        return iter(self._entries.values())
