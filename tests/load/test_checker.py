"""Tests of the history checker: each rule reports a violation, and good histories pass."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscuspoint.load.checker import RULES, check
from hibiscuspoint.load.history import History, Kind, Operation, Outcome, Readout, Version

OK, NOT_RUN, UNKNOWN, FAILED = (
    Outcome.OK,
    Outcome.NOT_RUN,
    Outcome.MAY_HAVE_RUN,
    Outcome.FAILED,
)
_ids = itertools.count(1)


def operation(kind: Kind, start: float, session: str = "s1", **fields) -> Operation:
    """Return an operation on key k that takes one second unless told otherwise."""
    defaults = {"completed_at": start + 1, "outcome": OK, "entry": "e", "group": "g", "key": "k"}
    return Operation(
        op_id=next(_ids), session=session, kind=kind, invoked_at=start, **{**defaults, **fields}
    )


def write(start: float, version: int, session: str = "s1", kind=Kind.REGISTER_WRITE, **fields):
    """Return a write of a version."""
    written = Version(version=version, session=session)
    return operation(kind, start, session, written=written, **fields)


def read(start: float, *versions: int, session: str = "s1", writer: str = "s1", **fields):
    """Return a read of a register that saw versions of one writer."""
    seen = tuple(Version(version=version, session=writer) for version in versions)
    return operation(Kind.REGISTER_READ, start, session, seen=seen, **fields)


def pair_read(start: float, *versions: int, **fields):
    """Return a read of a pair."""
    return read(start, *versions).model_copy(update={"kind": Kind.PAIR_READ, **fields})


def add(start: float, request: str, outcome: Outcome = OK) -> Operation:
    """Return an addition to the ledger."""
    return operation(Kind.LEDGER_ADD, start, key=request, outcome=outcome)


def ledger_read(start: float, *requests: str) -> Operation:
    """Return a read of the ledger rows of session s1."""
    return operation(Kind.LEDGER_READ, start, key="s1", seen_ids=requests)


def rules_broken(*operations: Operation, readout: Readout | None = None) -> set[str]:
    """Return the names of the rules that a history violates."""
    history = History(operations=list(operations), readouts=[readout] if readout else [])
    return {violation.rule for violation in check(history)}


def registers(**versions: int) -> Readout:
    """Return a read-out of registers that session s1 wrote."""
    return Readout(
        group="g", registers={k: Version(version=v, session="s1") for k, v in versions.items()}
    )


def pair(*versions: int) -> Readout:
    """Return a read-out of the pair k."""
    return Readout(
        group="g", pairs={"k": tuple(Version(version=v, session="s1") for v in versions)}
    )


V1, V2 = write(0, 1), write(2, 2)
PAIR1, PAIR2 = (write(n * 2, n + 1, kind=Kind.PAIR_WRITE) for n in range(2))

VIOLATIONS = {
    "own write not seen, even with a stated age": (
        "read-your-writes",
        [V1, V2, read(4, 1, max_age_ms=60_000)],
        None,
    ),
    "own ledger entry not seen": ("read-your-writes", [add(0, "r1"), ledger_read(2)], None),
    "session goes back in time": (
        "monotonic-reads",
        [V1, V2, read(4, 2, session="s2"), read(6, 1, session="s2", max_age_ms=60_000)],
        None,
    ),
    "read without age misses a write": ("staleness", [V1, V2, read(4, 1, session="s2")], None),
    "read without age misses what another session saw": (
        "staleness",
        [
            V1,
            write(2, 2, completed_at=9),
            read(3, 2, session="s2"),
            read(5, 1, session="s3"),
        ],
        None,
    ),
    "empty read after a write": ("staleness", [V1, read(2, session="s2")], None),
    "read older than its stated age": (
        "staleness",
        [V1, V2, read(14, 1, session="s2", max_age_ms=10_000)],
        None,
    ),
    "write not run is seen": ("origin", [write(0, 1, outcome=NOT_RUN), read(2, 1)], None),
    "failed write is seen": ("origin", [write(0, 1, outcome=FAILED), read(2, 1)], None),
    "version nobody wrote": ("origin", [V1, read(2, 7)], None),
    "version with a foreign session": ("origin", [V1, read(2, 1, writer="s9")], None),
    "read from the future": ("origin", [write(5, 1), read(0, 1)], None),
    "rows of different transactions": (
        "whole-transactions",
        [PAIR1, PAIR2, pair_read(1, 1, 2)],
        None,
    ),
    "half a pair": ("whole-transactions", [PAIR1, pair_read(2, 1)], None),
    "mixed pair at the end": ("whole-transactions", [PAIR1, PAIR2], pair(1, 2)),
    "answer that is not whole": (
        "whole-answers",
        [read(0, outcome=Outcome.BROKEN_ANSWER, error_code="HP5003")],
        None,
    ),
    "acknowledged write lost": ("lost-writes", [V1, V2], registers(k=1)),
    "acknowledged pair lost": ("lost-writes", [PAIR1, PAIR2], pair(1, 1)),
    "register lost altogether": ("lost-writes", [V1], registers()),
    "seen version lost": (
        "lost-writes",
        [V1, write(2, 2, outcome=UNKNOWN), read(4, 2)],
        registers(k=1),
    ),
    "write not run at the end": (
        "final-origin",
        [V1, write(2, 2, outcome=NOT_RUN)],
        registers(k=2),
    ),
    "request ran twice": ("ledger", [add(0, "r1")], Readout(group="g", ledger={"r1": 2})),
    "repeated request ran twice": (
        "ledger",
        [add(0, "r1", UNKNOWN), add(2, "r1")],
        Readout(group="g", ledger={"r1": 2}),
    ),
    "acknowledged request lost": ("ledger", [add(0, "r1")], Readout(group="g")),
    "request not run is in the ledger": (
        "ledger",
        [add(0, "r1", NOT_RUN)],
        Readout(group="g", ledger={"r1": 1}),
    ),
    "request nobody sent": ("ledger", [], Readout(group="g", ledger={"r1": 1})),
    "request seen twice": ("ledger-reads", [add(0, "r1"), ledger_read(2, "r1", "r1")], None),
    "request not run is seen": (
        "ledger-reads",
        [add(0, "r1", NOT_RUN), ledger_read(2, "r1")],
        None,
    ),
}


@pytest.mark.parametrize("case", VIOLATIONS)
def test_violation_is_reported(case):
    """A checker that misses a violation proves nothing."""
    rule, operations, readout = VIOLATIONS[case]
    assert rule in rules_broken(*operations, readout=readout)


def test_each_rule_has_a_violating_history():
    """A rule without a violating history could be one that never reports."""
    assert {rule for rule, _, _ in VIOLATIONS.values()} == set(RULES.names)


GOOD = {
    "concurrent read sees either version": [V1, V2, read(2.5, 1, session="s2")],
    "concurrent read sees the new version": [V1, V2, read(2.5, 2, session="s2")],
    "stale read within its age": [V1, V2, read(4, 1, session="s2", max_age_ms=5_000)],
    "unknown write seen or not": [
        V1,
        write(2, 2, outcome=UNKNOWN),
        read(4, 1),
        read(6, 2),
    ],
    "unknown request once": [add(0, "r1", UNKNOWN), ledger_read(2, "r1")],
    "unknown request absent": [add(0, "r1", UNKNOWN), ledger_read(2)],
    "failed read": [V1, V2, read(4, outcome=NOT_RUN)],
    "operation that never completed": [V1, write(2, 2, completed_at=None, outcome=UNKNOWN)],
    "pair not written yet": [pair_read(0)],
}


@pytest.mark.parametrize("case", GOOD)
def test_permitted_history_passes(case):
    """A checker with false alarms hides the real ones."""
    assert rules_broken(*GOOD[case]) == set()


class Database:
    """A database that executes each operation at one instant, with lagging replicas."""

    def __init__(self) -> None:
        self.time = 0.0
        self.states: list[tuple[float, int, str]] = [(float("-inf"), 0, "")]
        self.ledger: dict[str, int] = {}
        self.operations: list[Operation] = []
        self.marks: dict[str, int] = {}

    def advance(self) -> tuple[float, float, float]:
        """Return invocation, execution and completion time of the next operation."""
        start = self.time
        self.time += 3.0
        return start, start + 1.0, start + 2.0

    def write(self, session: str, outcome: Outcome, takes_effect: bool) -> None:
        """Run a register write; an unknown outcome takes effect or not."""
        start, at, end = self.advance()
        version = 1 + sum(op.written is not None for op in self.operations)
        self.operations.append(write(start, version, session, completed_at=end, outcome=outcome))
        if outcome is OK or (outcome is UNKNOWN and takes_effect):
            self.states.append((at, version, session))
        if outcome is OK:
            self.marks[session] = version

    def read(self, session: str, age: int) -> None:
        """Run a read at the oldest state that the age and the session mark permit."""
        start, at, end = self.advance()
        oldest = [state for state in self.states if state[0] <= at - age][-1]
        mark = self.marks.get(session, 0)
        _, version, writer = max(
            oldest, next(state for state in self.states if state[1] >= mark), key=lambda s: s[1]
        )
        self.marks[session] = version
        seen = (version,) if version else ()
        self.operations.append(
            read(
                start,
                *seen,
                session=session,
                writer=writer,
                max_age_ms=age * 1000,
                completed_at=end,
            )
        )

    def add(self, session: str, outcome: Outcome, takes_effect: bool) -> None:
        """Run an addition to the ledger."""
        start, _, _ = self.advance()
        request = f"r{len(self.operations)}"
        self.operations.append(add(start, request, outcome))
        if outcome is OK or (outcome is UNKNOWN and takes_effect):
            self.ledger[request] = 1

    def history(self) -> History:
        """Return the history with the final contents."""
        _, version, session = self.states[-1]
        final = {"k": Version(version=version, session=session)} if version else {}
        readout = Readout(group="g", registers=final, ledger=self.ledger)
        return History(operations=self.operations, readouts=[readout])


SESSIONS = st.sampled_from(["s1", "s2", "s3"])
OUTCOMES = st.sampled_from([OK, OK, NOT_RUN, UNKNOWN, FAILED])
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("write"), SESSIONS, OUTCOMES, st.booleans()),
        st.tuples(st.just("add"), SESSIONS, OUTCOMES, st.booleans()),
        st.tuples(st.just("read"), SESSIONS, st.integers(0, 12)),
    ),
    max_size=40,
)


def _play(steps) -> Database:
    database = Database()
    for name, *arguments in steps:
        getattr(database, name)(*arguments)
    return database


@given(STEPS)
def test_correct_database_passes(steps):
    """Any history of a correct database must pass, whatever the outcomes and ages."""
    assert check(_play(steps).history()) == []


@given(STEPS)
def test_lost_final_state_is_reported(steps):
    """Losing any acknowledged write must show in the final read-out."""
    history = _play(steps).history()
    acknowledged = [op for op in history.operations if op.outcome is OK and not op.kind.is_read]
    lost = History(operations=history.operations, readouts=[Readout(group="g")])
    assert bool(check(lost, ["lost-writes", "ledger"])) >= bool(acknowledged)


def test_history_survives_its_file(tmp_path):
    """A history that changes on disk could hide a violation from a later check."""
    history = History(operations=[V1, read(2, 1), add(4, "r1")], readouts=[pair(1, 1)])
    path = tmp_path / "history.jsonl"
    history.write(path)
    assert History.read(path) == history
