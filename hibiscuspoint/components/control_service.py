"""The gRPC service that entries and targets use to reach the control leader."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hibiscuspoint.core.control import DeliveredState
from hibiscuspoint.ids import EntryProcess, Incarnation, InstanceId
from hibiscuspoint.wire import peer_pb2, peer_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import grpc

    from hibiscuspoint.components.leader_client import LeaderClient
    from hibiscuspoint.components.leading import LeaderComponent

__all__ = ["ControlService"]

#: Time in seconds for which an entry is kept waiting during an election, or until a seed knows
#: where control is. It is shorter than the times that an entry waits for an update or an answer.
LEADER_WAIT_SECONDS = 0.3


class ControlService(peer_pb2_grpc.ControlServicer):
    """Serves on every instance; only the leader takes reports and announcements itself.

    :param control: ``None`` on an instance without the role control.
    """

    def __init__(self, control: LeaderComponent | None, leader: LeaderClient) -> None:
        self._control = control
        self._leader = leader

    async def Announce(
        self, request: peer_pb2.Announcement, context: grpc.aio.ServicerContext
    ) -> peer_pb2.AnnounceReply:
        """Take an announcement of a target or forward it to the leader."""
        if self._control is not None and await self._control.handle_announcement(request):
            return peer_pb2.AnnounceReply(accepted=True)
        if request.forwarded and self._control is not None:
            return peer_pb2.AnnounceReply(accepted=False)
        return await self._leader.announce(request)

    async def Introduce(
        self, request: peer_pb2.Introduction, context: grpc.aio.ServicerContext
    ) -> peer_pb2.Introduction:
        """Take and return what is known about control."""
        self._leader.record_introduction(request)
        await self._leader.wait_for_control(LEADER_WAIT_SECONDS)
        return self._leader.introduction()

    async def Attach(
        self,
        request_iterator: AsyncIterator[peer_pb2.EntryReport],
        context: grpc.aio.ServicerContext,
    ) -> AsyncIterator[peer_pb2.ControlUpdate]:
        """Exchange reports and updates with an entry."""
        if self._control is None:
            await self._leader.wait_for_control(LEADER_WAIT_SECONDS)
            yield self._refusal()
            return
        stream = _AttachedStream(self._control)
        reader = asyncio.ensure_future(stream.read(request_iterator))
        try:
            async for update in stream.updates():
                yield update
        finally:
            reader.cancel()
            stream.close()
        await self._control.wait_for_known_leader(LEADER_WAIT_SECONDS)
        refusal = self._refusal()
        refusal.later_incarnation = stream.later_incarnation
        yield refusal

    def _refusal(self) -> peer_pb2.ControlUpdate:
        """Return the answer of an instance that does not lead."""
        known = self._leader.introduction()
        return peer_pb2.ControlUpdate(redirect=known.leader, control_members=known.control_members)


class _AttachedStream:
    """The stream of one entry; updates are built when they are sent."""

    def __init__(self, control: LeaderComponent) -> None:
        self._control = control
        self._due = asyncio.Event()
        self._ended = False
        self._process: EntryProcess | None = None
        self._echo = 0
        self._delivered = DeliveredState()

    @property
    def later_incarnation(self) -> int:
        """Return the incarnation of a later start of the instance; 0 if none has reported."""
        return self._control.later_incarnation(self._process) if self._process is not None else 0

    async def read(self, reports: AsyncIterator[peer_pb2.EntryReport]) -> None:
        """Take the reports of the entry until its stream ends."""
        try:
            async for report in reports:
                if not self._control.handle_report(report):
                    break
                if self._process is None:
                    instance = InstanceId(report.instance)
                    self._process = EntryProcess(instance, Incarnation(report.incarnation))
                    self._control.attach(instance, self._due.set)
                if report.routes_missed:
                    self._delivered.forget_routes()
                self._echo = report.sent_at_ns
                self._due.set()
        finally:
            self._ended = True
            self._due.set()

    async def updates(self) -> AsyncIterator[peer_pb2.ControlUpdate]:
        """Yield an update for each report and each change until this instance stops leading."""
        while True:
            await self._due.wait()
            self._due.clear()
            if self._ended or self._process is None:
                return
            update = self._control.build_update(self._process, self._delivered)
            if update is None:
                return
            update.echo_sent_at_ns = self._echo
            yield update

    def close(self) -> None:
        """Forget the stream."""
        if self._process is not None:
            self._control.detach(self._process.instance, self._due.set)
