"""The state machine that the control log drives."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.components.events import command_applied
from hibiscuspoint.core.control import ControlState
from hibiscuspoint.ids import GroupId

if TYPE_CHECKING:
    from hibiscuspoint.components.runtime import Runtime
    from hibiscuspoint.wire import record_pb2

__all__ = ["ControlStateMachine"]


class ControlStateMachine:
    """Applies commands to the replicated state and fires an event for each."""

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._state = ControlState()

    @property
    def state(self) -> ControlState:
        """Return the replicated state."""
        return self._state

    def apply(self, index: int, command: record_pb2.Command) -> None:
        """Apply a committed command."""
        self._state.apply(index, command)
        name = command.WhichOneof("body") or ""
        body = getattr(command, name, None)
        group = getattr(body, "group", "")
        self._runtime.dispatch(command_applied(name, GroupId(group) if group else None))

    def snapshot(self) -> bytes:
        """Return the serialized state."""
        return self._state.snapshot()

    def restore(self, data: bytes) -> None:
        """Replace the state by a serialized one."""
        self._state.restore(data)
