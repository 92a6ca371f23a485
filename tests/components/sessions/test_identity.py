"""Tests of sessions whose callers belong to organisations."""

from __future__ import annotations

import asyncio
import logging

from hibiscuspoint.core.quotas import QuotaVerdict
from hibiscuspoint.core.sessions import Failure, SessionState
from tests.components.sessions.harness import statement
from tests.components.sessions.identity import IdentityHarness


def test_key_added_works_at_once_and_unknown_key_is_refused():
    """Guards against an unknown key that is served, and a new one that is refused."""

    async def scenario():
        harness = IdentityHarness(lumen=["k1"])
        assert await harness.open("k2") is Failure.UNAUTHORIZED
        assert await harness.open("") is Failure.UNAUTHORIZED
        harness.configure(3, lumen=["k1"], orca=["k2"])
        assert await harness.execute(await harness.open("k2"), "READ a") == [None]
        assert harness.organisations == ["orca"]
        assert harness.count("", "unauthorized") == 2

    asyncio.run(scenario())


def test_key_revoked_between_operations_is_refused_once_and_for_all():
    """Guards against a session that outlives its key, and an older update that returns the key."""

    async def scenario():
        harness = IdentityHarness(lumen=["k1"])
        session = await harness.open("k1")
        assert await harness.execute(session, "READ a") == [None]
        assert not session.is_refused
        harness.configure(3, lumen=[])
        harness.configure(2, lumen=["k1"])
        assert await harness.execute(session, "READ a") == [Failure.UNAUTHORIZED]
        assert session.is_refused
        assert await harness.execute(session, "BEGIN") == [Failure.UNAUTHORIZED]
        assert await harness.open("k1") is Failure.UNAUTHORIZED
        assert harness.organisations == ["lumen"]

    asyncio.run(scenario())


def test_transaction_keeps_its_organisation():
    """Guards against one transaction in two names, and a moved key that stays with the former."""

    async def scenario():
        harness = IdentityHarness(lumen=["k1"])
        session = await harness.open("k1")
        assert await harness.execute(session, "BEGIN") == [None]
        harness.configure(3, orca=["k1"])
        assert session.is_revoked
        assert await harness.execute(session, "WRITE a x", "COMMIT", "READ a") == [None] * 3
        assert not session.is_revoked
        assert harness.organisations == ["lumen", "orca"]
        assert harness.limiter.asked == ["lumen", "orca"]

    asyncio.run(scenario())


def test_limit_refuses_an_operation_before_it_runs():
    """Load pattern: an organisation sends several times its limit; it is told when to retry."""

    async def scenario():
        harness = IdentityHarness(lumen=["k1"])
        session = await harness.open("k1")
        harness.limiter.verdict = QuotaVerdict(False, 0.0421)
        assert await harness.execute(session, "READ a", "BEGIN") == [Failure.OVERLOADED] * 2
        reply = await harness.service.execute(session, statement("WRITE a x"))
        assert "43 ms" in reply.error.text
        assert session.state is SessionState.IDLE
        assert not session.is_refused
        assert harness.organisations == []
        assert harness.count("lumen", "over limit") == 3

    asyncio.run(scenario())


def test_nothing_changes_without_organisations():
    """Guards against a present deployment that limits, counts or closes sessions."""

    async def scenario():
        harness = IdentityHarness()
        revocations: list[int] = []
        harness.service.watch_revocations(lambda: revocations.append(1) or 0)
        session = await harness.open("any name")
        assert await harness.execute(session, "READ a", "BEGIN", "READ a", "COMMIT") == [None] * 4
        assert harness.organisations == ["", ""]
        assert harness.limiter.asked == []
        assert harness.count("", "admitted") is None
        harness.route(lease_ms=2500)
        assert (session.is_revoked, revocations) == (False, [])

    asyncio.run(scenario())


def test_public_route_is_served_in_no_name():
    """Guards against a caller of a public route that is refused or limited."""

    async def scenario():
        harness = IdentityHarness()
        harness.configure(2, is_public=True, lumen=["k1"])
        for key in ("", "unknown", "k1"):
            assert await harness.execute(await harness.open(key), "READ a") == [None]
        assert harness.organisations == ["", "", "lumen"]
        assert harness.limiter.asked == ["lumen"]

    asyncio.run(scenario())


def test_only_a_changed_configuration_looks_at_sessions(caplog):
    """Load pattern: updates arrive several times a second at an entry with thousands of sessions.

    Also guards against one log line per session, and against keys in the log.
    """

    async def scenario():
        harness = IdentityHarness(lumen=["secret-1"])
        looks: list[int] = []
        harness.service.watch_revocations(lambda: looks.append(1) or 5)
        session = await harness.open("secret-1")
        for number in (2, 2, 3, 3, 2):
            harness.configure(number, lumen=["secret-2"])
        assert len(looks) == 1
        await harness.execute(session, "READ a")
        for _ in range(20):
            await harness.open("secret-1")

    caplog.set_level(logging.INFO)
    asyncio.run(scenario())
    events = [getattr(record, "event", "") for record in caplog.records]
    assert events.count("sessions-revoked") == 1
    assert events.count("session-refused") == 1
    assert "secret" not in caplog.text + str([vars(record) for record in caplog.records])


def test_few_organisations_have_names_in_metrics():
    """Guards against one time series per organisation, of which there may be thousands."""

    async def scenario():
        harness = IdentityHarness(**{f"o{number}": [f"k{number}"] for number in range(20)})
        for number in range(20):
            session = await harness.open(f"k{number}")
            await harness.execute(session, "READ a", "READ b")
        names = {
            sample.labels["organisation"]
            for metric in harness.metrics.registry.collect()
            for sample in metric.samples
            if sample.name == "hibiscuspoint_operations_total"
        }
        assert names == {*(f"o{number}" for number in range(8)), "other"}
        assert harness.count("other", "admitted") == 24

    asyncio.run(scenario())
