"""Data that the parts of a holder share."""

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
    """What every group of a holder uses."""

    instance: InstanceId
    incarnation: Incarnation
    driver: TargetDriver
    clock: Clock
    routes: RouteTable
    metrics: Metrics


@dataclass(frozen=True)
class GroupRequest:
    """A request at a holder.

    :param mark: highest position of the group that the session wrote or saw.
    :param deadline: monotonic time in seconds.
    :param max_age: seconds for a read that accepts stale data, 0 for one that does not, ``None``
        for a write.
    :param request_id: id of a non-idempotent request, issued at ``issued_at_ms`` (Unix time).
    """

    group: GroupId
    caller: CallerId
    statements: tuple[common_pb2.Statement, ...]
    mark: LogPosition
    deadline: float
    max_age: float | None = None
    request_id: RequestId | None = None
    issued_at_ms: int = 0

    @property
    def is_read(self) -> bool:
        """Tell whether the request only reads."""
        return self.max_age is not None


@dataclass(frozen=True)
class GroupResult:
    """The whole answer to a request.

    :param replayed: the results are the recorded outcome of an earlier request with the same id.
    :param without_rows: the rows of this replay were too large to be recorded.
    """

    results: list[common_pb2.ResultSet] = field(default_factory=list)
    position: LogPosition = ZERO_POSITION
    served_by: TargetId | None = None
    from_replica: bool = False
    replayed: bool = False
    without_rows: bool = False
