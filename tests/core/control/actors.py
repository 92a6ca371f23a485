"""Fake members and entries that follow the rules of the real ones."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from hibiscuspoint.components.entry_state import EntryState
from hibiscuspoint.core.entry import AckTracker, AssignConnection, CloseConnection, ConnectionPool
from hibiscuspoint.core.position import ZERO_POSITION, LogPosition
from hibiscuspoint.ids import TargetId, Term
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND, NANOSECONDS_PER_SECOND
from hibiscuspoint.wire import peer_pb2
from tests.builders_control import GROUP, MEMBERS, report, share

__all__ = ["REQUEST_SECONDS", "Entry", "Member"]

#: A request whose answer was lost is given up by its deadline.
REQUEST_SECONDS = 1.0


@dataclass
class Member:
    """A target that follows the rules of target.proto; ``log`` and terms survive a crash."""

    name: str
    log: list[tuple[int, int]] = field(default_factory=list)
    term: int = 0
    sealed: int = 0
    own_term: int = 0
    is_primary: bool = False
    is_running: bool = True
    incarnation: int = 1
    is_leaving: bool = False
    #: Receives no log; control still reaches it.
    is_behind: bool = False
    followers: tuple[str, ...] = ()
    connections: set[tuple[str, int, int]] = field(default_factory=set)

    @property
    def last(self) -> LogPosition:
        """Return the position of the last record."""
        return LogPosition(Term(self.log[-1][0]), len(self.log)) if self.log else ZERO_POSITION

    def seal(self, term: int) -> bool:
        """Accept nothing of lower terms from now on."""
        if term < self.sealed:
            return False
        self.sealed = term
        self.is_primary = self.is_primary and self.term >= term
        return True

    def follow(self, term: int) -> bool:
        """Become a replica in a term."""
        if term < self.sealed:
            return False
        if term == self.term:
            return not self.is_primary
        self.term = self.sealed = term
        self.is_primary = False
        return True

    def promote(self, term: int, followers: tuple[str, ...]) -> bool:
        """Become primary of a term."""
        if term < self.sealed:
            return False
        if not (self.is_primary and self.term == term):
            if self.last.term == term and self.own_term != term:
                return False
            self.term = self.sealed = self.own_term = term
            self.is_primary = True
            if self.last.term != term:
                self.log.append((term, 0))
        self.followers = followers
        return True

    def write(self, term: int, value: int) -> LogPosition | None:
        """Append a record if this is the primary of the term."""
        if not self.is_running or not self.is_primary or term != self.term:
            return None
        self.log.append((term, value))
        return self.last

    def accept(self, term: int, log: list[tuple[int, int]]) -> None:
        """Store the log of the primary of a term; an older copy of the same log changes nothing."""
        if not self.is_running or self.is_behind or not self.follow(term):
            return
        pairs = zip(log, self.log, strict=False)
        differing = [index for index, (theirs, mine) in enumerate(pairs) if theirs != mine]
        if differing:
            del self.log[differing[0] :]
        self.log += log[len(self.log) :]

    def crash(self) -> None:
        """Stop; what is durable stays."""
        self.is_running = self.is_primary = False
        self.incarnation += 1
        self.connections.clear()


class Entry:
    """An entry that uses the real routes, acknowledgements, pools and document fence."""

    def __init__(self, name: str, incarnation: int, rate: float, world: object) -> None:
        self.name = name
        self.incarnation = incarnation
        self.rate = rate
        self.world = world
        self.is_frozen = False
        self.stream = (0, 0)
        self.state = EntryState("trial")
        self.acks = AckTracker(2)
        self.pools = {name: ConnectionPool() for name in MEMBERS}
        self.lease_ends = dict.fromkeys(MEMBERS, -math.inf)
        self.sequences = dict.fromkeys(MEMBERS, 0)
        self.busy: dict[str, list[int]] = {name: [] for name in MEMBERS}
        self.pending: dict[int, tuple[int, float]] = {}
        self.is_idle = False
        self.is_draining = False
        self.highest_document = 0

    @property
    def now(self) -> float:
        """Return the own monotonic time."""
        return self.world.now * self.rate

    def make_report(self) -> peer_pb2.EntryReport:
        """Return a report; a lease that is not needed is handed back as the component does."""
        message = report(
            self.name,
            self.now,
            incarnation=self.incarnation,
            draining=self.is_draining,
            document_number=self.state.document_number,
            holders_version=self.state.holders_version,
            control_term=self.state.control_term,
        )
        for target, pool in self.pools.items():
            if self.state.routes.route(GROUP) is not None:
                use = share(target, pool.share, self.sequences[target], pool.open_connections)
                message.shares.append(use)
        route = self.state.routes.leased_route(GROUP, self.now)
        known = self.state.routes.route(GROUP) is not None
        if known and (route is None or (route.paused and not self.pending)):
            sent_at = message.sent_at_ns / NANOSECONDS_PER_SECOND
            term = self.state.routes.release_lease(GROUP, math.nextafter(sent_at, 0.0))
            message.released.append(peer_pb2.RouteRelease(group=GROUP, term=term))
        return message

    def take_update(self, update: peer_pb2.ControlUpdate) -> None:
        """Take an update over as the component does."""
        if not self.state.accept_update(update):
            return
        assert self.state.document_number >= self.highest_document
        self.highest_document = self.state.document_number
        for _ in self.state.revoke_routes(update) + self.state.apply_routes(update):
            route = self.state.routes.route(GROUP)
            self.acks.start_term(route.term, route.history, map(TargetId, MEMBERS))
            self.settle_writes()
        for item in update.shares:
            if item.sequence >= self.sequences[item.target]:
                self.sequences[item.target] = item.sequence
                ends = (
                    update.echo_sent_at_ns / NANOSECONDS_PER_SECOND
                    + item.lease_ms / MILLISECONDS_PER_SECOND
                )
                self.lease_ends[item.target] = ends
                effects = self.pools[item.target].set_share(item.connections, ends, self.now)
                self.carry_out(item.target, effects)

    def carry_out(self, target: str, effects: list) -> None:
        """Carry the effects of a pool out at once."""
        member, pool, pending = self.world.members[target], self.pools[target], list(effects)
        while pending:
            effect = pending.pop(0)
            key = (self.name, self.incarnation, effect.connection)
            if isinstance(effect, AssignConnection):
                self.busy[target].append(effect.connection)
            elif isinstance(effect, CloseConnection):
                member.connections.discard(key)
                pending += pool.lost(effect.connection, self.now)
            elif member.is_running:
                member.connections.add(key)
                pending += pool.opened(effect.connection, self.now)
            else:
                pending += pool.lost(effect.connection, self.now)

    def tick(self) -> None:
        """Advance the pools, notice closed connections and give overdue requests up."""
        self.pending = {v: p for v, p in self.pending.items() if self.now < p[1]}
        for target, pool in self.pools.items():
            self.carry_out(target, pool.tick(self.now))
            for connection in list(self.busy[target]):
                if (self.name, self.incarnation, connection) not in (
                    self.world.members[target].connections
                ):
                    self.busy[target].remove(connection)
                    self.carry_out(target, pool.lost(connection, self.now))
                elif self.is_idle:
                    self.busy[target].remove(connection)
                    self.carry_out(target, pool.release(connection, True, self.now))

    def settle_writes(self) -> None:
        """Acknowledge the confirmed writes while the lease of their term is valid."""
        for value in self.acks.pop_failed_waiters():
            self.pending.pop(value, None)
        for value in self.acks.pop_confirmed_waiters():
            term, _ = self.pending.pop(value, (None, 0.0))
            if term and self.state.routes.is_current(GROUP, term, self.now):
                self.world.acknowledge(value, term)

    def can_have_open(self, target: str) -> int:
        """Return how many connections this entry has or may open now."""
        leased = self.now < self.lease_ends[target]
        mine = [key for key in self.world.members[target].connections if key[0] == self.name]
        return max(len(mine), self.pools[target].share if leased else 0)
