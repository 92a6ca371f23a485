"""Entries and control leaders that exchange quota messages in simulated time."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from typing import TYPE_CHECKING

from hibiscuspoint.core.organisations import Organisation, RateLimit
from hibiscuspoint.core.quotas import QuotaBounds, QuotaLedger, QuotaMeter
from hibiscuspoint.ids import InstanceId, OrganisationId
from hibiscuspoint.wire import peer_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["ORGANISATION", "QuotaFleet", "quota_limit"]

ORGANISATION = OrganisationId("marble-works")
REPORT_SECONDS = 0.25


def quota_limit(rate: int, burst: int) -> RateLimit:
    """Return a limit."""
    return RateLimit(rate, burst)


class QuotaFleet:
    """One organisation at several entries under one leader after another.

    :param delay: returns the seconds that the next message travels; ``None`` loses the stream.
    """

    def __init__(
        self,
        entries: int,
        limit: RateLimit | None,
        delay: Callable[[], float | None] = lambda: 0.003,
        leader_age: float = 10.0,
    ) -> None:
        self.now = 1000.0
        self.limit = limit
        self._delay = delay
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.meters: list[QuotaMeter] = []
        self.frozen_until = [0.0] * entries
        self.cut_off_until = [0.0] * entries
        self.leader: QuotaLedger | None = None
        self.leader_frozen_until = 0.0
        self.admitted: list[float] = []
        self.refused: list[float] = []
        self.waits: list[float] = []
        self.messages = Counter()
        self._streams = [0] * entries
        self._waiting: list[list[tuple[float, float]]] = [[] for _ in range(entries)]
        for index in range(entries):
            self.meters.append(self._meter(index))
            self.after(index * REPORT_SECONDS / entries, lambda i=index: self._report_forever(i))
        self.elect()
        self.run(leader_age)

    def _meter(self, index: int) -> QuotaMeter:
        return QuotaMeter(QuotaBounds(), lambda: self.after(0.0005, lambda: self._report(index)))

    def after(self, seconds: float, act: Callable[[], None]) -> None:
        """Call ``act`` later."""
        heapq.heappush(self._events, (self.now + seconds, next(self._order), act))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, act = heapq.heappop(self._events)
            act()
        self.now = end

    def elect(self) -> None:
        """Let a new leader take over, to which all entries attach."""
        self.leader = QuotaLedger()
        self.leader.set_limits({ORGANISATION: self.limit}, self.now, is_inherited=True)
        self.leader_frozen_until = 0.0
        for index in range(len(self.meters)):
            self.reattach(index)

    def restart(self, index: int) -> None:
        """Replace the process of an entry."""
        self.meters[index] = self._meter(index)
        self._streams[index] += 1

    def reattach(self, index: int) -> None:
        """Begin a new stream; messages on the former one no longer arrive."""
        self._streams[index] += 1
        self.meters[index].begin_stream()

    def set_limit(self, limit: RateLimit | None) -> None:
        """Change the configuration at the leader and at all entries."""
        self.limit = limit
        self.leader.set_limits({ORGANISATION: limit}, self.now)
        for meter in self.meters:
            meter.update({ORGANISATION: limit}, self.now)

    def offer(self, index: int, patience: float = 0.05) -> None:
        """Let one operation arrive at an entry; it waits for permits as callers do."""
        self._attempt(index, self.now, self.now + patience)

    def offer_evenly(self, rate: float, seconds: float, indexes: list[int]) -> None:
        """Schedule operations that arrive at some entries in turn, from now on."""
        for number in range(round(rate * seconds)):
            index = indexes[number % len(indexes)]
            self.after(number / rate, lambda i=index: self.offer(i))

    def worst_window(self, seconds: float = 5.0, since: float = 0.0) -> int:
        """Return the largest number of operations admitted in any window."""
        times = [moment for moment in self.admitted if moment >= since]
        worst = first = 0
        for last, moment in enumerate(times):
            while times[first] <= moment - seconds:
                first += 1
            worst = max(worst, last - first + 1)
        return worst

    def _attempt(self, index: int, arrived: float, deadline: float) -> None:
        if self.now < self.frozen_until[index]:
            self.after(self.frozen_until[index] - self.now, lambda: self.offer(index))
            return
        organisation, meter = Organisation(ORGANISATION, 0, self.limit), self.meters[index]
        if meter.try_admit(organisation, self.now):
            self.admitted.append(self.now)
            self.waits.append(self.now - arrived)
        elif self.now < deadline and meter.may_wait(organisation):
            operation = (arrived, deadline)
            self._waiting[index].append(operation)
            self.after(deadline - self.now, lambda: self._give_up(index, operation))
        else:
            meter.refuse(organisation, self.now)
            self.refused.append(self.now)

    def _give_up(self, index: int, operation: tuple[float, float]) -> None:
        if operation in self._waiting[index]:
            self._waiting[index].remove(operation)
            self._attempt(index, *operation)

    def _report_forever(self, index: int) -> None:
        self._report(index)
        self.after(REPORT_SECONDS, lambda: self._report_forever(index))

    def _report(self, index: int) -> None:
        if self.now < self.frozen_until[index]:
            return
        report = peer_pb2.EntryReport(sent_at_ns=int(self.now * 1e9))
        self.meters[index].fill_report(report, self.now)
        self.messages["uses"] += len(report.quota_uses)
        self._send(index, lambda: self._take_report(index, report, self.leader))

    def _send(self, index: int, arrive: Callable[[], None]) -> None:
        delay, stream = self._delay(), self._streams[index]
        if self.now < self.cut_off_until[index]:
            return
        if delay is None:
            self.reattach(index)
            return

        def deliver() -> None:
            if self._streams[index] == stream:
                arrive()

        self.after(delay, deliver)

    def _take_report(self, index: int, report: peer_pb2.EntryReport, leader: QuotaLedger) -> None:
        if leader is not self.leader:
            return
        if self.now < self.leader_frozen_until:
            wait = self.leader_frozen_until - self.now
            self.after(wait, lambda: self._take_report(index, report, leader))
            return
        instance = InstanceId(str(index))
        leader.record_report(instance, report, self.now)
        leader.tick(self.now)
        update = peer_pb2.ControlUpdate(echo_sent_at_ns=report.sent_at_ns)
        leader.fill_update(instance, update, self.now)
        self.messages["shares"] += len(update.quota_shares)
        self._send(index, lambda: self._take_update(index, update))

    def _take_update(self, index: int, update: peer_pb2.ControlUpdate) -> None:
        if self.now < self.frozen_until[index]:
            wait = self.frozen_until[index] - self.now
            self._after_thaw(index, wait, update)
            return
        self.meters[index].apply(update, self.now)
        waiting, self._waiting[index] = self._waiting[index], []
        for arrived, deadline in waiting:
            self._attempt(index, arrived, deadline)

    def _after_thaw(self, index: int, wait: float, update: peer_pb2.ControlUpdate) -> None:
        stream = self._streams[index]

        def deliver() -> None:
            if self._streams[index] == stream:
                self._take_update(index, update)

        self.after(wait, deliver)
