"""Builders of groups whose targets acknowledge commits on their own, and of their messages."""

from __future__ import annotations

import math

from hibiscuspoint.core.control.leases import LeaseLedger
from hibiscuspoint.core.control.state import ControlState, GroupPhase, GroupRecord, TargetRecord
from hibiscuspoint.core.failover import GroupFailover, StatusSource, TargetStatus
from hibiscuspoint.core.position import LogPosition
from hibiscuspoint.ids import (
    AvailabilityZone,
    EntryProcess,
    GroupId,
    Incarnation,
    InstanceId,
    TargetId,
    Term,
)
from hibiscuspoint.wire import peer_pb2, record_pb2

__all__ = [
    "ENTRY",
    "GROUP",
    "PRIMARY",
    "REPLICA_A",
    "REPLICA_B",
    "TOKEN",
    "GroupSimulation",
    "announcement",
    "known_source",
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
ENTRY = EntryProcess(InstanceId("10.0.0.1:7440"), Incarnation(1))

#: Fencing token of the control leader in these tests.
TOKEN = 3


def position(index: int, term: int = 1) -> LogPosition:
    """Return a log position."""
    return LogPosition(Term(term), index)


def primary_status(index: int, term: int = 1, in_use: int = 0) -> TargetStatus:
    """Return the status of a primary."""
    return TargetStatus(True, Term(term), position(index, term), in_use=in_use)


def replica_status(
    index: int, term: int = 1, paused_term: int = 0, lag: float = 0.0
) -> TargetStatus:
    """Return the status of a replica."""
    return TargetStatus(False, Term(term), position(index, term), Term(paused_term), lag)


def known_source(incarnation: int = 1) -> StatusSource:
    """Return a connection that was open before all heartbeats of a target."""
    return StatusSource(Incarnation(incarnation), -math.inf)


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
    """Return the record of a group whose first term has started.

    :param changes: attributes of the record that get other values.
    """
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
    """Return a heartbeat of a target.

    :param changes: fields that get other values.
    """
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


class GroupSimulation:
    """Failover of one group by one control leader, with the replicated state.

    Proposals are applied at once; all other effects are collected for the test.

    :param since: monotonic time in seconds at which the leadership began.
    """

    def __init__(self, record: GroupRecord | None = None, since: float = 0.0) -> None:
        self.state = ControlState()
        self.record = record or started_group()
        self.state.groups[GROUP] = self.record
        self.ledger = LeaseLedger(since)
        self.group = GroupFailover(self.record, self.ledger, TOKEN, since)
        self.effects: list[object] = []

    def lead_again(self, since: float) -> None:
        """Let another control leader take over, which knows only the replicated state."""
        self.ledger = LeaseLedger(since)
        self.group = GroupFailover(self.record, self.ledger, TOKEN + 1, since)

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
        """Record replies to polls that were sent 1 ms ago."""
        for name, status in statuses.items():
            self.group.record_status(name, status, now - 0.001, now)

    def record_pause(self, name: TargetId, index: int, now: float) -> None:
        """Record that the registered start of a replica has paused at the term of the group."""
        term = self.record.term
        status = replica_status(index, paused_term=term)
        source = known_source(self.record.targets[name].incarnation)
        self.group.record_pause(name, status, source, term, now)

    def register(self, name: TargetId, incarnation: int = 1) -> None:
        """Register a target or a later incarnation of it."""
        message = target(name, incarnation=incarnation).to_message()
        self.state.apply(1, record_pb2.Command(register_target=message))

    def record_heartbeats(self, now: float) -> None:
        """Record a heartbeat of every target."""
        for name in self.record.targets:
            self.group.record_heartbeat(name, now)

    def effect_names(self) -> list[str]:
        """Return the class names of the effects so far."""
        return [type(effect).__name__ for effect in self.effects]
