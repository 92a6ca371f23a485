"""What an instance with sessions as connections is given: its settings and its outer ports."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from hibiscuspoint.core.balancing import RankingMode
from hibiscuspoint.core.quotas.bounds import QuotaBounds

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

    from hibiscuspoint.components.configuration import ConfigurationService
    from hibiscuspoint.components.sessions import SessionService
    from hibiscuspoint.core.ports import PromotionAuthority, SessionDriver
    from hibiscuspoint.core.sessions import RoutingTable
    from hibiscuspoint.ids import AvailabilityZone, InstanceId
    from hibiscuspoint.wire import peer_pb2

__all__ = ["CallerPort", "OuterPort", "Ports", "SessionNodeSettings"]


@dataclass(frozen=True)
class SessionNodeSettings:
    """What an instance needs to know.

    :param instance: address for other instances, "ip:port", and id of the instance.
    :param founders: instances that form the control group at the first start.
    :param seeds: addresses of instances through which the others are found.
    :param data_directory: directory of the control log; ``None`` on an instance without a disk.
    :param tolerated_losses: disks that may be lost at the same time.
    :param grace_seconds: time from the request to stop until the process is killed.
    :param scheduling: registered name of the order in which waiting statements are served.
    :param ranking: when reads are ranked by measured times instead of fixed costs.
    :param quota_bounds: how far operations may exceed the limit of an organisation.
    """

    instance: InstanceId
    availability_zone: AvailabilityZone
    founders: tuple[InstanceId, ...]
    seeds: tuple[str, ...]
    metrics_address: str
    data_directory: Path | None
    tolerated_losses: int
    grace_seconds: float
    scheduling: str = "priority"
    ranking: RankingMode = RankingMode.MEASURED
    quota_bounds: QuotaBounds = field(default_factory=QuotaBounds)

    @property
    def required_voters(self) -> int:
        """Return how many voters keep a majority when the tolerated number of disks is lost."""
        return 2 * self.tolerated_losses + 1


class CallerPort(Protocol):
    """The port on which callers open sessions."""

    @property
    def open_sessions(self) -> int:
        """Return the number of open sessions."""

    async def start(self) -> None:
        """Listen."""

    def close_when_idle(self) -> None:
        """Close every session as soon as it is idle outside a transaction."""

    def close_idle(self) -> None:
        """Close the sessions that are idle outside a transaction, so that they go elsewhere."""

    def end_sessions(self) -> None:
        """Close every session after its statement in progress, and roll back its transaction."""

    async def stop(self) -> None:
        """Close the port and all sessions."""


class OuterPort(Protocol):
    """Any other port."""

    async def start(self) -> None:
        """Listen."""

    async def stop(self) -> None:
        """Stop listening."""


@dataclass(frozen=True)
class Ports:
    """What speaks to the outside of the system.

    :param make_callers: makes the port of the callers.
    :param make_others: makes the ports of targets, operators and the load balancer.
    :param parse: reads a configuration.
    """

    driver: SessionDriver
    authority: PromotionAuthority
    parse: Callable[[str], RoutingTable]
    make_callers: Callable[[SessionService], CallerPort]
    make_others: Callable[
        [
            Callable[[peer_pb2.Announcement], Awaitable[bool]],
            ConfigurationService,
            Callable[[], bool],
        ],
        list[OuterPort],
    ]
