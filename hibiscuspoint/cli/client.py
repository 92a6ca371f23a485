"""Calls from the command line to instances."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import grpc

from hibiscuspoint.cli.errors import (
    AccessRefusedError,
    OutcomeUnknownError,
    UnreachableError,
    error_from_wire,
)
from hibiscuspoint.errors import NotLeaderError
from hibiscuspoint.wire import caller_pb2_grpc, peer_pb2, peer_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hibiscuspoint.security import Transport
    from hibiscuspoint.wire import caller_pb2

__all__ = ["Client"]

#: Time to open one connection; a reachable instance needs a few milliseconds.
CONNECT_SECONDS = 2.0
#: Time between two rounds over the named instances.
RETRY_SECONDS = 0.25
#: Time to find out why a connection failed.
PROBE_SECONDS = 0.5
#: Time for a reply after the timeout of a request, so that the entry's own verdict arrives.
REPLY_GRACE_SECONDS = 1.0


#: Without it, a new channel takes over the failed connection and the back-off of an earlier one.
_CHANNEL_OPTIONS = [("grpc.use_local_subchannel_pool", 1)]
_FINAL_STATES = {
    grpc.ChannelConnectivity.READY,
    grpc.ChannelConnectivity.TRANSIENT_FAILURE,
    grpc.ChannelConnectivity.SHUTDOWN,
}


@dataclass(frozen=True)
class _Failure:
    """Why an address gave no reply."""

    address: str
    reason: str
    #: Whether the instance can have received the request.
    was_sent: bool


class Client:
    """Calls the first instance that answers.

    :param addresses: "ip:port" of the instances, in order of preference.
    :param transport: opens channels.
    :param timeout: seconds within which a reply is expected, over all instances.
    """

    def __init__(self, addresses: Sequence[str], transport: Transport, timeout: float) -> None:
        self._addresses = tuple(addresses)
        self._transport = transport
        self._timeout = timeout

    async def status(self) -> peer_pb2.StatusReply:
        """Return the state of the environment."""
        return await self._operate("Status", peer_pb2.StatusRequest())

    async def history(self, limit: int) -> peer_pb2.HistoryReply:
        """Return the accepted documents.

        :param limit: number of the latest documents; 0 for all.
        """
        return await self._operate("History", peer_pb2.HistoryRequest(limit=limit))

    async def submit(self, document: str) -> peer_pb2.SubmitReply:
        """Submit a document; a repeated submission of the same document succeeds again."""
        request = peer_pb2.SubmitRequest(document=document)
        return await self._operate("Submit", request, is_act=True)

    async def drain(self, subject: str) -> peer_pb2.ActReply:
        """Drain an instance or a target; a repeated call reports the progress."""
        return await self._operate("Drain", peer_pb2.DrainRequest(subject=subject), is_act=True)

    async def repair(self, instance: str) -> peer_pb2.ActReply:
        """Replace a lost control instance; a repeated call reports the progress."""
        request = peer_pb2.RepairRequest(instance=instance)
        return await self._operate("Repair", request, is_act=True)

    async def switchover(self, group: str, to_target: str) -> peer_pb2.ActReply:
        """Move the primary of a group; a call with an unknown outcome is not repeated."""
        request = peer_pb2.SwitchoverRequest(group=group, to_target=to_target)
        return await self._operate("Switchover", request, is_act=True, is_repeatable=False)

    async def execute(self, request: caller_pb2.ExecuteRequest) -> caller_pb2.ExecuteReply:
        """Send a request once; another instance is tried only when it cannot have been sent."""
        deadline = time.monotonic() + self._timeout + REPLY_GRACE_SECONDS
        failures = []
        for address in self._addresses:
            reply = await self._call(address, "Execute", request, deadline)
            if not isinstance(reply, _Failure):
                return reply
            failures.append(reply)
            if reply.was_sent:
                break
        raise _no_reply(failures, is_act=True)

    async def _operate(
        self, method: str, request: Any, *, is_act: bool = False, is_repeatable: bool = True
    ) -> Any:
        deadline = time.monotonic() + self._timeout
        failures: list[_Failure] = []
        while True:
            for address in self._addresses:
                reply = await self._call(address, method, request, deadline)
                if isinstance(reply, _Failure):
                    failures.append(reply)
                elif reply.error.code != NotLeaderError.code:
                    return _checked(reply)
                else:
                    failures.append(_Failure(address, reply.error.message, False))
                if failures[-1].was_sent and not is_repeatable:
                    raise _no_reply(failures, is_act)
            if time.monotonic() + RETRY_SECONDS >= deadline:
                raise _no_reply(failures, is_act)
            await asyncio.sleep(RETRY_SECONDS)

    async def _call(self, address: str, method: str, request: Any, deadline: float) -> Any:
        """Return the reply or a :class:`_Failure`."""
        async with self._transport.channel(address, _CHANNEL_OPTIONS) as channel:
            left = max(deadline - time.monotonic(), 0.0)
            if not await _is_ready(channel, min(CONNECT_SECONDS, left)):
                return _Failure(address, await _why_not_ready(address), False)
            stub = _stub(channel, method)
            try:
                left = max(deadline - time.monotonic(), 0.0)
                return await getattr(stub, method)(request, timeout=left)
            except grpc.aio.AioRpcError as error:
                if error.code() is grpc.StatusCode.PERMISSION_DENIED:
                    message = f"{address} refused the call: {error.details()}"
                    raise AccessRefusedError(message) from None
                reason = f"{error.code().name} {error.details() or ''}".strip()
                return _Failure(address, reason, error.code() is not grpc.StatusCode.UNIMPLEMENTED)


async def _is_ready(channel: grpc.aio.Channel, seconds: float) -> bool:
    """Connect, and tell whether that succeeded; a refused connection ends the wait at once."""
    try:
        async with asyncio.timeout(seconds):
            state = channel.get_state(try_to_connect=True)
            while state not in _FINAL_STATES:
                await channel.wait_for_state_change(state)
                state = channel.get_state(try_to_connect=True)
    except TimeoutError:
        return False
    return state is grpc.ChannelConnectivity.READY


async def _why_not_ready(address: str) -> str:
    """Tell a port that is not reached from one that speaks with another protection."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(PROBE_SECONDS):
            _, writer = await asyncio.open_connection(host.strip("[]"), int(port))
    except (OSError, TimeoutError) as error:
        return (getattr(error, "strerror", None) or "no connection").lower()
    writer.close()
    return "the port is open, but the TLS handshake or the plain-text connection failed"


def _stub(channel: grpc.aio.Channel, method: str) -> Any:
    if method == "Execute":
        return caller_pb2_grpc.CallerStub(channel)
    return peer_pb2_grpc.OperatorStub(channel)


def _checked(reply: Any) -> Any:
    error = reply.error
    if error.code:
        verdict = getattr(reply, "verdict", 0)
        raise error_from_wire(error.code, error.message, error.hint, verdict, error.rolled_back)
    return reply


def _no_reply(failures: list[_Failure], is_act: bool) -> Exception:
    latest = {failure.address: failure.reason for failure in failures}
    reasons = "; ".join(f"{address}: {reason}" for address, reason in latest.items())
    if is_act and any(failure.was_sent for failure in failures):
        return OutcomeUnknownError(f"the request was sent, but no reply arrived ({reasons})")
    return UnreachableError(f"no instance answered ({reasons})")
