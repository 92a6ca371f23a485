"""Load with a checked history around a failure."""

from __future__ import annotations

import asyncio
import itertools
import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import grpc
import grpc.aio

from hibiscuspoint.errors import HibiscusError
from hibiscuspoint.ids import TargetId
from hibiscuspoint.load.checker import check
from hibiscuspoint.load.experiment import LoadModel
from hibiscuspoint.load.history import History, Kind, Outcome
from hibiscuspoint.load.operator_client import Operator
from hibiscuspoint.load.runner import LoadRunner
from hibiscuspoint.load.topology import is_ready, wait_until
from tests.system.report import report

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from hibiscuspoint.ids import GroupId, InstanceId
    from hibiscuspoint.load.history import Operation
    from hibiscuspoint.load.topology import Topology
    from hibiscuspoint.wire import peer_pb2

__all__ = ["DEADLINE_S", "Trial", "eventually", "first_status", "trial"]

#: Time for any condition in seconds; generous, because the machine is shared.
DEADLINE_S = 45.0
#: Longest load of a test in seconds; tests end it earlier.
LOAD_LIMIT_S = 110.0
#: Acknowledged operations that show that the system works again.
PROGRESS = 60
#: Event of an instance that left out the handling of something.
COMPONENT_FAILED = '"event": "component-failed"'

_WRITES = [kind.value for kind in Kind if not kind.is_read]
_runs = itertools.count(1)


async def eventually(condition: Callable[[], object], what: str) -> None:
    """Wait until a condition without I/O holds."""

    async def holds() -> bool:
        return bool(condition())

    await wait_until(holds, what, DEADLINE_S)


async def first_status(topology: Topology) -> peer_pb2.StatusReply | None:
    """Return the status that any instance reports first; frozen ones do not delay it."""
    operators = [Operator(address) for address in topology.addresses]
    calls = [asyncio.ensure_future(operator.status()) for operator in operators]
    try:
        for call in asyncio.as_completed(calls):
            try:
                return await call
            except (grpc.aio.AioRpcError, HibiscusError):
                continue
        return None
    finally:
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        await asyncio.gather(*(operator.close() for operator in operators))


class Trial:
    """A load that runs while a test brings failures about."""

    def __init__(self, topology: Topology, runner: LoadRunner) -> None:
        self._topology = topology
        self._runner = runner
        self.history = History()

    @property
    def writes(self) -> int:
        """Return the number of acknowledged writes."""
        return sum(self._runner.latencies[kind].count for kind in _WRITES)

    @property
    def group(self) -> GroupId:
        """Return the first group."""
        return self._topology.layout.group_ids[0]

    async def progress(self, writes: int = PROGRESS) -> None:
        """Wait for further acknowledged writes, which show that the group accepts writes."""
        wanted = self.writes + writes
        await eventually(lambda: self.writes >= wanted, f"{writes} more writes acknowledged")

    async def primary(self) -> TargetId:
        """Return the primary."""
        return await self._topology.primary(self.group)

    async def replaced(self, old: TargetId) -> TargetId:
        """Wait until another target is the started primary, and return it."""

        def is_replaced(status: peer_pb2.StatusReply) -> bool:
            group = status.groups[0]
            return group.primary not in ("", old) and group.phase == "started"

        status = await self.status(is_replaced, f"{old} is replaced")
        return TargetId(status.groups[0].primary)

    async def switch_over(self) -> None:
        """Change the primary as planned."""
        primary = await self.primary()
        wanted = next(name for name in self._topology.targets if name != primary)
        await self._topology.switch_over(self.group, to_target=wanted)
        assert await self.replaced(primary) == wanted

    async def holders(self) -> list[InstanceId]:
        """Return the holders of the first group, preferred first."""
        status = await self.status(lambda s: len(s.groups[0].holders) > 1, "two holders")
        return [holder.instance for holder in status.groups[0].holders]

    async def served_everywhere(self) -> None:
        """Wait until each running entry acknowledges a write that is invoked from now on."""
        since = time.monotonic()
        wanted = {
            plan.address
            for name, plan in self._topology.instances.items()
            if self._topology.process(name).is_running
        }

        def serving() -> set[str]:
            found = set()
            for operation in reversed(self._runner.recorder.operations):
                if operation.completed_at < since:
                    break
                is_write = not operation.kind.is_read and operation.outcome is Outcome.OK
                if is_write and operation.invoked_at >= since:
                    found.add(operation.entry)
            return found

        await eventually(lambda: wanted <= serving(), "all entries acknowledge writes")

    async def status(
        self, condition: Callable[[peer_pb2.StatusReply], bool], what: str
    ) -> peer_pb2.StatusReply:
        """Wait until the status of the environment meets a condition, and return it."""
        found: list[peer_pb2.StatusReply] = []

        async def is_met() -> bool:
            status = await first_status(self._topology)
            if status is not None and status.groups and condition(status):
                found.append(status)
            return bool(found)

        await wait_until(is_met, what, DEADLINE_S)
        return found[-1]

    async def ready(self, *instances: InstanceId, expected: bool = True) -> None:
        """Wait until instances are ready, or not."""
        for instance in instances:
            http = self._topology.instances[instance].http

            async def is_as_expected(http: str = http) -> bool:
                return await is_ready(http) == expected

            await wait_until(is_as_expected, f"{instance} ready: {expected}", DEADLINE_S)

    def failures(self, *allowed: Outcome) -> list[Operation]:
        """Return the operations of the finished load that neither succeeded nor are allowed."""
        passed = {Outcome.OK, *allowed}
        return [op for op in self.history.operations if op.outcome not in passed]


@asynccontextmanager
async def trial(topology: Topology, **load: object) -> AsyncIterator[Trial]:
    """Start a topology unless it runs, put load on it, and check the history at the end.

    The check is not empty: every class of operation must have succeeded, also after the failures.

    :param load: fields of the load model that differ from those of the tests.
    """
    if not topology.document_number:
        await topology.start()
    model = LoadModel(
        **{
            "duration_s": LOAD_LIMIT_S,
            "sessions": 24,
            "rate": 150,
            "read_share": 0.5,
            "keys": 20,
            **load,
        }
    )
    groups = topology.layout.group_ids
    runner = LoadRunner(model, topology.addresses, groups, f"run{next(_runs)}")
    running: asyncio.Task[None] | None = None
    try:
        await runner.prepare()
        running = asyncio.create_task(runner.run())
        tested = Trial(topology, runner)
        await tested.progress()
        yield tested
        await tested.progress()
        runner.stop()
        await running
        tested.history = await runner.history()
        _judge(tested.history)
        topology.check_processes()
        _judge_logs(topology)
    except Exception:
        print(await report(topology, runner.recorder.operations))
        if running is not None and running.done():
            # The error that ended the load explains why no more writes were acknowledged.
            running.result()
        raise
    finally:
        if running is not None:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
        runner.recorder.history().write(topology.directory / "history.jsonl")
        await runner.close()


def _judge_logs(topology: Topology) -> None:
    """Check that no handler of an event failed; the process goes on without what it left out."""
    for name in topology.instances:
        path = topology.directory / name / "events.jsonl"
        failed = [line for line in path.read_text().splitlines() if COMPONENT_FAILED in line]
        assert not failed, f"{name}: {failed[0]}"


def _judge(history: History) -> None:
    violations = check(history)
    assert not violations, f"{len(violations)} violations, first: {violations[:5]}"
    done = {op.kind for op in history.operations if op.outcome is Outcome.OK}
    assert done == set(Kind), f"no success of {set(Kind) - done}"
