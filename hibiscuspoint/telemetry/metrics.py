"""Metrics of one process."""

from __future__ import annotations

from dataclasses import dataclass

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

__all__ = ["LATENCY_BUCKETS", "MetricDescription", "Metrics"]

NAMESPACE = "hibiscuspoint"

#: Bucket bounds in seconds; read_latency_ms of a service level is exact at these values.
LATENCY_BUCKETS = (
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0,
)  # fmt: skip
LAG_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0)


@dataclass(frozen=True)
class MetricDescription:
    """What the reference page states about a metric."""

    name: str
    kind: str
    text: str
    labels: tuple[str, ...]


class Metrics:
    """All metrics of a process, in a registry of its own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        #: Every metric, in the order of the reference page.
        self.descriptions: list[MetricDescription] = []
        self._define_requests()
        self._define_reads()
        self._define_resources()
        self._define_control()

    def _define_requests(self) -> None:
        self.requests = self._counter(
            "requests",
            "Requests of callers by outcome, counted once at the entry that the caller reached. "
            "kind is read, write or transaction; code is empty without an error.",
            "group",
            "kind",
            "verdict",
            "code",
        )
        self.latency = self._histogram(
            "request_seconds",
            "Time from the arrival of a request to its reply, for requests with verdict DONE. "
            "The burn report takes the reads in time from it.",
            LATENCY_BUCKETS,
            "group",
            "kind",
        )
        self.retries = self._counter("retries", "Requests sent again by the proxy.", "group")
        self.ack_wait = self._histogram(
            "ack_wait_seconds",
            "Time from the target's response until a quorum held the position.",
            LATENCY_BUCKETS,
            "group",
        )
        self.queue_length = self._gauge(
            "queue_length", "Requests that wait at this holder.", "group"
        )

        self.statements = self._counter(
            "statements",
            "Statements of sessions that are connections, by kind and failure; failure is empty "
            "without one.",
            "group",
            "kind",
            "failure",
        )
        self.statement_latency = self._histogram(
            "statement_seconds",
            "Time from the arrival of a statement to its answer, without failure.",
            LATENCY_BUCKETS,
            "group",
            "kind",
        )
        self.operations = self._counter(
            "operations",
            "Operations of callers by organisation and outcome, where callers have keys; one is a "
            "statement outside a transaction, or a transaction. outcome is admitted, unauthorized "
            "or over limit. The first 8 organisations at this instance have their "
            "names, the others are other; organisation is empty without a known key.",
            "organisation",
            "outcome",
        )
        self.connection_wait = self._histogram(
            "connection_wait_seconds",
            "Time for which a statement waited for a connection of this instance, by priority of "
            "its class.",
            LATENCY_BUCKETS,
            "priority",
        )
        self.connection_refusals = self._counter(
            "connection_refusals",
            "Statements that were refused a connection, by priority of their class. reason is "
            "expected_wait, late, deadline or holders_full.",
            "priority",
            "reason",
        )
        self.quota_refusals = self._counter(
            "quota_refusals",
            "Operations refused because of the limit of an organisation; at most 8 organisations "
            "by name, the others as other.",
            "organisation",
        )
        self.quota_shares = self._gauge(
            "quota_shares", "Shares of limits of organisations that this instance has."
        )
        self.log_lines_dropped = self._counter(
            "log_lines_dropped", "Log lines that were not written, as their reader was too slow."
        )

    def _define_reads(self) -> None:
        self.reads = self._counter(
            "reads",
            "Answered reads by the member that served them; stated_age is true or false.",
            "group",
            "served_by",
            "stated_age",
        )
        self.freshness = self._counter(
            "read_freshness",
            "Reads with a maximum age, at the entry that the caller reached. met is false when no "
            "data within that age was found before the deadline.",
            "group",
            "met",
        )

        self.read_zones = self._counter(
            "read_zones",
            "Attempts of reads of sessions, by the zone of the target (own or other) and why it "
            "was chosen: cost (fixed ranking), near, balance, no_target, fallback, trial.",
            "relation",
            "reason",
        )
        self.targets_avoided = self._gauge(
            "targets_avoided",
            "Targets that reads of this instance avoid, as they fail or are slow.",
        )

    def _define_resources(self) -> None:
        self.open_connections = self._gauge(
            "open_connections", "Open connections of this instance.", "target"
        )
        self.connection_share = self._gauge(
            "connection_share", "Connections granted to this instance.", "target"
        )
        self.connections_opened = self._counter(
            "connections_opened",
            "Connections that this instance opened to targets, for sessions that are connections.",
            "group",
        )
        self.connections_replaced = self._counter(
            "connections_replaced",
            "Connections that this instance closed for a statement of another organisation.",
            "group",
        )
        self.connections_refused = self._counter(
            "connections_refused",
            "Connections that targets refused to this instance because they had no room.",
            "group",
        )
        self.connections_ended = self._counter(
            "connections_ended",
            "Connections that were closed between two uses. reason is repetition, rollback (an "
            "earlier answer may still come) or age (too many answers).",
            "reason",
        )
        self.answers_rejected = self._counter(
            "answers_rejected",
            "Answers of targets that were not taken for that of the statement in progress. reason "
            "is repeated (an earlier answer came again) or unclear (the connection was reset).",
            "reason",
        )
        self.open_transactions = self._gauge(
            "open_transactions",
            "Open interactive transactions, at the entry that the caller reached.",
            "group",
        )
        self.loop_lag = self._histogram(
            "event_loop_lag_seconds", "Delay of a timer of the event loop.", LAG_BUCKETS
        )

    def _define_control(self) -> None:
        self.lease_expiries = self._counter(
            "lease_expiries", "Route leases that ended without renewal.", "group"
        )
        self.document_number = self._gauge("document_number", "Number of the document in force.")
        self.leader = self._gauge("leader", "1 when this instance leads control, otherwise 0.")
        self.control_bytes_sent = self._counter(
            "control_sent_bytes", "Bytes of control messages sent."
        )
        self.control_bytes_received = self._counter(
            "control_received_bytes", "Bytes of control messages received."
        )

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        self._describe(f"{name}_total", "counter", text, labels)
        return Counter(name, text, labels, namespace=NAMESPACE, registry=self.registry)

    def _gauge(self, name: str, text: str, *labels: str) -> Gauge:
        self._describe(name, "gauge", text, labels)
        return Gauge(name, text, labels, namespace=NAMESPACE, registry=self.registry)

    def _histogram(
        self, name: str, text: str, buckets: tuple[float, ...], *labels: str
    ) -> Histogram:
        self._describe(name, "histogram", text, labels)
        return Histogram(
            name, text, labels, namespace=NAMESPACE, registry=self.registry, buckets=buckets
        )

    def _describe(self, name: str, kind: str, text: str, labels: tuple[str, ...]) -> None:
        self.descriptions.append(MetricDescription(f"{NAMESPACE}_{name}", kind, text, labels))
