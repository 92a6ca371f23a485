"""Statements of one connection to a database of the stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.platform.standin import StandinDatabase

__all__ = ["StandinConnection"]


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
            verb = self._prepared[name][0]
        return getattr(self, f"_{verb.lower()}")(request, rest)

    def _read(self, request: str, rest: str) -> str:
        if self._writes is not None and not self._is_read_only and not self._leads():
            self._state = "E"
            return "ERROR READONLY -\r\n"
        value = (self._writes or {}).get(rest, self._database.items.get(rest, "none"))
        return f"ROW {value}\r\nCOMPLETE {self._database.name}.{request}\r\n"

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
        name, _, self._values[name] = rest.partition(" ")
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
