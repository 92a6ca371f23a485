"""Builders of targets, groups and states of targets that acknowledge commits by themselves."""

from __future__ import annotations

from hibiscuspoint.core.control.leases import LeaseLedger
from hibiscuspoint.core.control.state import ControlState, GroupPhase, GroupRecord, TargetRecord
from hibiscuspoint.core.failover import GroupFailover, TargetStatus
from hibiscuspoint.core.position import LogPosition
from hibiscuspoint.ids import AvailabilityZone, GroupId, Incarnation, InstanceId, TargetId, Term
from hibiscuspoint.wire import peer_pb2, record_pb2

__all__ = [
    "ENTRY",
    "GROUP",
    "PRIMARY",
    "REPLICA_A",
    "REPLICA_B",
    "TOKEN",
    "GroupWorld",
    "announcement",
    "position",
    "primary_status",
    "replica_status",
    "started_group",
    "target",
]

GROUP = GroupId("ledger")
PRIMARY = TargetId("i-primary")
REPLICA_A = TargetId("i-replica-a")
REPLICA_B = TargetId("i-replica-b")
ENTRY = InstanceId("10.0.0.1:7440")

#: Fencing token of the leadership in these tests.
TOKEN = 3


def position(index: int, term: int = 1) -> LogPosition:
    """Return a log position."""
    return LogPosition(Term(term), index)


def primary_status(index: int, term: int = 1, in_use: int = 0) -> TargetStatus:
    """Return the state of a primary."""
    return TargetStatus(True, Term(term), position(index, term), in_use=in_use)


def replica_status(
    index: int, term: int = 1, paused_term: int = 0, lag: float = 0.0
) -> TargetStatus:
    """Return the state of a replica."""
    return TargetStatus(False, Term(term), position(index, term), Term(paused_term), lag)


def target(
    name: TargetId, *, leaving: bool = False, incarnation: int = 1, address: str = ""
) -> TargetRecord:
    """Return the record of a target."""
    return TargetRecord(
        target=name,
        group=GROUP,
        address=address or f"10.1.0.{len(name)}:{9000 + hash(name) % 999}",
        availability_zone=AvailabilityZone("zone-a"),
        slots=2,
        incarnation=Incarnation(incarnation),
        leaving=leaving,
    )


def started_group(**changes: object) -> GroupRecord:
    """Return a group in whose first term the primary serves."""
    record = GroupRecord(GROUP, members=(), ack_quorum=0)
    record.term = Term(1)
    record.primary = PRIMARY
    record.phase = GroupPhase.STARTED
    record.term_starts = [(Term(1), 0)]
    record.targets = {name: target(name) for name in (PRIMARY, REPLICA_A, REPLICA_B)}
    for name, value in changes.items():
        setattr(record, name, value)
    return record


def announcement(name: TargetId, **changes: object) -> peer_pb2.Announcement:
    """Return a heartbeat of a target."""
    fields = {
        "target": name,
        "group": GROUP,
        "availability_zone": "zone-a",
        "address": "10.1.0.1:9000",
        "slots": 2,
        "incarnation": 1,
        "sequence": 1,
    }
    return peer_pb2.Announcement(**{**fields, **changes})


class GroupWorld:
    """A group under one control leader, with its replicated state.

    Proposals are applied at once; all other effects are kept for the test.

    :param since: when the leadership began, in seconds.
    """

    def __init__(self, record: GroupRecord | None = None, since: float = 0.0) -> None:
        self.state = ControlState()
        self.record = record or started_group()
        self.state.groups[GROUP] = self.record
        self.ledger = LeaseLedger(since)
        self.group = GroupFailover(self.record, self.ledger, TOKEN, since)
        self.effects: list[object] = []

    def tick(self, now: float) -> list[object]:
        """Advance the group and return the effects that are not proposals."""
        effects = []
        for _ in range(5):
            proposed = False
            for effect in self.group.tick(now):
                command = getattr(effect, "command", None)
                if isinstance(command, record_pb2.Command):
                    self.state.apply(1, command)
                    proposed = True
                else:
                    effects.append(effect)
            if not proposed:
                break
        self.effects += effects
        return effects

    def poll(self, statuses: dict[TargetId, TargetStatus], now: float) -> None:
        """Take answers of targets that were asked a moment ago."""
        for name, status in statuses.items():
            self.group.record_status(name, status, now - 0.001, now)

    def hear_all(self, now: float) -> None:
        """Take a heartbeat of every target."""
        for name in self.record.targets:
            self.group.record_heartbeat(name, now)

    def kinds(self) -> list[str]:
        """Return the kinds of the effects so far."""
        return [type(effect).__name__ for effect in self.effects]
