"""Checker of the guarantees; it knows only a history.

Writers allocate the versions of a register or pair in ascending order and the database keeps the
highest, so a later state never shows a lower version. A version that a completed operation wrote
or saw is therefore a lower bound for every read that must observe the state of that time.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.load.bounds import KnownVersions, item_of
from hibiscuspoint.load.history import Kind, Outcome
from hibiscuspoint.registry import Registry
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from hibiscuspoint.load.history import History, Operation, Readout, Version

    Rule = Callable[[History], Iterator["Violation"]]

__all__ = ["RULES", "Violation", "check"]

#: Rows of one pair.
PAIR_ROWS = 2

RULES: Registry[Rule] = Registry("rule")


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a rule.

    :param op_id: operation that shows the violation; 0 for the final read-out.
    """

    rule: str
    op_id: int
    message: str


def check(history: History, rules: list[str] | None = None) -> list[Violation]:
    """Return every violation that the history shows.

    :param rules: names of the rules to check; all when ``None``.
    """
    names = RULES.names if rules is None else rules
    return [violation for name in names for violation in RULES.get(name)(history)]


def _successful_reads(history: History, *kinds: Kind) -> Iterator[Operation]:
    wanted = kinds or tuple(kind for kind in Kind if kind.is_read)
    for operation in history.operations:
        if operation.kind in wanted and operation.outcome is Outcome.OK:
            yield operation


def _lowest(operation: Operation) -> int:
    return min((version.version for version in operation.seen), default=0)


@RULES.register("read-your-writes")
def read_your_writes(history: History) -> Iterator[Violation]:
    """Check G1: a read observes all earlier acknowledged writes of its session."""
    for operations in _by_session(history).values():
        written = KnownVersions(op for op in operations if op.written is not None)
        for read in operations:
            if not read.kind.is_read or read.outcome is not Outcome.OK or item_of(read) is None:
                continue
            expected = written.before(item_of(read), read.invoked_at)
            if _lowest(read) < expected:
                yield Violation(
                    "read-your-writes",
                    read.op_id,
                    f"session {read.session} wrote version {expected} of {read.key} and then read "
                    f"version {_lowest(read)} through {read.entry}",
                )
        yield from _own_ledger(operations)


def _own_ledger(operations: list[Operation]) -> Iterator[Violation]:
    added: set[str] = set()
    for operation in operations:
        if operation.kind is Kind.LEDGER_ADD and operation.outcome is Outcome.OK:
            added.add(operation.key)
        if operation.kind is not Kind.LEDGER_READ or operation.outcome is not Outcome.OK:
            continue
        missing = added.difference(operation.seen_ids)
        if operation.key == operation.session and missing:
            yield Violation(
                "read-your-writes",
                operation.op_id,
                f"session {operation.session} does not see {len(missing)} of its ledger entries, "
                f"such as {min(missing)}",
            )


def _by_session(history: History) -> dict[str, list[Operation]]:
    """Return the operations of each session in the order of their invocation."""
    sessions: dict[str, list[Operation]] = defaultdict(list)
    for operation in sorted(history.operations, key=lambda op: op.invoked_at):
        sessions[operation.session].append(operation)
    return sessions


@RULES.register("monotonic-reads")
def monotonic_reads(history: History) -> Iterator[Violation]:
    """Check G1: a session never sees a lower version than it saw before."""
    for operations in _by_session(history).values():
        seen = KnownVersions(op for op in operations if op.kind.is_read)
        for read in operations:
            item = item_of(read)
            if not read.kind.is_read or read.outcome is not Outcome.OK or item is None:
                continue
            expected = seen.before(item, read.invoked_at)
            if _lowest(read) < expected:
                yield Violation(
                    "monotonic-reads",
                    read.op_id,
                    f"session {read.session} saw version {expected} of {read.key} and later "
                    f"version {_lowest(read)}",
                )


@RULES.register("staleness")
def staleness(history: History) -> Iterator[Violation]:
    """Check G10: a read is current, or not older than the age that it states.

    The age counts from the invocation, because the time at which the entry served the read is not
    known to its caller.
    """
    known = KnownVersions(history.operations)
    for read in _successful_reads(history, Kind.REGISTER_READ, Kind.PAIR_READ):
        oldest = read.invoked_at - read.max_age_ms / MILLISECONDS_PER_SECOND
        expected = known.before(item_of(read), oldest)
        if _lowest(read) < expected:
            yield Violation(
                "staleness",
                read.op_id,
                f"a read with a maximum age of {read.max_age_ms} ms returned version "
                f"{_lowest(read)} of {read.key}; version {expected} was known before that",
            )


@RULES.register("origin")
def origin(history: History) -> Iterator[Violation]:
    """Check G4 and G5: each version seen was written by an operation that may have run by then."""
    writes = {
        (item_of(op), op.written.version): op for op in history.operations if op.written is not None
    }
    for read in _successful_reads(history, Kind.REGISTER_READ, Kind.PAIR_READ):
        for version in read.seen:
            if not version.version:
                continue
            fault = _origin_fault(writes.get((item_of(read), version.version)), version, read)
            if fault:
                yield Violation("origin", read.op_id, f"{read.key}: {fault}")


def _origin_fault(write: Operation | None, version: Version, read: Operation) -> str:
    """Return what is wrong with the origin of a version; empty if nothing is."""
    if write is None:
        return f"version {version.version} was never written"
    if write.written.session != version.session:
        return f"version {version.version} carries the wrong session {version.session}"
    if write.outcome.excludes_effect:
        return f"version {version.version} was seen, but its write is {write.outcome.value}"
    if read.completed_at is not None and write.invoked_at > read.completed_at:
        return f"version {version.version} was seen before it was written"
    return ""


@RULES.register("whole-transactions")
def whole_transactions(history: History) -> Iterator[Violation]:
    """Check G3 and G4: both rows of a pair are seen together and with one version."""
    for read in _successful_reads(history, Kind.PAIR_READ):
        fault = _pair_fault(read.seen)
        if fault:
            yield Violation("whole-transactions", read.op_id, f"pair {read.key}: {fault}")
    for readout in history.readouts:
        for key, versions in readout.pairs.items():
            fault = _pair_fault(versions)
            if fault:
                yield Violation("whole-transactions", 0, f"pair {key} at the end: {fault}")


def _pair_fault(versions: tuple[Version, ...]) -> str:
    if len(versions) not in (0, PAIR_ROWS):
        return f"{len(versions)} of {PAIR_ROWS} rows"
    if len(set(versions)) > 1:
        return "the rows are of different transactions"
    return ""


@RULES.register("whole-answers")
def whole_answers(history: History) -> Iterator[Violation]:
    """Check G4: no caller received an answer that was not whole or not its own."""
    for operation in history.operations:
        if operation.outcome is Outcome.BROKEN_ANSWER:
            yield Violation(
                "whole-answers",
                operation.op_id,
                f"{operation.entry} answered with error {operation.error_code}",
            )


@RULES.register("lost-writes")
def lost_writes(history: History) -> Iterator[Violation]:
    """Check G2: the final contents hold every acknowledged write and every version seen."""
    known = KnownVersions(history.operations)
    readouts = {readout.group: readout for readout in history.readouts}
    for item in known.items:
        readout = readouts.get(item[1])
        if readout is not None and _final_version(readout, item) < known.last(item):
            yield Violation(
                "lost-writes",
                0,
                f"{item[0]} {item[2]} of group {item[1]} ends with version "
                f"{_final_version(readout, item)}; version {known.last(item)} was acknowledged "
                "or seen",
            )


def _final_version(readout: Readout, item: tuple[str, str, str]) -> int:
    table, _, key = item
    if table == "pair":
        return min((version.version for version in readout.pairs.get(key, ())), default=0)
    final = readout.registers.get(key)
    return 0 if final is None else final.version


@RULES.register("final-origin")
def final_origin(history: History) -> Iterator[Violation]:
    """Check G5: the final versions come from operations that may have run."""
    writes = {
        (item_of(op), op.written.version): op for op in history.operations if op.written is not None
    }
    for readout in history.readouts:
        for table, key, version in _final_versions(readout):
            write = writes.get(((table, readout.group, key), version.version))
            if write is None:
                fault = f"version {version.version} was never written"
            elif write.outcome.excludes_effect:
                fault = f"version {version.version} is {write.outcome.value}"
            else:
                continue
            yield Violation("final-origin", 0, f"{table} {key} at the end: {fault}")


def _final_versions(readout: Readout) -> Iterator[tuple[str, str, Version]]:
    for key, version in readout.registers.items():
        if version.version:
            yield "register", key, version
    for key, versions in readout.pairs.items():
        for version in versions:
            if version.version:
                yield "pair", key, version


@RULES.register("ledger")
def ledger(history: History) -> Iterator[Violation]:
    """Check G2, G5 and G6: the ledger holds each addition as often as its verdicts allow."""
    additions: dict[tuple[str, str], list[Outcome]] = defaultdict(list)
    for operation in history.operations:
        if operation.kind is Kind.LEDGER_ADD:
            additions[operation.group, operation.key].append(operation.outcome)
    for readout in history.readouts:
        for (group, request), outcomes in additions.items():
            if group == readout.group:
                fault = _ledger_fault(readout.ledger.get(request, 0), outcomes)
                if fault:
                    yield Violation("ledger", 0, f"request {request}: {fault}")
        for request in readout.ledger:
            if (readout.group, request) not in additions:
                yield Violation("ledger", 0, f"request {request} was never sent")


def _ledger_fault(rows: int, outcomes: list[Outcome]) -> str:
    if rows > 1:
        return f"ran {rows} times"
    if rows == 0 and Outcome.OK in outcomes:
        return "was acknowledged and is lost"
    if rows == 1 and all(outcome.excludes_effect for outcome in outcomes):
        return f"ran, although its verdict is {outcomes[-1].value}"
    return ""


@RULES.register("ledger-reads")
def ledger_reads(history: History) -> Iterator[Violation]:
    """Check G5 and G6 during the run: no ledger read shows an addition twice or one not run."""
    possible: set[tuple[str, str]] = set()
    for operation in history.operations:
        if operation.kind is Kind.LEDGER_ADD and not operation.outcome.excludes_effect:
            possible.add((operation.group, operation.key))
    for read in _successful_reads(history, Kind.LEDGER_READ):
        if len(set(read.seen_ids)) != len(read.seen_ids):
            yield Violation("ledger-reads", read.op_id, "a request appears twice")
        impossible = [item for item in read.seen_ids if (read.group, item) not in possible]
        if impossible:
            yield Violation(
                "ledger-reads", read.op_id, f"request {impossible[0]} appears but did not run"
            )
