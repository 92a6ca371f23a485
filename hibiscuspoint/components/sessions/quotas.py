"""Admission of operations within the limits of organisations, with its messages to control."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hibiscuspoint.core.quotas import QuotaVerdict, make_meter
from hibiscuspoint.core.sessions.routing import table_limits

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.components.entry_state import EntryState
    from hibiscuspoint.core.organisations import Organisation
    from hibiscuspoint.core.ports import Clock
    from hibiscuspoint.core.quotas import QuotaBounds
    from hibiscuspoint.ids import OrganisationId
    from hibiscuspoint.telemetry.metrics import Metrics
    from hibiscuspoint.wire import peer_pb2

__all__ = ["QuotaGate"]

#: Longest time in seconds that an operation waits for permits in mode ``PERMITS``. The answer takes
#: 1 to 7 ms, besides the time until the leader handles the report, which is longer while many
#: entries ask at once.
WAIT_SECONDS = 0.12

#: Organisations with a metric of their own.
NAMED_ORGANISATIONS = 8


class QuotaGate:
    """Limiter of this instance.

    :param ask: sends a report to the leader at once.
    """

    def __init__(
        self,
        state: EntryState,
        bounds: QuotaBounds,
        clock: Clock,
        metrics: Metrics,
        ask: Callable[[], None],
    ) -> None:
        self._state = state
        self._clock = clock
        self._metrics = metrics
        self._meter = make_meter(bounds, ask)
        self._changed = asyncio.Event()
        self._document_number = 0
        self._entries = 1
        self._named: set[OrganisationId] = set()

    async def admit_or_wait(self, organisation: Organisation) -> QuotaVerdict:
        """Count one operation, after waiting for permits if the leader may have some."""
        deadline = self._clock.monotonic() + WAIT_SECONDS
        while not self._meter.try_admit(organisation, now := self._clock.monotonic()):
            if not self._meter.may_wait(organisation):
                return self._refuse(organisation, now)
            if now >= deadline:
                if self._meter.admit_unanswered(organisation, self._entries, now):
                    return QuotaVerdict(is_admitted=True)
                return self._refuse(organisation, now)
            try:
                async with asyncio.timeout(deadline - now):
                    await self._changed.wait()
            except TimeoutError:
                continue
        return QuotaVerdict(is_admitted=True)

    def update(self, update: peer_pb2.ControlUpdate) -> None:
        """Take over the limits in force and the shares in an update that was accepted."""
        now = self._clock.monotonic()
        if self._state.document_number != self._document_number:
            self._document_number = self._state.document_number
            self._meter.update(table_limits(self._state.document), now)
        self._meter.apply(update, now)
        self._entries = max(1, update.serving_entries or self._entries)
        if update.quota_shares:
            self._metrics.quota_shares.set(self._meter.share_count)
        self._changed.set()
        self._changed = asyncio.Event()

    def fill_report(self, report: peer_pb2.EntryReport, now: float) -> None:
        """Add the operations and shares that the leader has to know."""
        self._meter.fill_report(report, now)

    def begin_stream(self) -> None:
        """State all shares in the next report, which is the first of a stream."""
        self._meter.begin_stream()

    def _refuse(self, organisation: Organisation, now: float) -> QuotaVerdict:
        name = organisation.name
        if name not in self._named and len(self._named) < NAMED_ORGANISATIONS:
            self._named.add(name)
        label = name if name in self._named else "other"
        self._metrics.quota_refusals.labels(label).inc()
        return self._meter.refuse(organisation, now)
