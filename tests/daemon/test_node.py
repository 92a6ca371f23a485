"""Tests of the life cycle of a daemon."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
import tomli_w

from hibiscuspoint.daemon.node import Node
from hibiscuspoint.daemon.status import DaemonStatus
from hibiscuspoint.errors import NotLeaderError
from hibiscuspoint.load.operator_client import Operator
from hibiscuspoint.load.ports import PortAllocator
from hibiscuspoint.load.topology import wait_until
from hibiscuspoint.settings import NodeSettings
from hibiscuspoint.storage import control_disk
from hibiscuspoint.storage.disk_log import DiskLog
from tests.builders import document, node_settings

if TYPE_CHECKING:
    from pathlib import Path

DEADLINE_S = 30.0


class FailingLog(DiskLog):
    """A disk log that fails to sync once ``is_broken`` is set."""

    is_broken = False

    def sync(self) -> None:
        if FailingLog.is_broken:
            raise OSError("disk failed")
        super().sync()


@pytest.fixture
def breaks(monkeypatch):
    """Let the daemon use a failing log and return what breaks it."""
    monkeypatch.setattr(control_disk, "DiskLog", FailingLog)
    return lambda: monkeypatch.setattr(FailingLog, "is_broken", True)


def settings(directory: Path) -> NodeSettings:
    """Return the settings of the only instance of an environment."""
    ports = PortAllocator()
    address = ports.address()
    text = tomli_w.dumps(
        node_settings(
            listen={"address": address, "http": ports.address()},
            control={"members": {"ba-1": address}},
        )
    )
    return NodeSettings.from_text(text, directory=directory)


def events(caplog) -> list[tuple[int, dict]]:
    """Return the numbers and contents of the events so far."""
    return [(r.number, vars(r)) for r in caplog.records if hasattr(r, "number")]


async def until_event(caplog, number: int) -> None:
    """Wait until an event is logged."""

    async def is_logged() -> bool:
        return number in dict(events(caplog))

    await wait_until(is_logged, f"event {number}", DEADLINE_S)


def test_daemon_stops_when_its_control_log_fails(tmp_path, caplog, breaks):
    """An instance that runs on without control is not restarted, and the next loss stops writes."""
    caplog.set_level("INFO")
    plan = settings(tmp_path)

    async def scenario() -> int:
        running = asyncio.create_task(Node.from_settings(plan).run())
        await until_event(caplog, 201)
        breaks()
        operator = Operator(plan.listen.address)
        with pytest.raises(NotLeaderError):
            await operator.submit(document().text)
        await operator.close()
        async with asyncio.timeout(DEADLINE_S):
            return await running

    assert asyncio.run(scenario()) == DaemonStatus.CONTROL_LOG_FAILED == 3
    logged = dict(events(caplog))
    assert logged[222]["event"] == "control-log-failed"
    assert "disk failed" in logged[222]["reason"]
    assert logged[102]["status"] == 3


def test_daemon_stops_when_its_disk_fails_at_the_first_write(tmp_path, caplog, breaks):
    """A log that fails while the daemon starts must not be missed."""
    breaks()

    async def scenario() -> int:
        async with asyncio.timeout(DEADLINE_S):
            return await Node.from_settings(settings(tmp_path)).run()

    assert asyncio.run(scenario()) == DaemonStatus.CONTROL_LOG_FAILED
    assert 222 in dict(events(caplog))
