"""Tests of the confirmation of positions."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hibiscuspoint.core.entry import AckTracker
from hibiscuspoint.core.position import LogPosition, TermHistory
from hibiscuspoint.ids import TargetId, Term
from tests.builders import position, term_history

_MEMBERS = [TargetId(name) for name in "abc"]
_MEMBER = st.sampled_from(_MEMBERS)


class ReplicatedGroup(RuleBasedStateMachine):
    """Three logs with promotions; no confirmed record may be missing at a later primary.

    Guards against acknowledging writes that a promotion removes (guarantee G2). Reports are
    delayed, repeated and reordered.
    """

    def __init__(self):
        super().__init__()
        # The log of a member is the list of the terms of its records; index 1 is the first.
        self.logs = {member: [] for member in _MEMBERS}
        self.accepts = dict.fromkeys(_MEMBERS, 0)
        self.starts, self.reports, self.promised = [], [], set()
        self.tracker = AckTracker(quorum=2)
        self.term = 0
        self.promote(_MEMBERS)

    @rule(order=st.permutations(_MEMBERS))
    def promote(self, order):
        self.term += 1
        self.accepts |= dict.fromkeys(order[:2], self.term)
        self.primary = max(order[:2], key=lambda m: [*self.logs[m][-1:], 0, len(self.logs[m])])
        self.logs[self.primary].append(self.term)
        self.starts.append((Term(self.term), len(self.logs[self.primary])))
        self.tracker.start_term(Term(self.term), TermHistory(self.starts), _MEMBERS)
        records = [position(*record) for record in self._records(self.primary)]
        assert not any(map(self.tracker.is_confirmed, records))

    @rule()
    def write(self):
        self.logs[self.primary].append(self.term)

    @rule(member=_MEMBER, keep=st.integers(0, 5))
    def ship(self, member, keep):
        """A member takes the log of the primary up to some record; divergence is truncated."""
        pairs = zip(self.logs[self.primary], self.logs[member], strict=False)
        common = next((i for i, (a, b) in enumerate(pairs) if a != b), len(self.logs[member]))
        self.accepts[member] = self.term
        self.logs[member] = self.logs[self.primary][: common + keep]

    @rule(member=_MEMBER, data=st.data())
    def report(self, member, data):
        log = self.logs[member]
        received = LogPosition(Term([0, *log][-1]), len(log))
        self.reports.append((member, Term(self.accepts[member]), received))
        self.tracker.observe(*self.reports[-1])
        self.tracker.observe(*data.draw(st.sampled_from(self.reports)))

    @invariant()
    def confirmed_records_survive(self):
        for member in self.logs:
            records = self._records(member)
            self.promised |= {r for r in records if self.tracker.is_confirmed(position(*r))}
        assert self.promised <= self._records(self.primary)

    def _records(self, member):
        return {(term, index) for index, term in enumerate(self.logs[member], start=1)}


TestReplicatedGroup = ReplicatedGroup.TestCase


def _tracker():
    tracker = AckTracker(quorum=2)
    tracker.start_term(Term(1), term_history((1, 1)), _MEMBERS)
    return tracker


def _receive(tracker, index, *, term=1, members=_MEMBERS[:2]):
    for member in members:
        tracker.observe(member, Term(term), position(term, index))


def test_waiters_are_released_once_and_never_by_a_later_term():
    """A forgotten waiter hangs; a later term must not acknowledge for a replaced primary."""
    tracker = _tracker()
    for index in (9, 1, 2):
        tracker.add_waiter(position(1, index), index)
    _receive(tracker, 2)
    assert (tracker.pop_confirmed_waiters(), tracker.pop_confirmed_waiters()) == ([1, 2], [])
    tracker.start_term(Term(2), term_history((1, 1), (2, 5)), _MEMBERS)
    tracker.add_waiter(position(1, 8), "diverged")
    _receive(tracker, 20, term=2)
    assert tracker.pop_confirmed_waiters() == []
    assert tracker.pop_failed_waiters() == [9, "diverged"]
    assert tracker.is_confirmed(position(1, 4))


def test_only_members_count_and_confirmation_never_goes_back():
    """A target that is no member is not sealed by a promotion, so its copy proves nothing."""
    tracker = _tracker()
    _receive(tracker, 5, members=[_MEMBERS[0], TargetId("x")])
    assert not tracker.is_confirmed(position(1, 1))
    _receive(tracker, 7)
    tracker.start_term(Term(1), term_history((1, 1)), _MEMBERS[1:])
    assert tracker.is_confirmed(position(1, 7))
    assert not tracker.is_confirmed(position(1, 8))
