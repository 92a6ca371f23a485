"""The component that opens sessions and answers their statements."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from circuits import Component, handler

from hibiscuspoint.components.events import report_due
from hibiscuspoint.components.sessions.session import Session
from hibiscuspoint.core.sessions import Failure, SessionState, StatementKind
from hibiscuspoint.telemetry import catalogue, log_event
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND

if TYPE_CHECKING:
    from hibiscuspoint.components.entry_state import EntryState
    from hibiscuspoint.components.sessions.groups import GroupAccess
    from hibiscuspoint.core.entry.drain import DrainState
    from hibiscuspoint.core.ports import Clock
    from hibiscuspoint.core.quotas import OperationLimiter
    from hibiscuspoint.core.sessions import DatabaseRoute, Reply, Statement
    from hibiscuspoint.ids import AvailabilityZone
    from hibiscuspoint.telemetry.metrics import Metrics
    from hibiscuspoint.wire import peer_pb2

__all__ = ["SessionService"]

logger = logging.getLogger(__name__)

#: Statements that only change the context of a session; they are counted and not logged.
_LOCAL_KINDS = frozenset(
    {
        StatementKind.SET,
        StatementKind.PREPARE,
        StatementKind.DEALLOCATE,
        StatementKind.BEGIN,
        StatementKind.BEGIN_READ_ONLY,
    }
)

#: Longest time in seconds that a new session waits for the first configuration; callers give up
#: after 2 s.
CONFIGURATION_WAIT_SECONDS = 1.8
CONFIGURATION_POLL_SECONDS = 0.02

#: Seconds of a transaction without a statement where no configuration states a limit.
DEFAULT_TRANSACTION_IDLE_SECONDS = 3.0


class SessionService(Component):
    """Serves callers whose session is a connection.

    :param zone: availability zone of this instance.
    :param limiter: admits operations of organisations; ``None`` where there are no limits.
    """

    channel = "sessions"

    def __init__(
        self,
        state: EntryState,
        access: GroupAccess,
        zone: AvailabilityZone,
        drain: DrainState,
        clock: Clock,
        metrics: Metrics,
        limiter: OperationLimiter | None = None,
    ) -> None:
        super().__init__()
        self._state = state
        self._access = access
        self._zone = zone
        self._drain = drain
        self._clock = clock
        self._metrics = metrics
        self._limiter = limiter

    @property
    def is_ready(self) -> bool:
        """Tell whether the load balancer should send callers."""
        return self._drain.is_ready and self._state.is_ready(self._clock.monotonic())

    @property
    def transaction_idle_seconds(self) -> float:
        """Return the seconds without a statement after which a transaction is rolled back."""
        table = self._state.document
        return table.transaction_idle_seconds if table else DEFAULT_TRANSACTION_IDLE_SECONDS

    async def open(self, database: str) -> Session | Failure:
        """Return a new session, or why there is none.

        An instance that was just started does not know which databases exist, so it waits for its
        first configuration.
        """
        deadline = self._clock.monotonic() + CONFIGURATION_WAIT_SECONDS
        # The state has no event for its first document.
        while self._state.document is None and self._clock.monotonic() < deadline:  # noqa: ASYNC110
            await asyncio.sleep(CONFIGURATION_POLL_SECONDS)
        if self._state.document is None:
            self._log_refusal(database, "this instance has no configuration")
            return Failure.OVERLOADED
        if self._find_route(database) is None:
            self._log_refusal(database, "no route has this name")
            return Failure.UNKNOWN_DATABASE
        return Session(database, self._find_route, self._access, self._zone, self._clock)

    def _log_refusal(self, database: str, reason: str) -> None:
        log_event(
            logger,
            catalogue.SESSION_REFUSED,
            database=database,
            reason=reason,
            configuration=self._state.document_number,
        )

    async def execute(self, session: Session, statement: Statement) -> Reply:
        """Answer a statement and log what decided about it."""
        if statement.kind in _LOCAL_KINDS:
            return await session.execute(statement)
        self._drain.begin_request()
        started = self._clock.monotonic()
        try:
            reply = await session.execute(statement)
        finally:
            self._drain.end_request()
        self._record(session, statement, reply, self._clock.monotonic() - started)
        return reply

    async def abort(self, session: Session, reason: str) -> None:
        """Roll back the open transaction of a session and log why."""
        if session.state is SessionState.IDLE:
            return
        log_event(
            logger,
            catalogue.TRANSACTION_ENDED,
            database=session.database,
            target=session.target,
            reason=reason,
        )
        await session.abort()

    def _find_route(self, database: str) -> DatabaseRoute | None:
        table = self._state.document
        return table.routes.get(database) if table is not None else None

    def _record(self, session: Session, statement: Statement, reply: Reply, elapsed: float) -> None:
        trace = session.trace
        failure = reply.error.failure if reply.error is not None else None
        log_event(
            logger,
            catalogue.STATEMENT_ANSWERED,
            request=statement.request_id,
            database=session.database,
            kind=statement.kind.value,
            group=trace.group,
            target=trace.target,
            term=trace.term,
            holder=trace.holder,
            required=_position(trace.required),
            position=_position(reply.position),
            configuration=self._state.document_number,
            attempts=trace.attempts,
            elapsed_ms=round(elapsed * MILLISECONDS_PER_SECOND, 1),
            outcome=failure.value if failure is not None else "done",
            reason=trace.reason,
        )
        self._metrics.statements.labels(
            trace.group, statement.kind.value, failure.name.lower() if failure else ""
        ).inc()
        if failure is None:
            self._metrics.statement_latency.labels(trace.group, statement.kind.value).observe(
                elapsed
            )
        if failure is Failure.READ_ONLY:
            self.fire(report_due(), "*")

    @handler("update_received", channel="*")
    def _on_update(self, update: peer_pb2.ControlUpdate) -> None:
        if not self._state.accept_update(update):
            return
        if self._access.update(update):
            self.fire(report_due(), "*")


def _position(position: object) -> str:
    return f"{position.term}.{position.index}" if position is not None else ""
