"""Light entries and targets that keep a real control leader busy.

An entry only attaches, reports and applies the number of the document; a target only announces
itself and answers the control calls of a promotion. Many of them fit into one process.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import grpc
import grpc.aio

from hibiscuspoint.load.ports import PortAllocator
from hibiscuspoint.util.channels import open_channel
from hibiscuspoint.util.clock import suspend_aware
from hibiscuspoint.util.units import NANOSECONDS_PER_SECOND
from hibiscuspoint.wire import common_pb2, peer_pb2, peer_pb2_grpc, target_pb2, target_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = ["FleetPart", "FleetResult", "run_part"]

#: Intervals of section 5 of the design page.
REPORT_INTERVAL_S = 0.25
ANNOUNCE_INTERVAL_S = 0.2
ANNOUNCE_TIMEOUT_S = 0.3
ZONES = 5
SLOTS = 2
CONNECTIONS = 16
SERVER_OPTIONS = (("grpc.so_reuseport", 0),)


@dataclass(frozen=True, slots=True)
class FleetPart:
    """The share of one process.

    :param targets: name and group of each target.
    :param measure_from: monotonic time at which counting begins; it ends after ``seconds``.
    """

    leader: str
    entries: tuple[str, ...]
    targets: tuple[tuple[str, str], ...]
    measure_from: float
    seconds: float


@dataclass(slots=True)
class FleetResult:
    """Counts within the measured time, and when each document number was seen by all entries."""

    reports: int = 0
    updates: int = 0
    update_bytes: int = 0
    announcements: int = 0
    announcements_failed: int = 0
    routes: int = 0
    documents: dict[int, dict[str, float]] = field(default_factory=dict)


class _Fleet:
    def __init__(self, part: FleetPart) -> None:
        self.part = part
        self.result = FleetResult()

    @property
    def is_measuring(self) -> bool:
        now = time.monotonic()
        return self.part.measure_from <= now < self.part.measure_from + self.part.seconds


class _Entry:
    """One attached entry."""

    def __init__(self, fleet: _Fleet, name: str, number: int) -> None:
        self._fleet = fleet
        self._name = name
        self._zone = f"zone-{number % ZONES}"
        self._last = peer_pb2.ControlUpdate()
        self._routes: dict[str, peer_pb2.Route] = {}
        self._shares: dict[str, peer_pb2.ShareGrant] = {}

    async def run(self) -> None:
        channel = open_channel(self._fleet.part.leader)
        try:
            while True:
                call = peer_pb2_grpc.ControlStub(channel).Attach()
                reader = asyncio.create_task(self._read(call))
                try:
                    while not reader.done():
                        await call.write(self._report())
                        self._fleet.result.reports += self._fleet.is_measuring
                        await asyncio.sleep(REPORT_INTERVAL_S)
                except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
                    await asyncio.sleep(REPORT_INTERVAL_S)
                finally:
                    reader.cancel()
                    call.cancel()
        finally:
            await channel.close()

    def _report(self) -> peer_pb2.EntryReport:
        last = self._last
        return peer_pb2.EntryReport(
            instance=self._name,
            incarnation=1,
            availability_zone=self._zone,
            address="127.0.0.1:9",
            sent_at_ns=int(suspend_aware() * NANOSECONDS_PER_SECOND),
            document_number=last.document_number,
            document_digest=last.document_digest,
            holders_version=last.holders_version,
            observations=[
                peer_pb2.TargetObservation(target=route.primary, successes=1)
                for route in self._routes.values()
                if route.lease_ms
            ],
            shares=[
                peer_pb2.ShareUse(
                    target=share.target,
                    open_connections=share.connections,
                    allowance=share.connections,
                    sequence=share.sequence,
                )
                for share in self._shares.values()
            ],
        )

    async def _read(self, call: grpc.aio.StreamStreamCall) -> None:
        result = self._fleet.result
        while (update := await call.read()) is not grpc.aio.EOF:
            self._last = update
            self._routes = {route.group: route for route in update.routes}
            self._shares = {share.target: share for share in update.shares}
            seen = result.documents.setdefault(update.document_number, {})
            seen.setdefault(self._name, time.monotonic())
            if self._fleet.is_measuring:
                result.updates += 1
                result.update_bytes += update.ByteSize()
                result.routes += sum(bool(route.lease_ms) for route in update.routes)


class _Target(target_pb2_grpc.TargetServicer):
    """One target that announces itself and takes part in promotions."""

    def __init__(self, fleet: _Fleet, name: str, group: str, number: int, address: str) -> None:
        self._fleet = fleet
        self._name = name
        self._group = group
        self._zone = f"zone-{number % ZONES}"
        self._address = address
        self._term = 0
        self._sealed = 0
        self._primary = False
        self._received = common_pb2.Position()

    async def run(self, channel: grpc.aio.Channel) -> None:
        server = grpc.aio.server(options=SERVER_OPTIONS)
        target_pb2_grpc.add_TargetServicer_to_server(self, server)
        server.add_insecure_port(self._address)
        await server.start()
        stub = peer_pb2_grpc.ControlStub(channel)
        result = self._fleet.result
        try:
            while True:
                failed = False
                try:
                    await stub.Announce(self._announcement(), timeout=ANNOUNCE_TIMEOUT_S)
                except grpc.aio.AioRpcError:
                    failed = True
                if self._fleet.is_measuring:
                    result.announcements += 1
                    result.announcements_failed += failed
                await asyncio.sleep(ANNOUNCE_INTERVAL_S)
        finally:
            await server.stop(None)

    def _announcement(self) -> peer_pb2.Announcement:
        return peer_pb2.Announcement(
            target=self._name,
            group=self._group,
            availability_zone=self._zone,
            address=self._address,
            term=self._term,
            sealed_term=self._sealed,
            primary=self._primary,
            received=self._received,
            applied=self._received.index,
            slots=SLOTS,
            max_connections=CONNECTIONS,
            incarnation=1,
        )

    async def Seal(self, request, context) -> target_pb2.SealReply:
        self._sealed = max(self._sealed, request.term)
        is_sealed = self._sealed == request.term
        return target_pb2.SealReply(sealed=is_sealed, sealed_term=self._sealed, last=self._received)

    async def Promote(self, request, context) -> target_pb2.MemberState:
        return self._join(request.term, primary=True)

    async def Follow(self, request, context) -> target_pb2.MemberState:
        return self._join(request.term, primary=False)

    async def Terminate(self, request, context) -> target_pb2.TerminateReply:
        return target_pb2.TerminateReply()

    async def Open(self, request_iterator, context) -> AsyncIterator[target_pb2.ConnectionReply]:
        async for request in request_iterator:
            if request.HasField("hello"):
                yield target_pb2.ConnectionReply(
                    connection_incarnation=request.hello.connection_incarnation,
                    welcome=target_pb2.Welcome(target=self._name),
                )

    async def Watch(self, request_iterator, context) -> AsyncIterator[target_pb2.Progress]:
        async for request in request_iterator:
            yield target_pb2.Progress(
                sample_id=request.sample_id,
                term=self._term,
                received=self._received,
                applied=self._received.index,
                primary=self._primary,
            )

    def _join(self, term: int, *, primary: bool) -> target_pb2.MemberState:
        accepted = term >= self._sealed
        if accepted and term > self._term:
            self._term = self._sealed = term
            self._primary = primary
            index = self._received.index + 1
            self._received = common_pb2.Position(term=term, index=index)
        return target_pb2.MemberState(
            accepted=accepted,
            term=self._term,
            sealed_term=self._sealed,
            primary=self._primary,
            received=self._received,
            applied=self._received.index,
        )


def run_part(part: FleetPart) -> FleetResult:
    """Run one part of the fleet until the end of the measured time."""
    return asyncio.run(_run(part))


async def _run(part: FleetPart) -> FleetResult:
    fleet = _Fleet(part)
    ports = PortAllocator()
    channel = open_channel(part.leader)
    work = [_Entry(fleet, name, number).run() for number, name in enumerate(part.entries)]
    work += [
        _Target(fleet, name, group, number, ports.address()).run(channel)
        for number, (name, group) in enumerate(part.targets)
    ]
    tasks = [asyncio.create_task(item) for item in work]
    await asyncio.sleep(max(0.0, part.measure_from + part.seconds - time.monotonic()))
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await channel.close()
    return fleet.result
