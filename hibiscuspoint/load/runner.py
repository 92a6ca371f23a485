"""Generation of load with many sessions."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections import defaultdict
from typing import TYPE_CHECKING

from hibiscuspoint.ids import CallerId, RequestId
from hibiscuspoint.load.caller import Caller
from hibiscuspoint.load.history import Outcome, Recorder
from hibiscuspoint.load.latency import Latencies
from hibiscuspoint.load.tables import Tables
from hibiscuspoint.load.workload import NamedSession, Workload

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hibiscuspoint.ids import GroupId
    from hibiscuspoint.load.experiment import LoadModel
    from hibiscuspoint.load.history import History, Operation

__all__ = ["LoadRunner"]

#: Pause of a session after a failed operation in seconds, so that a closed loop does not spin on
#: rejections.
FAILURE_PAUSE_S = 0.02


class LoadRunner:
    """Sessions that run a mix of operations on several groups.

    :param addresses: ``ip:port`` of the entries.
    :param run: name of the run; part of the table names.
    """

    def __init__(
        self, load: LoadModel, addresses: Sequence[str], groups: Sequence[GroupId], run: str
    ) -> None:
        self._load = load
        self._caller = Caller(addresses, CallerId(f"load-{run}"))
        self._recorder = Recorder()
        tables = Tables(run)
        self._workloads = [
            Workload(self._recorder, group, tables, load.timeout_s) for group in groups
        ]
        self._request_numbers = itertools.count(1)
        self._run = run
        self._latencies: dict[str, Latencies] = defaultdict(Latencies)
        self._is_stopping = False

    @property
    def latencies(self) -> dict[str, Latencies]:
        """Return the latencies of successful operations by class of operation."""
        return self._latencies

    @property
    def recorder(self) -> Recorder:
        """Return the recorder of all operations."""
        return self._recorder

    async def prepare(self) -> None:
        """Create the tables in all groups."""
        session = self._caller.session()
        for workload in self._workloads:
            await workload.prepare(session)

    async def run(self) -> None:
        """Run all sessions for the duration of the load."""
        end = time.monotonic() + self._load.duration_s
        async with asyncio.TaskGroup() as group:
            for number in range(self._load.sessions):
                group.create_task(self._run_session(number, end))

    def stop(self) -> None:
        """Let each session end after its operation in progress."""
        self._is_stopping = True

    async def history(self) -> History:
        """Return the history with the final contents of all groups."""
        history = self._recorder.history()
        for workload in self._workloads:
            history.readouts.append(await workload.readout(self._caller.session()))
        return history

    async def close(self) -> None:
        """Close all connections."""
        await self._caller.close()

    async def _run_session(self, number: int, end: float) -> None:
        actor = NamedSession(f"s{number}", self._caller.session(self._load.roaming))
        source = random.Random(f"{self._load.seed}/{number}")
        interval = self._load.sessions / self._load.rate if self._load.rate else 0.0
        due = time.monotonic() + interval * source.random()
        while not self._is_stopping and max(due, time.monotonic()) < end:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            # With a stated rate, latency counts from the time at which the operation was due, so
            # that a stall of the system is not hidden by a late start.
            started = due if interval else time.monotonic()
            operation = await self._operate(actor, source)
            self._measure(operation, time.monotonic() - started)
            if operation.outcome is not Outcome.OK:
                await asyncio.sleep(FAILURE_PAUSE_S)
            due = due + interval if interval else time.monotonic()

    def _measure(self, operation: Operation, seconds: float) -> None:
        if operation.outcome is not Outcome.OK:
            return
        name = operation.kind.value
        if operation.kind.is_read:
            name = "aged-read" if operation.max_age_ms else "read"
        self._latencies[name].record(seconds)

    async def _operate(self, actor: NamedSession, source: random.Random) -> Operation:
        workload = source.choice(self._workloads)
        key = f"k{source.randrange(self._load.keys)}"
        if source.random() < self._load.read_share:
            return await self._read(workload, actor, key, source)
        return await self._write(workload, actor, key, source)

    async def _read(
        self, workload: Workload, actor: NamedSession, key: str, source: random.Random
    ) -> Operation:
        max_age_ms = self._load.max_age_ms if source.random() < self._load.aged_share else 0
        choice = source.random()
        if choice < self._load.transaction_share:
            return await workload.pair_read(actor, key, max_age_ms)
        if choice < self._load.transaction_share + self._load.ledger_share / 2:
            return await workload.ledger_read(actor, max_age_ms)
        return await workload.register_read(actor, key, max_age_ms)

    async def _write(
        self, workload: Workload, actor: NamedSession, key: str, source: random.Random
    ) -> Operation:
        choice = source.random()
        if choice < self._load.transaction_share:
            return await workload.pair_write(actor, key, interactive=source.random() < 0.5)
        if choice < self._load.transaction_share + self._load.ledger_share:
            request_id = RequestId(f"{self._run}-{next(self._request_numbers)}")
            if source.random() < 0.5:
                return await workload.ledger_add(actor, request_id)
            return await workload.ledger_add_once(actor, request_id)
        return await workload.register_write(actor, key)
