"""Tests of the answers of instances that do not lead.

Pattern: all instances lose power, and the seeds are instances without a disk that know nothing.
"""

from __future__ import annotations

import asyncio
from unittest.mock import MagicMock

import pytest

from hibiscuspoint.components import control_service
from hibiscuspoint.components.control_service import ControlService
from hibiscuspoint.components.leader_client import LeaderClient
from hibiscuspoint.components.reporting import EntryIdentity, Reporting
from hibiscuspoint.ids import Incarnation, InstanceId
from hibiscuspoint.wire import peer_pb2

CONTROL = ["10.0.0.1:7440", "10.0.0.2:7440"]
ANSWER_TIMEOUT_SECONDS = 10.0


async def _no_reports():
    """Yield no report."""
    return
    yield


@pytest.fixture
def seed(monkeypatch) -> ControlService:
    """Return the service of an instance without a disk that was just started."""
    monkeypatch.setattr(control_service, "LEADER_WAIT_SECONDS", ANSWER_TIMEOUT_SECONDS / 2)
    return ControlService(None, LeaderClient(None, ["10.0.0.9:7440"], channels=None))


async def _attach(service: ControlService) -> list[str]:
    (update,) = [item async for item in service.Attach(_no_reports(), None)]
    return list(update.control_members)


async def _introduce(service: ControlService) -> list[str]:
    return list((await service.Introduce(peer_pb2.Introduction(), None)).control_members)


@pytest.mark.parametrize("ask", [_attach, _introduce])
def test_seed_answers_once_it_knows_where_control_is(seed, ask):
    """Guards against entries that ask a seed again and again until a control instance called it.

    Found on trouble-1 of a deployment of 11 machines: entries attached 0.3 s after the seeds were
    up, as each side asked every 0.2 s.
    """

    async def scenario():
        asked = asyncio.create_task(ask(seed))
        await asyncio.sleep(0.02)
        assert not asked.done()
        await seed.Introduce(peer_pb2.Introduction(control_members=CONTROL), None)
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS / 4):
            return await asked

    assert asyncio.run(scenario()) == CONTROL


def test_seed_that_learns_nothing_answers_in_time(monkeypatch, seed):
    monkeypatch.setattr(control_service, "LEADER_WAIT_SECONDS", 0.01)
    assert asyncio.run(_introduce(seed)) == []


def test_missed_update_makes_the_leader_send_all_routes():
    """Guards against an entry that never gets the routes of an update that it ignored."""

    class Control:
        def handle_report(self, report):
            return True

        def attach(self, instance, wake):
            pass

    async def scenario():
        stream = control_service._AttachedStream(Control())
        stream._delivered.routes.is_started = True

        async def reports():
            yield peer_pb2.EntryReport(instance="10.0.0.2:7440", routes_missed=True)

        await stream.read(reports())
        return stream._delivered.routes.is_started

    assert asyncio.run(scenario()) is False


def test_process_is_told_of_a_later_incarnation():
    """Guards against an instance without a leader after its clock was set back and it restarted."""

    class Control:
        def handle_report(self, report):
            return True

        def attach(self, instance, wake):
            pass

        detach = attach

        def build_update(self, process, delivered):
            return None

        def later_incarnation(self, process):
            return process.incarnation + 5

        async def wait_for_known_leader(self, timeout):
            pass

    class Leader:
        def introduction(self):
            return peer_pb2.Introduction(leader="10.0.0.1:7440")

    async def reports():
        yield peer_pb2.EntryReport(instance="10.0.0.2:7440", incarnation=7)
        await asyncio.sleep(ANSWER_TIMEOUT_SECONDS)

    async def scenario():
        service = control_service.ControlService(Control(), Leader())
        return [update async for update in service.Attach(reports(), None)]

    (refusal,) = asyncio.run(scenario())
    assert (refusal.later_incarnation, refusal.redirect) == (12, "10.0.0.1:7440")


def test_entry_takes_a_later_incarnation_than_the_known_one():
    """Guards against reports that the leader takes for those of a former process."""
    identity = EntryIdentity(InstanceId("10.0.0.2:7440"), Incarnation(7), "z", "10.0.0.2:7440")
    reporting = Reporting(identity, MagicMock(), MagicMock(), MagicMock(), MagicMock(), MagicMock())
    for known, expected in ((3, 7), (12, 13)):
        reporting.follow_incarnation(known)
        assert reporting._identity.incarnation == expected
