"""What callers saw during a run, and the promises that are checked against it."""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.platform.standin import StandinDatabase
    from tests.platform.standin_connection import Run

__all__ = ["ODD_TEXTS", "PLAIN_TEXTS", "PROMISES", "History"]

#: Forms of the data of a number.
PLAIN_TEXTS = ("{}",)
ODD_TEXTS = ("{}", "{}\r", " {} ", "\n{}", "{}\r\r", "a\nb {}  c", "{}\x00\x85\u2028", "\t{}\n")

#: Errors after which nothing of the statement or transaction is kept.
PROMISES = frozenset({"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY"})


@dataclass
class History:
    """Each caller writes increasing numbers to an item of its own.

    :param acknowledged: highest acknowledged number of each item.
    :param kept: ids of acknowledged writes of each service.
    :param tokens: highest token of a promotion that the platform saw for each service.
    :param holders: instance that first sent each token.
    :param promised: ids of writes of which nothing may be kept.
    :param texts: forms of the data that callers write.
    :param statements: what callers sent, by id.
    :param singles: reads and writes outside transactions that were sent, and that succeeded.
    """

    acknowledged: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    kept: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    promised: set[str] = field(default_factory=set)
    texts: tuple[str, ...] = PLAIN_TEXTS
    statements: dict[str, Run] = field(default_factory=dict)
    singles: Counter[str] = field(default_factory=Counter)
    configuration: int = 0
    reads: int = 0
    tokens: dict[str, int] = field(default_factory=dict)
    holders: dict[int, str] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)

    @property
    def writes(self) -> int:
        """Return the number of acknowledged writes."""
        return sum(map(len, self.kept.values()))

    def data(self, number: int) -> str:
        """Return the data that stands for a number."""
        return self.texts[number % len(self.texts)].format(number) if number else "none"

    def sent(self, statement: Run) -> None:
        """Record a statement of a caller."""
        self.statements[statement.request] = statement
        self.singles["sent"] += _is_single(statement)

    def answered(self, statement: Run, answer: list[str]) -> None:
        """Check that a success belongs to its statement and is whole."""
        *rows, end, _ = answer
        if end.startswith("ERROR "):
            return
        verb, own = statement.text.partition(" ")[0], f".{statement.request}"
        is_signed = verb in ("READ", "WRITE", "EXECUTE", "COMMIT")
        is_own = end.endswith(own) if is_signed else end == "COMPLETE -"
        reads = verb == "READ" or statement.shape.startswith("READ ")
        if not is_own or rows[1:] != [f"ROW {statement.request}"] * reads or len(rows) == 1:
            self.violations.append(f"MIXED: {statement} is answered with {answer}")
        self.singles["succeeded"] += _is_single(statement)

    def check_runs(self, database: StandinDatabase) -> None:
        """Compare what a database ran with what callers sent."""
        for run in database.executed:
            sent = self.statements.get(run.request)
            if sent is None or (sent.text, sent.shape) != (run.text, run.shape):
                self.violations.append(f"UNASKED: {database.name} ran {run} for {sent}")
            elif sent != run:
                self.violations.append(f"PINNED: {database.name} ran {run} for {sent}")

    def wrote(self, service: str, item: str, number: int, ids: list[str]) -> None:
        """Record acknowledged writes."""
        self.kept[service].update(ids)
        self.acknowledged[item] = max(self.acknowledged[item], number)

    def refused(self, ids: list[str]) -> None:
        """Record writes of which nothing may be kept."""
        self.promised.update(ids)

    def read(self, item: str, value: str, at_least: int, route: str) -> None:
        """Check a read that had to see a number or a later one."""
        self.reads += 1
        number = int("".join(re.findall(r"\d+", value)) or 0)
        if value != self.data(number):
            self.violations.append(f"MIXED: {value!r} was read of {item}")
        if number < at_least:
            self.violations.append(f"stale read of {item} on {route}: {number} < {at_least}")

    def configured(self, version: int) -> None:
        """Record an acknowledged configuration."""
        self.configuration = max(self.configuration, version)

    def configuration_read(self, version: int, at_least: int) -> None:
        """Check a configuration that was read."""
        if version < at_least:
            self.violations.append(f"configuration went back: {version} < {at_least}")

    def promotion_requested(self, service: str, holder: str, token: int) -> None:
        """Check a promotion as it arrives at the platform."""
        highest = self.tokens.get(service, 0)
        if token < highest:
            self.violations.append(f"{holder} promotes {service} with {token} after {highest}")
        first = self.holders.setdefault(token, holder)
        if first != holder:
            self.violations.append(f"{holder} and {first} promote with token {token}")
        self.tokens[service] = max(token, highest)

    def check_promoted(self, database: StandinDatabase) -> None:
        """Compare what callers were told with the log of a promoted database, as it takes over."""
        missing = self.kept[database.service] - set(database.writes)
        if missing:
            self.violations.append(
                f"{database.name} is promoted without {len(missing)} acknowledged writes"
            )

    def check_log(self, primary: StandinDatabase) -> None:
        """Compare what callers were told with the log of the last primary."""
        counts = Counter(primary.writes)
        for name in self.kept[primary.service] - counts.keys():
            self.violations.append(f"acknowledged write {name} is lost")
        for name in self.promised & counts.keys():
            self.violations.append(f"write {name} is kept although it was said not to be")
        for name, count in counts.items():
            if count > 1:
                self.violations.append(f"write {name} took effect {count} times")


def _is_single(statement: Run) -> bool:
    verb = statement.text.partition(" ")[0]
    return not statement.is_in_transaction and verb in ("READ", "WRITE", "EXECUTE")
