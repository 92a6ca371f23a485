"""Tests of how an instance shares the connections of a target where organisations are in force.

Pattern: 20 instances in two zones, targets with 14 usable connections in one of them.
"""

from __future__ import annotations

import asyncio

import pytest

from hibiscuspoint.components.sessions import GroupAccess
from hibiscuspoint.core.organisations import OrganisationDirectory
from hibiscuspoint.core.sessions import (
    ConnectionDemand,
    EntryPlace,
    HolderRanking,
    choose_holders,
    target_holders,
)
from hibiscuspoint.drivers.errors import ConnectError
from hibiscuspoint.ids import AvailabilityZone, OrganisationId
from hibiscuspoint.wire import peer_pb2
from tests.builders_failover import GROUP, PRIMARY
from tests.components.sessions.harness import SessionHarness

ZONE = AvailabilityZone("zone-a")
USABLE = 14


class _Harness(SessionHarness):
    organisations = OrganisationDirectory()


class _Borrowing:
    """Takes the connections of this instance, and remembers which holders there were."""

    def __init__(self) -> None:
        self.holders: list[EntryPlace] = []

    async def acquire(self, holders, group, target, demand, own=None, *, target_zone=None):
        """Return a connection of this instance."""
        self.holders = list(holders)
        ranked = HolderRanking(ZONE).rank_for(demand.organisation, group, holders, target, 0.0)
        return await own.acquire(demand) if own.instance in ranked else None


def _serving(count: int, *, version: int = 1, without: str = "") -> peer_pb2.ControlUpdate:
    update = peer_pb2.ControlUpdate(
        control_term=1, document_number=1, serving_entries=count, serving_version=version
    )
    for number in range(count):
        zone = "zone-a" if number % 2 else "zone-b"
        if f"10.0.{number}.1:7440" != without:
            update.serving.add(instance=f"10.0.{number}.1:7440", availability_zone=zone)
    return update


def _holder(harness: SessionHarness) -> tuple[GroupAccess, list[EntryPlace], _Borrowing]:
    """Return what one holder of the targets knows, with all holders of the group."""
    harness.access.update(_serving(20))
    holders = choose_holders(GROUP, harness.access._places, USABLE)
    borrowing = _Borrowing()
    instance = target_holders(holders, ZONE)[0].instance
    access = GroupAccess(harness.state, harness.driver, harness.clock, instance, borrowing)
    access.update(_serving(20))
    return access, holders, borrowing


def _demand(access: GroupAccess, name: str, seconds: float = 1.0) -> ConnectionDemand:
    deadline = access._clock.monotonic() + seconds
    return ConnectionDemand(deadline, organisation=OrganisationId(name))


def test_holder_opens_its_part_and_keeps_most_of_it_while_idle():
    """Load pattern: many small organisations, each with a statement now and then."""

    async def scenario():
        harness = _Harness()
        access, holders, borrowing = _holder(harness)
        (member,) = (m for m in access.route(GROUP).members if m.target == PRIMARY)
        used = []
        for number in range(USABLE // 2):
            used.append(await access.borrow(GROUP, member, _demand(access, f"o{number}")))
        assert borrowing.holders == target_holders(holders, ZONE)
        with pytest.raises(ConnectError):
            await access.borrow(GROUP, member, _demand(access, "other", 0.1))
        for pooled in used:
            pooled.give_back()
        access.tick(harness.clock.monotonic() + 1.0)
        kept = sum(connection.is_open for connection in harness.targets[PRIMARY].connections)
        assert USABLE // 4 < kept < USABLE // 2

    asyncio.run(scenario())


def test_instance_that_holds_no_longer_gives_its_connections_up():
    """Guards against connections that are missing at the holder that takes over."""

    async def scenario():
        harness = _Harness()
        access, _, _ = _holder(harness)
        for number in range(3):
            (await access.acquire(GROUP, PRIMARY, _demand(access, f"o{number}"))).give_back()
        access.update(_serving(20, version=2, without=access._instance))
        access.tick(harness.clock.monotonic() + 1.0)
        assert not any(c.is_open for c in harness.targets[PRIMARY].connections)

    asyncio.run(scenario())
