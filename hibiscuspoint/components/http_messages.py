"""Requests, responses and routes of the HTTP ports."""

from __future__ import annotations

import json
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import unquote

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable, Mapping

__all__ = [
    "HttpRequest",
    "HttpResponse",
    "HttpRoute",
    "MethodNotAllowedError",
    "RouteNotFoundError",
    "find_route",
    "json_response",
]


class RouteNotFoundError(Exception):
    """No route of the port has the path of the request."""


class MethodNotAllowedError(Exception):
    """The path exists, but not with the method of the request."""


@dataclass(frozen=True)
class HttpRequest:
    """One request whose body has arrived.

    :param target: path and query as the client sent them.
    :param arguments: decoded segments of the path by the names in the pattern of the route.
    """

    method: str
    target: str
    arguments: Mapping[str, str]
    body: bytes


@dataclass(frozen=True)
class HttpResponse:
    """What a route answers.

    :param headers: headers besides the length and the type of the body.
    """

    status: int = 200
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"
    headers: tuple[tuple[str, str], ...] = ()

    @property
    def reason(self) -> str:
        """Return the phrase of the status line."""
        return HTTPStatus(self.status).phrase


@dataclass(frozen=True)
class HttpRoute:
    """A method and a path with the coroutine that answers them.

    :param pattern: path; a segment in braces, such as ``{target}``, matches any segment.
    """

    method: str
    pattern: str
    handler: Callable[[HttpRequest], Awaitable[HttpResponse]]

    def match(self, path: str) -> dict[str, str] | None:
        """Return the arguments in a path, or ``None`` when the path is another one."""
        own, given = self.pattern.split("/"), path.split("/")
        if len(own) != len(given):
            return None
        arguments = {}
        for name, segment in zip(own, given, strict=True):
            if name.startswith("{") and segment:
                # Bytes that are no text must not turn one name into another.
                arguments[name[1:-1]] = unquote(segment, errors="surrogateescape")
            elif name != segment:
                return None
        return arguments


def find_route(
    routes: Iterable[HttpRoute], method: str, target: str
) -> tuple[HttpRoute, dict[str, str]]:
    """Return the route of a request and the arguments in its path.

    :param target: path and query.
    :raises RouteNotFoundError: no route has this path.
    :raises MethodNotAllowedError: the routes of this path have other methods.
    """
    path = target.partition("?")[0]
    is_path_known = False
    for route in routes:
        arguments = route.match(path)
        if arguments is None:
            continue
        if route.method == method or (route.method, method) == ("GET", "HEAD"):
            return route, arguments
        is_path_known = True
    if is_path_known:
        raise MethodNotAllowedError(method)
    raise RouteNotFoundError(path)


def json_response(
    content: object, status: int = 200, headers: tuple[tuple[str, str], ...] = ()
) -> HttpResponse:
    """Return a response with a JSON body."""
    return HttpResponse(status, json.dumps(content).encode(), "application/json", headers)
