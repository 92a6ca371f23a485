"""Builds sessions over scripted targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.components.entry_state import EntryState
from hibiscuspoint.components.sessions import GroupAccess, Session
from hibiscuspoint.core.sessions import (
    Caller,
    DatabaseRoute,
    GroupLimits,
    ReadMode,
    Reply,
    RoutingTable,
    Statement,
    StatementKind,
)
from hibiscuspoint.ids import AvailabilityZone
from hibiscuspoint.util.units import NANOSECONDS_PER_SECOND
from hibiscuspoint.wire import common_pb2, peer_pb2
from hibiscuspoint.wire.packing import pack
from tests.builders_failover import GROUP, PRIMARY, REPLICA_A, REPLICA_B
from tests.components.sessions.fakes import FakeDriver, LoopClock, ScriptedTarget

if TYPE_CHECKING:
    from hibiscuspoint.core.organisations import OrganisationDirectory

__all__ = ["SessionHarness", "statement"]

DATABASE = "deposits"

_KINDS = {
    "BEGIN": StatementKind.BEGIN,
    "BEGIN READ": StatementKind.BEGIN_READ_ONLY,
    "COMMIT": StatementKind.COMMIT,
    "ROLLBACK": StatementKind.ROLLBACK,
}


def statement(text: str) -> Statement:
    """Return a statement of a caller: BEGIN, READ x, WRITE x, SET a 1, PREPARE s READ q, ..."""
    if text in _KINDS:
        return Statement("id", _KINDS[text], text)
    verb, _, rest = text.partition(" ")
    name, _, operand = rest.partition(" ")
    if verb in ("READ", "WRITE"):
        return Statement("id", StatementKind[verb], text, operand=rest, writes=verb == "WRITE")
    if verb == "PREPARE":
        mode, _, shape = operand.partition(" ")
        return Statement("id", StatementKind.PREPARE, text, name, shape, mode == "WRITE")
    return Statement("id", StatementKind[verb], text, name, operand)


class SessionHarness:
    """One entry with a group of three scripted targets."""

    #: Organisations of the configuration; ``None`` where callers are not authenticated.
    organisations: OrganisationDirectory | None = None

    def __init__(self, mode: ReadMode = ReadMode.READ_YOUR_WRITES) -> None:
        self.clock = LoopClock()
        self.driver = FakeDriver()
        self.targets = {
            name: self.driver.targets.setdefault(name, ScriptedTarget())
            for name in (PRIMARY, REPLICA_A, REPLICA_B)
        }
        self.configured = self.table(mode)
        self.state = EntryState("", lambda text: self.configured)
        self.access = GroupAccess(self.state, self.driver, self.clock)
        self.term = 1
        self.primary = PRIMARY
        self.route(lease_ms=2500)

    def table(self, mode: ReadMode) -> RoutingTable:
        """Return a configuration with one database."""
        route = DatabaseRoute("r", DATABASE, GROUP, mode, 0.4, 0.2, 1, 2, 2.5)
        limits = {GROUP: GroupLimits(GROUP, 16)}
        return RoutingTable(
            1, "d", {DATABASE: route}, limits, 3.0, organisations=self.organisations
        )

    def session(self, key: str = "", limiter=None) -> Session:
        """Return a new session."""
        return Session(
            Caller.from_key(DATABASE, key),
            lambda: self.state.document,
            self.access,
            AvailabilityZone("zone-a"),
            self.clock,
            limiter,
        )

    def configuration(self, table: RoutingTable) -> peer_pb2.ControlUpdate:
        """Return the update that carries a configuration."""
        self.configured = table
        return peer_pb2.ControlUpdate(
            control_term=1,
            document_number=table.number,
            packed_document=pack("text"),
            echo_sent_at_ns=int(self.clock.monotonic() * NANOSECONDS_PER_SECOND),
        )

    def route(
        self,
        *,
        lease_ms: int,
        paused: bool = False,
        transactions_paused: bool = False,
        tip: int = 10,
    ) -> None:
        """Take an update of the control leader."""
        now = self.clock.monotonic()
        update = peer_pb2.ControlUpdate(
            control_term=1,
            document_number=max(1, self.state.document_number),
            packed_document=pack("text"),
            echo_sent_at_ns=int(now * NANOSECONDS_PER_SECOND),
            serving_entries=3,
        )
        route = update.routes.add(
            group=GROUP,
            term=self.term,
            primary=self.primary,
            lease_ms=lease_ms,
            paused=paused,
            transactions_paused=transactions_paused,
        )
        update.tips.add(group=GROUP, position=common_pb2.Position(term=1, index=tip))
        for port, name in enumerate(self.targets, 9000):
            route.members.add(
                target=name, address=f"10.0.0.1:{port}", availability_zone="zone-a", slots=2
            )
        assert self.state.accept_update(update)
        self.access.update(update)

    def revoke(self) -> None:
        """Take the revocation of the lease by the control leader."""
        update = peer_pb2.ControlUpdate(
            control_term=1,
            document_number=1,
            echo_sent_at_ns=int(self.clock.monotonic() * NANOSECONDS_PER_SECOND),
            serving_entries=3,
        )
        update.revoked.add(group=GROUP, term=self.term)
        assert self.state.accept_update(update)
        self.access.update(update)

    def report(self) -> peer_pb2.EntryReport:
        """Return what the entry reports now."""
        report = peer_pb2.EntryReport()
        self.access.fill_report(report, self.clock.monotonic())
        return report

    async def run(self, session: Session, *texts: str) -> list[Reply]:
        """Run statements one after the other."""
        return [await session.execute(statement(text)) for text in texts]
