"""A target driver that answers from a script, and a clock that the tests set."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hibiscuspoint.core.sessions import (
    Failure,
    Reply,
    SessionState,
    Statement,
    StatementError,
    StatementKind,
)
from hibiscuspoint.drivers.errors import ConnectError, ConnectFailure, ConnectionLost
from tests.builders_failover import position

if TYPE_CHECKING:
    from hibiscuspoint.core.position import LogPosition

__all__ = ["FakeConnection", "FakeDriver", "LoopClock", "ScriptedTarget"]


class LoopClock:
    """Time of the running asyncio loop."""

    def monotonic(self) -> float:
        """Return seconds."""
        return asyncio.get_running_loop().time()

    def unix(self) -> float:
        """Return seconds."""
        return self.monotonic()


@dataclass
class ScriptedTarget:
    """What a target does; answers in ``script`` come before the usual ones.

    :param connect_delay: seconds until a connection is accepted or refused.
    :param delay: seconds until a statement is answered.
    :param script: replies, or errors to raise, for the next statements of callers.
    :param log: texts of the statements that ran, with the position that they required.
    """

    index: int = 10
    limit: int = 16
    is_refusing: bool = False
    connect_delay: float = 0.0
    round_trip_seconds: float | None = None
    delay: float = 0.0
    script: deque[Reply | Exception] = field(default_factory=deque)
    log: list[tuple[str, LogPosition | None]] = field(default_factory=list)
    connections: list[FakeConnection] = field(default_factory=list)


class FakeDriver:
    """Connects to scripted targets."""

    def __init__(self) -> None:
        self.targets: dict[str, ScriptedTarget] = {}

    async def connect(self, group, target, address, timeout, organisation="") -> FakeConnection:
        """Open a connection."""
        scripted = self.targets.setdefault(target, ScriptedTarget())
        await asyncio.sleep(scripted.connect_delay)
        if scripted.is_refusing:
            raise ConnectError(ConnectFailure.REFUSED, "refused")
        if sum(connection.is_open for connection in scripted.connections) >= scripted.limit:
            raise ConnectError(ConnectFailure.LIMITED, "full")
        connection = FakeConnection(scripted, organisation)
        scripted.connections.append(connection)
        return connection


class FakeConnection:
    """A connection to a scripted target.

    :param organisation: organisation in whose name it was opened.
    """

    def __init__(self, target: ScriptedTarget, organisation: str = "") -> None:
        self._target = target
        self.organisation = organisation
        self.round_trip_seconds = target.round_trip_seconds
        self.is_open = True
        self.exhausted_at = None
        self.state = SessionState.IDLE
        self.values: dict[str, str] = {}
        self.prepared: dict[str, str] = {}

    async def run(self, statement: Statement, *, timeout, name=None, after=None) -> Reply:
        """Run a statement of a caller."""
        if not self.is_open:
            raise ConnectionLost("the connection ended", sent=True)
        await asyncio.sleep(self._target.delay)
        if self._target.script:
            answer = self._target.script.popleft()
            if isinstance(answer, Exception):
                self.is_open = False
                raise answer
            if answer.error is not None and answer.error.failure.has_not_run:
                return answer
            self.state = answer.state
            return answer
        self._target.log.append((name or statement.text, after))
        if statement.kind in (StatementKind.BEGIN, StatementKind.BEGIN_READ_ONLY):
            self.state = SessionState.IN_TRANSACTION
            return Reply(state=self.state, position=position(self._target.index))
        if statement.kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
            self.state = SessionState.IDLE
        if statement.writes or statement.kind is StatementKind.COMMIT:
            self._target.index += 1
        return Reply(("row",), "signature", None, self.state, position(self._target.index))

    async def reset(self, timeout) -> Reply:
        """Clear the context."""
        self.values.clear()
        self.prepared.clear()
        return Reply()

    async def set_value(self, name, value, timeout) -> Reply:
        """Set a value."""
        self.values[name] = value
        return Reply()

    async def prepare(self, name, prepared_statement, timeout) -> Reply:
        """Create a prepared statement."""
        self.prepared[name] = prepared_statement.text
        return Reply()

    async def rollback(self, timeout) -> Reply:
        """Roll back."""
        self._target.log.append(("ROLLBACK", None))
        self.state = SessionState.IDLE
        return Reply()

    def close(self) -> None:
        """Close the connection."""
        self.is_open = False


def refusal(failure: Failure, state: SessionState = SessionState.IDLE) -> Reply:
    """Return an error of a target."""
    return Reply((), None, StatementError(failure, "t"), state, position(10))
