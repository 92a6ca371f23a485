"""Tests of tip samples whose watch stream ends before their answer (design D6)."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

from hibiscuspoint.core.entry import freshness, reads
from hibiscuspoint.standin.values import to_statement
from tests.builders_entry import GROUP
from tests.components.holder_harness import group_request, open_holder
from tests.standin.harness import until


class _Driver:
    """Driver that records the addresses whose watch stream was reported as lost."""

    def __init__(self, driver) -> None:
        self._driver = driver
        self.lost: list[str] = []

    def __getattr__(self, name):
        return getattr(self._driver, name)

    def watch(self, address, on_progress, *, on_lost):
        def record():
            self.lost.append(address)
            on_lost()

        return self._driver.watch(address, on_progress, on_lost=record)


def test_read_survives_the_stream_that_its_sample_was_sent_on(tmp_path, monkeypatch):
    """Guards against a read that waits for the timeout of a sample on a lost stream.

    The primary is frozen, so the stream that carries the sample ends without an answer.
    """
    # With these timeouts, only the end of the stream can trigger another sample, and only a replica
    # can serve the read.
    monkeypatch.setattr(freshness, "_SAMPLE_TIMEOUT_SECONDS", 600.0)
    monkeypatch.setattr(reads, "_MAX_REPLICA_WAIT_SECONDS", 600.0)

    async def scenario():
        async with open_holder(tmp_path, "a", "b", driver=_Driver) as (holder, cluster):
            driver = holder.context.driver
            read = replace(
                group_request(to_statement("SELECT 1"), max_age_seconds=0.0),
                deadline=time.monotonic() + 200.0,
            )
            # The first read waits until the streams are connected.
            await holder.execute(read)
            driver.lost.clear()
            await cluster.set_fault("a", freeze=True)
            waiting = asyncio.create_task(holder.execute(read))
            await until(lambda: cluster.servers["a"].address in driver.lost)
            await cluster.set_fault("a", freeze=False)
            return await waiting

    assert asyncio.run(scenario()).from_replica


def test_new_address_of_the_primary_gives_up_the_samples_at_the_old_one(tmp_path):
    """Guards against a read that waits for a sample at an address that is no longer watched."""

    async def scenario():
        async with open_holder(tmp_path, "a", "b") as (holder, _):
            samples = holder.progress.samples
            sent_at = time.monotonic()
            route = holder.context.routes.route(GROUP)
            primary, replica = route.members
            samples.record_request(sent_at)
            moved = replace(replica, address="127.0.0.1:1")
            holder.set_route(replace(route, members=(primary, moved)))
            assert not samples.needs_sample_since(sent_at)
            moved = replace(primary, address="127.0.0.1:1")
            holder.set_route(replace(route, members=(moved, replica)))
            assert samples.needs_sample_since(sent_at)

    asyncio.run(scenario())
