"""Tests of the connections to databases, against the stand-in of a database."""

from __future__ import annotations

import asyncio

import pytest

from hibiscuspoint.ids import NO_ORGANISATION, GroupId, OrganisationId, TargetId
from hibiscuspoint.load.ports import PortAllocator
from hibiscuspoint.platform.database import DatabaseDriver
from tests.platform.standin import StandinDatabase, StandinPlatform


@pytest.mark.parametrize(
    ("organisation", "caller"), [("lumen", "lumen"), (NO_ORGANISATION, "hibiscuspoint")]
)
def test_database_is_told_the_name_of_the_organisation(organisation, caller):
    """Guards against a database that runs statements in the name of another organisation."""

    async def scenario():
        platform = StandinPlatform("", "huvo11a", [])
        database = StandinDatabase(
            platform, "i-0", PortAllocator().address(), is_primary=True, service="huvo11a"
        )
        await database.start()
        try:
            connection = await DatabaseDriver().connect(
                GroupId("huvo11a"),
                TargetId("i-0"),
                database.address,
                2.0,
                OrganisationId(organisation),
            )
            await connection.reset(2.0)
            connection.close()
        finally:
            await database.crash()
        return database.runs

    assert asyncio.run(scenario()) == [(caller, "RESET")]
