"""Announcements of a stand-in, in place of the platform's."""

from __future__ import annotations

import logging
from itertools import cycle
from typing import TYPE_CHECKING

import grpc

from hibiscuspoint.security import open_secured_channel
from hibiscuspoint.standin.arrivals import ChangeSignal
from hibiscuspoint.wire import peer_pb2, peer_pb2_grpc
from hibiscuspoint.wire.position import position_message

if TYPE_CHECKING:
    from hibiscuspoint.standin.config import StandinConfig
    from hibiscuspoint.standin.engine import Engine
    from hibiscuspoint.standin.faults import Faults

__all__ = ["Announcer"]

logger = logging.getLogger(__name__)

#: Time between two announcements (design section 5).
INTERVAL_S = 0.2
#: Longest time for the reply to an announcement.
TIMEOUT_S = 0.3


class Announcer:
    """Announces a target to one of several instances and stays with one that accepts.

    :param address: address at which the target serves.
    :param incarnation: distinguishes restarts of the target.
    """

    def __init__(
        self,
        config: StandinConfig,
        engine: Engine,
        faults: Faults,
        *,
        address: str,
        incarnation: int,
    ) -> None:
        self._config = config
        self._engine = engine
        self._faults = faults
        self._address = address
        self._incarnation = incarnation
        self._receivers = cycle(config.announce)
        self._receiver = ""
        self._channel: grpc.aio.Channel | None = None
        self._tls = config.tls_files()
        self._generation = 0
        self._signal = ChangeSignal()
        self._urgent_state = self._urgent()
        engine.add_listener(self._on_change)
        faults.add_listener(self._on_change)

    async def run(self) -> None:
        """Announce until cancelled."""
        if not self._config.announce:
            return
        try:
            while True:
                if not self._faults.silence_announcements:
                    await self._announce()
                await self._signal.wait(INTERVAL_S)
        finally:
            await self._drop_channel()

    def _urgent(self) -> tuple[bool, int, bool]:
        return self._engine.is_primary, self._engine.term, self._faults.is_leaving

    def _on_change(self) -> None:
        state = self._urgent()
        if state != self._urgent_state:
            self._urgent_state = state
            self._signal.set()

    async def _announce(self) -> None:
        if self._tls is not None and self._tls.generation != self._generation:
            await self._drop_channel()
        for _ in self._config.announce:
            if self._channel is None:
                self._receiver = next(self._receivers)
                self._channel = self._open(self._receiver)
            if await self._send(self._channel):
                return
            await self._drop_channel()

    def _open(self, address: str) -> grpc.aio.Channel:
        if self._tls is not None:
            self._generation = self._tls.generation
        return open_secured_channel(address, self._tls)

    async def _send(self, channel: grpc.aio.Channel) -> bool:
        stub = peer_pb2_grpc.ControlStub(channel)
        try:
            reply = await stub.Announce(self._message(), timeout=TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            logger.debug("announcement to %s failed: %s", self._receiver, error.code())
            return False
        return reply.accepted

    async def _drop_channel(self) -> None:
        if self._channel is not None:
            await self._channel.close()
            self._channel = None

    def _message(self) -> peer_pb2.Announcement:
        engine = self._engine
        return peer_pb2.Announcement(
            target=self._config.target,
            group=self._config.group,
            availability_zone=self._config.zone,
            address=self._address,
            term=engine.term,
            sealed_term=engine.sealed_term,
            primary=engine.is_primary,
            received=position_message(engine.received),
            applied=engine.applied,
            slots=self._config.slots,
            max_connections=self._config.connections,
            leaving=self._faults.is_leaving,
            incarnation=self._incarnation,
        )
