"""Statements of one connection to a database of the stand-in."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from tests.platform.standin import StandinDatabase

__all__ = ["Run", "StandinConnection", "Stutter", "without_name"]

#: Verbs of the statements that callers send to databases.
_CALLER_VERBS = ("READ", "WRITE", "EXECUTE", "COMMIT")


def without_name(text: str) -> str:
    """Return the text of a statement; of ``EXECUTE`` without the name, which the proxy replaces."""
    verb, _, rest = text.partition(" ")
    return f"{verb}{rest[len(rest.partition(' ')[0]):]}" if verb == "EXECUTE" else text


@dataclass(frozen=True)
class Run:
    """A statement of a caller that a database ran, and what was in force then.

    :param text: its text without a required position and without the name in ``EXECUTE``.
    :param values: rest of the text of each ``SET`` by name.
    :param shape: mode and shape of the prepared statement.
    :param is_in_transaction: whether a transaction was open.
    """

    request: str
    text: str
    values: dict[str, str]
    shape: str
    is_in_transaction: bool


@dataclass
class Stutter:
    """Repetition of answers.

    :param source: decides which answers are repeated, and when.
    :param share: share of the answers that are sent a second time.
    :param delays: shortest and longest time in seconds until then.
    :param cut_share: share of the repetitions that are cut off, which closes the connection.
    """

    source: random.Random
    share: float = 1.0
    delays: tuple[float, float] = (0.0, 0.03)
    cut_share: float = 0.0

    async def repeat(self, answer: bytes, writer: asyncio.StreamWriter) -> None:
        """Send an answer a second time, if it is drawn."""
        if self.source.random() >= self.share:
            return
        await asyncio.sleep(self.source.uniform(*self.delays))
        if writer.is_closing():
            return
        if self.source.random() < self.cut_share:
            writer.write(answer[: self.source.randrange(1, len(answer))])
            writer.close()
        else:
            writer.write(answer)


class StandinConnection:
    """One connection of the proxy."""

    def __init__(self, database: StandinDatabase) -> None:
        self._database = database
        self._values: dict[str, str] = {}
        self._prepared: dict[str, tuple[str, str]] = {}
        self._writes: dict[str, str] | None = None
        self._ids: list[str] = []
        self._state = "I"
        self._caller = ""
        self._term = 0
        self._is_read_only = False

    def answer(self, line: str) -> str | None:
        """Return the messages that answer one message; ``None`` for no answer."""
        word, _, rest = line.partition(" ")
        self._database.platform.check_for_keys(line)
        if word == "STARTUP":
            _, self._caller, name = rest.split(" ")
            if name != self._database.name or not rest.startswith(f"{self._database.service} "):
                return "ERROR WRONGNODE -\r\n"
            return self._ready()
        request, _, text = rest.partition(" ")
        self._database.statements.append(text)
        self._database.runs.append((self._caller, text))
        rows = self._run(request, text)
        return None if rows is None else rows + self._ready()

    def _ready(self) -> str:
        return f"READY {self._state} {self._database.term}.{self._database.index}\r\n"

    def _run(self, request: str, text: str) -> str | None:
        shape, is_in_transaction = "", self._writes is not None
        verb, _, rest = text.partition(" ")
        if verb == "AFTERLSN":
            required, _, text = rest.partition(" ")
            term, _, index = required.partition(".")
            if (self._database.term, self._database.index) < (int(term), int(index)):
                return "ERROR LAGGING -\r\n"
            verb, _, rest = text.partition(" ")
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self._prepared:
                return "ERROR NOSTMT -\r\n"
            verb, shape = self._prepared[name][0], " ".join(self._prepared[name])
        if verb in ("READ", "WRITE") and not is_in_transaction and self._database.is_busy:
            return "ERROR BUSY -\r\n"
        answer = getattr(self, f"_{verb.lower()}")(request, rest)
        is_refused = answer is not None and answer.startswith("ERROR")
        if text.partition(" ")[0] in _CALLER_VERBS and not is_refused:
            run = Run(request, without_name(text), dict(self._values), shape, is_in_transaction)
            self._database.executed.append(run)
        return answer

    def _read(self, request: str, rest: str) -> str:
        if self._writes is not None and not self._is_read_only and not self._leads():
            self._state = "E"
            return "ERROR READONLY -\r\n"
        value = (self._writes or {}).get(rest, self._database.items.get(rest, "none"))
        return f"ROW {value}\r\nROW {request}\r\nCOMPLETE {self._database.name}.{request}\r\n"

    def _write(self, request: str, rest: str) -> str | None:
        if not self._database.is_primary:
            return "ERROR READONLY -\r\n"
        item, _, data = rest.partition(" ")
        if self._writes is not None:
            self._writes[item] = data
            self._ids.append(request)
        elif not self._database.commit({item: data}, [request]):
            return None
        return f"COMPLETE {self._database.name}.{request}\r\n"

    def _begin(self, request: str, rest: str) -> str:
        if rest != "READ" and not self._database.is_primary:
            return "ERROR READONLY -\r\n"
        self._term, self._is_read_only = self._database.term, rest == "READ"
        self._writes, self._ids, self._state = {}, [], "T"
        return "COMPLETE -\r\n"

    def _commit(self, request: str, rest: str) -> str | None:
        writes, ids = self._end()
        if writes and not self._leads():
            return "ERROR READONLY -\r\n"
        if writes and not self._database.commit(writes, ids):
            return None
        return f"COMPLETE {self._database.name}.{request}\r\n"

    def _rollback(self, request: str, rest: str) -> str:
        self._end()
        return "COMPLETE -\r\n"

    def _leads(self) -> bool:
        """Tell whether the database has led since the transaction began."""
        return self._database.is_primary and self._database.term == self._term

    def _end(self) -> tuple[dict[str, str], list[str]]:
        writes, ids = self._writes or {}, self._ids
        self._writes, self._ids, self._state = None, [], "I"
        return writes, ids

    def _set(self, request: str, rest: str) -> str:
        name = rest.partition(" ")[0]
        self._values[name] = rest.removeprefix(name)
        return "COMPLETE -\r\n"

    def _prepare(self, request: str, rest: str) -> str:
        name, mode, shape = rest.split(" ", 2)
        self._prepared[name] = (mode, shape)
        return "COMPLETE -\r\n"

    def _reset(self, request: str, rest: str) -> str:
        self._values.clear()
        self._prepared.clear()
        return "COMPLETE -\r\n"

    def _status(self, request: str, rest: str) -> str:
        database = self._database
        role = "primary" if database.is_primary else "replica"
        position = f"{database.term}.{database.index}"
        row = f"ROW {role} {database.term} {position} {database.paused_term} 0 0 1"
        return f"{row}\r\nCOMPLETE -\r\n"

    def _pause(self, request: str, rest: str) -> str:
        database, term = self._database, int(rest)
        if not database.is_primary and term > max(database.term, database.paused_term):
            database.paused_term = term
        return self._status(request, rest)

    def _resume(self, request: str, rest: str) -> str:
        self._database.paused_term = 0
        return self._status(request, rest)

    def _stepdown(self, request: str, rest: str) -> str:
        self._database.is_primary = False
        return self._status(request, rest)
