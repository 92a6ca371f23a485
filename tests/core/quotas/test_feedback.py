"""Limits by feedback, over entries whose reports and updates are delayed."""

from __future__ import annotations

import pytest

from hibiscuspoint.core.organisations import Organisation, RateLimit
from hibiscuspoint.core.quotas import FeedbackLedger, FeedbackMeter, QuotaBounds
from hibiscuspoint.ids import InstanceId, OrganisationId
from hibiscuspoint.wire import peer_pb2

NAME = OrganisationId("marble-works")
STEP_SECONDS = 0.01
REPORT_STEPS = 25
WINDOW_SECONDS = 5.0
BOUNDS = QuotaBounds()


class _Fleet:
    """Entries that report in turn every 250 ms; an update takes as long to arrive."""

    def __init__(self, limit: RateLimit, entries: int) -> None:
        self.organisation = Organisation(NAME, limit=limit)
        self.meters = [FeedbackMeter() for _ in range(entries)]
        self.ledger = FeedbackLedger()
        self.ledger.set_limits({NAME: limit}, 0.0)
        self.has_leader = True
        self.admitted: list[float] = []
        self.refused = 0
        self._step = 0
        self._debt = 0.0
        self._turn = 0
        self._repeats: list[tuple[int, FeedbackMeter, int]] = []
        self._updates: list[tuple[int, FeedbackMeter, peer_pb2.ControlUpdate]] = []

    def run(self, seconds: float, rate: float, entries: int | None = None) -> None:
        """Let callers ask for operations at a rate, at the first entries."""
        used = self.meters[: entries or len(self.meters)]
        for _ in range(round(seconds / STEP_SECONDS)):
            now = self._step * STEP_SECONDS
            self._exchange(now)
            self._debt += rate * STEP_SECONDS
            while self._debt >= 1.0:
                self._debt -= 1.0
                self._turn += 1
                self._ask(used[self._turn * 7 % len(used)], now)
            for due, meter, left in [item for item in self._repeats if item[0] <= self._step]:
                self._repeats.remove((due, meter, left))
                self._ask(meter, now, left)
            self._step += 1

    def most_in_a_window(self) -> int:
        """Return the most operations in any window."""
        times = self.admitted
        return max(sum(at <= t < at + WINDOW_SECONDS for t in times) for at in times)

    def _ask(self, meter: FeedbackMeter, now: float, repeats: int = 2) -> None:
        """Ask for one operation; a refused one is repeated after 50 ms."""
        if meter.try_admit(self.organisation, now):
            self.admitted.append(now)
            return
        meter.refuse(self.organisation, now)
        self.refused += 1
        if repeats:
            self._repeats.append((self._step + 5, meter, repeats - 1))

    def _exchange(self, now: float) -> None:
        for due, meter, update in [item for item in self._updates if item[0] <= self._step]:
            meter.apply(update, now)
            self._updates.remove((due, meter, update))
        if not self.has_leader:
            return
        for number, meter in enumerate(self.meters):
            if (self._step + number) % REPORT_STEPS:
                continue
            report = peer_pb2.EntryReport(sent_at_ns=int(now * 1e9))
            meter.fill_report(report, now)
            self.ledger.record_report(InstanceId(str(number)), report, now)
            update = peer_pb2.ControlUpdate(
                echo_sent_at_ns=report.sent_at_ns, serving_entries=len(self.meters)
            )
            self.ledger.fill_update(InstanceId(str(number)), update, now)
            self._updates.append((self._step + 2, meter, update))


def _allowed(limit: RateLimit) -> float:
    usual = WINDOW_SECONDS * limit.rate_per_s + limit.burst
    return usual * (1 + BOUNDS.excess) + BOUNDS.slack


@pytest.mark.parametrize("rate", [5, 30, 130])
def test_excess_load_stays_within_the_bound(rate):
    """Load pattern: an organisation sends 7.5 times its usual, 4.7 times its limit."""
    limit = RateLimit(rate, rate)
    fleet = _Fleet(limit, 90)
    fleet.run(8, rate / 1.6)
    assert fleet.refused == 0
    fleet.run(8, 4.7 * rate)
    assert fleet.most_in_a_window() <= _allowed(limit)
    assert len([t for t in fleet.admitted if t >= 8]) >= 0.8 * 8 * rate


@pytest.mark.parametrize("entries", [1, 90])
def test_demand_within_the_limit_is_not_refused(entries):
    """Guards against refusals below the limit, at one entry and with few operations at each."""
    fleet = _Fleet(RateLimit(10, 10), 90)
    fleet.run(20, 9.5, entries)
    assert fleet.refused == 0


def test_operations_go_on_without_a_leader():
    """Guards against an outage of usual demand while the control leader is frozen for 3 s."""
    fleet = _Fleet(RateLimit(64, 64), 24)
    fleet.run(10, 40)
    fleet.has_leader = False
    fleet.run(3, 40)
    assert fleet.refused <= 0.05 * 3 * 40


def test_full_rate_after_callers_move():
    """Guards against a limit that stays where callers were, when they move to other entries."""
    fleet = _Fleet(RateLimit(100, 100), 90)
    fleet.run(8, 300, 45)
    fleet.meters.reverse()
    before = len(fleet.admitted)
    fleet.run(3, 300, 45)
    assert len(fleet.admitted) - before >= 0.8 * 3 * 100


def test_lower_limit_binds():
    """Guards against an organisation that keeps its former rate after a change of its limit."""
    fleet = _Fleet(RateLimit(100, 100), 30)
    fleet.run(5, 60)
    lower = RateLimit(10, 10)
    fleet.organisation = Organisation(NAME, limit=lower)
    fleet.ledger.set_limits({NAME: lower}, 5.0)
    fleet.run(1, 60)
    fleet.admitted.clear()
    fleet.run(6, 60)
    assert fleet.most_in_a_window() <= _allowed(lower)


def test_limit_of_zero_admits_nothing():
    """Guards against operations of an organisation that may have none."""
    fleet = _Fleet(RateLimit(0, 0), 2)
    fleet.run(1, 10)
    assert not fleet.admitted


def test_ledger_forgets_old_reports_and_entries_that_left():
    """Guards against memory that grows with the reports of organisations far from their limit."""
    fleet = _Fleet(RateLimit(1_000, 1_000), 10)
    fleet.run(20, 50)
    assert len(fleet.ledger._accounts[NAME].demand) <= 30
    fleet.ledger.tick(1_000.0)
    assert not fleet.ledger._sent


def test_fraction_is_sent_again_after_a_limit_was_removed():
    """Guards against an entry that admits everything, as it dropped a fraction with the limit."""
    limit = RateLimit(10, 10)
    fleet = _Fleet(limit, 10)
    fleet.run(5, 60)
    assert any(meter.share_count for meter in fleet.meters)
    for limits in ({}, {NAME: limit}):
        fleet.ledger.set_limits(limits, 5.0)
        for meter in fleet.meters:
            meter.update(limits, 5.0)
    fleet.run(3, 60)
    assert all(meter.share_count for meter in fleet.meters)
