"""Routes to primaries under leases, and fences against outdated control (designs D7, D13)."""

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

#: Seconds without contact with the leader after which an entry stops serving (design D13).
CONTACT_TIMEOUT_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class RouteMember:
    """A member of a group as control lists it."""

    target: TargetId
    address: str
    zone: AvailabilityZone
    slots: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class RouteGrant:
    """A route as control sent it.

    :param lease_seconds: 0 means that the primary must not be used.
    :param requested_at: own monotonic time at which the renewal was requested.
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


@dataclass(frozen=True, slots=True)
class Route:
    """The route of a group that is in force.

    :param lease_ends_at: monotonic time from which the primary must not be used.
    """

    group: GroupId
    term: Term
    primary: TargetId
    members: tuple[RouteMember, ...]
    ack_quorum: int
    lease_ends_at: float
    history: TermHistory
    paused: bool


@dataclass(frozen=True, slots=True)
class _Release:
    """Grants of the term that were requested at or before the release are void."""

    term: Term
    until: float


class RouteTable:
    """Routes of all groups; a route never goes back to a lower term."""

    def __init__(self) -> None:
        self._routes: dict[GroupId, Route] = {}
        self._requested_at: dict[GroupId, float] = {}
        self._released: dict[GroupId, _Release] = {}
        self._reported_expired: set[GroupId] = set()

    @property
    def groups(self) -> list[GroupId]:
        """Return the groups with a known route, with or without a valid lease."""
        return list(self._routes)

    def apply(self, update: RouteGrant) -> bool:
        """Take a grant over and tell whether it is in force.

        Grants of a lower term, or requested before one that was already applied in the same term,
        are ignored.
        """
        known = self._routes.get(update.group)
        if known is not None and self._is_outdated(known, update):
            return False
        lease_ends_at = self._lease_end(update)
        self._routes[update.group] = Route(
            group=update.group,
            term=update.term,
            primary=update.primary,
            members=update.members,
            ack_quorum=update.ack_quorum,
            lease_ends_at=lease_ends_at,
            history=update.history,
            paused=update.paused,
        )
        self._requested_at[update.group] = update.requested_at
        if lease_ends_at > -math.inf:
            self._reported_expired.discard(update.group)
        return True

    def route(self, group: GroupId) -> Route | None:
        """Return the known route without regard to its lease, for its replicas."""
        return self._routes.get(group)

    def leased_route(self, group: GroupId, now: float) -> Route | None:
        """Return the route of a group while its lease is valid."""
        route = self._routes.get(group)
        return route if route is not None and now < route.lease_ends_at else None

    def term(self, group: GroupId) -> Term:
        """Return the highest known term of a group; 0 when there is none."""
        route = self._routes.get(group)
        return route.term if route is not None else Term(0)

    def is_current(self, group: GroupId, term: Term, now: float) -> bool:
        """Tell whether a response of the primary of this term may still be released."""
        route = self.leased_route(group, now)
        return route is not None and route.term == term

    def release_lease(self, group: GroupId, now: float = math.inf) -> Term | None:
        """End the lease of a group, to hand it back, and return its term.

        Control counts the lease as returned from then on, so grants that were requested at or
        before ``now`` no longer give a lease in this term. Without ``now``, no later grant does.
        """
        route = self._routes.get(group)
        if route is None:
            return None
        self._released[group] = _Release(route.term, now)
        self._routes[group] = replace(route, lease_ends_at=-math.inf)
        return route.term

    def revoke_lease(self, group: GroupId, term: Term) -> bool:
        """End the lease of a group, as control opened a term above ``term``.

        :returns: whether there was a lease of this or a lower term. No later grant gives one.
        """
        route = self._routes.get(group)
        if route is None or route.term > term or route.lease_ends_at == -math.inf:
            return False
        self.release_lease(group)
        return True

    def pop_expired_routes(self, now: float) -> list[Route]:
        """Return the routes whose lease ended since the last call."""
        ended = [
            route
            for group, route in self._routes.items()
            if now >= route.lease_ends_at and group not in self._reported_expired
        ]
        self._reported_expired.update(route.group for route in ended)
        return ended

    def _is_outdated(self, known: Route, update: RouteGrant) -> bool:
        if update.term != known.term:
            return update.term < known.term
        return update.requested_at < self._requested_at[update.group]

    def _lease_end(self, update: RouteGrant) -> float:
        released = self._released.get(update.group)
        is_void = (
            released is not None
            and update.term <= released.term
            and update.requested_at <= released.until
        )
        if is_void or update.lease_seconds <= 0:
            return -math.inf
        return lease_end_at_holder(update.requested_at, update.lease_seconds)


class DocumentFence:
    """Keeps the document in force from going back (design D13)."""

    def __init__(self) -> None:
        self._control_term = 0
        self._number = 0

    @property
    def control_term(self) -> int:
        """Return the highest control term that was accepted."""
        return self._control_term

    @property
    def number(self) -> int:
        """Return the number of the document in force; 0 when there is none."""
        return self._number

    def accept(self, control_term: int, number: int) -> bool:
        """Accept an update, unless its control term or its document number is lower."""
        if control_term < self._control_term or number < self._number:
            return False
        self._control_term = control_term
        self._number = number
        return True


class ContactMonitor:
    """Tells whether the entry had contact with the control leader recently (design D13).

    :param seconds: time without contact after which the entry stops serving.
    """

    def __init__(self, seconds: float = CONTACT_TIMEOUT_SECONDS) -> None:
        self._seconds = seconds
        self._last_contact = -math.inf

    def record_contact(self, requested_at: float) -> None:
        """Record an update of the leader.

        :param requested_at: when the report was sent that the update answers; an update that was
            delayed on its way is no proof of contact at its arrival.
        """
        self._last_contact = max(self._last_contact, requested_at)

    def seconds_since_contact(self, now: float) -> float:
        """Return the seconds since the last contact; infinite without one."""
        return now - self._last_contact

    def has_recent_contact(self, now: float) -> bool:
        """Tell whether the last contact is recent enough."""
        return self.seconds_since_contact(now) < self._seconds
