"""Tests of routes, the document fence and the contact monitor."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hibiscuspoint.core.entry import ContactMonitor, DocumentFence, RouteTable
from hibiscuspoint.ids import Term
from tests.builders_entry import GROUP, grant


class LeasedRoutes(RuleBasedStateMachine):
    """Control and an entry with a slow clock; no two terms may be in use at once.

    Guards against a replaced primary that is still used (guarantee G2). Renewals and grants are
    delayed, repeated and reordered; control opens a term only after the lease of the earlier one
    has ended on its own clock or was handed back.
    """

    def __init__(self):
        super().__init__()
        self.table = RouteTable()
        self.real, self.lease_ends = 0.0, 0.0
        self.term, self.seen_term = 1, 0
        self.reports, self.grants = [], []

    @property
    def now(self):
        return self.real * 0.985

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.4, 0.9]))
    def time_passes(self, seconds):
        self.real += seconds

    @rule(release=st.booleans())
    def report(self, release):
        released = self.table.release_lease(GROUP, self.now) if release else None
        self.reports.append((self.now, released))

    @precondition(lambda self: self.reports)
    @rule()
    def control_answers_report(self):
        """Reports travel on one stream, so they arrive in order."""
        asked_at, released = self.reports.pop(0)
        if released == self.term:
            self.lease_ends = self.real
            return
        self.lease_ends = max(self.lease_ends, self.real + 1.0 * 1.02)
        self.grants.append(grant(self.term, asked_at))

    @rule()
    def control_opens_term(self):
        if self.real >= self.lease_ends:
            self.term += 1

    @precondition(lambda self: self.grants)
    @rule(data=st.data())
    def grant_arrives(self, data):
        self.table.apply(data.draw(st.sampled_from(self.grants)))

    @invariant()
    def used_term_is_leased(self):
        route = self.table.leased_route(GROUP, self.now)
        if route is not None:
            assert route.term == self.term
            assert self.real < self.lease_ends
            assert self.table.is_current(GROUP, route.term, self.now)

    @invariant()
    def term_never_goes_back(self):
        assert self.table.term(GROUP) >= self.seen_term
        self.seen_term = self.table.term(GROUP)


TestLeasedRoutes = LeasedRoutes.TestCase


def test_lease_counts_from_the_request_with_a_margin():
    """A lease that counts from the arrival would outlive the one that control counts."""
    table = RouteTable()
    table.apply(grant(1, requested_at=10.0))
    assert table.leased_route(GROUP, 10.979).lease_ends_at == 10.0 + 0.98
    assert table.leased_route(GROUP, 10.981) is None
    assert not table.is_current(GROUP, Term(1), 10.981)
    assert [route.group for route in table.pop_expired_routes(10.981)] == [GROUP]
    assert table.pop_expired_routes(11.0) == []


def test_grant_without_lease_ends_the_use_of_the_primary():
    """Control withdraws a lease with a duration of 0; an older grant must not restore it."""
    table = RouteTable()
    table.apply(grant(1, requested_at=10.0))
    table.apply(grant(1, requested_at=10.2, lease_seconds=0))
    assert not table.apply(grant(1, requested_at=10.1))
    assert not table.apply(grant(0, requested_at=10.3))
    assert table.leased_route(GROUP, 10.3) is None
    assert table.route(GROUP).term == 1


def test_revoked_term_is_not_used_again():
    """Control starts the next term once the lease is handed back; a late grant must not count."""
    table = RouteTable()
    assert not table.revoke_lease(GROUP, Term(1))
    table.apply(grant(2, requested_at=10.0))
    assert not table.revoke_lease(GROUP, Term(1)), "the lease of a higher term stays"
    assert table.leased_route(GROUP, 10.1).term == 2
    assert table.revoke_lease(GROUP, Term(2))
    table.apply(grant(2, requested_at=10.2))
    assert table.leased_route(GROUP, 10.3) is None
    table.apply(grant(3, requested_at=10.2))
    assert table.leased_route(GROUP, 10.3).term == 3


def test_document_never_reverts():
    """An isolated control instance that returns must not bring an old document back (G9)."""
    fence = DocumentFence()
    steps = [(2, 5), (1, 6), (2, 4), (3, 5), (3, 6), (2, 7)]
    assert [fence.accept(*step) for step in steps] == [True, False, False, True, True, False]
    assert (fence.control_term, fence.number) == (3, 6)


def test_entry_without_contact_is_not_ready():
    """An isolated entry must leave the load balancer instead of serving an old document."""
    monitor = ContactMonitor()
    assert not monitor.has_recent_contact(0.0)
    monitor.record_contact(1.0)
    monitor.record_contact(0.5)
    assert monitor.has_recent_contact(5.9)
    assert not monitor.has_recent_contact(6.0)
