"""Tests of updates that hold only what changed.

Pattern: hundreds of entries are attached to one leader, and almost every update carries no news.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import given
from hypothesis import strategies as st

from hibiscuspoint.components.entry_state import EntryState
from hibiscuspoint.core.control.delivery import DeliveredRoutes
from hibiscuspoint.core.control.entries import EntryInfo
from hibiscuspoint.core.control.leases import LeaseLedger
from hibiscuspoint.core.control.route_state import RouteState
from hibiscuspoint.core.control.state import GroupPhase, TargetRecord
from hibiscuspoint.core.failover.updates import add_routes
from hibiscuspoint.core.position import LogPosition
from hibiscuspoint.ids import EntryProcess, GroupId, Incarnation, InstanceId, Term
from hibiscuspoint.util.units import NANOSECONDS_PER_SECOND
from hibiscuspoint.wire import peer_pb2
from tests.builders_failover import PRIMARY, REPLICA_A, announcement

ENTRY = EntryProcess(InstanceId("10.0.0.2:7440"), Incarnation(1))
LEASE_SECONDS = 2.0
GROUPS = [GroupId("ledger"), GroupId("mill")]
#: An update without news, however many groups there are.
EMPTY_UPDATE_BYTES = 64


@dataclass
class _Record:
    group: GroupId
    term: Term = Term(1)
    phase: GroupPhase = GroupPhase.STARTED
    primary: str = PRIMARY
    term_starts: list[tuple[int, int]] = field(default_factory=lambda: [(1, 0)])
    targets: dict = field(
        default_factory=lambda: {
            name: TargetRecord.from_message(announcement(name)) for name in (PRIMARY, REPLICA_A)
        }
    )


@dataclass
class _Group:
    """Failover of a group, as far as its routes depend on it."""

    record: _Record
    route_state: RouteState = RouteState.GRANTED
    listed: tuple[str, ...] = (PRIMARY, REPLICA_A)
    tip: tuple[LogPosition, float] | None = None
    pauses_transactions: bool = False

    def listed_targets(self, now: float) -> tuple[str, ...]:
        """Return the targets of the route."""
        return self.listed


class _Leader:
    """Builds the updates of one stream."""

    def __init__(self, names: list[GroupId] = GROUPS) -> None:
        self.now = 100.0
        self.groups = {name: _Group(_Record(name)) for name in names}
        self.ledger = LeaseLedger(0.0, LEASE_SECONDS)
        self.delivered = DeliveredRoutes()

    def update(self, delivered: DeliveredRoutes | None = None) -> peer_pb2.ControlUpdate:
        """Return an update that answers a report of now."""
        update = peer_pb2.ControlUpdate(
            control_term=1, echo_sent_at_ns=int(self.now * NANOSECONDS_PER_SECOND)
        )
        chosen = self.delivered if delivered is None else delivered
        report = peer_pb2.EntryReport(
            instance=ENTRY.instance,
            incarnation=ENTRY.incarnation,
            sent_at_ns=update.echo_sent_at_ns,
        )
        entry = EntryInfo.from_message(report, self.now)
        add_routes(update, self.groups, entry, self.ledger, chosen, LEASE_SECONDS, self.now)
        return update


def _take(entry: EntryState, update: peer_pb2.ControlUpdate) -> None:
    if entry.accept_update(update):
        entry.apply_routes(update)
        entry.revoke_routes(update)
        entry.renew_routes(update)


def test_update_without_news_does_not_grow_with_the_groups():
    """Guards against updates that carry all routes four times a second to each entry."""
    leader = _Leader([GroupId(f"group-{number}") for number in range(100)])
    first, second = leader.update(), leader.update()
    assert (len(first.routes), first.all_routes) == (100, True)
    assert (len(second.routes), second.all_routes) == (0, False)
    assert second.ByteSize() < EMPTY_UPDATE_BYTES


def test_only_the_route_that_changed_is_sent():
    leader = _Leader()
    leader.update()
    leader.groups[GROUPS[1]].listed = (PRIMARY,)
    update = leader.update()
    assert [route.group for route in update.routes] == [GROUPS[1]]


def test_renewed_leases_are_recorded_by_the_leader():
    """Guards against a promotion that does not wait for a lease that was renewed by number."""
    leader = _Leader()
    leader.update()
    leader.now += LEASE_SECONDS
    leader.update()
    leader.now += LEASE_SECONDS / 2
    assert leader.ledger.leaseholders(GROUPS[0], leader.now) == {ENTRY}


def test_tip_is_sent_once_for_each_reading():
    leader = _Leader()
    leader.groups[GROUPS[0]].tip = (LogPosition(Term(1), 7), 99.5)
    assert [tip.group for tip in leader.update().tips] == [GROUPS[0]]
    assert not leader.update().tips


def test_renewal_extends_the_leases_of_unchanged_routes():
    leader, entry = _Leader(), EntryState("")
    _take(entry, leader.update())
    leader.now += 1.5
    leader.groups[GROUPS[1]].route_state = RouteState.PAUSED
    leader.ledger.release(GROUPS[1], ENTRY, Term(1))
    _take(entry, leader.update())
    later = leader.now + 1.0
    assert entry.routes.leased_route(GROUPS[0], later) is not None
    assert entry.routes.leased_route(GROUPS[1], later) is None


def test_released_lease_is_not_renewed_by_an_answer_to_an_earlier_report():
    """Guards against work at a primary after the entry has handed its lease back."""
    leader, entry = _Leader(), EntryState("")
    _take(entry, leader.update())
    update = leader.update()
    entry.routes.release_lease(GROUPS[0], leader.now + 0.01)
    _take(entry, update)
    assert entry.routes.leased_route(GROUPS[0], leader.now + 0.02) is None


def test_entry_that_missed_an_update_renews_nothing_until_it_has_all_routes():
    """Guards against a lease of a replaced primary that goes on because a change was ignored."""
    leader, entry = _Leader(), EntryState("")
    _take(entry, leader.update())
    leader.now += 1.0
    leader.groups[GROUPS[0]].route_state = RouteState.REVOKED
    missed = leader.update()
    missed.control_term = 0
    _take(entry, missed)
    assert entry.has_missed_routes
    leader.now += 0.9
    _take(entry, leader.update())
    assert entry.routes.leased_route(GROUPS[0], leader.now + 0.2) is None
    assert entry.routes.leased_route(GROUPS[1], leader.now + 0.2) is None
    leader.delivered = DeliveredRoutes()
    _take(entry, leader.update())
    assert not entry.has_missed_routes
    assert entry.routes.leased_route(GROUPS[0], leader.now + 0.2) is None
    assert entry.routes.leased_route(GROUPS[1], leader.now + 0.2) is not None


CHANGES = st.fixed_dictionaries(
    {
        "group": st.sampled_from(GROUPS),
        "route_state": st.sampled_from(list(RouteState)),
        "phase": st.sampled_from([GroupPhase.STARTED, GroupPhase.STARTED, GroupPhase.SEALING]),
        "listed": st.sampled_from([(PRIMARY,), (PRIMARY, REPLICA_A)]),
        "next_term": st.booleans(),
        "pause": st.sampled_from([0.05, 0.25, 1.0, 2.5]),
        "arrives": st.sampled_from([True, True, True, False]),
        "releases": st.booleans(),
    }
)


@given(st.lists(CHANGES, max_size=30))
def test_changes_have_the_effect_of_all_routes(changes):
    """Guards against an entry that has another route or lease than with full updates."""
    leader = _Leader()
    entry, reference = EntryState(""), EntryState("")
    _take(entry, leader.update())
    _take(reference, leader.update(DeliveredRoutes()))
    for change in changes:
        group = leader.groups[change["group"]]
        group.route_state, group.listed = change["route_state"], change["listed"]
        if change["next_term"]:
            group.record.term = Term(group.record.term + 1)
            group.record.term_starts.append((group.record.term, 0))
        group.record.phase = change["phase"]
        leader.now += change["pause"]
        if change["releases"]:
            for side in (entry, reference):
                side.routes.release_lease(change["group"], leader.now)
            leader.ledger.release(change["group"], ENTRY, group.record.term)
            leader.now += 0.01
        if entry.has_missed_routes:
            leader.delivered = DeliveredRoutes()
        full, partial = leader.update(DeliveredRoutes()), leader.update()
        if not change["arrives"]:
            # The fences ignore the update.
            full.control_term = partial.control_term = 0
        _take(entry, partial)
        _take(reference, full)
        for name in GROUPS:
            mine, other = entry.routes.route(name), reference.routes.route(name)
            assert (mine.term, mine.primary, mine.paused) == (
                other.term,
                other.primary,
                other.paused,
            )
            assert mine.lease_ends_at == other.lease_ends_at
            if mine.lease_ends_at > leader.now:
                assert ENTRY in leader.ledger.leaseholders(name, leader.now)
