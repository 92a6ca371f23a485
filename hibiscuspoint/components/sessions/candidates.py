"""The targets that may run a statement of one session now."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from hibiscuspoint.components.sessions.attempts import Candidate, RefusedError
from hibiscuspoint.core.balancing import ReadRequest
from hibiscuspoint.core.position import ZERO_POSITION
from hibiscuspoint.core.sessions import Failure, ReadMode

if TYPE_CHECKING:
    from hibiscuspoint.components.sessions.groups import GroupAccess
    from hibiscuspoint.core.entry.routes import Route, RouteMember
    from hibiscuspoint.core.ports import Clock
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.core.sessions import DatabaseRoute
    from hibiscuspoint.ids import AvailabilityZone, GroupId, Term

__all__ = ["Candidates"]

#: Bounds of an attempt to read where another target could be asked: the shortest time in seconds,
#: above the longest usual statement, and the multiple of the target's average time.
READ_ATTEMPT_SECONDS = 0.25
READ_ATTEMPT_FACTOR = 6.0

#: Longest time in seconds that a read waits for a connection where another target could be asked;
#: a handshake takes some ten milliseconds.
READ_CONNECT_SECONDS = 0.1


class Candidates:
    """Chooses targets for one session.

    :param zone: availability zone of this instance.
    """

    def __init__(self, access: GroupAccess, zone: AvailabilityZone, clock: Clock) -> None:
        self._access = access
        self._zone = zone
        self._clock = clock
        self._written: dict[GroupId, LogPosition] = {}

    def record_write(self, group: GroupId, position: LogPosition) -> None:
        """Record the position of a commit of the session."""
        self._written[group] = max(self._written.get(group, ZERO_POSITION), position)

    async def for_write(
        self, route: DatabaseRoute, deadline: float, *, is_transaction: bool = False
    ) -> list[Candidate]:
        """Return the primary.

        A statement waits while a promotion may end within its time. Repeating it would cost the
        caller one of few retries each time.

        :raises RefusedError: there is no usable primary in time, or none will come.
        """
        if not self._access.may_have_primary(route.group):
            raise RefusedError(Failure.OVERLOADED, "this instance is cut off from control")
        primary = await self._access.wait_for_primary(
            route.group, deadline, is_transaction=is_transaction
        )
        if primary is None:
            raise RefusedError(Failure.OVERLOADED, "the group has no primary at present")
        member = _primary_member(primary)
        return [Candidate(member, None, primary.term, deadline, deadline)]

    async def for_read(
        self, route: DatabaseRoute, deadline: float, *, is_transaction: bool = False
    ) -> list[Candidate]:
        """Return the targets whose data is fresh enough, best first.

        :raises RefusedError: only the primary could serve the read, and there is none.
        """
        known = self._access.route(route.group)
        now = self._clock.monotonic()
        required = None
        if known is not None and route.mode is not ReadMode.PRIMARY:
            required = self._access.tip(route.group).required(route.max_age_seconds, now)
        if required is None:
            (primary,) = await self.for_write(route, deadline, is_transaction=is_transaction)
            return [replace(primary, after=self._primary_position(route.group, primary.term))]
        if route.mode is ReadMode.READ_YOUR_WRITES:
            required = max(required, self._written.get(route.group, ZERO_POSITION))
        primary = self._access.primary(route.group, is_transaction=is_transaction)
        return self._ranked(known, primary, required, deadline, now)

    def _ranked(
        self,
        known: Route,
        primary: Route | None,
        required: LogPosition,
        deadline: float,
        now: float,
    ) -> list[Candidate]:
        primary_target = primary.primary if primary is not None else None
        usable = [
            member
            for member in known.members
            if member.target == primary_target
            or (member.target != known.primary and not member.leaving)
        ]
        request = ReadRequest(
            known.group, usable, self._access.loads, primary_target, self._zone, now
        )
        ranked = self._access.reads.rank(request)
        candidates = []
        for number, choice in enumerate(ranked, 1):
            member = choice.member
            is_primary = member.target == primary_target
            connect, answer = self._attempt_deadlines(
                member, deadline, now, is_last=number == len(ranked)
            )
            candidates.append(
                Candidate(
                    member,
                    self._primary_position(known.group, primary.term) if is_primary else required,
                    primary.term if is_primary else None,
                    connect,
                    answer,
                    choice.reason,
                    choice.may_skip and number < len(ranked),
                )
            )
        return candidates

    def _primary_position(self, group: GroupId, term: Term) -> LogPosition | None:
        """Return the position that a target must have to be the primary of a term."""
        return self._access.primary_log(group).required(term)

    def _attempt_deadlines(
        self, member: RouteMember, deadline: float, now: float, *, is_last: bool
    ) -> tuple[float, float]:
        """Return how long to wait for one target; the last one gets all the time that is left."""
        if is_last:
            return deadline, deadline
        average = self._access.load(member.target).average_seconds
        answer = now + max(READ_ATTEMPT_SECONDS, READ_ATTEMPT_FACTOR * average)
        return min(deadline, now + READ_CONNECT_SECONDS), min(deadline, answer)


def _primary_member(primary: Route) -> RouteMember:
    for member in primary.members:
        if member.target == primary.primary:
            return member
    raise RefusedError(Failure.OVERLOADED, "the address of the primary is not known")
