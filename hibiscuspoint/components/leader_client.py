"""Calls to the control leader from any instance."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import grpc

from hibiscuspoint.errors import NotLeaderError
from hibiscuspoint.util.messages import decoded
from hibiscuspoint.verdict import Verdict
from hibiscuspoint.wire import peer_pb2, peer_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Iterable

    from google.protobuf.message import Message

    from hibiscuspoint.components.consensus import ReplicatedLog
    from hibiscuspoint.components.peers import PeerChannels

__all__ = ["LeaderClient"]

#: Control instances that are remembered from introductions; at most 7 serve control.
MEMBERS_LIMIT = 16

#: Longest time in seconds to connect to a control instance.
CONNECT_SECONDS = 0.5

#: Longest time in seconds to wait for the answer to a forwarded announcement.
ANNOUNCE_SECONDS = 0.3


class LeaderClient:
    """Forwards calls to the leader.

    A control instance forwards to the leader that it knows, at most once. Another instance asks
    the control instances in turn, starting with the one that answered last.

    :param log: ``None`` on an instance without the role control.
    :param members: addresses of the control instances.
    """

    def __init__(
        self, log: ReplicatedLog | None, members: list[str], channels: PeerChannels
    ) -> None:
        self._log = log
        self._members = list(members)
        self._channels = channels
        self._attached_to = ""
        self._known_members: list[str] = []
        self._control_known = asyncio.Event()

    async def wait_for_control(self, timeout: float) -> None:
        """Wait until this instance knows where control is, for ``timeout`` seconds at most.

        A seed without a disk knows it once a control instance has introduced itself.
        """
        if self._log is not None or self.known_leader:
            return
        try:
            async with asyncio.timeout(timeout):
                await self._control_known.wait()
        except TimeoutError:
            return

    @property
    def known_leader(self) -> str:
        """Return the address of the leader that this instance knows; empty without one."""
        if self._log is not None and self._log.leader_address:
            return self._log.leader_address
        return self._attached_to

    def introduction(self) -> peer_pb2.Introduction:
        """Return where control is, as far as this instance knows."""
        own = self._log.voter_addresses if self._log is not None else []
        members = own + [member for member in self._known_members if member not in own]
        return peer_pb2.Introduction(leader=self.known_leader, control_members=members)

    def record_introduction(self, introduction: peer_pb2.Introduction) -> None:
        """Take what another instance knows about control."""
        for address in introduction.control_members:
            if address not in self._known_members:
                self._known_members.append(address)
        if self._known_members:
            self._control_known.set()
        # Instances that were replaced long ago are forgotten first.
        del self._known_members[:-MEMBERS_LIMIT]
        self.set_seeds(introduction.control_members)

    def record_attachment(self, leader: str, members: Iterable[str]) -> None:
        """Take the addresses of the leader and of the control group from an update.

        :param members: empty when they have not changed.
        """
        self._attached_to = leader
        members = list(members)
        if members:
            self._members = members
            self._known_members = list(members)
            self._control_known.set()

    @property
    def members(self) -> list[str]:
        """Return the addresses of the control instances, as far as they are known."""
        return list(self._members)

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Add addresses through which control may be found."""
        self._members += [seed for seed in seeds if seed not in self._members]

    def record_detachment(self) -> None:
        """Forget the leader, as its updates ended."""
        self._attached_to = ""

    async def announce(self, request: peer_pb2.Announcement) -> peer_pb2.AnnounceReply:
        """Forward an announcement; a refused one is repeated by the target."""
        forwarded = peer_pb2.Announcement()
        forwarded.CopyFrom(request)
        forwarded.forwarded = self._log is not None
        for address in self._candidates():
            try:
                stub = peer_pb2_grpc.ControlStub(self._channels.get(address))
                reply = decoded(await stub.Announce(forwarded, timeout=ANNOUNCE_SECONDS))
            except grpc.aio.AioRpcError:
                self._failed(address)
                continue
            if reply.accepted:
                return reply
        return peer_pb2.AnnounceReply(accepted=False)

    async def call(self, method: str, request: Message, timeout: float) -> Message:
        """Forward an operator's call.

        :param method: name of a method of the Operator service.
        :param timeout: seconds.
        :raises NotLeaderError: ``NOT_RUN`` when no control instance could be reached,
            ``MAY_HAVE_RUN`` when one was lost during the call.
        """
        forwarded = type(request)()
        forwarded.CopyFrom(request)
        forwarded.forwarded = self._log is not None
        for address in self._candidates():
            if not await self._channels.is_ready(address, CONNECT_SECONDS):
                self._failed(address)
                continue
            try:
                stub = peer_pb2_grpc.OperatorStub(self._channels.get(address))
                return decoded(await getattr(stub, method)(forwarded, timeout=timeout))
            except grpc.aio.AioRpcError as error:
                self._failed(address)
                raise NotLeaderError(
                    f"the control instance at {address} did not answer: {error.code().name}",
                    verdict=Verdict.MAY_HAVE_RUN,
                ) from None
        raise NotLeaderError("no control leader can be reached")

    def _candidates(self) -> list[str]:
        if self._log is not None:
            return [self.known_leader] if self.known_leader else []
        known = [self._attached_to] if self._attached_to else []
        return known + [member for member in self._members if member not in known]

    def _failed(self, address: str) -> None:
        """Ask the other control instances first next time."""
        if address in self._members:
            self._members.remove(address)
            self._members.append(address)
