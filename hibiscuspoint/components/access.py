"""Access of certificates to the services of an instance."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

import grpc

from hibiscuspoint.telemetry import catalogue, log_event

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from hibiscuspoint.settings import TlsSettings

__all__ = ["AccessInterceptor", "AccessPolicy"]

logger = logging.getLogger(__name__)

#: Key of the names of a certificate in the authentication context of gRPC.
_NAMES_KEY = "x509_subject_alternative_name"

_OPERATOR_SERVICE = "hibiscuspoint.peer.v1.Operator"
_CALLER_SERVICE = "hibiscuspoint.caller.v1.Caller"
_ANNOUNCE_METHOD = "/hibiscuspoint.peer.v1.Control/Announce"


class AccessPolicy:
    """Which names of certificates may call a method; a service that is not known is internal."""

    def __init__(
        self, instances: frozenset[str], operators: frozenset[str], targets: frozenset[str]
    ) -> None:
        self._instances = instances
        self._operators = instances | operators
        self._announcers = instances | targets

    @classmethod
    def from_settings(cls, tls: TlsSettings) -> AccessPolicy:
        """Build from the lists of names in the settings."""
        return cls(frozenset(tls.instances), frozenset(tls.operators), frozenset(tls.targets))

    def allowed(self, method: str) -> frozenset[str] | None:
        """Return the names that may call a method; ``None`` for any certificate.

        :param method: "/package.Service/Method".
        """
        service = method.split("/")[1]
        if service == _CALLER_SERVICE:
            return None
        if service == _OPERATOR_SERVICE:
            return self._operators
        if method == _ANNOUNCE_METHOD:
            return self._announcers
        return self._instances


class AccessInterceptor(grpc.aio.ServerInterceptor):
    """Refuses calls whose certificate has none of the allowed names."""

    def __init__(self, policy: AccessPolicy) -> None:
        self._policy = policy

    async def intercept_service(
        self,
        continuation: Callable[[grpc.HandlerCallDetails], Awaitable[grpc.RpcMethodHandler]],
        handler_call_details: grpc.HandlerCallDetails,
    ) -> grpc.RpcMethodHandler | None:
        """Return the handler of a call behind the check of its certificate."""
        handler = await continuation(handler_call_details)
        method = handler_call_details.method
        allowed = self._policy.allowed(method)
        if handler is None or allowed is None:
            return handler
        return _guarded(handler, method, allowed)


def _guarded(
    handler: grpc.RpcMethodHandler, method: str, allowed: frozenset[str]
) -> grpc.RpcMethodHandler:
    codec = (handler.request_deserializer, handler.response_serializer)
    if handler.unary_unary is not None:

        async def answer(request: Any, context: grpc.aio.ServicerContext) -> Any:
            await _check(context, method, allowed)
            return await handler.unary_unary(request, context)

        return grpc.unary_unary_rpc_method_handler(answer, *codec)
    if handler.stream_stream is None:
        raise TypeError(f"{method} is neither unary nor a stream in both directions")

    async def stream(requests: Any, context: grpc.aio.ServicerContext) -> AsyncIterator[Any]:
        await _check(context, method, allowed)
        async for reply in handler.stream_stream(requests, context):
            yield reply

    return grpc.stream_stream_rpc_method_handler(stream, *codec)


async def _check(context: grpc.aio.ServicerContext, method: str, allowed: frozenset[str]) -> None:
    names = [name.decode(errors="replace") for name in context.auth_context().get(_NAMES_KEY, ())]
    if allowed.isdisjoint(names):
        log_event(logger, catalogue.PEER_REFUSED, peer=context.peer(), names=names, method=method)
        await context.abort(
            grpc.StatusCode.PERMISSION_DENIED,
            "the names of the certificate are not in the settings of this instance",
        )
