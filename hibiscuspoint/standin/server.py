"""The gRPC service of a stand-in."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import grpc

from hibiscuspoint.standin.arrivals import Arrivals, ChangeSignal
from hibiscuspoint.standin.config import ServeTls
from hibiscuspoint.standin.connection import ServerConnection, Workplace
from hibiscuspoint.standin.engine import Engine
from hibiscuspoint.standin.replication import Applier, Replication, receive
from hibiscuspoint.standin.streams import PostedReplies, ReplyStream, StreamRegistry
from hibiscuspoint.util.channels import SERVER_OPTIONS
from hibiscuspoint.wire import target_pb2, target_pb2_grpc
from hibiscuspoint.wire.position import position_message

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from hibiscuspoint.standin.config import StandinConfig
    from hibiscuspoint.standin.faults import Faults

__all__ = ["StandinServer"]

logger = logging.getLogger(__name__)

#: Least time between two messages of a watch that answer no sample.
PROGRESS_INTERVAL_S = 0.005

Failure = target_pb2.Failure


class StandinServer(target_pb2_grpc.TargetServicer):
    """Serves one target.

    :param config: identity, limits and delays of the target.
    :param faults: switches, shared with the announcer.
    """

    def __init__(self, config: StandinConfig, faults: Faults) -> None:
        self._config = config
        self._faults = faults
        self._engine = Engine(config.data_directory)
        arrivals = Arrivals(self._engine)
        self._applier = Applier(self._engine, arrivals, faults)
        self._tls = config.tls_files() if config.serve_tls is not None else None
        self._replication = Replication(self._engine, arrivals, faults, self._tls)
        self._workplace = Workplace(
            engine=self._engine,
            faults=faults,
            slots=asyncio.Semaphore(config.slots),
            write_lock=asyncio.Lock(),
        )
        self._streams = StreamRegistry(faults)
        self._connections: set[ServerConnection] = set()
        self._grpc = grpc.aio.server(options=SERVER_OPTIONS)
        self._apply_task: asyncio.Task[None] | None = None
        self._address = ""

    @property
    def address(self) -> str:
        """Return the address on which the server listens."""
        return self._address

    @property
    def engine(self) -> Engine:
        """Return the engine."""
        return self._engine

    async def start(self) -> None:
        """Listen and apply received records.

        :raises RuntimeError: the address is in use.
        """
        target_pb2_grpc.add_TargetServicer_to_server(self, self._grpc)
        host = self._config.listen.rpartition(":")[0]
        port = self._add_port()
        self._address = f"{host}:{port}"
        await self._grpc.start()
        self._apply_task = asyncio.create_task(self._applier.run())

    def _add_port(self) -> int:
        if self._tls is None:
            return self._grpc.add_insecure_port(self._config.listen)
        is_mutual = self._config.serve_tls is ServeTls.MUTUAL
        credentials = self._tls.server_credentials(is_mutual=is_mutual)
        return self._grpc.add_secure_port(self._config.listen, credentials)

    async def stop(self) -> None:
        """Stop serving; open transactions are rolled back."""
        self._replication.stop()
        for connection in list(self._connections):
            connection.terminate()
        await self._grpc.stop(grace=0)
        if self._apply_task is not None:
            self._apply_task.cancel()
            await asyncio.gather(self._apply_task, return_exceptions=True)
        self._engine.close()

    async def Open(
        self,
        requests: AsyncIterator[target_pb2.ConnectionRequest],
        context: grpc.aio.ServicerContext,
    ) -> None:
        """Serve one database connection."""
        with self._open_stream(context) as stream:
            async for request in requests:
                if request.HasField("hello"):
                    await self._serve(request, requests, stream, context)
                    return
                await context.abort(grpc.StatusCode.FAILED_PRECONDITION, "hello is missing")

    async def Watch(
        self,
        requests: AsyncIterator[target_pb2.WatchRequest],
        context: grpc.aio.ServicerContext,
    ) -> None:
        """Stream progress and answer tip samples."""
        with self._open_stream(context) as stream:
            replies: PostedReplies[target_pb2.Progress] = PostedReplies(stream)
            tasks = [asyncio.create_task(c) for c in (replies.run(), self._post_progress(replies))]
            try:
                async for request in requests:
                    if request.sample_id and not stream.is_silent:
                        replies.post(self._progress(request.sample_id))
            finally:
                for task in tasks:
                    task.cancel()

    async def Ship(
        self,
        requests: AsyncIterator[target_pb2.ShipRequest],
        context: grpc.aio.ServicerContext,
    ) -> None:
        """Store the log of the primary."""
        with self._open_stream(context) as stream:
            replies: PostedReplies[target_pb2.ShipReply] = PostedReplies(stream)
            task = asyncio.create_task(replies.run())
            try:
                async for request in requests:
                    await self._faults.wait_until_thawed()
                    if not stream.is_silent:
                        replies.post(receive(self._engine, request))
            finally:
                task.cancel()

    async def Seal(
        self, request: target_pb2.SealRequest, context: grpc.aio.ServicerContext
    ) -> target_pb2.SealReply:
        """Raise the sealed term."""
        await self._faults.wait_until_thawed()
        reply = target_pb2.SealReply(
            sealed=self._engine.seal(request.term),
            sealed_term=self._engine.sealed_term,
            last=position_message(self._engine.received),
        )
        await self._delay()
        return reply

    async def Promote(
        self, request: target_pb2.PromoteRequest, context: grpc.aio.ServicerContext
    ) -> target_pb2.MemberState:
        """Become primary."""
        await self._faults.wait_until_thawed()
        accepted = self._engine.promote(request.term)
        if accepted:
            self._replication.ship_to(
                m.address for m in request.members if m.target != self._config.target
            )
        return await self._member_state(accepted)

    async def Follow(
        self, request: target_pb2.FollowRequest, context: grpc.aio.ServicerContext
    ) -> target_pb2.MemberState:
        """Become a replica."""
        await self._faults.wait_until_thawed()
        return await self._member_state(self._engine.follow(request.term))

    async def Terminate(
        self, request: target_pb2.TerminateRequest, context: grpc.aio.ServicerContext
    ) -> target_pb2.TerminateReply:
        """Close the connections of an instance."""
        await self._faults.wait_until_thawed()
        found = [connection for connection in self._connections if connection.is_meant_by(request)]
        for connection in found:
            connection.terminate()
        self._connections.difference_update(found)
        await self._delay()
        return target_pb2.TerminateReply(closed=len(found))

    async def SetFault(
        self, request: target_pb2.FaultSettings, context: grpc.aio.ServicerContext
    ) -> target_pb2.FaultSettings:
        """Set switches; answered even while frozen."""
        self._faults.update(request)
        return self._faults.to_message()

    def _open_stream(self, context: grpc.aio.ServicerContext) -> ReplyStream:
        return ReplyStream(context, self._faults, self._streams, self._config.one_way_delay)

    async def _serve(
        self,
        request: target_pb2.ConnectionRequest,
        requests: AsyncIterator[target_pb2.ConnectionRequest],
        stream: ReplyStream[target_pb2.ConnectionReply],
        context: grpc.aio.ServicerContext,
    ) -> None:
        reply = target_pb2.ConnectionReply(
            request_id=request.request_id,
            connection_incarnation=request.hello.connection_incarnation,
        )
        refusal = self._refusal()
        if refusal is not None:
            reply.failure.CopyFrom(refusal)
            await stream.answer(reply)
            return
        connection = ServerConnection(self._workplace, request.hello, stream)
        self._connections.add(connection)
        try:
            await asyncio.sleep(self._config.connect_delay)
            reply.welcome.target = self._config.target
            reply.welcome.term = self._engine.term
            await stream.answer(reply)
            await connection.serve(requests)
        finally:
            self._connections.discard(connection)
            connection.close()
        if connection.is_terminated:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "the target closed the connection")

    def _refusal(self) -> Failure | None:
        if self._faults.refuses_new_work:
            return Failure(kind=Failure.LEAVING, message="the target is leaving", not_run=True)
        if len(self._connections) >= self._config.connections:
            message = f"all {self._config.connections} connections are in use"
            logger.warning("connection refused: %s", message)
            return Failure(kind=Failure.LIMIT, message=message, not_run=True)
        return None

    async def _post_progress(self, replies: PostedReplies[target_pb2.Progress]) -> None:
        signal = ChangeSignal()
        remove = self._engine.add_listener(signal.set)
        try:
            while True:
                replies.post(self._progress(0))
                await asyncio.sleep(PROGRESS_INTERVAL_S)
                await signal.wait()
        finally:
            remove()

    def _progress(self, sample_id: int) -> target_pb2.Progress:
        engine = self._engine
        return target_pb2.Progress(
            sample_id=sample_id,
            term=engine.term,
            sealed_term=engine.sealed_term,
            primary=engine.is_primary,
            received=position_message(engine.received),
            applied=engine.applied,
        )

    async def _member_state(self, accepted: bool) -> target_pb2.MemberState:
        engine = self._engine
        state = target_pb2.MemberState(
            accepted=accepted,
            term=engine.term,
            sealed_term=engine.sealed_term,
            primary=engine.is_primary,
            received=position_message(engine.received),
            applied=engine.applied,
        )
        await self._delay()
        return state

    async def _delay(self) -> None:
        if self._config.one_way_delay:
            await asyncio.sleep(self._config.one_way_delay)
