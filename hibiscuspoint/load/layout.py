"""Sizes of a launched topology and the settings generated from them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from hibiscuspoint.ids import AvailabilityZone, GroupId, InstanceId, TargetId
from hibiscuspoint.load.deployments import LEDGER, Deployment

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = [
    "ENVIRONMENT",
    "InstancePlan",
    "Layout",
    "TargetPlan",
    "document",
    "node_settings",
    "target_arguments",
]

ENVIRONMENT = "development"
#: Transactions of one caller; a load run opens one for each of its sessions.
OPEN_TRANSACTIONS = 1000
#: Token keys of launched topologies; they protect nothing.
SESSION_KEY = "68696269736375732d646576656c6f706d656e742d6f6e6c792d6b65792d3031"


@dataclass(frozen=True, slots=True)
class Layout:
    """What a topology consists of.

    :param entries: number of instances; the first ``control`` of them also run control.
    :param service_time_us: execution time of one statement at a target.
    :param ship_delay_ms: delay of log shipping; ``apply_delay_ms`` delays visibility at replicas.
    :param has_latency: whether targets simulate the zone latency of the deployment.
    :param group_options: keys of each ``[[group]]`` of the document, besides its name.
    :param node_options: sections of ``node.toml`` that replace or extend generated ones.
    :param target_options: further flags of the stand-ins.
    :param has_caller_port: whether callers have an address of their own at each instance.
    """

    deployment: Deployment = LEDGER
    entries: int = 9
    control: int = 3
    groups: int = 1
    targets_per_group: int = 3
    service_time_us: int = 500
    ship_delay_ms: int = 0
    apply_delay_ms: int = 0
    has_latency: bool = True
    log_level: str = "info"
    group_options: Mapping[str, Any] = field(default_factory=dict)
    node_options: Mapping[str, Mapping[str, Any]] = field(default_factory=dict)
    target_options: Mapping[str, str] = field(default_factory=dict)
    has_caller_port: bool = False

    @property
    def group_ids(self) -> list[GroupId]:
        """Return the names of the groups."""
        return [GroupId(f"group-{number}") for number in range(1, self.groups + 1)]

    @property
    def instance_ids(self) -> list[InstanceId]:
        """Return the names of the instances."""
        return [InstanceId(f"instance-{number}") for number in range(1, self.entries + 1)]

    def zone(self, number: int) -> AvailabilityZone:
        """Return the zone of the n-th instance or target, in turn."""
        zones = self.deployment.zones
        return zones[number % len(zones)]

    def target_ids(self, group: GroupId) -> list[TargetId]:
        """Return the names of the targets of a group."""
        return [TargetId(f"{group}-{chr(ord('a') + n)}") for n in range(self.targets_per_group)]


@dataclass(frozen=True, slots=True)
class InstancePlan:
    """Identity and addresses of one instance.

    :param members: address of each control instance as this instance knows it.
    :param advertised: address that other processes use; ``address`` when empty.
    :param callers: address for callers alone; ``None`` when they use ``address``.
    """

    instance: InstanceId
    zone: AvailabilityZone
    address: str
    http: str
    members: Mapping[InstanceId, str]
    advertised: str = ""
    callers: str | None = None

    @property
    def is_control(self) -> bool:
        """Tell whether the instance also runs control."""
        return self.instance in self.members


@dataclass(frozen=True, slots=True)
class TargetPlan:
    """Identity and address of one target.

    :param announce: addresses of the instances to which the target announces itself.
    :param advertised: address that it announces; ``address`` when empty.
    """

    target: TargetId
    group: GroupId
    zone: AvailabilityZone
    address: str
    announce: tuple[str, ...]
    advertised: str = ""


def node_settings(layout: Layout, plan: InstancePlan) -> dict[str, Any]:
    """Return the contents of ``node.toml`` of an instance."""
    control: dict[str, Any] = {"members": dict(plan.members)}
    if plan.is_control:
        control["data_directory"] = "data"
    settings: dict[str, Any] = {
        "node": {
            "instance": plan.instance,
            "availability_zone": plan.zone,
            "region": layout.deployment.region,
            "environment": ENVIRONMENT,
            "roles": ["entry", "control"] if plan.is_control else ["entry"],
        },
        "listen": {"address": plan.address, "http": plan.http},
        "control": control,
        "session": {"keys": [SESSION_KEY]},
        "tls": {"mode": "plain-text"},
        "log": {"level": layout.log_level, "file": "events.jsonl"},
        "limits": {"open_transactions_per_caller": OPEN_TRANSACTIONS},
        "target_driver": {"kind": "standin"},
    }
    if plan.advertised:
        settings["listen"]["advertise"] = plan.advertised
    if plan.callers is not None:
        settings["listen"]["callers"] = plan.callers
    for section, keys in layout.node_options.items():
        settings[section] = {**settings.get(section, {}), **keys}
    return settings


def document(layout: Layout, number: int = 1, **options: object) -> dict[str, Any]:
    """Return an environment document for all groups of a layout.

    :param options: keys of each group that replace those of the layout.
    """
    return {
        "environment": ENVIRONMENT,
        "number": number,
        "group": [
            {
                "name": group,
                "members": layout.targets_per_group,
                **layout.group_options,
                **options,
            }
            for group in layout.group_ids
        ],
    }


def target_arguments(layout: Layout, plan: TargetPlan, data_directory: str) -> list[str]:
    """Return the arguments of the stand-in of a target."""
    deployment = layout.deployment
    delay_ms = deployment.zone_delay_ms if layout.has_latency else 0
    options = {
        "target": plan.target,
        "group": plan.group,
        "zone": plan.zone,
        "listen": plan.address,
        "advertise": plan.advertised,
        "data-directory": data_directory,
        "announce": ",".join(plan.announce),
        "slots": deployment.slots,
        "connections": deployment.connections,
        "service-time-us": layout.service_time_us,
        "ship-delay-ms": layout.ship_delay_ms,
        "apply-delay-ms": layout.apply_delay_ms,
        "connect-delay-ms": deployment.connect_delay_ms,
        "one-way-delay-ms": delay_ms,
        **layout.target_options,
    }
    return [text for name, value in options.items() for text in (f"--{name}", str(value))]
