"""Settings file that the platform writes for each process."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hibiscuspoint.core.balancing import RankingMode
from hibiscuspoint.core.quotas.bounds import QuotaBounds
from hibiscuspoint.errors import ConfigurationError
from hibiscuspoint.ids import AvailabilityZone, InstanceId
from hibiscuspoint.platform.fields import FIELD_ERRORS, parse_json, read_text
from hibiscuspoint.util.address import parse_address

__all__ = ["PATH_VARIABLE", "ProcessSettings"]

logger = logging.getLogger(__name__)

#: Environment variable that holds the path of the settings file.
PATH_VARIABLE = "HIBISCUSPOINT_BOOT"

#: Name in ``contracts`` of a deployment whose capacity is scarce.
PRESSURE_CONTRACT = "pressure"


@dataclass(frozen=True)
class ProcessSettings:
    """Settings of one process, in the terms of this project.

    :param name: name of the machine, under which the process holds a singleton duty.
    :param instance: instance id, which is the address for other instances, "ip:port".
    :param founders: instances that form the control group at the first start; empty later.
    :param seeds: addresses of instances from which the process discovers the others.
    :param callers_address: address that accepts caller connections.
    :param readiness_address: address of the readiness probe for the load balancer.
    :param control_address: address of the HTTP interface for databases and operators.
    :param metrics_address: address of the metrics endpoint.
    :param data_directory: directory for durable data; ``None`` on a machine without a disk.
    :param tolerated_losses: number of machines with a disk that may fail at the same time.
    :param grace_seconds: time from SIGTERM to SIGKILL.
    :param authority_address: address of the platform API for singleton duties.
    :param scheduling: order of waiting statements: "fair" where capacity is known to be scarce.
    :param ranking: when reads are ranked by measured times instead of fixed costs.
    :param quota_bounds: how far operations may exceed the limit of an organisation.
    """

    name: str
    instance: InstanceId
    availability_zone: AvailabilityZone
    founders: tuple[InstanceId, ...]
    seeds: tuple[str, ...]
    callers_address: str
    readiness_address: str
    control_address: str
    metrics_address: str
    data_directory: Path | None
    tolerated_losses: int
    grace_seconds: float
    authority_address: str
    scheduling: str = "priority"
    ranking: RankingMode = RankingMode.MEASURED
    quota_bounds: QuotaBounds = field(default_factory=QuotaBounds)

    @classmethod
    def from_file(cls, path: Path) -> ProcessSettings:
        """Read the settings from a JSON file.

        :raises ConfigurationError: the file is unreadable, malformed or lacks a field.
        """
        try:
            return cls._from_fields(parse_json(path.read_text()))
        except (OSError, *FIELD_ERRORS) as error:
            raise ConfigurationError(f"settings file {path}: {error!r}") from error

    @classmethod
    def _from_fields(cls, fields: dict[str, Any]) -> ProcessSettings:
        listen = fields["listen"]
        ip = fields["ip"]
        port = fields["internal_ports"][0]
        seeds = _seeds(fields["seeds"], port)
        data_directory = fields.get("data_dir")
        return cls(
            name=fields["node_name"],
            instance=InstanceId(f"{ip}:{port}"),
            availability_zone=AvailabilityZone(fields["zone"]),
            founders=tuple(map(InstanceId, seeds)) if fields.get("bootstrap") else (),
            seeds=seeds,
            callers_address=listen["frontend"],
            readiness_address=listen["ready"],
            control_address=listen["control_addr"],
            metrics_address=f"{ip}:{port + 1}",
            data_directory=Path(data_directory) if data_directory else None,
            tolerated_losses=fields["fault_budget"]["machines"],
            grace_seconds=float(fields["bounds"]["grace_s"]),
            authority_address=fields["cloud_api"]["addr"],
            scheduling="fair" if "pressure" in (fields.get("contracts") or ()) else "priority",
            ranking=_ranking(fields),
            quota_bounds=_quota_bounds(fields["bounds"]),
        )


def _ranking(fields: dict[str, Any]) -> RankingMode:
    """Return the ranking of reads; scarce capacity calls for the balance whatever the distance."""
    is_scarce = PRESSURE_CONTRACT in fields.get("contracts", ())
    return RankingMode.ALWAYS if is_scarce else RankingMode.MEASURED


def _quota_bounds(bounds: dict[str, Any]) -> QuotaBounds:
    usual = QuotaBounds()
    return QuotaBounds(
        float(bounds.get("quota_window_s", usual.window_seconds)),
        float(bounds.get("quota_excess", usual.excess)),
        int(bounds.get("quota_slack", usual.slack)),
    )


def _seeds(items: list[object], port: int) -> tuple[str, ...]:
    """Return the addresses of the seeds; an entry that is no address leaves the others in force.

    :raises ValueError: none of the entries is an address.
    """
    seeds = []
    for item in items:
        try:
            seeds.append(_internal_address(read_text(item), port))
        except (TypeError, ValueError) as error:
            logger.warning("a seed in the settings is ignored: %s", error)
    if items and not seeds:
        raise ValueError("no seed is an address")
    return tuple(seeds)


def _internal_address(control_address: str, port: int) -> str:
    """Return the address for other instances on the machine of a control address."""
    host, _ = parse_address(control_address)
    return f"{host}:{port}"
