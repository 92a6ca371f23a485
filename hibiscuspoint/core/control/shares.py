"""Division of the connections of a target among holders."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscuspoint.ids import InstanceId

__all__ = ["ShareLedger"]


@dataclass
class _Reservation:
    """What an instance may have open, counted against the limit.

    ``granted`` is the last share sent, with ``sequence``. ``connections`` is the largest share that
    the instance may still act on; while ``is_known`` is false it is only an upper bound.
    """

    granted: int = 0
    sequence: int = 0
    connections: int = 0
    is_known: bool = True


class ShareLedger:
    """Divides the connections of one target so that the sum never exceeds the limit.

    A smaller share frees connections only when the instance reports that it acts on it. The share
    of a lost instance stays charged until the target confirmed that its connections are closed.

    :param limit: connections that the target accepts.
    :param first_sequence: lower bound of the sequence of grants; higher than all sequences of
        earlier control terms.
    :param earlier: instances that earlier leaders may have granted a share. Each counts with the
        whole limit until it reports or its connections are closed.
    """

    def __init__(
        self, limit: int, first_sequence: int = 0, earlier: tuple[InstanceId, ...] = ()
    ) -> None:
        self._limit = limit
        self._sequence = first_sequence
        self._reservations = {
            instance: _Reservation(connections=limit, is_known=False) for instance in earlier
        }

    @property
    def reserved_connections(self) -> int:
        """Return the connections that all instances together may have open."""
        return sum(reservation.connections for reservation in self._reservations.values())

    @property
    def instances(self) -> list[InstanceId]:
        """Return the instances that may have connections."""
        return list(self._reservations)

    def set_limit(self, limit: int) -> None:
        """Change the limit; shares shrink with the next grants."""
        self._limit = limit

    def current_grant(self, instance: InstanceId) -> tuple[int, int]:
        """Return the share of an instance and the sequence of its grant."""
        reservation = self._reservations.get(instance, _Reservation())
        return reservation.granted, reservation.sequence

    def record_report(
        self, instance: InstanceId, allowance: int, open_connections: int, sequence: int
    ) -> None:
        """Take the report of an instance about the share it acts on.

        Later grants are newer than the reported one, which an earlier leadership may have made in
        the same control term; the instance would ignore an older grant.
        """
        self._sequence = max(self._sequence, sequence)
        in_use = max(allowance, open_connections)
        reservation = self._reservations.get(instance)
        if reservation is None:
            self._withdraw(instance, in_use)
            return
        if sequence >= reservation.sequence:
            reservation.connections = max(in_use, reservation.granted)
            reservation.is_known = True
        else:
            reservation.connections = max(reservation.connections, in_use)
        if reservation.connections == 0 and reservation.granted == 0:
            del self._reservations[instance]

    def record_termination(self, instance: InstanceId) -> None:
        """Free the share of an instance whose connections the target closed."""
        self._reservations.pop(instance, None)

    def rebalance(self, holders: list[InstanceId]) -> None:
        """Grant each holder its part, as far as connections are free.

        An instance with an unknown reservation is granted nothing: the bound on its reservation
        is no claim to connections, which another instance may have.
        """
        wanted = self._wanted(holders)
        for instance, reservation in self._reservations.items():
            part = wanted.get(instance, 0)
            # A share of an earlier leader is withdrawn by a grant of its own; otherwise the
            # instance would keep it.
            is_inherited = not reservation.sequence and not part
            if reservation.granted > part or is_inherited:
                self._grant(reservation, part)
        for instance, part in wanted.items():
            reservation = self._reservations.setdefault(instance, _Reservation())
            if not reservation.is_known:
                continue
            free = self._limit - self.reserved_connections
            reachable = min(part, reservation.connections + max(free, 0))
            if reachable > reservation.granted:
                self._grant(reservation, reachable)
                reservation.connections = max(reservation.connections, reachable)

    def _withdraw(self, instance: InstanceId, in_use: int) -> None:
        """Take a share back that was given to others, as the instance had lost its lease."""
        if in_use:
            reservation = _Reservation(connections=in_use, is_known=False)
            self._grant(reservation, 0)
            self._reservations[instance] = reservation

    def _wanted(self, holders: list[InstanceId]) -> dict[InstanceId, int]:
        if not holders:
            return {}
        base, rest = divmod(self._limit, len(holders))
        return {holder: base + (place < rest) for place, holder in enumerate(holders)}

    def _grant(self, reservation: _Reservation, connections: int) -> None:
        self._sequence += 1
        reservation.granted = connections
        reservation.sequence = self._sequence
