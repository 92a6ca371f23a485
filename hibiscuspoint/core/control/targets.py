"""Targets as they announce themselves."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from hibiscuspoint.core.control.effects import MemberAddress
from hibiscuspoint.ids import AvailabilityZone, GroupId, Incarnation, TargetId, Term
from hibiscuspoint.wire.position import position_from

if TYPE_CHECKING:
    from hibiscuspoint.core.control.state import ControlState
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.wire import peer_pb2

__all__ = ["TargetDirectory", "TargetInfo"]

#: Seconds after which a silent target is not counted as live.
TARGET_LIVE_SECONDS = 1.0


@dataclass(frozen=True)
class TargetInfo:
    """The last announcement of a target; ``seen_at`` is monotonic time in seconds."""

    target: TargetId
    group: GroupId
    availability_zone: AvailabilityZone
    address: str
    term: Term
    is_primary: bool
    received: LogPosition
    applied: int
    slots: int
    max_connections: int
    leaving: bool
    incarnation: Incarnation
    seen_at: float

    @property
    def role(self) -> tuple[str, Term, bool, bool]:
        """Return what decisions depend on at once."""
        return self.address, self.term, self.is_primary, self.leaving

    @property
    def member_address(self) -> MemberAddress:
        """Return where the target listens."""
        return MemberAddress(self.target, self.address)

    @classmethod
    def from_message(cls, message: peer_pb2.Announcement, now: float) -> TargetInfo:
        """Return the content of an announcement that arrived at ``now``."""
        return cls(
            target=TargetId(message.target),
            group=GroupId(message.group),
            availability_zone=AvailabilityZone(message.availability_zone),
            address=message.address,
            term=Term(message.term),
            is_primary=message.primary,
            received=position_from(message.received),
            applied=message.applied,
            slots=message.slots,
            max_connections=message.max_connections,
            leaving=message.leaving,
            incarnation=Incarnation(message.incarnation),
            seen_at=now,
        )


class TargetDirectory:
    """Soft state about all targets, rebuilt from announcements.

    :param state: replicated state; a target that an operator drains is leaving, whatever it
        announces.
    """

    def __init__(self, state: ControlState) -> None:
        self._state = state
        self._targets: dict[TargetId, TargetInfo] = {}
        self._groups: dict[GroupId, set[TargetId]] = {}

    def record_announcement(self, info: TargetInfo) -> bool:
        """Keep an announcement and tell whether it changes more than positions and times."""
        previous = self._targets.get(info.target)
        self._targets[info.target] = info
        self._groups.setdefault(info.group, set()).add(info.target)
        return previous is None or previous.role != info.role

    def get(self, target: TargetId) -> TargetInfo | None:
        """Return the last announcement of a target."""
        info = self._targets.get(target)
        return self._with_drain(info) if info is not None else None

    def of_group(self, group: GroupId) -> list[TargetInfo]:
        """Return the targets that announced themselves for a group, ordered by id."""
        infos = (self._targets[target] for target in sorted(self._groups.get(group, ())))
        return [self._with_drain(info) for info in infos if info.group == group]

    def is_live(self, target: TargetId, now: float) -> bool:
        """Tell whether a target announced itself recently."""
        info = self._targets.get(target)
        return info is not None and now - info.seen_at < TARGET_LIVE_SECONDS

    def _with_drain(self, info: TargetInfo) -> TargetInfo:
        if info.leaving or not self._state.is_drained(info.target, info.incarnation):
            return info
        return replace(info, leaving=True)
