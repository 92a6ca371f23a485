"""Tests of the engine without a network."""

from __future__ import annotations

import tempfile
from pathlib import Path

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hibiscuspoint.core.position import ZERO_POSITION
from hibiscuspoint.standin.classify import StatementKind, classify
from hibiscuspoint.standin.engine import Engine
from hibiscuspoint.standin.replication import receive
from hibiscuspoint.standin.session import Session
from hibiscuspoint.standin.values import to_statement
from hibiscuspoint.wire import common_pb2, target_pb2
from tests.standin.harness import CREATE, insert

MEMBERS = st.integers(0, 2)


def write(engine: Engine, *statements: object) -> None:
    session = Session(engine, lambda: None)
    session.begin(read_only=False)
    for statement in statements:
        session.execute(statement)
    session.commit()
    session.close()


def read(engine: Engine) -> list[str]:
    session = Session(engine, lambda: None)
    session.begin(read_only=True)
    try:
        _, rows = session.execute(to_statement("SELECT v FROM t ORDER BY id"))
    finally:
        session.close()
    return [row.values[0].text for row in rows]


def records(engine: Engine) -> dict[int, bytes]:
    found = engine.log.read(0, engine.received.index)
    return {record.index: record.SerializeToString(deterministic=True) for record in found}


@pytest.mark.parametrize(
    ("sql", "kind"),
    [
        ("SELECT 'insert'", StatementKind.READ),
        ("/* x */ with a as (select 1) select * from a", StatementKind.READ),
        ("WITH a AS (SELECT 1) INSERT INTO t SELECT * FROM a", StatementKind.WRITE),
        ("-- note\nCOMMIT", StatementKind.FORBIDDEN),
        ("pragma journal_mode = off", StatementKind.FORBIDDEN),
    ],
)
def test_statements_are_classified(sql, kind):
    """A write taken for a read would be missing from the log of the followers."""
    assert classify(sql) is kind


def test_restart_keeps_seal_and_log(tmp_path):
    """A restarted target that forgot its seal would accept writes of a replaced primary."""
    engine = Engine(tmp_path)
    engine.promote(1)
    write(engine, CREATE, insert(1, "kept"))
    engine.seal(5)
    engine.close()
    engine = Engine(tmp_path)
    assert (engine.sealed_term, engine.term, engine.is_primary) == (5, 1, False)
    assert (engine.received.index, engine.applied, read(engine)) == (2, 2, ["kept"])
    assert not engine.promote(4)
    assert not engine.accept(4, ZERO_POSITION, [])


def test_promotion_is_idempotent(tmp_path):
    """A repeated promotion with a second start record would move the start of the term."""
    engine = Engine(tmp_path)
    assert engine.promote(1)
    assert engine.promote(1)
    assert engine.received.index == 1


def test_term_of_another_primary_cannot_be_taken_over(tmp_path):
    """Two primaries in one term could write different records at one position."""
    engine = Engine(tmp_path)
    record = target_pb2.LogRecord(index=1, term=3)
    assert engine.accept(3, ZERO_POSITION, [record])
    assert not engine.promote(3)


class Replication(RuleBasedStateMachine):
    """Three engines with a shuffled schedule of ships, seals and promotions."""

    def __init__(self):
        super().__init__()
        self.folder = tempfile.TemporaryDirectory()
        self.engines = [Engine(Path(self.folder.name) / str(i)) for i in range(3)]
        self.term = 0
        self.key = 0
        self.promoted = []
        self.confirmed: dict[int, bytes] = {}
        self.promote([0, 1])

    def teardown(self):
        for engine in self.engines:
            engine.close()
        self.folder.cleanup()

    @rule(quorum=st.permutations([0, 1, 2]).map(lambda order: order[:2]))
    def promote(self, quorum):
        """Seal two members and promote the one with the highest position."""
        self.term += 1
        for i in quorum:
            assert self.engines[i].seal(self.term)
        chosen = max(quorum, key=lambda i: self.engines[i].received)
        assert self.engines[chosen].promote(self.term)
        held = records(self.engines[chosen])
        lost = {i for i, record in self.confirmed.items() if held.get(i) != record}
        assert not lost, f"term {self.term} lost confirmed records {lost}"

    @rule(member=MEMBERS, term_back=st.integers(0, 3))
    def seal_late(self, member, term_back):
        """Repeat the seal of an earlier term."""
        self.engines[member].seal(self.term - term_back)

    def primary(self, choice):
        """Return an engine that believes in its role, replaced or not."""
        primaries = [engine for engine in self.engines if engine.is_primary]
        return primaries[choice % len(primaries)] if primaries else None

    @rule(choice=MEMBERS)
    def write(self, choice):
        """Write a record."""
        engine = self.primary(choice)
        if engine is None:
            return
        self.key += 1
        statements = [s for r in engine.log.read(0, engine.received.index) for s in r.statements]
        create = [] if statements else [CREATE]
        write(engine, *create, insert(self.key, f"{self.engines.index(engine)}"))

    @rule(choice=MEMBERS, step=st.integers(1, 2), back=st.integers(0, 6), count=st.integers(0, 4))
    def ship(self, choice, step, back, count):
        """Ship some records from anywhere; on a mismatch, from where the follower says."""
        primary = self.primary(choice)
        if primary is None:
            return
        follower = self.engines[(self.engines.index(primary) + step) % 3]
        previous = primary.log.position_at(max(primary.received.index - back, 0))
        while True:
            request = target_pb2.ShipRequest(
                term=primary.term,
                previous=common_pb2.Position(term=previous.term, index=previous.index),
                records=list(primary.log.read(previous.index, previous.index + count)),
            )
            reply = receive(follower, request)
            if reply.accepted or reply.sealed_term > primary.term:
                break
            assert reply.received.index < previous.index
            previous = primary.log.last_at_or_before(reply.received.index, reply.received.term)
        if reply.accepted:
            self.confirm(primary, follower)

    def confirm(self, primary, follower):
        """Take note of what two members hold in the primary's term."""
        if follower.received.term != primary.term:
            return
        held = records(follower)
        changed = {i for i, r in held.items() if self.confirmed.setdefault(i, r) != r}
        assert not changed, f"confirmed records {changed} were replaced"
        assert held.items() <= records(primary).items()

    @rule(member=MEMBERS, count=st.integers(1, 5))
    def apply(self, member, count):
        """Apply some received records."""
        self.engines[member].apply_through(self.engines[member].applied + count)

    @rule(member=st.integers(0, 11))
    def restart(self, member):
        """Restart a member from its files, rarely, as a restart ends the role of a primary."""
        if member > 2:
            return
        self.engines[member].close()
        self.engines[member] = Engine(Path(self.folder.name) / str(member))

    @invariant()
    def data_matches_applied_log(self):
        """Data must be exactly the applied part of the log, also after a truncation."""
        for engine in self.engines:
            assert engine.applied <= engine.received.index
            applied = engine.log.read(0, engine.applied)
            statements = [s for record in applied for s in record.statements]
            written = [s.parameters[1].text for s in statements if s.parameters]
            assert not statements or read(engine) == written

    @invariant()
    def one_primary_in_each_term(self):
        """Two primaries of one term could both acknowledge a position."""
        terms = [engine.term for engine in self.engines if engine.is_primary]
        assert len(terms) == len(set(terms))

    @precondition(lambda self: self.confirmed)
    @invariant()
    def confirmed_records_are_held_by_two(self):
        """A confirmed record on one member only is lost with that member."""
        logs = [records(engine) for engine in self.engines]
        for index, record in self.confirmed.items():
            assert sum(log.get(index) == record for log in logs) >= 2


TestReplication = Replication.TestCase
# Each example opens sqlite files, so fewer examples with more steps fit the time. Shrinking a
# failure takes longer than the timeout of a test, which would hide the failure.
TestReplication.settings = settings(
    max_examples=min(settings().max_examples * 3 // 5, 600),
    stateful_step_count=40,
    phases=(Phase.explicit, Phase.reuse, Phase.generate),
)
