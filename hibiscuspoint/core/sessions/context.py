"""Session values and prepared statements of sessions and of connections to targets."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["ConnectionContext", "Preparation", "PreparedStatement", "SessionContext"]


@dataclass(frozen=True, slots=True)
class PreparedStatement:
    """Content of a prepared statement.

    :param writes: whether it is a write.
    :param text: its statement text.
    """

    writes: bool
    text: str


@dataclass
class SessionContext:
    """Values and prepared statements that a caller has set in its session.

    :param values: values by name; ``None`` for one that was set without a field.
    :param prepared_statements: prepared statements by the name that the caller chose.
    """

    values: dict[str, str | None] = field(default_factory=dict)
    prepared_statements: dict[str, PreparedStatement] = field(default_factory=dict)


@dataclass(frozen=True)
class Preparation:
    """Steps that give a connection the context of a session.

    :param needs_reset: whether to clear the values and prepared statements of the connection first.
    :param values: names and values to set, in order.
    :param prepared_statement: prepared statement to create under ``name``, if any.
    """

    needs_reset: bool = False
    values: tuple[tuple[str, str | None], ...] = ()
    prepared_statement: PreparedStatement | None = None
    name: str = ""

    @property
    def is_empty(self) -> bool:
        """Whether the connection can be used without any step."""
        return not (self.needs_reset or self.values or self.prepared_statement)


class ConnectionContext:
    """Values and prepared statements that are set at a connection, which sessions share in turn.

    Names of prepared statements at the connection are generated and do not depend on the names that
    callers chose. So the names of different callers do not collide, and a statement can stay when
    the connection changes to another session.
    """

    def __init__(self) -> None:
        self._values: dict[str, str | None] = {}
        self._names: dict[PreparedStatement, str] = {}
        self._created_count = 0

    def distance(self, session: SessionContext) -> int:
        """Return the number of steps needed to set the values of a session, a reset included."""
        if self._values.keys() - session.values.keys():
            return 1 + len(session.values)
        return len(session.values.items() - self._values.items())

    def name_of(self, prepared_statement: PreparedStatement) -> str | None:
        """Return the name of a prepared statement; ``None`` if it must be created first."""
        return self._names.get(prepared_statement)

    def preparation(
        self, session: SessionContext, prepared_statement: PreparedStatement | None
    ) -> Preparation:
        """Return the steps to take before a statement of a session runs.

        :param prepared_statement: prepared statement that it executes, if any.
        """
        needs_reset = bool(self._values.keys() - session.values.keys())
        current_values = {} if needs_reset else self._values
        values = tuple(
            item for item in session.values.items() if item not in current_values.items()
        )
        is_ready = prepared_statement is None or (
            prepared_statement in self._names and not needs_reset
        )
        if is_ready:
            return Preparation(needs_reset, values)
        return Preparation(needs_reset, values, prepared_statement, f"s{self._created_count + 1}")

    def record_reset(self) -> None:
        """Record that the target cleared the values and prepared statements."""
        self._values.clear()
        self._names.clear()

    def record_value(self, name: str, value: str | None) -> None:
        """Record that a value was set."""
        self._values[name] = value

    def record_prepared_statement(self, prepared_statement: PreparedStatement, name: str) -> None:
        """Record that a prepared statement was created."""
        self._created_count += 1
        self._names[prepared_statement] = name

    def forget_prepared_statements(self) -> None:
        """Discard all prepared statements, after the target reported one of them as unknown."""
        self._names.clear()
