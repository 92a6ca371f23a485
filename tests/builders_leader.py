"""A control leader with one group, its entries and its targets, for tests of its decisions."""

from __future__ import annotations

import math

from hibiscuspoint.core.control.delivery import DeliveredRoutes
from hibiscuspoint.core.control.state import ControlState, GroupRecord
from hibiscuspoint.core.failover import FailoverLeader, GroupFailover, StatusSource
from hibiscuspoint.core.failover.watch import PRIMARY_SILENCE_SECONDS
from hibiscuspoint.core.lease import release_time_ns
from hibiscuspoint.ids import InstanceId, Term
from hibiscuspoint.util.units import NANOSECONDS_PER_SECOND
from hibiscuspoint.wire import peer_pb2, record_pb2
from hibiscuspoint.wire.position import position_message
from tests.builders_failover import (
    GROUP,
    PRIMARY,
    announcement,
    known_source,
    position,
    primary_status,
    replica_status,
    started_group,
)

__all__ = ["LeaderSimulation"]

#: Seconds between two steps; shorter than what a leader takes for a stall of its own.
STEP_SECONDS = 0.05


class LeaderSimulation:
    """One leadership; proposals are applied at once.

    :param since: monotonic time in seconds at which it began. All inherited leases have expired
        after 3 s.
    """

    def __init__(self, since: float = 0.0) -> None:
        self.state = ControlState()
        self.state.groups[GROUP] = started_group(primary_term=Term(1))
        self.now = since
        #: Index that polls of the primary return; ``None`` while it does not answer.
        self.polled: int | None = 20
        self.sequence = 0
        self.leader_instance = InstanceId("10.0.0.9:7440")
        #: Seconds for which no other instance leads.
        self.lease_left = math.inf
        self.lead()

    @property
    def record(self) -> GroupRecord:
        """Durable record of the group."""
        return self.state.groups[GROUP]

    @property
    def group(self) -> GroupFailover:
        """Failover of the group."""
        return self.leader.groups[GROUP]

    def lead(self) -> None:
        """Begin a leadership, which knows only the replicated state."""
        self.leader = FailoverLeader(
            self.leader_instance, 2, self.state, self.now, lease_left=lambda: self.lease_left
        )
        self.run(0.0)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while True:
            if self.polled is not None:
                self.poll_primary(self.polled)
            self._apply(self.leader.tick(self.now))
            if self.now + STEP_SECONDS > end:
                self.now = end
                return
            self.now += STEP_SECONDS

    def report(
        self,
        incarnation: int,
        *,
        released: int = 0,
        until: float = math.inf,
        acknowledged: int = 0,
        sent_ago: float = 0.0,
        control_term: int = 2,
    ) -> peer_pb2.ControlUpdate:
        """Deliver a report of an entry and return the update that answers it.

        :param released: term of which the entry hands back its lease; 0 for none.
        :param until: when the entry released it; infinity if it accepts no later lease of the term.
        :param acknowledged: index of the last commit that it acknowledged; 0 for none.
        :param sent_ago: seconds that the report was on its way.
        :param control_term: control term of the leader whose update it took last.
        """
        sent_at_ns = int((self.now - sent_ago) * NANOSECONDS_PER_SECOND)
        message = peer_pb2.EntryReport(
            instance="10.0.0.1:7440",
            incarnation=incarnation,
            availability_zone="zone-a",
            sent_at_ns=sent_at_ns,
            control_term=control_term,
        )
        if released:
            until_ns = release_time_ns(until)
            message.released.add(group=GROUP, term=released, until_ns=until_ns)
        if acknowledged:
            item = message.acknowledged.add(group=GROUP)
            item.position.CopyFrom(position_message(position(acknowledged)))
        self._apply(self.leader.handle_report(message, self.now))
        return self.leader.build_update(InstanceId("10.0.0.1:7440"), self.now, DeliveredRoutes())

    def poll_primary(self, index: int) -> None:
        """Record a reply of the primary to a poll of now."""
        status, source = primary_status(index), known_source()
        self._apply(self.leader.handle_status(PRIMARY, status, source, self.now, self.now))

    def lose_primary(self) -> None:
        """Let the primary be silent until it is suspected and the next term is open."""
        self.polled = None
        while self.record.term == 1:
            self.run(PRIMARY_SILENCE_SECONDS / 4)

    def pause(self, target: str, index: int, connected_at: float = -math.inf) -> None:
        """Record the reply of a replica to an order to pause.

        :param connected_at: when the connection was opened over which it came.
        """
        term = self.record.term
        status = replica_status(index, paused_term=term)
        source = StatusSource(self.record.targets[target].incarnation, connected_at)
        self.group.record_pause(target, status, source, term, self.now)

    def announce(self, target: str, incarnation: int = 1) -> None:
        """Deliver a heartbeat of a target."""
        self.sequence += 1
        message = announcement(target, incarnation=incarnation, sequence=self.sequence)
        command = self.leader.registration_command(message)
        if command is not None:
            self.state.apply(1, command)
        self._apply(self.leader.handle_announcement(message, self.now))

    def _apply(self, effects: list[object]) -> None:
        for effect in effects:
            command = getattr(effect, "command", None)
            if isinstance(command, record_pb2.Command):
                self.state.apply(1, command)
                self._apply(self.leader.tick_group(GROUP, self.now))
