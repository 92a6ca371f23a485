"""The deployments of section 1.4 of the design page."""

from __future__ import annotations

from dataclasses import dataclass

from hibiscuspoint.ids import AvailabilityZone
from hibiscuspoint.registry import Registry

__all__ = ["DEPLOYMENTS", "FEATHER_MILL", "LEDGER", "Deployment"]


@dataclass(frozen=True, slots=True)
class Deployment:
    """Sizes and latencies of one deployment.

    :param zone_delay_ms: one-way latency between zones.
    :param caller_delay_ms: one-way latency to callers.
    :param slots: statements that one database runs at once.
    :param connections: connections that one database accepts.
    :param connect_delay_ms: duration of the establishment of a database connection.
    """

    name: str
    region: str
    zones: tuple[AvailabilityZone, ...]
    zone_delay_ms: int
    caller_delay_ms: int
    slots: int
    connections: int
    connect_delay_ms: int = 10
    groups: int = 3
    targets_per_group: int = 3


LEDGER = Deployment(
    name="ledger",
    region="sk-zapad",
    zones=tuple(map(AvailabilityZone, ("ba-petrzalka", "ba-ruzinov", "tt-centrum"))),
    zone_delay_ms=1,
    caller_delay_ms=1,
    slots=2,
    connections=16,
)

FEATHER_MILL = Deployment(
    name="mill",
    region="nordeste",
    zones=tuple(
        map(
            AvailabilityZone,
            ("galpao-recepcao", "galpao-triagem", "escritorio", "deposito-fardos"),
        )
    ),
    zone_delay_ms=1,
    caller_delay_ms=3,
    slots=3,
    connections=40,
)

DEPLOYMENTS: Registry[Deployment] = Registry("deployment")
for _deployment in (LEDGER, FEATHER_MILL):
    DEPLOYMENTS.register(_deployment.name)(_deployment)
