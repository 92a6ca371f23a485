"""Division of the connections of a target among holders."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscuspoint.ids import InstanceId

__all__ = ["ShareLedger"]


@dataclass
class _Reservation:
    """Connections that are reserved for one instance and count against the limit.

    :param granted: share that this leader granted last.
    :param sequence: sequence number of that grant; 0 if this leader granted nothing.
    :param connections: connections that the instance may have open. They are more than ``granted``
        until the instance reports that it applies a smaller grant.
    :param is_exact: false while ``connections`` is only an upper bound, because the instance has
        not reported the grant ``sequence`` or a later one.
    """

    granted: int = 0
    sequence: int = 0
    connections: int = 0
    is_exact: bool = True


class ShareLedger:
    """Divides the connections of one target so that their sum never exceeds the limit.

    A smaller share frees connections only when the instance reports that it applies the share. The
    reservation of a failed instance remains until the target has confirmed that the instance's
    connections are closed.

    :param limit: connections that the target accepts.
    :param first_sequence: lower bound of the sequence numbers of grants; higher than all sequence
        numbers of earlier control terms.
    :param inherited: instances that earlier leaders may have granted a share. The whole limit is
        reserved for each until it reports or its connections are closed.
    """

    def __init__(
        self, limit: int, first_sequence: int = 0, inherited: tuple[InstanceId, ...] = ()
    ) -> None:
        self._limit = limit
        self._sequence = first_sequence
        self._reservations = {
            instance: _Reservation(connections=limit, is_exact=False) for instance in inherited
        }

    @property
    def reserved_connections(self) -> int:
        """Connections that all instances together may have open."""
        return sum(reservation.connections for reservation in self._reservations.values())

    @property
    def instances(self) -> list[InstanceId]:
        """Instances that may have connections to the target."""
        return list(self._reservations)

    def set_limit(self, limit: int) -> None:
        """Change the limit; shares above it shrink at the next :meth:`rebalance`."""
        self._limit = limit

    def current_grant(self, instance: InstanceId) -> tuple[int, int]:
        """Return the granted connections of an instance and the sequence number of the grant.

        Both are 0 if the instance was granted nothing.
        """
        reservation = self._reservations.get(instance, _Reservation())
        return reservation.granted, reservation.sequence

    def record_report(
        self, instance: InstanceId, allowance: int, open_connections: int, sequence: int
    ) -> None:
        """Update the reservation of an instance from its report.

        Later grants receive higher sequence numbers than the reported one, because an instance
        ignores a grant with a lower number. The reported number can be ahead of this ledger if it
        was granted in an earlier leadership of the same control term.

        :param allowance: connections that the instance may open under the share that it applies.
        :param open_connections: connections that it has open.
        :param sequence: sequence number of the grant that it applies.
        """
        self._sequence = max(self._sequence, sequence)
        in_use = max(allowance, open_connections)
        reservation = self._reservations.get(instance)
        if reservation is None:
            self._withdraw(instance, in_use)
            return
        if sequence >= reservation.sequence:
            reservation.connections = max(in_use, reservation.granted)
            reservation.is_exact = True
        else:
            reservation.connections = max(reservation.connections, in_use)
        if reservation.connections == 0 and reservation.granted == 0:
            del self._reservations[instance]

    def record_termination(self, instance: InstanceId) -> None:
        """Free the reservation of an instance whose connections the target has closed."""
        self._reservations.pop(instance, None)

    def rebalance(self, holders: list[InstanceId]) -> None:
        """Grant each holder an equal share, as far as connections are free.

        Shares that are too large are reduced first. An instance whose reservation is not exact is
        granted nothing: an upper bound is no claim to connections, which another instance may have.
        """
        shares = self._equal_shares(holders)
        for instance, reservation in self._reservations.items():
            share = shares.get(instance, 0)
            # An instance keeps the share of an earlier leader until a grant replaces it.
            is_inherited = not reservation.sequence and not share
            if reservation.granted > share or is_inherited:
                self._grant(reservation, share)
        for instance, share in shares.items():
            reservation = self._reservations.setdefault(instance, _Reservation())
            if not reservation.is_exact:
                continue
            free = self._limit - self.reserved_connections
            available = min(share, reservation.connections + max(free, 0))
            if available > reservation.granted:
                self._grant(reservation, available)
                reservation.connections = max(reservation.connections, available)

    def _withdraw(self, instance: InstanceId, in_use: int) -> None:
        """Withdraw a share that an instance reports although its connections were reassigned."""
        if in_use:
            reservation = _Reservation(connections=in_use, is_exact=False)
            self._grant(reservation, 0)
            self._reservations[instance] = reservation

    def _equal_shares(self, holders: list[InstanceId]) -> dict[InstanceId, int]:
        """Divide the limit evenly; the first holders receive the remainder."""
        if not holders:
            return {}
        base, rest = divmod(self._limit, len(holders))
        return {holder: base + (place < rest) for place, holder in enumerate(holders)}

    def _grant(self, reservation: _Reservation, connections: int) -> None:
        self._sequence += 1
        reservation.granted = connections
        reservation.sequence = self._sequence
