"""Decisions of entries and holders."""

from __future__ import annotations

from hibiscuspoint.core.entry.acknowledgement import (
    AckTracker,
)
from hibiscuspoint.core.entry.admission import (
    AdmissionQueue,
    QueuedRequest,
)
from hibiscuspoint.core.entry.drain import (
    DrainPhase,
    DrainState,
)
from hibiscuspoint.core.entry.freshness import (
    TipSamples,
)
from hibiscuspoint.core.entry.idempotency import (
    IdempotencyPolicy,
)
from hibiscuspoint.core.entry.outcome import (
    MAX_OUTCOME_BYTES,
    WITHOUT_ROWS_NOTE,
    Outcome,
)
from hibiscuspoint.core.entry.pool import (
    AssignConnection,
    CloseConnection,
    ConnectionId,
    ConnectionPool,
    ConnectionState,
    OpenConnection,
    PoolEffect,
)
from hibiscuspoint.core.entry.reads import (
    PrimaryState,
    Read,
    ReadPlan,
    ReadPlanner,
    RejectRead,
    ReplicaState,
    ServeFromPrimary,
    ServeFromReplica,
    WaitForReplica,
)
from hibiscuspoint.core.entry.retry import (
    RetryBudget,
    RetryDecision,
)
from hibiscuspoint.core.entry.routes import (
    ContactMonitor,
    DocumentFence,
    Route,
    RouteGrant,
    RouteMember,
    RouteTable,
)
from hibiscuspoint.core.entry.session import (
    MAX_TOKEN_BYTES,
    SessionMarks,
    TokenCodec,
)
from hibiscuspoint.core.entry.transaction import (
    ConnectionDisposition,
    FailureOutcome,
    TransactionFailure,
    TransactionPhase,
    TransactionState,
)

__all__ = [
    "MAX_OUTCOME_BYTES",
    "MAX_TOKEN_BYTES",
    "WITHOUT_ROWS_NOTE",
    "AckTracker",
    "AdmissionQueue",
    "AssignConnection",
    "CloseConnection",
    "ConnectionDisposition",
    "ConnectionId",
    "ConnectionPool",
    "ConnectionState",
    "ContactMonitor",
    "DocumentFence",
    "DrainPhase",
    "DrainState",
    "FailureOutcome",
    "IdempotencyPolicy",
    "OpenConnection",
    "Outcome",
    "PoolEffect",
    "PrimaryState",
    "QueuedRequest",
    "Read",
    "ReadPlan",
    "ReadPlanner",
    "RejectRead",
    "ReplicaState",
    "RetryBudget",
    "RetryDecision",
    "Route",
    "RouteGrant",
    "RouteMember",
    "RouteTable",
    "ServeFromPrimary",
    "ServeFromReplica",
    "SessionMarks",
    "TipSamples",
    "TokenCodec",
    "TransactionFailure",
    "TransactionPhase",
    "TransactionState",
    "WaitForReplica",
]
