"""Connections of an instance that is itself one of the holders of a target."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hibiscuspoint.components.sessions.connection import PooledConnection
    from hibiscuspoint.core.sessions import ConnectionDemand
    from hibiscuspoint.ids import InstanceId

__all__ = ["OwnConnections"]


@dataclass(frozen=True)
class OwnConnections:
    """The pool of this instance for one target, used in turn with those of other holders.

    :param instance: this instance.
    :param acquire: takes a connection of the pool.
    """

    instance: InstanceId
    acquire: Callable[[ConnectionDemand], Awaitable[PooledConnection]]
