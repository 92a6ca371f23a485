"""Session values and prepared statements, at a session and at a connection to a target."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["ConnectionContext", "Preparation", "PreparedStatement", "SessionContext"]


@dataclass(frozen=True, slots=True)
class PreparedStatement:
    """What a prepared statement does."""

    writes: bool
    text: str


@dataclass
class SessionContext:
    """What a caller has set in its session."""

    values: dict[str, str] = field(default_factory=dict)
    prepared_statements: dict[str, PreparedStatement] = field(default_factory=dict)


@dataclass(frozen=True)
class Preparation:
    """Steps that bring a connection to the context of a session.

    :param needs_reset: clear the values and prepared statements of the connection first.
    :param values: values to set, in order.
    :param prepared_statement: prepared statement to create under ``name``, if any.
    """

    needs_reset: bool = False
    values: tuple[tuple[str, str], ...] = ()
    prepared_statement: PreparedStatement | None = None
    name: str = ""

    @property
    def is_empty(self) -> bool:
        """Tell whether the connection can be used as it is."""
        return not (self.needs_reset or self.values or self.prepared_statement)


class ConnectionContext:
    """What is in force at one connection, which sessions share in turn.

    The name of a prepared statement at the connection does not depend on the name that a caller
    chose, so that the names of different callers do not collide and the statements can stay.
    """

    def __init__(self) -> None:
        self._values: dict[str, str] = {}
        self._names: dict[PreparedStatement, str] = {}
        self._count = 0

    def distance(self, session: SessionContext) -> int:
        """Return how many steps it takes to bring the values to those of a session."""
        if self._values.keys() - session.values.keys():
            return 1 + len(session.values)
        return len(session.values.items() - self._values.items())

    def name_of(self, prepared_statement: PreparedStatement) -> str | None:
        """Return the name of a prepared statement; ``None`` when it must be created."""
        return self._names.get(prepared_statement)

    def preparation(
        self, session: SessionContext, prepared_statement: PreparedStatement | None
    ) -> Preparation:
        """Return the steps before a statement of a session.

        :param prepared_statement: prepared statement that the statement executes, if any.
        """
        needs_reset = bool(self._values.keys() - session.values.keys())
        present = {} if needs_reset else self._values
        values = tuple(
            (name, value) for name, value in session.values.items() if present.get(name) != value
        )
        is_known = prepared_statement is None or (
            prepared_statement in self._names and not needs_reset
        )
        if is_known:
            return Preparation(needs_reset, values)
        return Preparation(needs_reset, values, prepared_statement, f"s{self._count + 1}")

    def record_reset(self) -> None:
        """Record that values and prepared statements were cleared."""
        self._values.clear()
        self._names.clear()

    def record_value(self, name: str, value: str) -> None:
        """Record a value."""
        self._values[name] = value

    def record_prepared_statement(self, prepared_statement: PreparedStatement, name: str) -> None:
        """Record a prepared statement."""
        self._count += 1
        self._names[prepared_statement] = name

    def forget_prepared_statements(self) -> None:
        """Record that the target does not know a prepared statement that was created."""
        self._names.clear()
