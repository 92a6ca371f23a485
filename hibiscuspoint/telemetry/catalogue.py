"""The catalogue of log events; numbers are grouped by hundreds and never reused."""

from __future__ import annotations

from logging import DEBUG, ERROR, INFO, WARNING

from hibiscuspoint.telemetry.events import define_event

# 100: process
DAEMON_STARTED = define_event(
    101, "daemon-started", INFO, "The daemon started.", "version", "address", "roles"
)
DAEMON_STOPPED = define_event(
    102, "daemon-stopped", INFO, "The daemon stopped with status {status}.", "status"
)
SETTINGS_REFUSED = define_event(
    103, "settings-refused", ERROR, "The settings are not valid: {reason}", "reason"
)
PLAIN_TEXT_IN_USE = define_event(
    104, "plain-text-in-use", WARNING, "Connections are not encrypted on {address}.", "address"
)
CERTIFICATE_RELOADED = define_event(
    105, "certificate-reloaded", INFO, "The certificate files were read again.", "files"
)
CERTIFICATE_REFUSED = define_event(
    106,
    "certificate-refused",
    ERROR,
    "The changed certificate files are not valid; the previous ones stay in use: {reason}",
    "files",
    "reason",
)
READINESS_CHANGED = define_event(
    107, "readiness-changed", INFO, "Readiness is now {ready}: {reason}", "ready", "reason"
)
PEER_REFUSED = define_event(
    108,
    "peer-refused",
    WARNING,
    "The certificate of {peer} may not call {method}.",
    "peer",
    "names",
    "method",
)
IDENTITY_REFUSED = define_event(
    109,
    "identity-refused",
    WARNING,
    "{peer} may not act as instance {claimed}.",
    "peer",
    "names",
    "claimed",
    "method",
)
DRAIN_STARTED = define_event(
    110, "drain-started", INFO, "{subject} started to drain.", "subject", "open_requests"
)
DRAIN_FINISHED = define_event(
    111, "drain-finished", INFO, "{subject} finished draining.", "subject", "interrupted"
)
TARGETS_IN_PLAIN_TEXT = define_event(
    112, "targets-in-plain-text", WARNING, "Connections to targets are not encrypted."
)

SETTINGS_RELOADED = define_event(
    113, "settings-reloaded", INFO, "Changed settings were read: {changed}", "changed", "seeds"
)

COMPONENT_FAILED = define_event(
    120, "component-failed", ERROR, "A handler of an event failed: {reason}", "reason"
)

# 200: control group and documents
LEADERSHIP_GAINED = define_event(
    201, "leadership-gained", INFO, "This instance leads control term {term}.", "term"
)
LEADERSHIP_LOST = define_event(
    202,
    "leadership-lost",
    WARNING,
    "This instance no longer leads control term {term}: {reason}",
    "term",
    "reason",
)
DOCUMENT_ACCEPTED = define_event(
    210, "document-accepted", INFO, "Document {document} was accepted.", "document", "digest"
)
DOCUMENT_IN_FORCE = define_event(
    211, "document-in-force", INFO, "Document {document} is in force.", "document", "digest"
)
DOCUMENT_REFUSED = define_event(
    212,
    "document-refused",
    WARNING,
    "Document {document} was refused with {code}.",
    "document",
    "digest",
    "code",
)
DOCUMENT_UNREADABLE = define_event(
    213,
    "document-unreadable",
    WARNING,
    "The text of document {document} cannot be unpacked: {reason}",
    "document",
    "digest",
    "base",
    "reason",
)
DISK_LOST = define_event(
    220, "disk-lost", ERROR, "The control log on disk {disk} is lost: {reason}", "disk", "reason"
)
DISK_TAIL_TRUNCATED = define_event(
    221,
    "disk-tail-truncated",
    WARNING,
    "A torn record at the end of the control log was removed.",
    "disk",
    "bytes_removed",
)
CONTROL_LOG_FAILED = define_event(
    222,
    "control-log-failed",
    ERROR,
    "The control log stopped and the daemon stops for a restart: {reason}",
    "reason",
)
REPAIR_STARTED = define_event(
    230, "repair-started", INFO, "Repair of {subject} started.", "subject"
)
# Numbers 231 to 233 belonged to events that were never written.
REPAIR_PROGRESS = define_event(
    235, "repair-progress", INFO, "Repair of {subject}: {phase}.", "subject", "phase", "index"
)
REPAIR_FINISHED = define_event(
    234, "repair-finished", INFO, "Repair of {subject} finished.", "subject"
)

VOTER_CHANGE_STARTED = define_event(
    240,
    "voter-change-started",
    INFO,
    "{subject} becomes a voter of the control group.",
    "subject",
    "replaced",
)
VOTER_CHANGE_FINISHED = define_event(
    241, "voter-change-finished", INFO, "{subject} is a voter of the control group.", "subject"
)
CONFIGURATION_REFUSED = define_event(
    242,
    "configuration-refused",
    WARNING,
    "A submitted configuration was refused: {reason}",
    "reason",
)

CONTROL_ATTACHED = define_event(
    250,
    "control-attached",
    INFO,
    "This instance is attached to the control leader {leader}.",
    "leader",
    "term",
)
CONTROL_DETACHED = define_event(
    251,
    "control-detached",
    WARNING,
    "The stream to control at {address} ended: {reason}",
    "address",
    "reason",
)
INCARNATION_RAISED = define_event(
    252,
    "incarnation-raised",
    WARNING,
    "Control knows a later start of this instance ({known}): the clock was set back, or another "
    "process uses its address.",
    "known",
    "incarnation",
)

# 300: groups and promotion
GROUP_FORMED = define_event(301, "group-formed", INFO, "Group {group} formed.", "group", "members")
PRIMARY_SUSPECTED = define_event(
    310,
    "primary-suspected",
    WARNING,
    "Primary {target} of group {group} is suspected: {reason}",
    "group",
    "target",
    "term",
    "reason",
)
TERM_OPENED = define_event(
    311, "term-opened", INFO, "Term {term} of group {group} was opened.", "group", "term"
)
MEMBER_SEALED = define_event(
    312,
    "member-sealed",
    INFO,
    "{target} of group {group} is sealed at term {term}.",
    "group",
    "target",
    "term",
    "position",
)
PRIMARY_CHOSEN = define_event(
    313,
    "primary-chosen",
    INFO,
    "{target} was chosen as primary of group {group} in term {term}.",
    "group",
    "target",
    "term",
)
PRIMARY_PROMOTED = define_event(
    314,
    "primary-promoted",
    INFO,
    "{target} is primary of group {group} in term {term}.",
    "group",
    "target",
    "term",
)
ROUTES_GRANTED = define_event(
    315,
    "routes-granted",
    INFO,
    "Routes of group {group} are granted in term {term}.",
    "group",
    "target",
    "term",
    "elapsed_ms",
)
SWITCHOVER_STARTED = define_event(
    316,
    "switchover-started",
    INFO,
    "A switchover of group {group} to {target} started.",
    "group",
    "target",
    "term",
)

OVERLOAD_SWITCHOVER = define_event(
    324,
    "overload-switchover",
    INFO,
    "{target} hands group {group} over: it is overloaded, and all replicas apply the log late.",
    "group",
    "target",
    "term",
)
TERM_STARTED = define_event(
    317,
    "term-started",
    INFO,
    "{target} serves group {group} in term {term}.",
    "group",
    "target",
    "term",
)
PROMOTION_REQUESTED = define_event(
    318,
    "promotion-requested",
    INFO,
    "The platform answered the promotion of {target} of group {group}: {outcome}.",
    "group",
    "target",
    "fence",
    "outcome",
)
TARGET_REGISTERED = define_event(
    319,
    "target-registered",
    INFO,
    "{target} of group {group} announced itself.",
    "group",
    "target",
    "address",
    "incarnation",
    "leaving",
)
TARGET_REMOVED = define_event(
    320, "target-removed", INFO, "{target} of group {group} was removed.", "group", "target"
)
TARGET_LOST = define_event(
    321, "target-lost", WARNING, "{target} does not answer control: {reason}", "target", "reason"
)
TARGET_REGAINED = define_event(
    322, "target-regained", INFO, "{target} answers control again.", "target"
)
PROMOTION_WAITING = define_event(
    330,
    "promotion-waiting",
    WARNING,
    "Group {group} has no primary: control waits for replicas {missing} and entries {entries}.",
    "group",
    "term",
    "missing",
    "entries",
)
PRIMARY_PROVEN = define_event(
    331,
    "primary-proven",
    INFO,
    "{target} of group {group} holds all acknowledged commits: {proof}.",
    "group",
    "target",
    "term",
    "proof",
    "position",
    "seconds",
    "missing",
    "entries",
)
TARGET_IGNORED = define_event(
    329,
    "target-ignored",
    WARNING,
    "An announcement of {target} is ignored: {reason}",
    "target",
    "reason",
)
REPLICA_RESUMED = define_event(
    323, "replica-resumed", INFO, "{target} of group {group} receives again.", "group", "target"
)
STEP_DOWN_ORDERED = define_event(
    325,
    "step-down-ordered",
    INFO,
    "{target} of group {group} was ordered to step down for term {term}: {outcome}.",
    "group",
    "target",
    "term",
    "outcome",
)

# 400: leases, holders, shares, connections
LEASE_EXPIRED = define_event(
    401, "lease-expired", WARNING, "The route lease of group {group} ended.", "group", "term"
)
HOLDER_CHANGED = define_event(
    402, "holder-changed", INFO, "The holders of group {group} changed.", "group", "holders"
)
SHARE_GRANTED = define_event(
    403,
    "share-granted",
    DEBUG,
    "{subject} was granted {connections} connections to {target}.",
    "subject",
    "target",
    "connections",
)
SHARE_TERMINATED = define_event(
    404,
    "share-terminated",
    WARNING,
    "The connections of {subject} at {target} were terminated.",
    "subject",
    "target",
    "connections",
)
ROUTE_CHANGED = define_event(
    405,
    "route-changed",
    INFO,
    "Group {group} is served by {target} in term {term}.",
    "group",
    "target",
    "term",
    "members",
)
LEASE_RETURNED = define_event(
    406,
    "lease-returned",
    INFO,
    "The route lease of group {group} of term {term} was handed back.",
    "group",
    "term",
)
CONNECTION_OPENED = define_event(
    410, "connection-opened", DEBUG, "A connection to {target} was opened.", "target"
)
CONNECTION_LOST = define_event(
    411,
    "connection-lost",
    WARNING,
    "A connection to {target} was lost: {reason}",
    "target",
    "reason",
)
CONNECTION_SILENT = define_event(
    412,
    "connection-silent",
    WARNING,
    "A connection to {target} did not answer a ping and was closed.",
    "target",
)
CONNECTION_FAILED = define_event(
    413,
    "connection-failed",
    WARNING,
    "Connections to {target} cannot be opened: {reason}",
    "target",
    "reason",
)

HOLDER_UNREACHABLE = define_event(
    414,
    "holder-unreachable",
    WARNING,
    "{subject}, which holds connections of {group}, cannot be reached: {reason}",
    "subject",
    "group",
    "reason",
)
HOLDERS_CHANGED = define_event(
    415,
    "holders-changed",
    INFO,
    "Connections of {group} are held by {subject}.",
    "group",
    "subject",
)
CONNECTION_RESTORED = define_event(
    416,
    "connection-restored",
    INFO,
    "Connections to {target} can be opened again.",
    "target",
)
ANSWER_REPEATED = define_event(
    417,
    "answer-repeated",
    WARNING,
    "{target} answered a statement twice; {count} times since the last report.",
    "target",
    "in_progress",
    "count",
)
ANSWER_UNCLEAR = define_event(
    418,
    "answer-unclear",
    INFO,
    "{count} connections to {target} were reset, as it was not clear which statement an answer "
    "belongs to.",
    "target",
    "in_progress",
    "count",
)
CONNECTIONS_ENDED = define_event(
    419,
    "connections-ended",
    INFO,
    "{count} connections to {target} were closed between two uses: {reason}.",
    "target",
    "reason",
    "count",
)
CONNECTIONS_REFUSED = define_event(
    420,
    "connections-refused",
    INFO,
    "{target} refused {refused} connections as full and accepted {opened} since the last report.",
    "target",
    "refused",
    "opened",
)

GROUP_FULL = define_event(
    430,
    "group-full",
    INFO,
    "Statements of priority {priority} for {group} are refused: {reason}",
    "group",
    "priority",
    "reason",
)
GROUP_HAS_CAPACITY = define_event(
    431,
    "group-has-capacity",
    INFO,
    "No statement for {group} was refused for a second, after {refused} refusals.",
    "group",
    "refused",
)
TARGET_AVOIDED = define_event(
    432,
    "target-avoided",
    WARNING,
    "Reads avoid {target}: {reason}",
    "target",
    "reason",
)
TARGET_USED = define_event(
    433, "target-used-again", INFO, "Reads use {target} again: {reason}", "target", "reason"
)
ZONE_FRACTION_CHANGED = define_event(
    434,
    "zone-fraction-changed",
    INFO,
    "{fraction} of the reads of {group} leave the zone {subject}, as it is slower than another.",
    "group",
    "subject",
    "fraction",
)

# 500: requests
REQUEST_REFUSED = define_event(
    501,
    "request-refused",
    INFO,
    "A request was refused with {code} and verdict {verdict}.",
    "group",
    "code",
    "verdict",
)
TOKEN_REFUSED = define_event(
    502, "token-refused", WARNING, "A session token was refused: {reason}", "reason"
)
STATEMENT_ANSWERED = define_event(
    510,
    "statement-answered",
    INFO,
    "Statement {request} of {database}: {outcome}.",
    "request",
    "database",
    "organisation",
    "kind",
    "group",
    "target",
    "term",
    "holder",
    "required",
    "position",
    "configuration",
    "attempts",
    "elapsed_ms",
    "outcome",
    "reason",
)
SESSION_REFUSED = define_event(
    511,
    "session-refused",
    INFO,
    "A session of {database} was refused: {reason}",
    "database",
    "reason",
    "configuration",
)
TRANSACTION_ENDED = define_event(
    512,
    "transaction-ended",
    INFO,
    "A transaction of {database} was rolled back: {reason}",
    "database",
    "target",
    "reason",
)
SESSIONS_REVOKED = define_event(
    513,
    "sessions-revoked",
    INFO,
    "Configuration {configuration} ends {count} sessions whose key or database it excludes.",
    "configuration",
    "count",
)
ORGANISATION_LIMITED = define_event(
    520,
    "organisation-limited",
    WARNING,
    "Operations of {organisation} are refused: it reached its limit.",
    "organisation",
    "rate_per_s",
    "burst",
    "demand",
    "entries",
    "permits",
)
ORGANISATION_BELOW_LIMIT = define_event(
    521,
    "organisation-below-limit",
    INFO,
    "{organisation} is below its limit again.",
    "organisation",
    "rate_per_s",
    "burst",
    "demand",
    "entries",
    "permits",
)
LIMIT_REACHED = define_event(
    503, "limit-reached", WARNING, "A caller reached the limit {limit}.", "caller", "limit"
)
