"""What control heard from the targets of one group."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscuspoint.core.control.state import GroupRecord
    from hibiscuspoint.core.failover.status import TargetStatus
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.ids import TargetId

__all__ = ["STATUS_SECONDS", "TargetContacts"]

#: Age in seconds up to which the answer to a poll counts as the present state. Polls of a primary
#: are 0.5 s apart.
STATUS_SECONDS = 0.8

#: Seconds without a heartbeat or an answer after which a replica is removed, once another one has
#: the whole log. Databases that restart are back within this time.
REMOVE_SECONDS = 12.0


@dataclass
class _Contact:
    """What is known about one target; times in monotonic seconds."""

    heard_at: float
    status: TargetStatus | None = None
    asked_at: float = -math.inf
    answered_at: float = -math.inf
    is_gone: bool = False


class TargetContacts:
    """Heartbeats and answers of targets; soft state of one leadership.

    :param record: durable record of the group; changes as commands are applied.
    :param now: monotonic time in seconds at which the leadership began.
    """

    def __init__(self, record: GroupRecord, now: float) -> None:
        self._record = record
        self._since = now
        self._contacts: dict[TargetId, _Contact] = {}

    def record_contact(self, target: TargetId, now: float) -> None:
        """Take a sign of life."""
        contact = self._contacts.setdefault(target, _Contact(now))
        contact.heard_at = now
        contact.is_gone = False

    def record_departure(self, target: TargetId) -> None:
        """Record that a target said that it ends."""
        contact = self._contacts.get(target)
        if contact is not None:
            contact.is_gone = True

    def record_order_reply(self, target: TargetId, now: float) -> None:
        """Take the answer to an order."""
        contact = self._contacts.setdefault(target, _Contact(now))
        contact.heard_at = contact.answered_at = now

    def record_status(
        self, target: TargetId, status: TargetStatus, asked_at: float, now: float
    ) -> None:
        """Take the answer to a question that was sent at ``asked_at``."""
        contact = self._contacts.setdefault(target, _Contact(now))
        contact.status, contact.asked_at, contact.answered_at = status, asked_at, now
        contact.heard_at = now

    def primary_tip(self) -> tuple[LogPosition, float] | None:
        """Return the last position read at the primary and when it was asked for."""
        contact = self._contacts.get(self._record.primary) if self._record.primary else None
        if contact is None or contact.status is None or not contact.status.is_primary:
            return None
        return contact.status.received, contact.asked_at

    def statuses(self, since: float, now: float) -> dict[TargetId, TargetStatus]:
        """Return the present states of targets that were asked after ``since``."""
        return {
            target: contact.status
            for target, contact in self._contacts.items()
            if contact.status is not None
            and target in self._record.targets
            and contact.asked_at > since
            and now - contact.answered_at < STATUS_SECONDS
        }

    def current_primary(self, now: float) -> TargetId | None:
        """Return the target that answers as primary in the newest term."""
        statuses = self.statuses(now - STATUS_SECONDS, now)
        primaries = [target for target, status in statuses.items() if status.is_primary]
        if not primaries:
            return None
        best = max(primaries, key=lambda target: statuses[target].term)
        newest = max(status.term for status in statuses.values())
        return best if statuses[best].term >= newest else None

    def newest_term(self) -> int:
        """Return the newest term that a target knows; 0 when none answered."""
        statuses = (contact.status for contact in self._contacts.values())
        return max((status.term for status in statuses if status is not None), default=0)

    def contacted_at(self, target: TargetId) -> float:
        """Return the time of the last sign of life; at least the start of the leadership."""
        contact = self._contacts.get(target)
        return contact.heard_at if contact is not None else self._since

    def answered_at(self, target: TargetId) -> float:
        """Return the time of the last answer; minus infinity without one."""
        contact = self._contacts.get(target)
        return contact.answered_at if contact is not None else -math.inf

    def position_since(self, target: TargetId, since: float) -> LogPosition | None:
        """Return the position of a target, if it was asked for after ``since``."""
        contact = self._contacts.get(target)
        if contact is None or contact.status is None or contact.asked_at <= since:
            return None
        return contact.status.received

    def is_lost(self, target: TargetId, now: float) -> bool:
        """Tell whether a replica has ended."""
        contact = self._contacts.get(target)
        if contact is None:
            return now - self._since >= REMOVE_SECONDS
        silence = now - contact.heard_at
        return silence >= REMOVE_SECONDS or (contact.is_gone and silence >= STATUS_SECONDS)

    def is_log_held_elsewhere(self, lost: TargetId) -> bool:
        """Tell whether a replica that is there holds all that the primary held after a loss."""
        primary = self._contacts.get(self._record.primary)
        lost_at = self.contacted_at(lost)
        if primary is None or primary.status is None or primary.asked_at <= lost_at:
            return False
        return any(
            contact.status is not None
            and target in self._record.targets
            and target not in (lost, self._record.primary)
            and contact.asked_at >= primary.asked_at - STATUS_SECONDS
            and contact.asked_at > lost_at
            and contact.status.received >= primary.status.received
            for target, contact in self._contacts.items()
        )
