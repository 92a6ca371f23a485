"""Heartbeats and replies that control received from the targets of one group."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscuspoint.core.control.state import GroupRecord
    from hibiscuspoint.core.failover.status import TargetStatus
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.ids import Incarnation, TargetId

__all__ = ["STATUS_MAX_AGE_SECONDS", "TargetContacts"]

#: Age up to which the reply to a poll counts as the current state of a target. It exceeds the
#: interval between two polls of a primary, which is 0.5 s.
STATUS_MAX_AGE_SECONDS = 0.8

#: Silence after which a replica is removed, once another one holds the whole log. A database that
#: restarts sends heartbeats again within this time.
REMOVAL_SILENCE_SECONDS = 12.0

#: Time that a heartbeat may be on its way, as an instance has 0.3 s to pass one on. One that
#: arrives later than this after a connection was opened was sent after that.
HEARTBEAT_DELAY_SECONDS = 0.3

#: Time in which a target that has announced its end may still confirm commits.
DEPARTURE_SECONDS = 0.4


@dataclass
class _Contact:
    """Latest messages of one target; times in monotonic seconds.

    :param incarnation: incarnation that sent them.
    :param contacted_at: when the last message of any kind arrived.
    :param heartbeat_at: when the last heartbeat of this incarnation arrived.
    :param known_since: when the incarnation became known.
    :param polled_at: when the poll that returned ``status`` was sent.
    :param read_at: when the target certainly had the position in ``status``.
    :param has_departed: whether the target has announced its end.
    :param is_replaced: whether another target answers at its address.
    :param ended_at: time by which a departed or replaced target confirms no more commits.
    """

    incarnation: Incarnation | None
    contacted_at: float
    known_since: float
    heartbeat_at: float = -math.inf
    status: TargetStatus | None = None
    polled_at: float = -math.inf
    read_at: float = -math.inf
    answered_at: float = -math.inf
    has_departed: bool = False
    is_replaced: bool = False
    ended_at: float = -math.inf


class TargetContacts:
    """Liveness and last status of each target; soft state of one leadership.

    :param record: durable record of the group; changes as commands are applied.
    :param now: monotonic time in seconds at which the leadership began.
    """

    def __init__(self, record: GroupRecord, now: float) -> None:
        self._record = record
        self._leader_since = now
        self._contacts: dict[TargetId, _Contact] = {}

    def observe_members(self, now: float) -> None:
        """Begin the silence of targets, or incarnations of them, that were registered since."""
        for target in self._record.targets:
            self._contact(target, now)

    def record_contact(self, target: TargetId, now: float) -> None:
        """Record a heartbeat or another message that carries no status.

        A heartbeat of a target whose address another one has taken over was sent before that.
        """
        contact = self._contact(target, now)
        if not contact.is_replaced:
            contact.contacted_at = now
            contact.has_departed = False

    def record_heartbeat(self, target: TargetId, now: float) -> None:
        """Record a heartbeat of the registered incarnation of a target."""
        self.record_contact(target, now)
        self._contact(target, now).heartbeat_at = now

    def record_departure(self, target: TargetId, now: float) -> None:
        """Record that a target has announced its end."""
        contact = self._contact(target, now)
        contact.has_departed = True
        contact.ended_at = now + DEPARTURE_SECONDS

    def record_replacement(self, target: TargetId, now: float) -> None:
        """Record that another target answers at the address of this one."""
        contact = self._contact(target, now)
        if not contact.is_replaced:
            contact.is_replaced = True
            contact.ended_at = now

    def record_order_reply(self, target: TargetId, now: float) -> None:
        """Record a reply to an order, such as a pause."""
        contact = self._contact(target, now)
        contact.contacted_at = contact.answered_at = now
        contact.is_replaced = False

    def record_status(
        self,
        target: TargetId,
        status: TargetStatus,
        polled_at: float,
        now: float,
        read_at: float | None = None,
    ) -> None:
        """Record the reply to a poll that was sent at ``polled_at``.

        :param read_at: see ``GroupFailover.record_status``.
        """
        contact = self._contact(target, now)
        contact.status, contact.polled_at, contact.answered_at = status, polled_at, now
        contact.read_at = polled_at if read_at is None else read_at
        contact.contacted_at = now
        contact.is_replaced = False

    def primary_tip(self) -> tuple[LogPosition, float] | None:
        """Return the last position read at the primary and a time at which it was current."""
        contact = self._contacts.get(self._record.primary) if self._record.primary else None
        if contact is None or contact.status is None or not contact.status.is_primary:
            return None
        return contact.status.received, contact.read_at

    def primary_status(self, target: TargetId) -> TargetStatus | None:
        """Return the last status of a target, if it acted as primary then."""
        contact = self._contacts.get(target)
        if contact is None or contact.status is None or not contact.status.is_primary:
            return None
        return contact.status

    def is_registered_start(self, target: TargetId, connected_at: float) -> bool:
        """Tell whether a connection certainly leads to the registered incarnation of a target.

        That ran before the connection was opened. If it sent a heartbeat after that, it ran when
        the connection was opened, and only one start of a target runs at a time.

        :param connected_at: monotonic time in seconds at which the connection was open.
        """
        contact = self._contacts.get(target)
        if contact is None:
            return False
        return contact.heartbeat_at >= connected_at + HEARTBEAT_DELAY_SECONDS

    def recent_statuses(self, since: float, now: float) -> dict[TargetId, TargetStatus]:
        """Return the statuses that are not outdated and whose polls were sent after ``since``."""
        return {
            target: contact.status
            for target, contact in self._contacts.items()
            if contact.status is not None
            and target in self._record.targets
            and contact.polled_at > since
            and now - contact.answered_at < STATUS_MAX_AGE_SECONDS
        }

    def current_primary(self, now: float) -> TargetId | None:
        """Return the target that acts as primary in the newest reported term, if any."""
        statuses = self.recent_statuses(now - STATUS_MAX_AGE_SECONDS, now)
        primaries = [target for target, status in statuses.items() if status.is_primary]
        if not primaries:
            return None
        best = max(primaries, key=lambda target: statuses[target].term)
        newest_term = max(status.term for status in statuses.values())
        return best if statuses[best].term >= newest_term else None

    def newest_term(self) -> int:
        """Return the newest term that any target has reported; 0 if there is no report."""
        statuses = (contact.status for contact in self._contacts.values())
        return max((status.term for status in statuses if status is not None), default=0)

    def contacted_at(self, target: TargetId) -> float:
        """Return when the last message arrived; the start of the leadership if none has arrived."""
        contact = self._contacts.get(target)
        return contact.contacted_at if contact is not None else self._leader_since

    def answered_at(self, target: TargetId) -> float:
        """Return when the last reply arrived; minus infinity if none has arrived."""
        contact = self._contacts.get(target)
        return contact.answered_at if contact is not None else -math.inf

    def position_since(self, target: TargetId, since: float) -> LogPosition | None:
        """Return the position of a target, if it was read after ``since``."""
        contact = self._contacts.get(target)
        if contact is None or contact.status is None or contact.read_at <= since:
            return None
        return contact.status.received

    def is_lost(self, target: TargetId, now: float) -> bool:
        """Tell whether a replica has ended.

        A replica that announced its end counts as ended once it is silent: a heartbeat that arrives
        after the announcement revokes it.
        """
        contact = self._contacts.get(target)
        if contact is None:
            return False
        silence_seconds = now - contact.contacted_at
        return silence_seconds >= REMOVAL_SILENCE_SECONDS or (
            self.has_ended(target) and silence_seconds >= STATUS_MAX_AGE_SECONDS
        )

    def is_replaced(self, target: TargetId) -> bool:
        """Tell whether another target answers at the address of this one."""
        contact = self._contacts.get(target)
        return contact is not None and contact.is_replaced

    def has_ended(self, target: TargetId) -> bool:
        """Tell whether a target has announced its end or lost its address to another one."""
        contact = self._contacts.get(target)
        return contact is not None and (contact.has_departed or contact.is_replaced)

    def is_log_held_elsewhere(self, lost: TargetId) -> bool:
        """Tell whether another replica holds every record that a lost one may have confirmed.

        The position of the primary at a poll after the end of the lost replica, or after its last
        message if its end is not known, is at or above all of them.
        """
        lost_at = self.contacted_at(lost)
        if self.has_ended(lost):
            lost_at = max(lost_at, self._contacts[lost].ended_at)
        return self._is_held_by_replica(lost_at, excluded=lost)

    def is_former_log_held(self, target: TargetId) -> bool:
        """Tell whether a replica holds what the former incarnation of a target may have confirmed.

        It may be the present incarnation, once it has caught up.
        """
        contact = self._contacts.get(target)
        return contact is not None and self._is_held_by_replica(contact.known_since)

    def _is_held_by_replica(self, since: float, excluded: TargetId | None = None) -> bool:
        """Tell whether a replica has the position that the primary had after a given time.

        :param since: monotonic time in seconds.
        :param excluded: replica that does not count.
        """
        primary = self._contacts.get(self._record.primary)
        if primary is None or primary.status is None or primary.read_at <= since:
            return False
        return any(
            contact.status is not None
            and target in self._record.targets
            and target not in (excluded, self._record.primary)
            and contact.read_at >= primary.read_at - STATUS_MAX_AGE_SECONDS
            and contact.read_at > since
            and contact.status.received >= primary.status.received
            for target, contact in self._contacts.items()
        )

    def _contact(self, target: TargetId, now: float) -> _Contact:
        """Return the contact of the registered incarnation of a target."""
        registered = self._record.targets.get(target)
        incarnation = registered.incarnation if registered is not None else None
        contact = self._contacts.get(target)
        if contact is None or contact.incarnation != incarnation:
            contact = self._contacts[target] = _Contact(incarnation, now, known_since=now)
        return contact
