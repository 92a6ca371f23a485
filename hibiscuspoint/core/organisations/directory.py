"""The organisations of one configuration, found by the hash of a key."""

from __future__ import annotations

import hashlib
import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING, NewType

from hibiscuspoint.errors import ConfigurationError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hibiscuspoint.ids import OrganisationId

__all__ = ["KeyHash", "Organisation", "OrganisationDirectory", "RateLimit", "hash_key"]

#: Hash of a key of a caller; the key itself is not kept.
KeyHash = NewType("KeyHash", bytes)

#: Secret of this process, so that a hash says nothing outside of it.
_HASH_SECRET = secrets.token_bytes(32)


def hash_key(key: str) -> KeyHash:
    """Return the keyed hash under which this process knows a key."""
    return KeyHash(hashlib.blake2b(key.encode(), digest_size=16, key=_HASH_SECRET).digest())


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Limit on the operations of an organisation at all instances together.

    :param rate_per_s: operations per second in the long run.
    :param burst: operations beyond the rate that may come at once.
    """

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class Organisation:
    """A customer whose callers identify themselves with one of its keys.

    :param priority: 0 is the highest.
    :param limit: ``None`` where the configuration states no limit.
    """

    name: OrganisationId
    priority: int = 0
    limit: RateLimit | None = None


class OrganisationDirectory:
    """The organisations of one configuration."""

    def __init__(self) -> None:
        self._by_name: dict[OrganisationId, Organisation] = {}
        self._by_key: dict[KeyHash, Organisation] = {}

    @classmethod
    def from_keys(
        cls, listed: Iterable[tuple[Organisation, Iterable[str]]]
    ) -> OrganisationDirectory:
        """Return the directory of organisations with their keys.

        :raises ConfigurationError: two organisations share a name or a key.
        """
        directory = cls()
        for organisation, keys in listed:
            directory._add(organisation, keys)
        return directory

    @property
    def names(self) -> list[OrganisationId]:
        """Return the names in the order of the configuration."""
        return list(self._by_name)

    def find(self, key: KeyHash) -> Organisation | None:
        """Return the organisation that holds a key."""
        return self._by_key.get(key)

    def get(self, name: OrganisationId) -> Organisation | None:
        """Return an organisation by its name."""
        return self._by_name.get(name)

    def _add(self, organisation: Organisation, keys: Iterable[str]) -> None:
        name = organisation.name
        if name in self._by_name:
            raise ConfigurationError(f"two organisations have the name {name!r}")
        self._by_name[name] = organisation
        for key in keys:
            holder = self._by_key.setdefault(hash_key(key), organisation)
            if holder is not organisation:
                raise ConfigurationError(f"{holder.name!r} and {name!r} share a key")
