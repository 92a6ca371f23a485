"""Hands requests to a holder of their group, here or at another entry."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import grpc
import xxhash

from hibiscuspoint.components.forwarding import forward_message, result_from_forward
from hibiscuspoint.errors import (
    DeadlineError,
    HibiscusError,
    HolderLostError,
    NoHolderError,
)
from hibiscuspoint.verdict import Verdict
from hibiscuspoint.wire import peer_pb2_grpc

if TYPE_CHECKING:
    from hibiscuspoint.components.entry_state import EntryState
    from hibiscuspoint.components.holder import GroupRequest, GroupResult
    from hibiscuspoint.components.holders import LocalHolder
    from hibiscuspoint.components.peers import PeerChannels
    from hibiscuspoint.core.ports import Clock
    from hibiscuspoint.ids import InstanceId

__all__ = ["Router"]

#: Longest time in seconds to connect to a holder before the next one is tried.
CONNECT_SECONDS = 0.5

#: Seconds that an answer may take on its way back after the deadline of the request.
GRACE_SECONDS = 0.2

#: Seconds before the holders are tried again.
RETRY_SECONDS = 0.05

#: Requests that may wait for a holder at one entry.
MAX_WAITING_REQUESTS = 1000


class Router:
    """Chooses a holder for each request."""

    def __init__(
        self, state: EntryState, holders: LocalHolder, channels: PeerChannels, clock: Clock
    ) -> None:
        self._state = state
        self._holders = holders
        self._channels = channels
        self._clock = clock
        self._waiting = 0

    def candidates(self, request: GroupRequest) -> list[tuple[InstanceId, str]]:
        """Return the holders to try in order: this instance, then spread by caller."""
        holders = self._state.holders(request.group)
        mine = [holder for holder in holders if holder[0] == self._holders.instance]
        others = [holder for holder in holders if holder[0] != self._holders.instance]
        if others:
            first = xxhash.xxh64_intdigest(request.caller.encode()) % len(others)
            others = others[first:] + others[:first]
        return mine + others

    async def execute(self, request: GroupRequest) -> GroupResult:
        """Run a request at a holder, and wait for one while holders change.

        :raises HibiscusError: with the verdict of the request.
        """
        lost: HibiscusError | None = None
        while True:
            error = NoHolderError(f"group {request.group} has no holder")
            for instance, address in self.candidates(request):
                try:
                    return await self._run_at(request, instance, address)
                except NoHolderError as refused:
                    error = refused
                except HolderLostError as found:
                    if not self._may_repeat(request):
                        raise
                    lost = found
                except HibiscusError as failed:
                    raise _first_unknown(request, lost, failed) from None
            await self.wait_for_holder(request, lost or error)

    async def wait_for_holder(self, request: GroupRequest, error: HibiscusError) -> None:
        """Wait before the holders are tried again.

        :raises HibiscusError: the given error, when the time of the request ends or too many
            requests wait.
        """
        remaining = request.deadline - self._clock.monotonic()
        if remaining <= RETRY_SECONDS or self._waiting >= MAX_WAITING_REQUESTS:
            raise error
        self._waiting += 1
        try:
            await asyncio.sleep(RETRY_SECONDS)
        finally:
            self._waiting -= 1

    async def connect(self, address: str, remaining: float) -> peer_pb2_grpc.PeerStub:
        """Return the stub of another holder once a connection to it is ready.

        :param remaining: seconds that are left to the request.
        :raises DeadlineError: no time is left; nothing was sent.
        :raises NoHolderError: the holder cannot be reached in time.
        """
        if remaining <= 0:
            raise DeadlineError("the time of the request ended", verdict=Verdict.NOT_RUN)
        if not await self._channels.is_ready(address, min(CONNECT_SECONDS, remaining)):
            raise NoHolderError(f"the holder at {address} cannot be reached")
        return peer_pb2_grpc.PeerStub(self._channels.get(address))

    async def _run_at(
        self, request: GroupRequest, instance: InstanceId, address: str
    ) -> GroupResult:
        if instance == self._holders.instance:
            return await self._holders.execute(request)
        return await self._forward(request, address)

    @staticmethod
    def _may_repeat(request: GroupRequest) -> bool:
        """Tell whether a request whose holder was lost may go to another holder."""
        return request.is_read or request.request_id is not None

    async def _forward(self, request: GroupRequest, address: str) -> GroupResult:
        remaining = request.deadline - self._clock.monotonic()
        stub = await self.connect(address, remaining)
        message = forward_message(request, self._clock.monotonic())
        try:
            reply = await stub.Forward(message, timeout=remaining + GRACE_SECONDS)
        except grpc.aio.AioRpcError as error:
            if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                raise DeadlineError("the holder did not answer in time") from None
            raise HolderLostError(f"the connection to the holder at {address} failed") from None
        return result_from_forward(reply)


def _first_unknown(
    request: GroupRequest, lost: HibiscusError | None, failed: HibiscusError
) -> HibiscusError:
    """Return the error to report when an attempt failed after the holder of another was lost.

    That a later attempt had no effect, because it did not run, was rolled back or failed at the
    target, says nothing about the lost one, which may still commit.
    """
    if lost is None or failed.verdict is Verdict.NOT_RUN:
        return lost or failed
    if request.is_read:
        return failed
    is_unknown = failed.verdict is Verdict.MAY_HAVE_RUN and not failed.rolled_back
    return failed if is_unknown else lost
