"""The component that opens sessions and answers their statements."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from circuits import Component, handler

from hibiscuspoint.components.events import report_due
from hibiscuspoint.components.sessions.attempts import Admission
from hibiscuspoint.components.sessions.session import Session
from hibiscuspoint.core.sessions import (
    Caller,
    Failure,
    OperationRefusal,
    SessionState,
    StatementKind,
    resolve_operation,
)
from hibiscuspoint.telemetry import catalogue, log_event
from hibiscuspoint.telemetry.bounds import BoundedLabels, LogPace
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.components.entry_state import EntryState
    from hibiscuspoint.components.sessions.groups import GroupAccess
    from hibiscuspoint.core.entry.drain import DrainState
    from hibiscuspoint.core.ports import Clock
    from hibiscuspoint.core.quotas import OperationLimiter
    from hibiscuspoint.core.sessions import Reply, RoutingTable, Statement
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

#: Organisations that metrics name; there may be thousands.
NAMED_ORGANISATIONS = 8


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
        self._close_revoked: Callable[[], int] | None = None
        self._labels = BoundedLabels(NAMED_ORGANISATIONS)
        self._pace = LogPace()

    @property
    def is_ready(self) -> bool:
        """Tell whether the load balancer should send callers."""
        return self._drain.is_ready and self._state.is_ready(self._clock.monotonic())

    @property
    def transaction_idle_seconds(self) -> float:
        """Return the seconds without a statement after which a transaction is rolled back."""
        table = self._state.document
        return table.transaction_idle_seconds if table else DEFAULT_TRANSACTION_IDLE_SECONDS

    def watch_revocations(self, close_revoked: Callable[[], int]) -> None:
        """Set what is called when a configuration with organisations takes effect.

        :param close_revoked: ends the sessions that are revoked and returns their number.
        """
        self._close_revoked = close_revoked

    async def open(self, database: str, key: str) -> Session | Failure:
        """Return a new session, or why there is none.

        An instance that was just started does not know which databases exist, so it waits for its
        first configuration.

        :param key: key of the organisation of the caller; may be empty.
        """
        deadline = self._clock.monotonic() + CONFIGURATION_WAIT_SECONDS
        # The state has no event for its first document.
        while self._state.document is None and self._clock.monotonic() < deadline:  # noqa: ASYNC110
            await asyncio.sleep(CONFIGURATION_POLL_SECONDS)
        if self._state.document is None:
            self._log_refusal(database, "this instance has no configuration")
            return Failure.OVERLOADED
        caller = Caller.from_key(database, key)
        outcome = resolve_operation(self._state.document, caller)
        if isinstance(outcome, OperationRefusal):
            if outcome.failure is Failure.UNAUTHORIZED:
                self._record_unauthorized(database, "the key is not known" if key else "no key")
            else:
                self._log_refusal(database, "no route has this name")
            return outcome.failure
        return Session(
            caller, self._find_table, self._access, self._zone, self._clock, self._limiter
        )

    def _record_unauthorized(self, database: str, reason: str) -> None:
        """Count a refused key; wrong keys may come often, so they are logged once per second."""
        self._metrics.operations.labels("", Admission.UNAUTHORIZED.value).inc()
        if self._pace.allows(f"database {database}", self._clock.monotonic()):
            self._log_refusal(database, reason)

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
            reply = await session.execute(statement)
            self._count_operation(session)
            return reply
        self._drain.begin_request()
        started = self._clock.monotonic()
        try:
            reply = await session.execute(statement)
        finally:
            self._drain.end_request()
        if self._count_operation(session):
            self._record(session, statement, reply, self._clock.monotonic() - started)
        return reply

    def _count_operation(self, session: Session) -> bool:
        """Count the operation that a statement began, if any; tell whether it was admitted.

        Refused operations may be many times more than the admitted ones, so they are logged once
        per second and organisation.
        """
        table, trace = self._state.document, session.trace
        if trace.admission is None or table is None or table.organisations is None:
            return True
        if trace.admission is Admission.UNAUTHORIZED:
            self._record_unauthorized(session.database, "the key was revoked")
            return False
        label = self._labels.label(trace.organisation) if trace.organisation else ""
        self._metrics.operations.labels(label, trace.admission.value).inc()
        if trace.admission is Admission.ADMITTED:
            return True
        if self._pace.allows(f"organisation {trace.organisation}", self._clock.monotonic()):
            log_event(
                logger,
                catalogue.LIMIT_REACHED,
                caller=trace.organisation,
                limit="operations per second",
            )
        return False

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

    def _find_table(self) -> RoutingTable | None:
        return self._state.document

    def _record(self, session: Session, statement: Statement, reply: Reply, elapsed: float) -> None:
        trace = session.trace
        failure = reply.error.failure if reply.error is not None else None
        log_event(
            logger,
            catalogue.STATEMENT_ANSWERED,
            request=statement.request_id,
            database=session.database,
            organisation=trace.organisation,
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
        table = self._state.document
        if not self._state.accept_update(update):
            return
        if self._state.document is not table:
            self._end_revoked_sessions()
        if self._access.update(update):
            self.fire(report_due(), "*")

    def _end_revoked_sessions(self) -> None:
        table = self._state.document
        if self._close_revoked is None or table.organisations is None:
            return
        count = self._close_revoked()
        if count:
            log_event(logger, catalogue.SESSIONS_REVOKED, configuration=table.number, count=count)


def _position(position: object) -> str:
    return f"{position.term}.{position.index}" if position is not None else ""
