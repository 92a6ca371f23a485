"""Targets that announce themselves to the control leader."""

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

#: Seconds without an announcement after which a target is not live.
TARGET_LIVE_SECONDS = 1.0


@dataclass(frozen=True)
class TargetInfo:
    """The last announcement of a target.

    :param received: position of the last record in its log.
    :param applied: index of the last record that it has applied.
    :param slots: statements that it executes at the same time.
    :param leaving: whether it is shutting down or being drained.
    :param seen_at: monotonic time of receipt in seconds.
    """

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
    def decision_inputs(self) -> tuple[str, Term, bool, bool]:
        """Fields whose change requires a decision at once."""
        return self.address, self.term, self.is_primary, self.leaving

    @property
    def member_address(self) -> MemberAddress:
        """Address under which control calls the target."""
        return MemberAddress(self.target, self.address)

    @classmethod
    def from_message(cls, message: peer_pb2.Announcement, now: float) -> TargetInfo:
        """Return the content of an announcement that was received at ``now``."""
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
    """Last announcements of all targets; soft state that a new leader rebuilds.

    :param state: replicated state. A target that an operator drains counts as leaving, whatever it
        announces.
    """

    def __init__(self, state: ControlState) -> None:
        self._state = state
        self._targets: dict[TargetId, TargetInfo] = {}
        self._groups: dict[GroupId, set[TargetId]] = {}

    def record_announcement(self, info: TargetInfo) -> bool:
        """Store an announcement and tell whether it requires a decision at once.

        That is so for the first announcement of a target, and if more than positions and times
        changed.
        """
        previous = self._targets.get(info.target)
        self._targets[info.target] = info
        self._groups.setdefault(info.group, set()).add(info.target)
        return previous is None or previous.decision_inputs != info.decision_inputs

    def get(self, target: TargetId) -> TargetInfo | None:
        """Return the last announcement of a target, or ``None``."""
        info = self._targets.get(target)
        return self._with_drain(info) if info is not None else None

    def of_group(self, group: GroupId) -> list[TargetInfo]:
        """Return the targets that announced themselves for a group, ordered by id."""
        infos = (self._targets[target] for target in sorted(self._groups.get(group, ())))
        return [self._with_drain(info) for info in infos if info.group == group]

    def is_live(self, target: TargetId, now: float) -> bool:
        """Tell whether a target has announced itself recently."""
        info = self._targets.get(target)
        return info is not None and now - info.seen_at < TARGET_LIVE_SECONDS

    def _with_drain(self, info: TargetInfo) -> TargetInfo:
        """Return an announcement as leaving if an operator drains the target."""
        if info.leaving or not self._state.is_drained(info.target, info.incarnation):
            return info
        return replace(info, leaving=True)
