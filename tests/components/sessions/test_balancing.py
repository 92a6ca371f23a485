"""Tests of reads at targets that fail, over sessions and over a holder."""

from __future__ import annotations

import asyncio
import logging
from random import Random

import pytest

from hibiscuspoint.components.sessions import GroupAccess, ReadBalancing
from hibiscuspoint.core.balancing import RankingMode, RoundTripSource
from hibiscuspoint.core.sessions import ConnectionDemand, Failure
from hibiscuspoint.ids import AvailabilityZone
from hibiscuspoint.telemetry import Metrics
from tests.builders_failover import GROUP, REPLICA_A, REPLICA_B
from tests.components.sessions.fakes import refusal
from tests.components.sessions.harness import SessionHarness
from tests.components.sessions.test_borrowing import _borrowers, _primary

ZONE = AvailabilityZone("zone-a")


def _balanced(harness: SessionHarness) -> Metrics:
    """Make an entry rank its reads by measured times."""
    metrics = Metrics()
    reads = ReadBalancing(ZONE, RankingMode.ALWAYS, metrics, Random(1))
    borrowing, holders = harness.access._borrowing, harness.access.holders
    harness.access = GroupAccess(
        harness.state, harness.driver, harness.clock, borrowing=borrowing, reads=reads
    )
    if borrowing is not None:
        harness.access.holders = holders
    harness.route(lease_ms=2500)
    return metrics


def test_lying_target_gets_almost_no_reads_and_no_caller_sees_it(caplog):
    """Failure: a replica that fails every read while its health check is good."""
    caplog.set_level(logging.INFO)

    async def scenario():
        harness = SessionHarness()
        metrics = _balanced(harness)
        failing = harness.targets[REPLICA_A]
        failing.script.extend(refusal(Failure.FAILED) for _ in range(100))
        session = harness.session()
        for _ in range(100):
            (reply,) = await harness.run(session, "READ x")
            assert reply.error is None
            await asyncio.sleep(0.02)
        assert 100 - len(failing.script) <= 5
        events = [r.event for r in caplog.records if r.event.startswith("target-")]
        assert events == ["target-avoided"]
        assert metrics.targets_avoided._value.get() == 1
        assert metrics.read_zones.labels("own", "near")._value.get() >= 90

    asyncio.run(scenario())


@pytest.mark.parametrize("statement", ["READ x", "BEGIN READ"])
def test_entry_hears_of_a_failing_target_from_its_holder(statement):
    """Failure: a lying target whose failures other entries have seen."""

    async def scenario():
        async with _borrowers() as (entry, holder, _):
            _balanced(holder), _balanced(entry)
            # The gRPC server lends from the access that it was given.
            holder_reads = holder.lending_access.reads = holder.access.reads
            now = holder.clock.monotonic()
            for target in (REPLICA_A, REPLICA_A, REPLICA_A):
                holder_reads.record_lent(target, Failure.FAILED, 0.02, now)
            session = entry.session()
            for _ in range(20):
                replies = await entry.run(session, statement, "READ x")
                assert [reply.error for reply in replies] == [None, None]
                if statement == "BEGIN READ":
                    await entry.run(session, "COMMIT")
            assert not holder.targets[REPLICA_A].log
            assert holder.targets[REPLICA_B].log

    asyncio.run(scenario())


def test_holder_reports_its_load_and_the_way_to_it_is_measured():
    """Guards against a balance that knows neither the queue nor the distance."""

    async def scenario():
        async with _borrowers() as (entry, _, _):
            _balanced(entry)
            entry.access._borrowing._reads = entry.access.reads
            demand = ConnectionDemand(entry.clock.monotonic() + 1)
            for _ in range(6):
                connection = await entry.access.borrow(GROUP, _primary(entry), demand)
                connection.give_back()
            assert connection.report.in_use >= 1
            assert connection.report.limit >= 4
            trips = entry.access.reads._balancer.round_trips
            assert 0 < trips._minima[RoundTripSource.HOLDER, ZONE].seconds < 0.2

    asyncio.run(scenario())


def test_accepted_connection_tells_the_distance_of_its_target():
    """Guards against a far zone that an entry with connections of its own does not notice."""

    async def scenario():
        harness = SessionHarness()
        for target in harness.targets.values():
            target.round_trip_seconds = 0.007
        for _ in range(2):
            await harness.run(harness.session(), "READ x", "WRITE x 1")
        minima = harness.access.reads._balancer.round_trips._minima
        # A connection counts once, however often it is used.
        opened = sum(len(target.connections) for target in harness.targets.values())
        assert minima[RoundTripSource.TARGET, ZONE].count == opened

    asyncio.run(scenario())
