"""Decision logic of entries and holders, free of input and output."""

from __future__ import annotations

import lazy_loader

# Instances without a disk use few of these modules, and imports take most of the start time.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "acknowledgement": ["AckTracker"],
        "admission": ["AdmissionQueue", "QueuedRequest"],
        "drain": ["DrainPhase", "DrainState"],
        "freshness": ["TipSamples"],
        "idempotency": ["IdempotencyPolicy"],
        "outcome": ["MAX_OUTCOME_BYTES", "Outcome", "WITHOUT_ROWS_NOTE"],
        "pool": [
            "AssignConnection",
            "CloseConnection",
            "ConnectionId",
            "ConnectionPool",
            "ConnectionState",
            "OpenConnection",
            "PoolEffect",
        ],
        "reads": [
            "PrimaryState",
            "Read",
            "ReadPlan",
            "ReadPlanner",
            "RejectRead",
            "ReplicaState",
            "ServeFromPrimary",
            "ServeFromReplica",
            "WaitForReplica",
        ],
        "retry": ["RetryBudget", "RetryDecision"],
        "routes": [
            "ContactMonitor",
            "DocumentFence",
            "Route",
            "RouteGrant",
            "RouteMember",
            "RouteTable",
        ],
        "session": ["MAX_TOKEN_BYTES", "SessionMarks", "TokenCodec"],
        "transaction": [
            "ConnectionDisposition",
            "FailureOutcome",
            "TransactionFailure",
            "TransactionPhase",
            "TransactionState",
        ],
    },
)
