"""Limits by feedback: entries admit a fraction of the operations that the leader computes.

Nothing is asked before an operation runs, and no message is sent for organisations below their
limit beside the counts in reports. What exceeds the limit until the leader answers is bounded by
the time that a report and an update take.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hibiscuspoint.core.quotas.bounds import QuotaBounds
from hibiscuspoint.core.quotas.changes import LimitChange
from hibiscuspoint.core.quotas.verdict import QuotaVerdict
from hibiscuspoint.ids import OrganisationId
from hibiscuspoint.util.units import NANOSECONDS_PER_SECOND

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from hibiscuspoint.core.organisations import Organisation, RateLimit
    from hibiscuspoint.ids import InstanceId
    from hibiscuspoint.wire import peer_pb2

__all__ = ["FeedbackLedger", "FeedbackMeter"]

#: Thousandths in which fractions are transmitted.
_MILLI = 1000

#: Part of the bucket of an organisation below which entries admit only a fraction, and above which
#: they admit all again. What entries admit until they have the answer of the leader must fit into
#: the rest of the bucket and the permitted excess.
LIMITED_PART = 0.75
OPEN_PART = 0.85

#: Part of the burst that the bucket of the leader holds. The rest is for what entries admit until
#: they have its answer, beside the permitted excess.
BURST_PART = 0.5

#: Factor on the demand when a limit begins to bind: callers repeat refused operations at once,
#: which the demand measured before does not show.
RETRY_FACTOR = 3.0

#: Seconds for which that factor applies, until reports show the repeated operations.
RETRY_SECONDS = 0.75

#: Part of the bucket to which the fraction steers, and the seconds in which it does so.
GOAL_PART = 0.5
STEER_SECONDS = 1.0

#: Period in seconds over which the leader measures demand: two reports of each entry.
DEMAND_SECONDS = 0.5

#: By how much measured demand may exceed a limit that is kept: a part of the rate, and operations
#: in one period of measurement. The bucket bounds what this lets pass.
DEMAND_VARIATION = 0.15
VARYING_OPERATIONS = 2

#: Change of a fraction, as a part of it, from which it is sent again.
SEND_PART = 0.05

#: Part of the bucket with which a new leader starts, as it does not know the last operations.
SUCCESSOR_PART = 0.6

#: Seconds since the last answered report after which an entry bounds operations by what it usually
#: admits, or by its even share if that is more.
STALE_SECONDS = 0.8
STALE_FACTOR = 1.5
STALE_BURST = 2.0

#: Time constant in seconds of what an entry usually admits.
USUAL_SECONDS = 5.0

#: Seconds without a report after which the leader forgets what an entry was sent. Its stream has
#: ended by then, so that its next report is the first of another one.
SILENT_SECONDS = 10.0

#: Longest time in seconds after which a caller is told to retry.
RETRY_MAX_SECONDS = 1.0


@dataclass
class _Gate:
    """Admission of one organisation at one entry.

    :param credit: part of an operation that is saved up; it reaches one before one is admitted.
    """

    fraction: float = 1.0
    credit: float = 0.5
    admitted: int = 0
    refused: int = 0
    usual: float = 0.0
    counted_at: float = -math.inf
    stale_permits: float = STALE_BURST

    def usual_rate(self, now: float) -> float:
        """Return the operations per second that are usually admitted."""
        return self.usual * math.exp(min(0.0, self.counted_at - now) / USUAL_SECONDS)

    def count(self, now: float) -> None:
        """Count an admitted operation."""
        self.usual = self.usual_rate(now) + 1.0 / USUAL_SECONDS
        self.counted_at = now
        self.admitted += 1


class FeedbackMeter:
    """Admits the operations at one entry; see ``QuotaMeter`` for the exact limit."""

    def __init__(
        self, bounds: QuotaBounds | None = None, ask: Callable[[], None] = lambda: None
    ) -> None:
        self._gates: dict[OrganisationId, _Gate] = {}
        self._entries = 1
        self._answered_at = -math.inf
        self._stream = 0

    @property
    def share_count(self) -> int:
        """Return the number of organisations of which only a fraction is admitted."""
        return sum(gate.fraction < 1.0 for gate in self._gates.values())

    def try_admit(self, organisation: Organisation, now: float) -> bool:
        """Count one operation if it is admitted.

        :param now: monotonic time in seconds, on a clock that counts suspended time.
        """
        limit = organisation.limit
        if limit is None:
            return True
        if not limit.rate_per_s:
            return False
        gate = self._gates.setdefault(organisation.name, _Gate())
        if not self._takes(gate, limit, now):
            return False
        gate.count(now)
        return True

    def refuse(self, organisation: Organisation, now: float) -> QuotaVerdict:
        """Count a refused operation and return when to retry."""
        limit = organisation.limit
        if limit is None or not limit.rate_per_s:
            return QuotaVerdict(is_admitted=False, retry_after_seconds=RETRY_MAX_SECONDS)
        gate = self._gates.setdefault(organisation.name, _Gate())
        gate.refused += 1
        seconds = min(RETRY_MAX_SECONDS, self._entries / limit.rate_per_s)
        return QuotaVerdict(is_admitted=False, retry_after_seconds=seconds)

    def may_wait(self, organisation: Organisation) -> bool:
        """Tell whether a refused operation may be admitted soon; the next fraction is not near."""
        return False

    def admit_unanswered(self, organisation: Organisation, entries: int, now: float) -> bool:
        """Admit nothing more: ``try_admit`` knows what to admit without the leader."""
        return False

    def update(self, limits: Mapping[OrganisationId, RateLimit | None], now: float) -> None:
        """Take over the limits of the configuration in force."""
        self._gates = {name: gate for name, gate in self._gates.items() if limits.get(name)}

    def begin_stream(self) -> None:
        """State all fractions in the next report."""
        self._stream = 0

    def fill_report(self, report: peer_pb2.EntryReport, now: float) -> None:
        """Add what was admitted and refused since the last report."""
        if not self._gates:
            return
        is_complete = not self._stream
        if is_complete:
            self._stream = int(now * NANOSECONDS_PER_SECOND) or 1
        report.quota_stream, report.quota_complete = self._stream, is_complete
        for name, gate in self._gates.items():
            if gate.admitted or gate.refused or (is_complete and gate.fraction < 1.0):
                report.quota_uses.add(
                    organisation=name,
                    admitted=gate.admitted,
                    refused=gate.refused,
                    rate_milli=round(gate.fraction * _MILLI),
                )
                gate.admitted = gate.refused = 0

    def apply(self, update: peer_pb2.ControlUpdate, now: float) -> None:
        """Take over the fractions in an update."""
        answered_at = update.echo_sent_at_ns / NANOSECONDS_PER_SECOND
        self._answered_at = max(self._answered_at, answered_at)
        self._entries = max(1, update.serving_entries or self._entries)
        for share in update.quota_shares:
            gate = self._gates.setdefault(OrganisationId(share.organisation), _Gate())
            gate.fraction = share.rate_milli / _MILLI

    def _takes(self, gate: _Gate, limit: RateLimit, now: float) -> bool:
        if gate.fraction < 1.0:
            gate.credit += gate.fraction
            if gate.credit < 1.0:
                return False
            gate.credit -= 1.0
        if now - self._answered_at <= STALE_SECONDS:
            gate.stale_permits = STALE_BURST
            return True
        rate = max(STALE_FACTOR * gate.usual_rate(now), limit.rate_per_s / self._entries)
        elapsed = max(0.0, now - max(gate.counted_at, self._answered_at + STALE_SECONDS))
        gate.stale_permits = min(STALE_BURST, gate.stale_permits + rate * elapsed)
        if gate.stale_permits < 1.0:
            return False
        gate.stale_permits -= 1.0
        return True


@dataclass
class _Account:
    """Operations of one organisation at all entries.

    :param level: operations that are left in the bucket; below 0 after an excess.
    :param demand: times and numbers of the operations in recent reports.
    """

    limit: RateLimit
    capacity: float
    level: float
    refilled_at: float
    fraction: float = 1.0
    limited_at: float = -math.inf
    demand: deque[tuple[float, int]] = field(default_factory=deque)

    def refill(self, now: float) -> None:
        """Add what the rate of the limit allows since the last call."""
        elapsed, self.refilled_at = max(0.0, now - self.refilled_at), now
        self.level = min(self.capacity, self.level + self.limit.rate_per_s * elapsed)

    def record(self, admitted: int, refused: int, now: float) -> None:
        """Take the operations of one report off the bucket."""
        self.refill(now)
        self.level -= admitted
        self.demand.append((now, admitted + refused))
        self._forget_demand(now)

    def rising_rate(self, now: float) -> float:
        """Return the demand of one report of each entry, or of two if that is more.

        The longer period shows a rise only in part.
        """
        period = DEMAND_SECONDS / 2
        latest = sum(count for at, count in self.demand if now - at < period)
        return max(latest / period, self.demand_rate(now))

    def demand_rate(self, now: float) -> float:
        """Return the operations per second that callers ask for."""
        self._forget_demand(now)
        return sum(count for _, count in self.demand) / DEMAND_SECONDS

    def steer(self, now: float) -> bool:
        """Compute the fraction again; return whether it began or ceased to be less than 1."""
        self.refill(now)
        was_limited = self.fraction < 1.0
        demand = self.demand_rate(now)
        is_open = self.level >= (OPEN_PART if was_limited else LIMITED_PART) * self.capacity
        if is_open or (self.level >= 0 and self._is_usual(demand)):
            self.fraction = 1.0
        else:
            self.fraction = self._fraction(now, is_new=not was_limited)
        return was_limited != (self.fraction < 1.0)

    def _forget_demand(self, now: float) -> None:
        """Forget old reports, also of organisations that are never near their limit."""
        while self.demand and now - self.demand[0][0] >= DEMAND_SECONDS:
            self.demand.popleft()

    def _is_usual(self, demand: float) -> bool:
        """Tell whether demand does not exceed the limit by more than operations vary."""
        varying = DEMAND_VARIATION * self.limit.rate_per_s
        return demand <= self.limit.rate_per_s + varying + VARYING_OPERATIONS / DEMAND_SECONDS

    def _fraction(self, now: float, *, is_new: bool) -> float:
        """Return the fraction that brings the bucket to its goal.

        :param is_new: the limit did not bind before.
        """
        if is_new:
            self.limited_at = now
        demand = self.rising_rate(now)
        if now - self.limited_at < RETRY_SECONDS:
            demand *= RETRY_FACTOR
        excess = self.level - GOAL_PART * self.capacity
        allowed = max(0.0, self.limit.rate_per_s + excess / STEER_SECONDS)
        return min(1.0, allowed / demand) if demand > allowed else 1.0


class FeedbackLedger:
    """Counts the operations of all entries at the control leader; soft state of one leadership."""

    def __init__(self, bounds: QuotaBounds | None = None) -> None:
        self._bounds = bounds or QuotaBounds()
        self._accounts: dict[OrganisationId, _Account] = {}
        self._sent: dict[InstanceId, dict[OrganisationId, float]] = {}
        self._reported_at: dict[InstanceId, float] = {}
        self._steered_at = -math.inf
        self._changes: list[LimitChange] = []

    @property
    def share_count(self) -> int:
        """Return the number of organisations of which entries admit only a fraction."""
        return sum(account.fraction < 1.0 for account in self._accounts.values())

    def take_changes(self) -> list[LimitChange]:
        """Return which organisations reached or left their limit since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def set_limits(
        self,
        limits: Mapping[OrganisationId, RateLimit | None],
        now: float,
        *,
        is_inherited: bool = False,
    ) -> None:
        """Take over the limits of the document in force.

        :param is_inherited: entries have admitted operations that this leader does not know.
        """
        accounts = {}
        for name, limit in limits.items():
            if limit is None or not limit.rate_per_s:
                continue
            capacity = self._capacity(limit)
            account = self._accounts.get(name)
            if account is None:
                level = SUCCESSOR_PART * capacity if is_inherited else capacity
                account = _Account(limit, capacity, level, now)
            account.refill(now)
            account.limit, account.capacity = limit, capacity
            account.level = min(account.level, capacity)
            accounts[name] = account
        self._accounts = accounts

    def record_report(self, instance: InstanceId, report: peer_pb2.EntryReport, now: float) -> None:
        """Take over what an entry admitted and refused."""
        self._reported_at[instance] = now
        if report.quota_complete or instance not in self._sent:
            self._sent[instance] = {}
        for use in report.quota_uses:
            name = OrganisationId(use.organisation)
            account = self._accounts.get(name)
            if account is None:
                continue
            account.record(use.admitted, use.refused, now)
            if report.quota_complete:
                self._sent[instance][name] = use.rate_milli / _MILLI

    def fill_update(self, instance: InstanceId, update: peer_pb2.ControlUpdate, now: float) -> None:
        """Add the fractions that differ from those that an entry has."""
        self.tick(now)
        sent = self._sent.get(instance)
        if sent is None:
            return
        for name, account in self._accounts.items():
            known = sent.get(name, 1.0)
            fraction = account.fraction
            is_same = abs(fraction - known) <= SEND_PART * known
            if fraction == known or (is_same and fraction < 1.0):
                continue
            sent[name] = fraction
            update.quota_shares.add(organisation=name, rate_milli=round(fraction * _MILLI))

    def tick(self, now: float) -> None:
        """Compute the fractions, at most once for each millisecond."""
        if now - self._steered_at < 1 / _MILLI:
            return
        self._steered_at = now
        self._forget_silent(now)
        for name, account in self._accounts.items():
            if account.fraction == 1.0 and account.level >= LIMITED_PART * account.capacity:
                continue
            if account.steer(now):
                self._record_change(name, account, now)

    def _forget_silent(self, now: float) -> None:
        """Forget entries that have left; one that reports again states its fractions."""
        for instance, reported_at in list(self._reported_at.items()):
            if now - reported_at >= SILENT_SECONDS:
                del self._reported_at[instance]
                self._sent.pop(instance, None)

    def _capacity(self, limit: RateLimit) -> float:
        # Without a burst the slack takes its place, as operations come one by one.
        return max(BURST_PART * limit.burst, self._bounds.slack / 2)

    def _record_change(self, name: OrganisationId, account: _Account, now: float) -> None:
        self._changes.append(
            LimitChange(
                name,
                account.fraction < 1.0,
                account.limit,
                account.demand_rate(now),
                len(self._sent),
                account.level,
            )
        )
