"""Shipping of the log to followers and delayed applying at a follower."""

from __future__ import annotations

import asyncio
import logging
import sqlite3
from typing import TYPE_CHECKING

import grpc

from hibiscuspoint.core.position import LogPosition
from hibiscuspoint.ids import Term
from hibiscuspoint.security import open_secured_channel
from hibiscuspoint.standin.arrivals import ChangeSignal
from hibiscuspoint.util.tasks import run_until_first
from hibiscuspoint.wire import target_pb2, target_pb2_grpc
from hibiscuspoint.wire.position import position_from, position_message

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hibiscuspoint.security import TlsFiles
    from hibiscuspoint.standin.arrivals import Arrivals
    from hibiscuspoint.standin.engine import Engine
    from hibiscuspoint.standin.faults import Faults

__all__ = ["Applier", "Replication", "receive"]

logger = logging.getLogger(__name__)

#: Greatest size of the records in one message to a follower.
MAX_SHIP_BYTES = 1024 * 1024
#: Records that a replica applies before other tasks run.
MAX_APPLY_RECORDS = 500
#: Longest time without a message to a follower.
SHIP_HEARTBEAT_S = 0.25
#: Time without a reply after which the stream to a follower is closed.
SHIP_REPLY_TIMEOUT_S = 1.0
#: Time before a stream to a follower is opened again.
SHIP_RETRY_S = 0.1


class _ShipError(Exception):
    """The stream to a follower cannot continue."""


def receive(engine: Engine, request: target_pb2.ShipRequest) -> target_pb2.ShipReply:
    """Store shipped records; on a mismatch, reply the point from which to ship again."""
    previous = position_from(request.previous)
    accepted = engine.accept(request.term, previous, request.records)
    received = engine.received
    if not accepted:
        received = engine.log.last_at_or_before(previous.index - 1, previous.term)
    return target_pb2.ShipReply(
        accepted=accepted,
        sealed_term=engine.sealed_term,
        received=position_message(received),
    )


class Applier:
    """Applies received records after the apply delay."""

    def __init__(self, engine: Engine, arrivals: Arrivals, faults: Faults) -> None:
        self._engine = engine
        self._arrivals = arrivals
        self._faults = faults
        self._signal = ChangeSignal()
        engine.add_listener(self._signal.set)
        faults.add_listener(self._signal.set)

    async def run(self) -> None:
        """Apply records until cancelled."""
        while True:
            await self._faults.wait_until_thawed()
            due = self._arrivals.due_index(self._faults.apply_delay)
            if due <= self._engine.applied:
                await self._signal.wait(self._arrivals.wait_s(self._faults.apply_delay))
                continue
            try:
                self._engine.apply_through(min(due, self._engine.applied + MAX_APPLY_RECORDS))
            except sqlite3.Error as error:
                logger.error("replica stopped applying after %d: %s", self._engine.applied, error)
                return
            await asyncio.sleep(0)


class _Shipper:
    """Keeps one follower up to date while the engine is primary of a term."""

    def __init__(
        self,
        engine: Engine,
        arrivals: Arrivals,
        faults: Faults,
        term: int,
        address: str,
        tls: TlsFiles | None,
    ) -> None:
        self._engine = engine
        self._arrivals = arrivals
        self._faults = faults
        self._term = term
        self._address = address
        self._tls = tls
        self._signal = ChangeSignal()
        self._sent = LogPosition(Term(0), 0)
        self._unanswered = 0
        self._answered_at = 0.0

    def wake(self) -> None:
        """Look for records that are due."""
        self._signal.set()

    async def run(self) -> None:
        """Ship until the engine loses its role or the task is cancelled."""
        while self._is_current():
            channel = open_secured_channel(self._address, self._tls)
            try:
                await self._ship(target_pb2_grpc.TargetStub(channel).Ship())
            except (_ShipError, TimeoutError, grpc.aio.AioRpcError, asyncio.InvalidStateError) as e:
                logger.debug("shipping to %s interrupted: %s", self._address, e)
            finally:
                await channel.close()
            await asyncio.sleep(SHIP_RETRY_S)

    def _is_current(self) -> bool:
        return self._engine.is_primary and self._engine.term == self._term

    async def _ship(self, call: grpc.aio.StreamStreamCall) -> None:
        await self._find_common(call)
        self._unanswered = 0
        try:
            await run_until_first(self._send(call), self._receive(call))
        finally:
            call.cancel()

    async def _find_common(self, call: grpc.aio.StreamStreamCall) -> None:
        self._sent = self._engine.received
        while True:
            await self._faults.wait_until_thawed()
            async with asyncio.timeout(SHIP_REPLY_TIMEOUT_S):
                await call.write(self._request([]))
                reply = await call.read()
            if reply is grpc.aio.EOF:
                raise _ShipError("the follower closed the stream")
            if reply.accepted:
                return
            if reply.sealed_term > self._term:
                raise _ShipError(f"the follower is sealed at term {reply.sealed_term}")
            self._sent = self._engine.log.last_at_or_before(
                reply.received.index, reply.received.term
            )

    def _request(self, records: list[target_pb2.LogRecord]) -> target_pb2.ShipRequest:
        previous = position_message(self._sent)
        return target_pb2.ShipRequest(term=self._term, previous=previous, records=records)

    async def _send(self, call: grpc.aio.StreamStreamCall) -> None:
        while self._is_current():
            await self._faults.wait_until_thawed()
            due = self._arrivals.due_index(self._faults.ship_delay)
            records = list(self._engine.log.read(self._sent.index, due, MAX_SHIP_BYTES))
            if not records and await self._wait():
                continue
            request = self._request(records)
            if records:
                self._sent = LogPosition(Term(records[-1].term), records[-1].index)
            if not self._unanswered:
                self._answered_at = asyncio.get_running_loop().time()
            self._unanswered += 1
            await call.write(request)

    async def _wait(self) -> bool:
        """Return ``True`` when records may be due, ``False`` when a heartbeat is."""
        wait_s = self._arrivals.wait_s(self._faults.ship_delay)
        if wait_s is not None and wait_s < SHIP_HEARTBEAT_S:
            await self._signal.wait(wait_s)
            return True
        return await self._signal.wait(SHIP_HEARTBEAT_S)

    async def _receive(self, call: grpc.aio.StreamStreamCall) -> None:
        pending = asyncio.create_task(call.read())
        try:
            while True:
                done, _ = await asyncio.wait({pending}, timeout=SHIP_REPLY_TIMEOUT_S / 2)
                if done:
                    self._check(pending.result())
                    pending = asyncio.create_task(call.read())
                elif self._is_overdue():
                    raise _ShipError("the follower does not answer")
        finally:
            pending.cancel()

    def _is_overdue(self) -> bool:
        waited = asyncio.get_running_loop().time() - self._answered_at
        return self._unanswered > 0 and waited > SHIP_REPLY_TIMEOUT_S

    def _check(self, reply: target_pb2.ShipReply) -> None:
        if reply is grpc.aio.EOF:
            raise _ShipError("the follower closed the stream")
        if not reply.accepted:
            raise _ShipError("the follower rejected records")
        self._unanswered -= 1
        self._answered_at = asyncio.get_running_loop().time()


class Replication:
    """Shippers of a primary, one for each follower.

    :param tls: certificate files; ``None`` for plain text.
    """

    def __init__(
        self, engine: Engine, arrivals: Arrivals, faults: Faults, tls: TlsFiles | None = None
    ) -> None:
        self._engine = engine
        self._arrivals = arrivals
        self._faults = faults
        self._tls = tls
        self._shippers: dict[str, tuple[_Shipper, asyncio.Task[None]]] = {}
        self._term = 0
        engine.add_listener(self._wake)
        faults.add_listener(self._wake)

    def ship_to(self, addresses: Iterable[str]) -> None:
        """Ship in the engine's term to these addresses and no others."""
        if self._term != self._engine.term:
            self.stop()
            self._term = self._engine.term
        wanted = set(addresses)
        for address in set(self._shippers) - wanted:
            self._shippers.pop(address)[1].cancel()
        for address in wanted - set(self._shippers):
            shipper = _Shipper(
                self._engine, self._arrivals, self._faults, self._term, address, self._tls
            )
            self._shippers[address] = shipper, asyncio.create_task(shipper.run())

    def stop(self) -> None:
        """Stop all shipping."""
        for _, task in self._shippers.values():
            task.cancel()
        self._shippers.clear()

    def _wake(self) -> None:
        for shipper, _ in self._shippers.values():
            shipper.wake()
