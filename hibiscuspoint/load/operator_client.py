"""Operator calls that load runs and tests need."""

from __future__ import annotations

from typing import TYPE_CHECKING

import grpc
import grpc.aio

from hibiscuspoint.errors import ERROR_CODES, HibiscusError
from hibiscuspoint.verdict import Verdict
from hibiscuspoint.wire import peer_pb2, peer_pb2_grpc

if TYPE_CHECKING:
    from hibiscuspoint.wire import common_pb2

__all__ = ["Operator"]

#: Time for one operator call in seconds.
CALL_TIMEOUT_S = 5.0


class Operator:
    """Operator calls through one instance.

    :param address: ``ip:port`` of the instance.
    """

    def __init__(self, address: str) -> None:
        self._channel = grpc.aio.insecure_channel(
            address,
            options=(
                ("grpc.use_local_subchannel_pool", 1),
                ("grpc.enable_http_proxy", 0),
                ("grpc.max_reconnect_backoff_ms", 500),
            ),
        )
        self._stub = peer_pb2_grpc.OperatorStub(self._channel)

    async def submit(self, document: str) -> peer_pb2.SubmitReply:
        """Submit a document.

        :raises HibiscusError: the document was rejected.
        :raises grpc.aio.AioRpcError: the call broke.
        """
        request = peer_pb2.SubmitRequest(document=document)
        reply = await self._stub.Submit(request, timeout=CALL_TIMEOUT_S)
        if not reply.accepted:
            raise _error(reply.error, reply.verdict)
        return reply

    async def status(self) -> peer_pb2.StatusReply:
        """Return the status of the environment.

        :raises HibiscusError: the instance could not tell.
        """
        reply = await self._stub.Status(peer_pb2.StatusRequest(), timeout=CALL_TIMEOUT_S)
        if reply.error.code:
            raise _error(reply.error, 0)
        return reply

    async def switchover(self, group: str, to_target: str = "") -> peer_pb2.ActReply:
        """Ask for a planned change of the primary.

        :raises HibiscusError: the switchover was rejected.
        """
        request = peer_pb2.SwitchoverRequest(group=group, to_target=to_target)
        return _acted(await self._stub.Switchover(request, timeout=CALL_TIMEOUT_S))

    async def drain(self, subject: str) -> peer_pb2.ActReply:
        """Ask an instance or target to leave.

        :raises HibiscusError: the request was rejected.
        """
        request = peer_pb2.DrainRequest(subject=subject)
        return _acted(await self._stub.Drain(request, timeout=CALL_TIMEOUT_S))

    async def repair(self, instance: str) -> peer_pb2.ActReply:
        """Ask for the repair of a lost control instance, or for its progress.

        :raises HibiscusError: the request was rejected.
        """
        request = peer_pb2.RepairRequest(instance=instance)
        return _acted(await self._stub.Repair(request, timeout=CALL_TIMEOUT_S))

    async def close(self) -> None:
        """Close the connection."""
        await self._channel.close()


def _acted(reply: peer_pb2.ActReply) -> peer_pb2.ActReply:
    if not reply.accepted:
        raise _error(reply.error, reply.verdict)
    return reply


def _error(error: common_pb2.Error, verdict: int) -> HibiscusError:
    error_type = ERROR_CODES.get(error.code, HibiscusError)
    return error_type(
        error.message or "the instance rejected the call without a reason",
        hint=error.hint,
        verdict=Verdict(verdict) if verdict else None,
    )
