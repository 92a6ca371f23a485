"""Events that the components of a process exchange."""

from __future__ import annotations

from typing import TYPE_CHECKING

from circuits import Event

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from hibiscuspoint.ids import GroupId
    from hibiscuspoint.wire import caller_pb2, peer_pb2

__all__ = [
    "command_applied",
    "execute_requested",
    "forward_requested",
    "report_due",
    "update_received",
]

# circuits calls the handlers that are registered under the class name of an event; the names are
# in lower case, as for the events of circuits itself.


class request_event(Event):  # noqa: N801
    """An event whose handler sets an awaitable reply."""

    reply: Awaitable | None = None


class execute_requested(request_event):  # noqa: N801
    """A caller sent a request."""

    def __init__(self, request: caller_pb2.ExecuteRequest) -> None:
        super().__init__(request)


class forward_requested(request_event):  # noqa: N801
    """Another entry forwarded a request to this holder."""

    def __init__(self, request: peer_pb2.ForwardRequest) -> None:
        super().__init__(request)


class update_received(Event):  # noqa: N801
    """The control leader sent an update to this entry."""

    def __init__(self, update: peer_pb2.ControlUpdate) -> None:
        super().__init__(update)


class report_due(Event):  # noqa: N801
    """The state of the entry changed in a way that must be reported to control at once."""


class command_applied(Event):  # noqa: N801
    """A command of the control log was applied to the replicated state."""

    def __init__(self, name: str, group: GroupId | None) -> None:
        super().__init__(name, group)
