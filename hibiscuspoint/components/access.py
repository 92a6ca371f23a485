"""Access of certificates to the services of an instance."""

from __future__ import annotations

import logging
from contextlib import aclosing
from typing import TYPE_CHECKING, Any

import grpc

from hibiscuspoint.telemetry import catalogue, log_event

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Iterable

    from hibiscuspoint.settings import TlsSettings

__all__ = ["EXCHANGE_METHOD", "LOGGED_CHARACTERS", "AccessInterceptor", "AccessPolicy"]

logger = logging.getLogger(__name__)

#: Key of the names of a certificate in the authentication context of gRPC.
_NAMES_KEY = "x509_subject_alternative_name"

_OPERATOR_SERVICE = "hibiscuspoint.peer.v1.Operator"
_CALLER_SERVICE = "hibiscuspoint.caller.v1.Caller"
_ANNOUNCE_METHOD = "/hibiscuspoint.peer.v1.Control/Announce"
EXCHANGE_METHOD = "/hibiscuspoint.consensus.v1.Consensus/Exchange"

#: Reads the instance that a message claims to come from, by method. The messages of the other
#: methods name no sender.
_CLAIMS: dict[str, Callable[[Any], str]] = {
    "/hibiscuspoint.peer.v1.Control/Attach": lambda report: report.instance,
    EXCHANGE_METHOD: lambda envelope: envelope.source.instance,
}

#: Longest part of a claimed name that is logged; the settings allow no longer names.
LOGGED_CHARACTERS = 64


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

    def permitted_names(self, method: str) -> frozenset[str] | None:
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

    def permitted_instances(self, names: Iterable[str]) -> frozenset[str]:
        """Return the instances as which a certificate may act.

        An instance is named by the subject alternative name that equals its ``node.instance``.

        :param names: subject alternative names of the certificate.
        """
        return self._instances.intersection(names)


class AccessInterceptor(grpc.aio.ServerInterceptor):
    """Refuses calls whose certificate has none of the allowed names, or claims another instance."""

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
        allowed = self._policy.permitted_names(method)
        if handler is None or allowed is None:
            return handler
        return self._guarded(handler, method, allowed)

    def _guarded(
        self, handler: grpc.RpcMethodHandler, method: str, allowed: frozenset[str]
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
            checked = _OwnMessages(requests, method, context, self._policy)
            async with aclosing(handler.stream_stream(checked, context)) as replies:
                async for reply in replies:
                    if checked.is_refused:
                        break
                    yield reply
            if checked.is_refused:
                await context.abort(
                    grpc.StatusCode.PERMISSION_DENIED,
                    "the certificate does not name the instance that the message claims",
                )

        return grpc.stream_stream_rpc_method_handler(stream, *codec)


class _OwnMessages:
    """Requests of a stream up to the first one that claims another instance.

    The handler sees the end of the stream in place of that request.
    """

    def __init__(
        self,
        requests: AsyncIterator[Any],
        method: str,
        context: grpc.aio.ServicerContext,
        policy: AccessPolicy,
    ) -> None:
        self._requests = requests
        self._method = method
        self._peer = context.peer()
        self._names = _names(context)
        self._identities = policy.permitted_instances(self._names)
        self._claim = _CLAIMS.get(method)
        self._is_refused = False

    @property
    def is_refused(self) -> bool:
        """Tell whether a request claimed another instance."""
        return self._is_refused

    def __aiter__(self) -> _OwnMessages:
        return self

    async def __anext__(self) -> Any:
        if self._is_refused:
            raise StopAsyncIteration
        request = await anext(self._requests)
        claimed = self._claim(request) if self._claim is not None else None
        if claimed is None or claimed in self._identities:
            return request
        self._is_refused = True
        log_event(
            logger,
            catalogue.IDENTITY_REFUSED,
            peer=self._peer,
            names=self._names,
            claimed=claimed[:LOGGED_CHARACTERS],
            method=self._method,
        )
        raise StopAsyncIteration


def _names(context: grpc.aio.ServicerContext) -> list[str]:
    """Return the subject alternative names of the client's certificate."""
    return [name.decode(errors="replace") for name in context.auth_context().get(_NAMES_KEY, ())]


async def _check(context: grpc.aio.ServicerContext, method: str, allowed: frozenset[str]) -> None:
    names = _names(context)
    if allowed.isdisjoint(names):
        log_event(logger, catalogue.PEER_REFUSED, peer=context.peer(), names=names, method=method)
        await context.abort(
            grpc.StatusCode.PERMISSION_DENIED,
            "the names of the certificate are not in the settings of this instance",
        )
