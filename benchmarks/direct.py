"""Baseline: stand-ins without hibiscuspoint, accessed directly."""

from __future__ import annotations

import asyncio
import itertools
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Self

import grpc
import grpc.aio

from hibiscuspoint.load.layout import TargetPlan, target_arguments
from hibiscuspoint.load.ports import PortAllocator
from hibiscuspoint.load.process import OwnedProcess
from hibiscuspoint.wire import target_pb2, target_pb2_grpc

if TYPE_CHECKING:
    from hibiscuspoint.load.layout import Layout
    from hibiscuspoint.wire import common_pb2

__all__ = ["DirectGroup"]

TERM = 1
START_TIMEOUT_S = 30.0
INSTANCE = "benchmark"


class _Connection:
    """One database connection that runs one transaction at a time."""

    def __init__(self, stub: target_pb2_grpc.TargetStub, number: int) -> None:
        self._number = number
        self._call = stub.Open()
        self._ids = itertools.count(1)

    async def open(self) -> None:
        """Exchange the greeting."""
        hello = target_pb2.Hello(
            instance=INSTANCE, instance_incarnation=1, connection_incarnation=self._number
        )
        await self._call.write(target_pb2.ConnectionRequest(request_id=0, hello=hello))
        await self._call.read()

    async def run(self, statements: list[common_pb2.Statement], *, read_only: bool) -> None:
        """Run statements as one transaction and wait for the whole answer."""
        run = target_pb2.Run(
            term=TERM, read_only=read_only, begin=True, statements=statements, commit=True
        )
        request = target_pb2.ConnectionRequest(request_id=next(self._ids), run=run)
        await self._call.write(request)
        while True:
            reply = await self._call.read()
            if reply is grpc.aio.EOF:
                raise ConnectionResetError("the target closed the connection")
            body = reply.WhichOneof("body")
            if body == "failure":
                raise RuntimeError(f"the target rejected the run: {reply.failure.message}")
            if body == "end":
                return


class DirectGroup:
    """One group of stand-ins with a fixed primary and a connection pool to each member.

    :param connections: connections to each member.
    """

    def __init__(self, layout: Layout, connections: int) -> None:
        self._directory = tempfile.TemporaryDirectory(prefix="hibiscuspoint-direct-")
        self._connections = connections
        ports = PortAllocator()
        group = layout.group_ids[0]
        self._plans = [
            TargetPlan(target, group, layout.zone(number), ports.address(), ())
            for number, target in enumerate(layout.target_ids(group))
        ]
        root = Path(self._directory.name)
        self._processes = [
            OwnedProcess(
                plan.target,
                [
                    "hibiscuspoint.standin",
                    *target_arguments(layout, plan, str(root / plan.target)),
                ],
                root,
            )
            for plan in self._plans
        ]
        self._channels: list[grpc.aio.Channel] = []
        self._pools: list[asyncio.Queue[_Connection]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        try:
            await self._start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *_exc: object) -> None:
        await self.close()

    async def run(
        self, *statements: common_pb2.Statement, read_only: bool, member: int = 0
    ) -> None:
        """Run statements at a member; the first member is the primary.

        A caller that gives up does not stop the statements, as with a database without a proxy.
        """
        task = asyncio.create_task(self._run(list(statements), read_only, member))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await asyncio.shield(task)

    async def _run(
        self, statements: list[common_pb2.Statement], read_only: bool, member: int
    ) -> None:
        pool = self._pools[member % len(self._pools)]
        connection = await pool.get()
        try:
            await connection.run(statements, read_only=read_only)
        finally:
            pool.put_nowait(connection)

    async def close(self) -> None:
        """End everything that was started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(channel.close() for channel in self._channels))
        for process in self._processes:
            process.kill()
        self._directory.cleanup()

    async def _start(self) -> None:
        for process in self._processes:
            process.start()
        stubs = [await self._connect(plan.address) for plan in self._plans]
        members = [
            target_pb2.Member(target=plan.target, address=plan.address) for plan in self._plans
        ]
        for stub in stubs:
            await stub.Seal(target_pb2.SealRequest(term=TERM))
        await stubs[0].Promote(target_pb2.PromoteRequest(term=TERM, members=members))
        for stub in stubs[1:]:
            await stub.Follow(target_pb2.FollowRequest(term=TERM, primary=members[0]))
        for stub in stubs:
            self._pools.append(await self._open_pool(stub))

    async def _connect(self, address: str) -> target_pb2_grpc.TargetStub:
        options = (("grpc.use_local_subchannel_pool", 1), ("grpc.enable_http_proxy", 0))
        channel = grpc.aio.insecure_channel(address, options=options)
        self._channels.append(channel)
        async with asyncio.timeout(START_TIMEOUT_S):
            await channel.channel_ready()
        return target_pb2_grpc.TargetStub(channel)

    async def _open_pool(self, stub: target_pb2_grpc.TargetStub) -> asyncio.Queue[_Connection]:
        pool: asyncio.Queue[_Connection] = asyncio.Queue()
        for number in range(1, self._connections + 1):
            connection = _Connection(stub, number)
            await connection.open()
            pool.put_nowait(connection)
        return pool
