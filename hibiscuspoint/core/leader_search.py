"""Order in which an entry asks the instances that may lead control."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["LeaderSearch"]


class LeaderSearch:
    """Asks each member once a round, the most likely ones first.

    A member that becomes known during a round is still asked in it, so that an instance that only
    knew seeds goes to the control group as soon as one of them names it.

    :param members: addresses of instances that may lead or know who does, best first.
    """

    def __init__(self, members: Iterable[str]) -> None:
        self._members = list(members)
        self._asked: set[str] = set()
        self._hint = ""

    @property
    def members(self) -> list[str]:
        """Return the addresses, best first."""
        return list(self._members)

    def set_members(self, members: Iterable[str]) -> None:
        """Replace the addresses, best first."""
        self._members = list(members)

    def redirect(self, address: str) -> None:
        """Ask an address next, as a member of the control group named it as the leader."""
        self._hint = address

    def suggest(self, address: str) -> bool:
        """Ask an address next unless it was asked in this round; return whether it is asked.

        An instance outside the control group may name a leader that was lost long ago.
        """
        if not address or address in self._asked:
            return False
        self._hint = address
        return True

    def next_address(self) -> str:
        """Return the address to ask now."""
        address, self._hint = self._hint, ""
        if not address:
            if not set(self._members) - self._asked:
                self._asked.clear()
            address = next(member for member in self._members if member not in self._asked)
        self._asked.add(address)
        return address

    def record_found(self, address: str) -> None:
        """Start a new round, which asks the leader that was found last."""
        self._asked = {address}
        self._hint = ""
