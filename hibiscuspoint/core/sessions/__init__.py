"""Sessions that last as long as a connection of a caller: statements, context and routing."""

from __future__ import annotations

from hibiscuspoint.core.sessions.answers import (
    Answer,
    AnswerHistory,
    AnswerKind,
    EndReason,
    Match,
    Question,
    Settlement,
)
from hibiscuspoint.core.sessions.choice import TargetLoad, rank_targets
from hibiscuspoint.core.sessions.connection_plan import (
    ConnectionPlan,
    OpeningBudget,
    OpeningRules,
    openings_per_second,
    order_holders,
    target_holders,
)
from hibiscuspoint.core.sessions.context import (
    ConnectionContext,
    Preparation,
    PreparedStatement,
    SessionContext,
)
from hibiscuspoint.core.sessions.freshness import PrimaryLog, TipLog
from hibiscuspoint.core.sessions.holders import (
    EntryPlace,
    HolderRanking,
    choose_holders,
    serving_version,
)
from hibiscuspoint.core.sessions.operations import (
    ANONYMOUS,
    Caller,
    OperationGrant,
    OperationRefusal,
    resolve_operation,
)
from hibiscuspoint.core.sessions.resting import RestingConnections, RestTimes
from hibiscuspoint.core.sessions.routing import (
    DatabaseRoute,
    GroupLimits,
    ReadMode,
    RoutingTable,
)
from hibiscuspoint.core.sessions.statements import (
    Failure,
    Reply,
    SessionState,
    Statement,
    StatementError,
    StatementKind,
)
from hibiscuspoint.core.sessions.suspension import SuspensionDetector
from hibiscuspoint.core.sessions.waiting import ConnectionDemand, ConnectionUseAverage

__all__ = [
    "ANONYMOUS",
    "Answer",
    "AnswerHistory",
    "AnswerKind",
    "Caller",
    "ConnectionContext",
    "ConnectionDemand",
    "ConnectionPlan",
    "ConnectionUseAverage",
    "DatabaseRoute",
    "EndReason",
    "EntryPlace",
    "Failure",
    "GroupLimits",
    "HolderRanking",
    "Match",
    "OpeningBudget",
    "OpeningRules",
    "OperationGrant",
    "OperationRefusal",
    "Preparation",
    "PreparedStatement",
    "PrimaryLog",
    "Question",
    "ReadMode",
    "Reply",
    "RestTimes",
    "RestingConnections",
    "RoutingTable",
    "SessionContext",
    "SessionState",
    "Settlement",
    "Statement",
    "StatementError",
    "StatementKind",
    "SuspensionDetector",
    "TargetLoad",
    "TipLog",
    "choose_holders",
    "openings_per_second",
    "order_holders",
    "rank_targets",
    "resolve_operation",
    "serving_version",
    "target_holders",
]
