"""Routing of requests to a holder of their group, local or remote."""

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
from hibiscuspoint.util.messages import decoded
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

#: Timeout in seconds of a connection attempt to a holder before the next holder is tried.
CONNECT_TIMEOUT_SECONDS = 0.5

#: Time in seconds after the deadline of a request for the reply of a holder to arrive.
REPLY_GRACE_SECONDS = 0.2

#: Delay in seconds before the holders of a group are tried again.
RETRY_DELAY_SECONDS = 0.05

#: Greatest number of requests that wait for a holder at one entry.
MAX_WAITING_REQUESTS = 1000


class Router:
    """Sends each request to a holder of its group and retries at other holders."""

    def __init__(
        self, state: EntryState, local_holder: LocalHolder, channels: PeerChannels, clock: Clock
    ) -> None:
        self._state = state
        self._local_holder = local_holder
        self._channels = channels
        self._clock = clock
        self._waiting_count = 0

    def candidates(self, request: GroupRequest) -> list[tuple[InstanceId, str]]:
        """Return the holders to try, in order.

        This instance comes first; the others start at a position that depends on the caller, which
        spreads the load.
        """
        holders = self._state.holders(request.group)
        local = [holder for holder in holders if holder[0] == self._local_holder.instance]
        remote = [holder for holder in holders if holder[0] != self._local_holder.instance]
        if remote:
            offset = xxhash.xxh64_intdigest(request.caller.encode()) % len(remote)
            remote = remote[offset:] + remote[:offset]
        return local + remote

    async def execute(self, request: GroupRequest) -> GroupResult:
        """Run a request at a holder; wait and retry while the group has no usable holder.

        :raises HibiscusError: the request failed; the error carries its verdict.
        """
        holder_loss: HibiscusError | None = None
        while True:
            error = NoHolderError(f"group {request.group} has no holder")
            for instance, address in self.candidates(request):
                try:
                    return await self._run_at(request, instance, address)
                except NoHolderError as refused:
                    error = refused
                except HolderLostError as loss:
                    if not self._may_resend(request):
                        raise
                    holder_loss = loss
                except HibiscusError as failure:
                    raise _error_to_report(request, holder_loss, failure) from None
            await self.wait_for_holder(request, holder_loss or error)

    async def wait_for_holder(self, request: GroupRequest, error: HibiscusError) -> None:
        """Wait before the holders are tried again.

        :param error: the failure of the last attempt.
        :raises HibiscusError: ``error``, when too little time remains before the deadline or too
            many requests wait.
        """
        remaining = request.deadline - self._clock.monotonic()
        if remaining <= RETRY_DELAY_SECONDS or self._waiting_count >= MAX_WAITING_REQUESTS:
            raise error
        self._waiting_count += 1
        try:
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        finally:
            self._waiting_count -= 1

    async def connect(self, address: str, remaining: float) -> peer_pb2_grpc.PeerStub:
        """Return the stub of another holder once a connection to it is ready.

        :param remaining: seconds until the deadline of the request.
        :raises DeadlineError: the deadline has passed; nothing was sent.
        :raises NoHolderError: no connection was established in time; nothing was sent.
        """
        if remaining <= 0:
            raise DeadlineError(
                "the deadline of the request passed before it was sent to a holder",
                verdict=Verdict.NOT_RUN,
            )
        if not await self._channels.is_ready(address, min(CONNECT_TIMEOUT_SECONDS, remaining)):
            raise NoHolderError(f"the holder at {address} cannot be reached")
        return peer_pb2_grpc.PeerStub(self._channels.get(address))

    async def _run_at(
        self, request: GroupRequest, instance: InstanceId, address: str
    ) -> GroupResult:
        if instance == self._local_holder.instance:
            return await self._local_holder.execute(request)
        return await self._forward(request, address)

    @staticmethod
    def _may_resend(request: GroupRequest) -> bool:
        """Tell whether a request whose holder was lost may be sent to another holder."""
        return request.is_read or request.request_id is not None

    async def _forward(self, request: GroupRequest, address: str) -> GroupResult:
        remaining = request.deadline - self._clock.monotonic()
        stub = await self.connect(address, remaining)
        message = forward_message(request, self._clock.monotonic())
        try:
            reply = decoded(await stub.Forward(message, timeout=remaining + REPLY_GRACE_SECONDS))
        except grpc.aio.AioRpcError as error:
            if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                raise DeadlineError("the holder did not answer before the deadline") from None
            raise HolderLostError(f"the connection to the holder at {address} failed") from None
        return result_from_forward(reply)


def _error_to_report(
    request: GroupRequest, earlier_loss: HibiscusError | None, failure: HibiscusError
) -> HibiscusError:
    """Return the error to report for a failed attempt.

    When the holder of an earlier attempt was lost, that attempt may still commit. A later attempt
    without effect (it did not run, was rolled back or failed at the target) does not rule that
    out, so the loss is reported instead.

    :param earlier_loss: the loss of the holder of an earlier attempt; ``None`` without one.
    :param failure: the error of the last attempt.
    """
    if earlier_loss is None or failure.verdict is Verdict.NOT_RUN:
        return earlier_loss or failure
    if request.is_read:
        return failure
    is_unknown = failure.verdict is Verdict.MAY_HAVE_RUN and not failure.rolled_back
    return failure if is_unknown else earlier_loss
