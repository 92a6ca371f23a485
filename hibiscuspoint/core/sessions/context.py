"""Session values and prepared statements, at a session and at a connection to a target."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["ConnectionContext", "Preparation", "SessionContext", "Shape"]


@dataclass(frozen=True, slots=True)
class Shape:
    """What a prepared statement does."""

    writes: bool
    text: str


@dataclass
class SessionContext:
    """What a caller has set in its session."""

    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, Shape] = field(default_factory=dict)


@dataclass(frozen=True)
class Preparation:
    """Steps that bring a connection to the context of a session.

    :param needs_reset: clear the values and prepared statements of the connection first.
    :param values: values to set, in order.
    :param shape: prepared statement to create under ``name``, if any.
    """

    needs_reset: bool = False
    values: tuple[tuple[str, str], ...] = ()
    shape: Shape | None = None
    name: str = ""

    @property
    def is_empty(self) -> bool:
        """Tell whether the connection can be used as it is."""
        return not (self.needs_reset or self.values or self.shape)


class ConnectionContext:
    """What is in force at one connection, which sessions share in turn.

    Prepared statements are named after their shape and not after the name that a caller chose, so
    that the names of different callers do not collide and the statements can stay.
    """

    def __init__(self) -> None:
        self._values: dict[str, str] = {}
        self._names: dict[Shape, str] = {}
        self._count = 0

    def distance(self, session: SessionContext) -> int:
        """Return how many steps it takes to bring the values to those of a session."""
        if self._values.keys() - session.values.keys():
            return 1 + len(session.values)
        return len(session.values.items() - self._values.items())

    def name_of(self, shape: Shape) -> str | None:
        """Return the name of a prepared statement; ``None`` when it must be created."""
        return self._names.get(shape)

    def preparation(self, session: SessionContext, shape: Shape | None) -> Preparation:
        """Return the steps before a statement of a session.

        :param shape: prepared statement that the statement executes, if any.
        """
        needs_reset = bool(self._values.keys() - session.values.keys())
        present = {} if needs_reset else self._values
        values = tuple(
            (name, value) for name, value in session.values.items() if present.get(name) != value
        )
        is_known = shape is None or (shape in self._names and not needs_reset)
        if is_known:
            return Preparation(needs_reset, values)
        return Preparation(needs_reset, values, shape, f"s{self._count + 1}")

    def was_reset(self) -> None:
        """Record that values and prepared statements were cleared."""
        self._values.clear()
        self._names.clear()

    def value_set(self, name: str, value: str) -> None:
        """Record a value."""
        self._values[name] = value

    def was_prepared(self, shape: Shape, name: str) -> None:
        """Record a prepared statement."""
        self._count += 1
        self._names[shape] = name

    def forget_prepared(self) -> None:
        """Record that the target does not know a prepared statement that was created."""
        self._names.clear()
