"""Builders of test data for the entry core."""

from __future__ import annotations

from hibiscuspoint.core.entry import QueuedRequest, ReplicaState, RouteGrant
from hibiscuspoint.ids import CallerId, GroupId, TargetId, Term
from hibiscuspoint.wire import common_pb2

__all__ = ["GROUP", "grant", "replica", "request", "result_set", "statement"]

GROUP = GroupId("ledger")


def replica(name: str, applied_index: int, *, term: int = 1, **state: object) -> ReplicaState:
    """Return a usable replica with free slots."""
    values = {"is_usable": True, "in_flight": 0, "max_in_flight": 2, **state}
    return ReplicaState(
        target=TargetId(name), applied_index=applied_index, log_term=Term(term), **values
    )


def grant(term: int, requested_at: float, *, lease_seconds: float = 1.0) -> RouteGrant:
    """Return a grant of the test group."""
    return RouteGrant(GROUP, Term(term), TargetId("a"), (), 2, lease_seconds, requested_at)


def request(caller: str, deadline: float = 1000.0) -> QueuedRequest:
    """Return a queued request without payload."""
    return QueuedRequest(CallerId(caller), deadline, None)


def statement(sql: str, *texts: str) -> common_pb2.Statement:
    """Return a statement with text parameters."""
    return common_pb2.Statement(sql=sql, parameters=[common_pb2.Value(text=t) for t in texts])


def result_set(*texts: str) -> common_pb2.ResultSet:
    """Return a result with one text column."""
    rows = [common_pb2.Row(values=[common_pb2.Value(text=text)]) for text in texts]
    return common_pb2.ResultSet(columns=["c"], rows=rows, row_count=len(rows), digest=7)
