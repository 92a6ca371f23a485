"""Leased routes to primaries, and fencing of outdated control leaders (designs D7, D13)."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from hibiscuspoint.core.lease import lease_end_at_holder
from hibiscuspoint.core.position import TermHistory
from hibiscuspoint.ids import GroupId, TargetId, Term

if TYPE_CHECKING:
    from hibiscuspoint.ids import AvailabilityZone

__all__ = [
    "CONTACT_TIMEOUT_SECONDS",
    "ContactMonitor",
    "DocumentFence",
    "Route",
    "RouteGrant",
    "RouteMember",
    "RouteTable",
]

#: Seconds without contact with the control leader after which an entry stops serving (design D13).
CONTACT_TIMEOUT_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class RouteMember:
    """A member of a group in a route sent by control.

    :param slots: number of statements that the target executes at the same time.
    :param leaving: whether the target is leaving the group.
    """

    target: TargetId
    address: str
    zone: AvailabilityZone
    slots: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class RouteGrant:
    """A route with a lease, as granted by control.

    :param ack_quorum: number of members that must store a write before it is acknowledged.
    :param lease_seconds: duration of the lease; 0 means that the primary must not be used.
    :param requested_at: monotonic time of this instance at which the lease was requested.
    :param history: start indexes of the terms in the log of the group.
    :param paused: whether requests to the primary are held back.
    :param transactions_paused: whether transactions at the primary are held back.
    """

    group: GroupId
    term: Term
    primary: TargetId
    members: tuple[RouteMember, ...]
    ack_quorum: int
    lease_seconds: float
    requested_at: float
    history: TermHistory = field(default_factory=TermHistory)
    paused: bool = False
    transactions_paused: bool = False


@dataclass(frozen=True, slots=True)
class Route:
    """Route of a group that an entry uses.

    :param ack_quorum: number of members that must store a write before it is acknowledged.
    :param lease_ends_at: monotonic time from which the primary must not be used; minus infinity
        without a lease.
    :param history: start indexes of the terms in the log of the group.
    :param paused: whether requests to the primary are held back.
    :param transactions_paused: whether transactions at the primary are held back.
    """

    group: GroupId
    term: Term
    primary: TargetId
    members: tuple[RouteMember, ...]
    ack_quorum: int
    lease_ends_at: float
    history: TermHistory
    paused: bool
    transactions_paused: bool = False


@dataclass(frozen=True, slots=True)
class _Release:
    """Release of the lease of a group; earlier requests give no lease in its term.

    :param term: term of the released lease.
    :param released_at: monotonic time of the release; grants that were requested at or before it
        give no lease. Infinity means that no later grant of the term gives one.
    """

    term: Term
    released_at: float


class RouteTable:
    """Routes of all groups; the term of a route never decreases."""

    def __init__(self) -> None:
        self._routes: dict[GroupId, Route] = {}
        self._requested_at: dict[GroupId, float] = {}
        self._releases: dict[GroupId, _Release] = {}
        # Groups whose expired lease was returned by ``pop_expired_routes``.
        self._reported_expired: set[GroupId] = set()

    @property
    def groups(self) -> list[GroupId]:
        """Groups with a known route, whether or not its lease is valid."""
        return list(self._routes)

    def apply(self, grant: RouteGrant) -> bool:
        """Apply a grant and return whether it was used.

        A grant is ignored if its term is lower than that of the known route, or if it was requested
        before one that was already applied in the same term.
        """
        known = self._routes.get(grant.group)
        if known is not None and self._is_outdated(known, grant):
            return False
        lease_ends_at = self._lease_end(
            grant.group, grant.term, grant.lease_seconds, grant.requested_at
        )
        self._routes[grant.group] = Route(
            group=grant.group,
            term=grant.term,
            primary=grant.primary,
            members=grant.members,
            ack_quorum=grant.ack_quorum,
            lease_ends_at=lease_ends_at,
            history=grant.history,
            paused=grant.paused,
            transactions_paused=grant.transactions_paused,
        )
        self._requested_at[grant.group] = grant.requested_at
        if lease_ends_at > -math.inf:
            self._reported_expired.discard(grant.group)
        return True

    def renew(self, group: GroupId, term: Term, lease_seconds: float, requested_at: float) -> bool:
        """Renew the lease of a known route and return whether it has one.

        Like a grant of the same route, the renewal is ignored for another term and if it was
        requested before the last grant, and gives no lease if the lease was released after that.
        """
        known = self._routes.get(group)
        if known is None or known.term != term or requested_at < self._requested_at[group]:
            return False
        lease_ends_at = self._lease_end(group, term, lease_seconds, requested_at)
        self._requested_at[group] = requested_at
        self._routes[group] = replace(known, lease_ends_at=lease_ends_at)
        if lease_ends_at == -math.inf:
            return False
        self._reported_expired.discard(group)
        return True

    def route(self, group: GroupId) -> Route | None:
        """Return the known route whether or not its lease is valid, for the use of its replicas."""
        return self._routes.get(group)

    def leased_route(self, group: GroupId, now: float) -> Route | None:
        """Return the route of a group if its lease is valid, else None."""
        route = self._routes.get(group)
        return route if route is not None and now < route.lease_ends_at else None

    def term(self, group: GroupId) -> Term:
        """Return the highest known term of a group; 0 if there is none."""
        route = self._routes.get(group)
        return route.term if route is not None else Term(0)

    def is_current(self, group: GroupId, term: Term, now: float) -> bool:
        """Return whether the lease of this term is valid.

        If not, a response of the primary of this term must not be sent to its caller.
        """
        route = self.leased_route(group, now)
        return route is not None and route.term == term

    def release_lease(self, group: GroupId, now: float = math.inf) -> Term | None:
        """End the lease of a group in order to return it to control; return its term.

        From then on, control treats the lease as returned. Grants that were requested at or before
        ``now`` therefore give no lease in this term; without ``now``, no later grant does.
        """
        route = self._routes.get(group)
        if route is None:
            return None
        self._releases[group] = _Release(route.term, now)
        self._routes[group] = replace(route, lease_ends_at=-math.inf)
        return route.term

    def revoke_lease(self, group: GroupId, term: Term) -> bool:
        """End the lease of a group, as control opened a term higher than ``term``.

        No later grant gives a lease of this or a lower term.

        :returns: whether there was a lease of this or a lower term.
        """
        route = self._routes.get(group)
        if route is None or route.term > term or route.lease_ends_at == -math.inf:
            return False
        self.release_lease(group)
        return True

    def released_until(self, group: GroupId) -> float:
        """Return until when requested leases of the known term are void.

        :returns: monotonic time in seconds; minus infinity if no lease was released.
        """
        release = self._releases.get(group)
        return release.released_at if release is not None else -math.inf

    def pop_expired_routes(self, now: float) -> list[Route]:
        """Return the routes whose lease ended since the last call."""
        expired = [
            route
            for group, route in self._routes.items()
            if now >= route.lease_ends_at and group not in self._reported_expired
        ]
        self._reported_expired.update(route.group for route in expired)
        return expired

    def _is_outdated(self, known: Route, grant: RouteGrant) -> bool:
        if grant.term != known.term:
            return grant.term < known.term
        return grant.requested_at < self._requested_at[grant.group]

    def _lease_end(
        self, group: GroupId, term: Term, lease_seconds: float, requested_at: float
    ) -> float:
        release = self._releases.get(group)
        is_void = (
            release is not None and term <= release.term and requested_at <= release.released_at
        )
        if is_void or lease_seconds <= 0:
            return -math.inf
        return lease_end_at_holder(requested_at, lease_seconds)


class DocumentFence:
    """Rejects documents that are older than the one in force (design D13)."""

    def __init__(self) -> None:
        self._control_term = 0
        self._number = 0

    @property
    def control_term(self) -> int:
        """Highest control term that was accepted."""
        return self._control_term

    @property
    def number(self) -> int:
        """Number of the document in force; 0 if there is none."""
        return self._number

    def accept(self, control_term: int, number: int) -> bool:
        """Accept an update unless its control term or its document number is lower.

        :returns: whether the update was accepted.
        """
        if control_term < self._control_term or number < self._number:
            return False
        self._control_term = control_term
        self._number = number
        return True


class ContactMonitor:
    """Tracks the last contact of the entry with the control leader (design D13).

    :param timeout_seconds: time without contact after which the entry stops serving.
    """

    def __init__(self, timeout_seconds: float = CONTACT_TIMEOUT_SECONDS) -> None:
        self._timeout_seconds = timeout_seconds
        self._last_contact_at = -math.inf

    def record_contact(self, requested_at: float) -> None:
        """Record an update received from the leader.

        :param requested_at: monotonic time at which the report was sent that the update answers. An
            update that was delayed in transit does not prove contact at its arrival.
        """
        self._last_contact_at = max(self._last_contact_at, requested_at)

    def seconds_since_contact(self, now: float) -> float:
        """Return the seconds since the last contact; infinity if there was none."""
        return now - self._last_contact_at

    def has_recent_contact(self, now: float) -> bool:
        """Return whether the last contact is recent enough for the entry to serve."""
        return self.seconds_since_contact(now) < self._timeout_seconds
