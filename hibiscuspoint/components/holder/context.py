"""Requests, results and dependencies that the modules of a holder share."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hibiscuspoint.core.position import ZERO_POSITION, LogPosition

if TYPE_CHECKING:
    from hibiscuspoint.core.entry.routes import RouteTable
    from hibiscuspoint.core.ports import Clock, TargetDriver
    from hibiscuspoint.ids import CallerId, GroupId, Incarnation, InstanceId, RequestId, TargetId
    from hibiscuspoint.telemetry.metrics import Metrics
    from hibiscuspoint.wire import common_pb2

__all__ = ["GroupRequest", "GroupResult", "HolderContext"]


@dataclass(frozen=True)
class HolderContext:
    """Dependencies that all groups of a holder share."""

    instance: InstanceId
    incarnation: Incarnation
    driver: TargetDriver
    clock: Clock
    routes: RouteTable
    metrics: Metrics


@dataclass(frozen=True)
class GroupRequest:
    """A request for the targets of one group.

    :param mark: session mark: highest position of the group that the session wrote or read.
    :param deadline: monotonic time in seconds.
    :param max_age_seconds: greatest accepted staleness of a read, 0 for a linearizable read,
        ``None`` for a write.
    :param request_id: idempotency key of the request, ``None`` for a request without one.
    :param issued_at_ms: Unix time in milliseconds at which the caller issued ``request_id``.
    """

    group: GroupId
    caller: CallerId
    statements: tuple[common_pb2.Statement, ...]
    mark: LogPosition
    deadline: float
    max_age_seconds: float | None = None
    request_id: RequestId | None = None
    issued_at_ms: int = 0

    @property
    def is_read(self) -> bool:
        """Whether the request is a read."""
        return self.max_age_seconds is not None


@dataclass(frozen=True)
class GroupResult:
    """The complete result of a request.

    :param position: log position that a write produced or a read observed.
    :param served_by: target that ran the request.
    :param from_replica: true when a replica served a read.
    :param replayed: true when the results are the recorded outcome of an earlier request with the
        same id.
    :param without_rows: true for a replay whose rows were too large to be recorded.
    """

    results: list[common_pb2.ResultSet] = field(default_factory=list)
    position: LogPosition = ZERO_POSITION
    served_by: TargetId | None = None
    from_replica: bool = False
    replayed: bool = False
    without_rows: bool = False
